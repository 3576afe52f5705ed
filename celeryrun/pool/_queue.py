"""Order of service and order of shedding within one pool."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from celeryrun.kernel import check
from celeryrun.pool._heap import LazyHeap

__all__ = ["LOWEST_TIER", "FairQueue", "Waiting"]

WEIGHT_BY_TIER = {1: 16.0, 2: 4.0, 3: 1.0}
LOWEST_TIER = max(WEIGHT_BY_TIER)


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
    fingerprint : int
        Hash by which the request is known when it is sent again.
    """

    node: str
    ask: int
    tier: int
    workspace: str
    cost: float
    prefix: tuple[int, ...]
    expires: float
    fingerprint: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """What names the ask within the pool."""
        return self.node, self.ask


class _Lane:
    """The asks of one workspace in one tier, oldest first."""

    __slots__ = ("backlog", "served", "waiting_by_key", "workspace")

    def __init__(self, workspace: str, served: float) -> None:
        self.workspace = workspace
        self.served = served
        self.backlog = 0.0
        self.waiting_by_key: dict[tuple[str, int], Waiting] = {}

    def served_if_busy(self) -> float | None:
        return self.served if self.waiting_by_key else None

    def fullness_if_busy(self) -> float | None:
        return -self.backlog if self.waiting_by_key else None


class _Tier:
    """The lanes of one tier, found by least service and by most backlog."""

    __slots__ = ("floor", "fullest", "lane_by_workspace", "least", "number", "size", "virtual")

    def __init__(self, number: int) -> None:
        self.number = number
        self.virtual = 0.0
        self.floor = 0.0
        self.size = 0
        self.lane_by_workspace: dict[str, _Lane] = {}
        self.least: LazyHeap[_Lane] = LazyHeap(_Lane.served_if_busy)
        self.fullest: LazyHeap[_Lane] = LazyHeap(_Lane.fullness_if_busy)

    def lane(self, workspace: str) -> _Lane:
        lane = self.lane_by_workspace.get(workspace)
        if lane is None:
            lane = self.lane_by_workspace[workspace] = _Lane(workspace, self.floor)
        return lane

    def add(self, waiting: Waiting) -> None:
        lane = self.lane(waiting.workspace)
        if not lane.waiting_by_key:
            lane.served = max(lane.served, self.floor)
        lane.waiting_by_key[waiting.key] = waiting
        lane.backlog += waiting.cost
        self.size += 1
        self._note(lane)

    def drop(self, waiting: Waiting) -> None:
        lane = self.lane_by_workspace[waiting.workspace]
        del lane.waiting_by_key[waiting.key]
        lane.backlog -= waiting.cost
        self.size -= 1
        if lane.waiting_by_key:
            self._note(lane)
            return
        lane.backlog = 0.0
        if lane.served <= self.floor:
            del self.lane_by_workspace[waiting.workspace]

    def charge(self, lane: _Lane, cost: float) -> None:
        lane.served += cost
        self.virtual += cost / WEIGHT_BY_TIER[self.number]
        self.least.update(lane)

    def forget_idle(self) -> None:
        idle = [
            lane.workspace
            for lane in self.lane_by_workspace.values()
            if not lane.waiting_by_key and lane.served <= self.floor
        ]
        for workspace in idle:
            del self.lane_by_workspace[workspace]

    def _note(self, lane: _Lane) -> None:
        self.least.update(lane)
        self.fullest.update(lane)


class FairQueue:
    """Weighted service between tiers, fair service by work between workspaces of a tier.

    A workspace that returns after a pause starts level with the least served one that waits, as
    in the virtual token counter [1]_; so it can't save up service. Each operation takes time that
    grows with the logarithm of what waits.

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

    __slots__ = (
        "_count_by_node",
        "_count_by_workspace",
        "_soonest",
        "by_ask",
        "tier_by_number",
        "virtual",
    )

    def __init__(self) -> None:
        self.tier_by_number = {number: _Tier(number) for number in WEIGHT_BY_TIER}
        self.by_ask: dict[tuple[str, int], Waiting] = {}
        self.virtual = 0.0
        self._count_by_node: Counter[str] = Counter()
        self._count_by_workspace: Counter[str] = Counter()
        self._soonest: LazyHeap[Waiting] = LazyHeap(self._expiry_if_waiting)

    def __len__(self) -> int:
        return len(self.by_ask)

    def push(self, waiting: Waiting) -> None:
        """Let an ask wait; one that waits already is left where it is."""
        if waiting.key in self.by_ask:
            return
        tier = self.tier_by_number[waiting.tier]
        if not tier.size:
            tier.virtual = max(tier.virtual, self.virtual)
        tier.add(waiting)
        self.by_ask[waiting.key] = waiting
        self._count_by_node[waiting.node] += 1
        self._count_by_workspace[waiting.workspace] += 1
        self._soonest.update(waiting)

    def pop(self, lowest: int = LOWEST_TIER) -> Waiting | None:
        """Take the ask to be served next.

        Parameters
        ----------
        lowest : int
            Number of the lowest tier that may be served.
        """
        found = self._next(lowest)
        if found is None:
            return None
        tier, lane = found
        self.virtual = max(self.virtual, tier.virtual)
        tier.floor = max(tier.floor, lane.served)
        waiting = next(iter(lane.waiting_by_key.values()))
        tier.charge(lane, waiting.cost)
        self._forget(waiting)
        return waiting

    def peek(self) -> Waiting | None:
        """Return the ask to be served next."""
        found = self._next(LOWEST_TIER)
        return None if found is None else next(iter(found[1].waiting_by_key.values()))

    def correct(self, tier_number: int, workspace: str, difference: float) -> None:
        """Charge the difference between the work done and the estimate."""
        tier = self.tier_by_number[tier_number]
        lane = tier.lane_by_workspace.get(workspace)
        if lane is not None:
            tier.charge(lane, difference)

    def remove(self, node: str, ask: int) -> Waiting | None:
        """Take out an ask that is no longer wanted."""
        waiting = self.by_ask.get((node, ask))
        if waiting is not None:
            self._forget(waiting)
        return waiting

    def shed(self) -> Waiting | None:
        """Take out the ask to be refused: lowest tier first, there the fullest workspace's last."""
        tiers = self._busy_tiers()
        if not tiers:
            return None
        tier = max(tiers, key=lambda tier: tier.number)
        lane = tier.fullest.peek()
        assert lane is not None
        waiting = next(reversed(lane.waiting_by_key.values()))
        lower = self.waiting_below(waiting.tier)
        check(not lower, "shed-lowest-first", shed=waiting.tier, waiting=lower)
        self._forget(waiting)
        return waiting

    def has_waiting(self, lowest: int) -> bool:
        """Tell whether anything waits of a tier or of a higher one."""
        return any(tier.number <= lowest for tier in self._busy_tiers())

    def waiting_below(self, tier_number: int) -> int:
        """Count the asks of lower tiers than one."""
        return sum(tier.size for tier in self._busy_tiers() if tier.number > tier_number)

    def expired(self, now: float) -> list[Waiting]:
        """Take out the asks whose deadline has passed."""
        gone = []
        while (waiting := self._soonest.peek()) is not None and waiting.expires <= now:
            self._forget(waiting)
            gone.append(waiting)
        for tier in self.tier_by_number.values():
            tier.forget_idle()
        return gone

    def of_node(self, node: str) -> int:
        """Count the asks of one node."""
        return self._count_by_node[node]

    def of_workspace(self, workspace: str) -> int:
        """Count the asks of one workspace."""
        return self._count_by_workspace[workspace]

    def _next(self, lowest: int) -> tuple[_Tier, _Lane] | None:
        tiers = [tier for tier in self._busy_tiers() if tier.number <= lowest]
        if not tiers:
            return None
        tier = min(tiers, key=lambda tier: (tier.virtual, tier.number))
        lane = tier.least.peek()
        assert lane is not None
        return tier, lane

    def _busy_tiers(self) -> list[_Tier]:
        return [tier for tier in self.tier_by_number.values() if tier.size]

    def _expiry_if_waiting(self, waiting: Waiting) -> float | None:
        return waiting.expires if self.by_ask.get(waiting.key) is waiting else None

    def _forget(self, waiting: Waiting) -> None:
        self.tier_by_number[waiting.tier].drop(waiting)
        del self.by_ask[waiting.key]
        for count, name in (
            (self._count_by_node, waiting.node),
            (self._count_by_workspace, waiting.workspace),
        ):
            count[name] -= 1
            if not count[name]:
                del count[name]
