"""Callers that were refused for overload, and when they first asked."""

from __future__ import annotations

__all__ = ["RefusedCallers"]

MAX_CALLERS = 50_000  # a few megabytes, the refusals of a minute of a large fleet's overload
PRUNE_INTERVAL = 1.0  # s between two removals of callers whose time has passed


class RefusedCallers:
    """Arrival times of refused requests, by fingerprint, until their deadline.

    A caller that returns has waited since its first attempt, from which its objective counts.

    Examples
    --------
    >>> callers = RefusedCallers()
    >>> callers.record(7, arrived=1.0, deadline=13.0, now=2.0)
    >>> callers.first_arrival(7, now=5.0), callers.first_arrival(8, now=5.0)
    (1.0, 5.0)

    The first refusal counts, for as long as its caller may still be served:

    >>> callers.record(7, arrived=5.0, deadline=17.0, now=6.0)
    >>> callers.first_arrival(7, now=9.0), callers.first_arrival(7, now=14.0)
    (1.0, 14.0)
    """

    __slots__ = ("_pruned_at", "_times_by_fingerprint")

    def __init__(self) -> None:
        self._pruned_at = 0.0
        self._times_by_fingerprint: dict[int, tuple[float, float]] = {}

    def first_arrival(self, fingerprint: int, now: float) -> float:
        """Return when a request first arrived, ``now`` if it was not refused before."""
        arrived, deadline = self._times_by_fingerprint.get(fingerprint, (now, now))
        return arrived if now < deadline else now

    def record(self, fingerprint: int, arrived: float, deadline: float, now: float) -> None:
        """Note the refusal of a request.

        Parameters
        ----------
        arrived, deadline : float
            Times of its arrival and at which its response must have ended, in seconds.
        """
        if now - self._pruned_at > PRUNE_INTERVAL:
            self._prune(now)
        if now < self._times_by_fingerprint.get(fingerprint, (now, now))[1]:
            return
        if len(self._times_by_fingerprint) < MAX_CALLERS:
            self._times_by_fingerprint[fingerprint] = arrived, deadline

    def _prune(self, now: float) -> None:
        self._pruned_at = now
        self._times_by_fingerprint = {
            fingerprint: times
            for fingerprint, times in self._times_by_fingerprint.items()
            if now < times[1]
        }
