"""Which workspaces take more than their part of a pool."""

from __future__ import annotations

import math

__all__ = ["FairShares"]

WINDOW = 4.0  # s over which work fades, about the length of a burst
OVER = 2.0  # times an equal part above which a workspace goes behind the others
PRUNE_PERIOD = 1.0  # s between two looks for workspaces that ask no more
LEAST_PART = 0.001  # of all work below which a workspace is forgotten
LONGEST_BASE = 100.0  # s after which sums are scaled back, far from the end of floats


class FairShares:
    """Work asked of one pool by workspace, fading with time.

    Examples
    --------
    >>> shares = FairShares()
    >>> for turn in range(10):
    ...     for workspace in ("large", "large", "large", "large", "a", "b", "c"):
    ...         shares.note(workspace, 0.1, now=turn / 10)
    >>> shares.is_over("large"), shares.is_over("a")
    (True, False)
    """

    __slots__ = ("_base", "_pruned", "_total", "_work_by_workspace")

    def __init__(self) -> None:
        self._base = 0.0
        self._pruned = 0.0
        self._total = 0.0
        self._work_by_workspace: dict[str, float] = {}

    def note(self, workspace: str, work: float, now: float) -> None:
        """Count what a workspace asks.

        Parameters
        ----------
        work : float
            Seconds for which it would take the whole pool.
        """
        if now - self._base > LONGEST_BASE:
            self._scale_back(now)
        # Instead of letting all sums fade, what comes later counts for more.
        grown = work * math.exp((now - self._base) / WINDOW)
        self._work_by_workspace[workspace] = self._work_by_workspace.get(workspace, 0.0) + grown
        self._total += grown
        if now - self._pruned > PRUNE_PERIOD:
            self._prune(now)

    def is_over(self, workspace: str) -> bool:
        """Tell whether a workspace has lately asked for much more than an equal part."""
        count = len(self._work_by_workspace)
        if count < 2:
            return False
        return self._work_by_workspace.get(workspace, 0.0) * count > OVER * self._total

    def _prune(self, now: float) -> None:
        self._pruned = now
        least = LEAST_PART * self._total
        kept = {name: work for name, work in self._work_by_workspace.items() if work >= least}
        self._work_by_workspace = kept
        self._total = sum(kept.values())

    def _scale_back(self, now: float) -> None:
        factor = math.exp((self._base - now) / WINDOW)
        for workspace in self._work_by_workspace:
            self._work_by_workspace[workspace] *= factor
        self._total *= factor
        self._base = now
