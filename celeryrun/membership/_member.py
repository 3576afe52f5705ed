"""State of one member and the precedence of updates."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from celeryrun.wire import MemberUpdate

__all__ = ["PRECEDENCE_BY_STATE", "UPDATE_TRANSMISSIONS", "Member"]

UPDATE_TRANSMISSIONS = 8
LISTED_INCARNATION = -1  # below the incarnation of every update
PRECEDENCE_BY_STATE = {"listed": -1, "alive": 0, "draining": 1, "suspect": 2, "dead": 3}


@dataclass(slots=True)
class Member:
    """State of one member as this node knows it.

    Parameters
    ----------
    operator : str
        ``IP:PORT`` of the node's health and status.
    state : str
        ``alive``, ``draining``, ``suspect``, ``dead``, or ``listed`` if the member is known only
        from the platform's list.
    incarnation : int
        Only the member itself raises it; the higher incarnation supersedes the lower.
    changed_at : float
        Monotonic time of the last change of state, in seconds.
    transmissions_left : int
        Number of messages that will still carry the member's update.
    list_state : str
        State in the platform's list, ``live`` or ``leaving``; empty if the member is not listed.
    """

    name: str
    zone: str
    address: str
    operator: str
    state: str
    incarnation: int
    changed_at: float = field(default_factory=time.monotonic)
    transmissions_left: int = UPDATE_TRANSMISSIONS
    list_state: str = ""

    @classmethod
    def from_update(cls, update: MemberUpdate) -> Member:
        """Build a member from another node's update."""
        return cls(
            update.name,
            update.zone,
            update.address,
            update.operator,
            update.state,
            update.incarnation,
        )

    @classmethod
    def from_list(cls, name: str, zone: str, address: str, operator: str) -> Member:
        """Build a member from the platform's list; any update supersedes it."""
        return cls(
            name, zone, address, operator, "listed", LISTED_INCARNATION, transmissions_left=0
        )

    def to_update(self) -> MemberUpdate:
        """Return the state as an update for other nodes."""
        return MemberUpdate(
            self.name, self.zone, self.address, self.operator, self.state, self.incarnation
        )

    def is_eligible_owner(self) -> bool:
        """Return whether the member may own keys."""
        return self.state in ("alive", "suspect") and self.list_state != "leaving"

    def is_reachable(self) -> bool:
        """Return whether the member is alive or draining."""
        return self.state in ("alive", "draining")

    def is_superseded_by(self, update: MemberUpdate) -> bool:
        """Return whether an update replaces this state.

        Examples
        --------
        >>> member = Member.from_list("a", "z", "127.0.0.1:1", "")
        >>> member.is_superseded_by(MemberUpdate("a", "z", "127.0.0.1:1", "", "alive", 0))
        True
        """
        precedence = (update.incarnation, PRECEDENCE_BY_STATE[update.state])
        return precedence > (self.incarnation, PRECEDENCE_BY_STATE[self.state])
