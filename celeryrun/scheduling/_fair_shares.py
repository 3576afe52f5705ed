"""Recent use of a pool by each workspace, compared with a fair share."""

from __future__ import annotations

import math

__all__ = ["FairShares"]

DECAY_TIME = 4.0  # s, time constant of the decay; about the length of a burst
MAX_SHARE_RATIO = 2.0  # multiple of an equal share above which a workspace is ordered last
PRUNE_INTERVAL = 1.0  # s between two removals of inactive workspaces
MIN_WORK_FRACTION = 0.001  # of all work; below it a workspace is removed
MAX_BASE_AGE = 100.0  # s after which the sums are rescaled, long before a float overflows


class FairShares:
    """Exponentially decaying sums of the work requested of one pool, by workspace.

    Examples
    --------
    >>> fair_shares = FairShares()
    >>> for turn in range(10):
    ...     for workspace in ("large", "large", "large", "large", "a", "b", "c"):
    ...         fair_shares.record(workspace, 0.1, now=turn / 10)
    >>> fair_shares.is_exceeded("large"), fair_shares.is_exceeded("a")
    (True, False)
    """

    __slots__ = ("_base_time", "_last_prune", "_total", "_work_by_workspace")

    def __init__(self) -> None:
        self._base_time = 0.0
        self._last_prune = 0.0
        self._total = 0.0
        self._work_by_workspace: dict[str, float] = {}

    def record(self, workspace: str, work: float, now: float) -> None:
        """Add the work of one slot request.

        Parameters
        ----------
        work : float
            Seconds for which the request would occupy the whole pool.
        """
        if now - self._base_time > MAX_BASE_AGE:
            self._rescale(now)
        # Instead of decaying all sums, later work gets a larger weight.
        weighted = work * math.exp((now - self._base_time) / DECAY_TIME)
        self._work_by_workspace[workspace] = self._work_by_workspace.get(workspace, 0.0) + weighted
        self._total += weighted
        if now - self._last_prune > PRUNE_INTERVAL:
            self._prune(now)

    def is_exceeded(self, workspace: str) -> bool:
        """Return whether a workspace has recently requested far more than an equal share."""
        count = len(self._work_by_workspace)
        if count < 2:
            return False
        return self._work_by_workspace.get(workspace, 0.0) * count > MAX_SHARE_RATIO * self._total

    def _prune(self, now: float) -> None:
        self._last_prune = now
        min_work = MIN_WORK_FRACTION * self._total
        kept = {name: work for name, work in self._work_by_workspace.items() if work >= min_work}
        self._work_by_workspace = kept
        self._total = sum(kept.values())

    def _rescale(self, now: float) -> None:
        factor = math.exp((self._base_time - now) / DECAY_TIME)
        for workspace in self._work_by_workspace:
            self._work_by_workspace[workspace] *= factor
        self._total *= factor
        self._base_time = now
