"""What is believed of one member, and which belief outweighs which."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from celeryrun.wire import MemberUpdate

__all__ = ["NEWS_REPEATS", "PRECEDENCE_BY_STATE", "Member"]

NEWS_REPEATS = 8
UNPROVEN_INCARNATION = -1
PRECEDENCE_BY_STATE = {"listed": -1, "alive": 0, "draining": 1, "suspect": 2, "dead": 3}


@dataclass(slots=True)
class Member:
    """What this node believes of one member.

    Parameters
    ----------
    state : str
        ``alive``, ``draining``, ``suspect``, ``dead``, or ``listed`` if only the platform's list
        speaks of it.
    changed_at : float
        Monotonic time of the last change of state, in seconds.
    remaining_transmissions : int
        How often the news is still to be passed on.
    list_state : str
        What the platform's list shows: ``live``, ``leaving``, or empty if it shows nothing.
    """

    name: str
    zone: str
    address: str
    operator: str
    state: str
    incarnation: int
    changed_at: float = field(default_factory=time.monotonic)
    remaining_transmissions: int = NEWS_REPEATS
    list_state: str = ""

    @classmethod
    def from_update(cls, news: MemberUpdate) -> Member:
        """Build the belief from what another node says."""
        return cls(news.name, news.zone, news.address, news.operator, news.state, news.incarnation)

    @classmethod
    def from_list(cls, name: str, zone: str, address: str, operator: str) -> Member:
        """Build the belief in a member that nobody has heard yet; anything heard outweighs it."""
        return cls(
            name, zone, address, operator, "listed", UNPROVEN_INCARNATION, remaining_transmissions=0
        )

    def to_update(self) -> MemberUpdate:
        """Return the belief as a message."""
        return MemberUpdate(
            self.name, self.zone, self.address, self.operator, self.state, self.incarnation
        )

    def is_eligible_owner(self) -> bool:
        """Tell whether duties may fall to it."""
        return self.state in ("alive", "suspect") and self.list_state != "leaving"

    def is_reachable(self) -> bool:
        """Tell whether it is believed to run."""
        return self.state in ("alive", "draining")

    def is_superseded_by(self, news: MemberUpdate) -> bool:
        """Tell whether news is to be believed instead.

        Examples
        --------
        >>> member = Member.from_list("a", "z", "127.0.0.1:1", "")
        >>> member.is_superseded_by(MemberUpdate("a", "z", "127.0.0.1:1", "", "alive", 0))
        True
        """
        theirs = (news.incarnation, PRECEDENCE_BY_STATE[news.state])
        return theirs > (self.incarnation, PRECEDENCE_BY_STATE[self.state])
