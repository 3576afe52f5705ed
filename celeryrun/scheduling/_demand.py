"""How much of a pool the more urgent asks take, and how long some have been refused."""

from __future__ import annotations

import math

__all__ = ["PoolDemand"]

WINDOW = 2.0  # s over which what is asked fades; bursts build up and end within some seconds
PAUSE = 1.0  # s without a refusal after which an overload counts as over
MOST_SHARE = 0.9  # of the pool; by more an estimate would depend on noise

Urgency = tuple[int, int]


class PoolDemand:
    """Work asked of one pool by urgency, fading with time.

    Work is counted in seconds of the whole pool, so that a sum over a window is the share of the
    pool that is asked for.

    Examples
    --------
    >>> pressure = PoolDemand()
    >>> for turn in range(100):
    ...     pressure.note((0, 0), 0.05, now=turn / 10)
    >>> round(pressure.stretch((0, 1), now=9.9), 1)
    2.0
    >>> pressure.stretch((0, 0), now=9.9)
    1.0

    Who is told to wait comes back when the overload may be over, one that has lasted for long
    later than one that has just begun:

    >>> pressure.wait_out((0, 0), wait=0.5, now=10.0)
    0.5
    >>> _ = pressure.wait_out((0, 0), wait=0.5, now=10.8)
    >>> round(pressure.wait_out((0, 0), wait=0.5, now=11.6), 1)
    1.6
    """

    __slots__ = ("_noted", "_overload_by_urgency", "_work_by_urgency")

    def __init__(self) -> None:
        self._noted = 0.0
        self._work_by_urgency: dict[Urgency, float] = {}
        self._overload_by_urgency: dict[Urgency, tuple[float, float]] = {}

    def note(self, urgency: Urgency, work: float, now: float) -> None:
        """Count an ask.

        Parameters
        ----------
        urgency : tuple of int
            Tier and rank, the lowest first.
        work : float
            Seconds for which it would take the whole pool.
        """
        fading = math.exp(min(0.0, self._noted - now) / WINDOW)
        for known in self._work_by_urgency:
            self._work_by_urgency[known] *= fading
        self._noted = max(self._noted, now)
        self._work_by_urgency[urgency] = self._work_by_urgency.get(urgency, 0.0) + work

    def stretch(self, urgency: Urgency, now: float) -> float:
        """Return by what factor a wait is longer, since more urgent asks keep coming."""
        above = sum(work for known, work in self._work_by_urgency.items() if known < urgency)
        share = above * math.exp(min(0.0, self._noted - now) / WINDOW) / WINDOW
        return 1 / (1 - min(MOST_SHARE, share))

    def wait_out(self, urgency: Urgency, wait: float, now: float) -> float:
        """Note a refusal, and return the seconds after which to come back.

        Parameters
        ----------
        wait : float
            Seconds until a slot would be free if nothing more urgent came.

        Notes
        -----
        When an overload ends is not known. One that has lasted for some time is expected to last
        as long again, so that the callers of a long one do not all come back into it.
        """
        begun, last = self._overload_by_urgency.get(urgency, (now, now))
        if now - last > PAUSE:
            begun = now
        self._overload_by_urgency[urgency] = begun, now
        return max(wait * self.stretch(urgency, now), now - begun)
