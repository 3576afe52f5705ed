"""Whether a request may be hedged, and the extra work that hedges may cause."""

from __future__ import annotations

import math

from celeryrun.catalog import RequestKind
from celeryrun.hedging._delay import HedgeDelays

__all__ = ["HedgeBudget", "HedgeGate", "may_hedge"]

DECAY_TIME = 30.0  # s, time constant of the work that counts
MIN_IDLE_TARGETS = 2  # targets with a free slot, so that one is left for the next request


def may_hedge(kind: RequestKind, attempts: int, max_attempts: int) -> bool:
    """Return whether a request without any part of its response may run once more.

    Parameters
    ----------
    attempts, max_attempts : int
        Number of targets that it was sent to, and that it may be sent to.

    Examples
    --------
    >>> may_hedge(RequestKind(repeatable=True), 1, 2), may_hedge(RequestKind(), 1, 2)
    (True, False)
    >>> may_hedge(RequestKind(repeatable=True, stream=True), 1, 2)
    False
    """
    if not kind.repeatable or attempts >= max_attempts:
        return False
    return kind.resumable or not kind.stream


class HedgeBudget:
    """Extra work of hedges, at most a share of all recent work.

    Work is counted in seconds of a slot. A new scheduler has seen no work, so it has no credit.

    Parameters
    ----------
    share : float
        Extra work allowed per work; 0 for none.

    Examples
    --------
    >>> budget = HedgeBudget(0.1)
    >>> budget.allows(0.5, now=0.0)
    False
    >>> budget.record_work(10.0, now=0.0)
    >>> budget.allows(0.5, now=0.0), budget.allows(1.5, now=0.0)
    (True, False)
    """

    __slots__ = ("_extra_work", "_last_update", "_work", "share")

    def __init__(self, share: float = 0.0) -> None:
        self.share = share
        self._work = 0.0
        self._extra_work = 0.0
        self._last_update = 0.0

    def record_work(self, seconds: float, now: float) -> None:
        """Add the expected work of an attempt that is no hedge."""
        self._decay(now)
        self._work += seconds

    def allows(self, seconds: float, now: float) -> bool:
        """Return whether a hedge may cause this extra work."""
        self._decay(now)
        return self._extra_work + seconds <= self.share * self._work

    def charge(self, seconds: float, now: float) -> None:
        """Add extra work."""
        self._decay(now)
        self._extra_work += seconds

    def settle(self, charged: float, seconds: float, now: float) -> None:
        """Replace expected extra work by what it came to."""
        self._decay(now)
        self._extra_work = max(0.0, self._extra_work + seconds - charged)

    def _decay(self, now: float) -> None:
        factor = math.exp(min(0.0, self._last_update - now) / DECAY_TIME)
        self._work *= factor
        self._extra_work *= factor
        self._last_update = max(self._last_update, now)


class HedgeGate:
    """Decisions of a scheduler on hedges, which never wait for a slot.

    Attributes
    ----------
    budget : HedgeBudget
        Extra work allowed.
    delays : HedgeDelays
        Response times of all nodes' requests.
    """

    __slots__ = ("budget", "delays")

    def __init__(self) -> None:
        self.budget = HedgeBudget()
        self.delays = HedgeDelays()

    def find_delay(self, route: str, prompt_tokens: int) -> float:
        """Return the seconds after which a request may be hedged, 0 for never."""
        if not self.budget.share or not route:
            return 0.0
        return self.delays.find(route, prompt_tokens) or 0.0

    def record_response(self, route: str, prompt_tokens: int, seconds: float) -> None:
        """Learn from a response, or from a request that was waited for so long."""
        if self.budget.share and route:
            self.delays.record(route, prompt_tokens, seconds)

    def find_denial(
        self, wait: float | None, work: float, idle_targets: int, now: float
    ) -> str | None:
        """Return the kind of denial of a slot request, None to grant it.

        Parameters
        ----------
        wait : float or None
            Seconds until its slot is free, None if there is no slot.
        work : float
            Extra work that is expected, in seconds of a slot.
        idle_targets : int
            Number of targets with a free slot.
        """
        if wait is None or wait > 0 or idle_targets < MIN_IDLE_TARGETS:
            return "overload"
        return None if self.budget.allows(work, now) else "hedge-budget"
