"""Order of service and order of shedding within one pool."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from celeryrun.kernel import check

__all__ = ["FairQueue", "Waiting"]

WEIGHT_BY_TIER = {1: 16.0, 2: 4.0, 3: 1.0}


@dataclass(slots=True)
class Waiting:
    """One ask that waits.

    Parameters
    ----------
    node : str
        The node that asks.
    cost : float
        Estimated work, in tokens or their equal.
    expires : float
        Monotonic deadline in seconds.
    """

    node: str
    ask: int
    tier: int
    workspace: str
    cost: float
    prefix: tuple[int, ...]
    expires: float


class _Lane:
    """The asks of one workspace in one tier."""

    __slots__ = ("served", "waiting")

    def __init__(self, served: float) -> None:
        self.served = served
        self.waiting: deque[Waiting] = deque()


class _Tier:
    """The lanes of one tier."""

    __slots__ = ("floor", "lane_by_workspace", "number", "size", "virtual")

    def __init__(self, number: int) -> None:
        self.number = number
        self.virtual = 0.0
        self.floor = 0.0
        self.size = 0
        self.lane_by_workspace: dict[str, _Lane] = {}

    def busy_lanes(self) -> list[_Lane]:
        return [lane for lane in self.lane_by_workspace.values() if lane.waiting]


class FairQueue:
    """Weighted service between tiers, fair service by work between workspaces of a tier.

    A workspace that returns after a pause starts level with the least served one that waits, as
    in the virtual token counter [1]_; so it can't save up service.

    Examples
    --------
    >>> queue = FairQueue()
    >>> for ask, workspace in enumerate(["large", "large", "small"]):
    ...     queue.push(Waiting("node", ask, 1, workspace, 10.0, (), 1e9))
    >>> [queue.pop().workspace for _ in range(3)]
    ['large', 'small', 'large']

    References
    ----------
    .. [1] Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024.
    """

    __slots__ = ("by_ask", "tier_by_number", "virtual")

    def __init__(self) -> None:
        self.tier_by_number = {number: _Tier(number) for number in WEIGHT_BY_TIER}
        self.by_ask: dict[tuple[str, int], Waiting] = {}
        self.virtual = 0.0

    def __len__(self) -> int:
        return len(self.by_ask)

    def push(self, waiting: Waiting) -> None:
        """Let an ask wait; one that waits already is left where it is."""
        key = (waiting.node, waiting.ask)
        if key in self.by_ask:
            return
        tier = self.tier_by_number[waiting.tier]
        if not tier.size:
            tier.virtual = max(tier.virtual, self.virtual)
        lane = tier.lane_by_workspace.get(waiting.workspace)
        if lane is None:
            lane = tier.lane_by_workspace[waiting.workspace] = _Lane(tier.floor)
        if not lane.waiting:
            lane.served = max(lane.served, tier.floor)
        lane.waiting.append(waiting)
        tier.size += 1
        self.by_ask[key] = waiting

    def pop(self) -> Waiting | None:
        """Take the ask to be served next."""
        tiers = [tier for tier in self.tier_by_number.values() if tier.size]
        if not tiers:
            return None
        tier = min(tiers, key=lambda tier: (tier.virtual, tier.number))
        self.virtual = tier.virtual
        lane = min(tier.busy_lanes(), key=lambda lane: lane.served)
        tier.floor = lane.served
        waiting = lane.waiting.popleft()
        self._charge(tier, lane, waiting.cost)
        self._forget(tier, waiting)
        return waiting

    def correct(self, tier_number: int, workspace: str, difference: float) -> None:
        """Charge the difference between the work done and the estimate."""
        tier = self.tier_by_number[tier_number]
        lane = tier.lane_by_workspace.get(workspace)
        if lane is not None:
            self._charge(tier, lane, difference)

    def remove(self, node: str, ask: int) -> Waiting | None:
        """Take out an ask that is no longer wanted."""
        waiting = self.by_ask.get((node, ask))
        if waiting is None:
            return None
        tier = self.tier_by_number[waiting.tier]
        tier.lane_by_workspace[waiting.workspace].waiting.remove(waiting)
        self._forget(tier, waiting)
        return waiting

    def shed(self) -> Waiting | None:
        """Take out the ask to be refused: lowest tier first, there the fullest workspace's last."""
        tiers = [tier for tier in self.tier_by_number.values() if tier.size]
        if not tiers:
            return None
        tier = max(tiers, key=lambda tier: tier.number)
        lane = max(tier.busy_lanes(), key=lambda lane: sum(item.cost for item in lane.waiting))
        waiting = lane.waiting.pop()
        lower = [item.tier for item in self.by_ask.values() if item.tier > waiting.tier]
        check(not lower, "shed-lowest-first", shed=waiting.tier, waiting=len(lower))
        self._forget(tier, waiting)
        return waiting

    def expired(self, now: float) -> list[Waiting]:
        """Take out the asks whose deadline has passed."""
        gone = [waiting for waiting in self.by_ask.values() if waiting.expires <= now]
        for waiting in gone:
            self.remove(waiting.node, waiting.ask)
        return gone

    def of_node(self, node: str) -> int:
        """Count the asks of one node."""
        return sum(1 for waiting in self.by_ask.values() if waiting.node == node)

    def of_workspace(self, workspace: str) -> int:
        """Count the asks of one workspace."""
        return sum(1 for waiting in self.by_ask.values() if waiting.workspace == workspace)

    def _charge(self, tier: _Tier, lane: _Lane, cost: float) -> None:
        lane.served += cost
        tier.virtual += cost / WEIGHT_BY_TIER[tier.number]

    def _forget(self, tier: _Tier, waiting: Waiting) -> None:
        tier.size -= 1
        del self.by_ask[waiting.node, waiting.ask]
        lane = tier.lane_by_workspace[waiting.workspace]
        if not lane.waiting and lane.served <= tier.floor:
            del tier.lane_by_workspace[waiting.workspace]
