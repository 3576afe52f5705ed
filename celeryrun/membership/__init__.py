"""Membership of nodes and the owner of each key."""

from celeryrun.kernel._rendezvous import choose_owner, rank
from celeryrun.membership._member import Member
from celeryrun.membership._swim import Members

__all__ = ["Member", "Members", "choose_owner", "rank"]
