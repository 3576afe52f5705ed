"""Estimates of the length of a workspace's requests from those that completed."""

from __future__ import annotations

from collections import OrderedDict

__all__ = ["LengthEstimates"]

SMOOTHING_FACTOR = 0.2  # weight of the newest request
MAX_WORKSPACES = 4096


class LengthEstimates:
    """Ratio of a request's length in a target's steps to its estimated work, by workspace.

    Callers request more tokens than they use. The ratio differs between workspaces, so each has
    a moving average of its own.

    Examples
    --------
    >>> estimates = LengthEstimates()
    >>> estimates.steps("cajas", 100.0)
    0.0
    >>> estimates.observe("cajas", 100.0, 40.0)
    >>> estimates.steps("cajas", 200.0)
    80.0
    """

    __slots__ = ("_ratio_by_workspace",)

    def __init__(self) -> None:
        self._ratio_by_workspace: OrderedDict[str, float] = OrderedDict()

    def steps(self, workspace: str, cost: float) -> float:
        """Return the expected steps of a request, 0 before the workspace's first observation."""
        return self._ratio_by_workspace.get(workspace, 0.0) * cost

    def observe(self, workspace: str, cost: float, steps: float) -> None:
        """Update a workspace's ratio from a completed request.

        Parameters
        ----------
        cost : float
            Work estimated when the slot was requested, in tokens or their equivalent.
        steps : float
            Seconds from dispatch to the end, divided by the target's seconds for each step.
        """
        if cost <= 0:
            return
        ratio = steps / cost
        average = self._ratio_by_workspace.get(workspace, ratio)
        self._ratio_by_workspace[workspace] = average + (ratio - average) * SMOOTHING_FACTOR
        self._ratio_by_workspace.move_to_end(workspace)
        if len(self._ratio_by_workspace) > MAX_WORKSPACES:
            self._ratio_by_workspace.popitem(last=False)
