"""Recent demand on a pool by urgency, and the duration of overloads."""

from __future__ import annotations

import math

__all__ = ["PoolDemand"]

DECAY_TIME = 2.0  # s, time constant of the decay; bursts rise and end within some seconds
OVERLOAD_END_DELAY = 1.0  # s without a denial after which an overload counts as ended
MAX_DEMAND_FRACTION = 0.9  # of the pool; above it the wait factor would depend on noise

Urgency = tuple[int, int]


class PoolDemand:
    """Exponentially decaying sums of the work requested of one pool, by urgency.

    Work is counted in seconds of the whole pool, so that a sum over a time window is the fraction
    of the pool that is requested.

    Examples
    --------
    >>> demand = PoolDemand()
    >>> for turn in range(100):
    ...     demand.record((0, 0), 0.05, now=turn / 10)
    >>> round(demand.wait_factor((0, 1), now=9.9), 1)
    2.0
    >>> demand.wait_factor((0, 0), now=9.9)
    1.0

    The retry delay grows with the time for which the overload has lasted:

    >>> demand.record_denial((0, 0), wait=0.5, now=10.0)
    0.5
    >>> _ = demand.record_denial((0, 0), wait=0.5, now=10.8)
    >>> round(demand.record_denial((0, 0), wait=0.5, now=11.6), 1)
    1.6
    """

    __slots__ = ("_last_update", "_overload_by_urgency", "_work_by_urgency")

    def __init__(self) -> None:
        self._last_update = 0.0
        self._work_by_urgency: dict[Urgency, float] = {}
        self._overload_by_urgency: dict[Urgency, tuple[float, float]] = {}

    def record(self, urgency: Urgency, work: float, now: float) -> None:
        """Add the work of one slot request.

        Parameters
        ----------
        urgency : tuple of int
            Tier and rank, the most urgent first.
        work : float
            Seconds for which the request would occupy the whole pool.
        """
        decay = math.exp(min(0.0, self._last_update - now) / DECAY_TIME)
        for known in self._work_by_urgency:
            self._work_by_urgency[known] *= decay
        self._last_update = max(self._last_update, now)
        self._work_by_urgency[urgency] = self._work_by_urgency.get(urgency, 0.0) + work

    def wait_factor(self, urgency: Urgency, now: float) -> float:
        """Return the factor by which more urgent slot requests are expected to extend a wait."""
        more_urgent = sum(work for known, work in self._work_by_urgency.items() if known < urgency)
        fraction = (
            more_urgent * math.exp(min(0.0, self._last_update - now) / DECAY_TIME) / DECAY_TIME
        )
        return 1 / (1 - min(MAX_DEMAND_FRACTION, fraction))

    def record_denial(self, urgency: Urgency, wait: float, now: float) -> float:
        """Record a denial for overload and return the seconds after which to retry.

        Parameters
        ----------
        wait : float
            Seconds until a slot would be free without more urgent slot requests.

        Notes
        -----
        The end of an overload is unknown. An overload is expected to last as long again as it
        has lasted, so that callers do not all retry while a long one still lasts.
        """
        begin, last = self._overload_by_urgency.get(urgency, (now, now))
        if now - last > OVERLOAD_END_DELAY:
            begin = now
        self._overload_by_urgency[urgency] = begin, now
        return max(wait * self.wait_factor(urgency, now), now - begin)
