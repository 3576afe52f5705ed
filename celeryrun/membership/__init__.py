"""Which nodes live, and which of them has a duty."""

from celeryrun.kernel._rendezvous import choose_owner, rank
from celeryrun.membership._member import Member
from celeryrun.membership._swim import Members

__all__ = ["Member", "Members", "choose_owner", "rank"]
