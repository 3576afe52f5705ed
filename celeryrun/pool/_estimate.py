"""How long a workspace's requests run, learned from those that ended."""

from __future__ import annotations

from collections import OrderedDict

__all__ = ["LengthEstimates"]

GAIN = 0.2  # weight of the newest request
MAX_WORKSPACES = 4096


class LengthEstimates:
    """Steps of a target that a request takes for each unit of its estimated work.

    Callers ask for more tokens than they use, each in its own proportion, so the proportion is
    learned for each workspace.

    Examples
    --------
    >>> estimates = LengthEstimates()
    >>> estimates.steps("cajas", 100.0)
    0.0
    >>> estimates.observe("cajas", 100.0, 40.0)
    >>> estimates.steps("cajas", 200.0)
    80.0
    """

    __slots__ = ("_part_by_workspace",)

    def __init__(self) -> None:
        self._part_by_workspace: OrderedDict[str, float] = OrderedDict()

    def steps(self, workspace: str, cost: float) -> float:
        """Return the steps that a request is expected to take, 0 while nothing is known."""
        return self._part_by_workspace.get(workspace, 0.0) * cost

    def observe(self, workspace: str, cost: float, steps: float) -> None:
        """Learn from a request that ended.

        Parameters
        ----------
        cost : float
            Work that was estimated when it asked.
        steps : float
            Seconds that it ran, divided by its target's seconds for each step.
        """
        if cost <= 0:
            return
        part = steps / cost
        known = self._part_by_workspace.get(workspace, part)
        self._part_by_workspace[workspace] = known + (part - known) * GAIN
        self._part_by_workspace.move_to_end(workspace)
        if len(self._part_by_workspace) > MAX_WORKSPACES:
            self._part_by_workspace.popitem(last=False)
