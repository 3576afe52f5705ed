"""Runs of targets that have stated that they leave."""

from __future__ import annotations

from collections.abc import Iterator, Set

from celeryrun.catalog import TargetRun

__all__ = ["LeavingTargets"]

UNLISTED_RETENTION = 600.0  # s; a target that left so long ago is down, whatever lists it again
MIN_RETENTION = 60.0  # s; a node that has just started is told of runs before it has the list
MAX_UNLISTED = 4096  # runs that are kept though they are not listed


class LeavingTargets:
    """Runs that accept no new requests, whatever the list of targets says of them.

    A run does not take its statement back, so it is kept as long as the run is listed, and for
    some time after. The runs that are listed bound the memory, beside `MAX_UNLISTED` others.

    Examples
    --------
    >>> leaving = LeavingTargets()
    >>> run = TargetRun("engine-0", "10.0.0.7", 8000, born=1_700_000_000_000)
    >>> leaving.add(run, stated_at=9.9, listed={run}, now=10.0)
    True
    >>> leaving.add(run, stated_at=9.9, listed={run}, now=10.1)
    False
    >>> run in leaving, TargetRun("engine-0", "10.0.0.7", 8000, 1_700_000_060_000) in leaving
    (True, False)
    """

    __slots__ = ("_times_by_run",)

    def __init__(self) -> None:
        self._times_by_run: dict[TargetRun, tuple[float, float]] = {}

    def __contains__(self, run: TargetRun) -> bool:
        return run in self._times_by_run

    def __iter__(self) -> Iterator[tuple[TargetRun, float]]:
        """Iterate over the runs and the times of their statements."""
        return iter([(run, stated_at) for run, (stated_at, _) in self._times_by_run.items()])

    def __len__(self) -> int:
        return len(self._times_by_run)

    def add(self, run: TargetRun, stated_at: float, listed: Set[TargetRun], now: float) -> bool:
        """Add a run, and forget others that are no longer listed.

        Parameters
        ----------
        stated_at : float
            Time of the response that says so, in seconds.
        listed : set of TargetRun
            Runs that are in the list of targets.

        Returns
        -------
        bool
            Whether the run was not known to leave.
        """
        if run in self._times_by_run:
            return False
        unlisted = [known for known in self._times_by_run if known not in listed]
        surplus = len(unlisted) + (run not in listed) - MAX_UNLISTED
        for position, known in enumerate(unlisted):
            known_stated_at, learned_at = self._times_by_run[known]
            is_old = now - known_stated_at > UNLISTED_RETENTION and now - learned_at > MIN_RETENTION
            if position < surplus or is_old:
                del self._times_by_run[known]
        self._times_by_run[run] = stated_at, now
        return True
