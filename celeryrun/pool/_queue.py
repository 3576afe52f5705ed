"""Order in which the slot requests of one pool are granted and shed."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from celeryrun.kernel import check_invariant
from celeryrun.pool._heap import LazyHeap

__all__ = ["LOWEST_TIER", "FairQueue", "QueuedRequest"]

WEIGHT_BY_TIER = {1: 16.0, 2: 4.0, 3: 1.0}
LOWEST_TIER = max(WEIGHT_BY_TIER)


@dataclass(slots=True)
class QueuedRequest:
    """Slot request in a queue.

    Parameters
    ----------
    node : str
        Name of the requesting node.
    slot_request_id : int
        Id of the slot request, unique on its node.
    cost : float
        Estimated work, in tokens or their equivalent.
    prefix : tuple of int
        Hashes of the prompt's leading blocks, longest last.
    expires : float
        Monotonic deadline in seconds.
    fingerprint : int
        Hash that all attempts of a request share.
    """

    node: str
    slot_request_id: int
    tier: int
    workspace: str
    cost: float
    prefix: tuple[int, ...]
    expires: float
    fingerprint: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """Node and slot request id, unique within the pool."""
        return self.node, self.slot_request_id


class _Flow:
    """Queued requests of one workspace in one tier, oldest first."""

    __slots__ = ("backlog", "requests_by_key", "service", "workspace")

    def __init__(self, workspace: str, service: float) -> None:
        self.workspace = workspace
        self.service = service
        self.backlog = 0.0
        self.requests_by_key: dict[tuple[str, int], QueuedRequest] = {}

    def service_key(self) -> float | None:
        return self.service if self.requests_by_key else None

    def backlog_key(self) -> float | None:
        return -self.backlog if self.requests_by_key else None


class _Tier:
    """Flows of one tier, ordered by service received and by backlog."""

    __slots__ = (
        "flow_by_workspace",
        "flows_by_backlog",
        "flows_by_service",
        "number",
        "service_floor",
        "size",
        "virtual_time",
    )

    def __init__(self, number: int) -> None:
        self.number = number
        self.virtual_time = 0.0
        self.service_floor = 0.0
        self.size = 0
        self.flow_by_workspace: dict[str, _Flow] = {}
        self.flows_by_service: LazyHeap[_Flow] = LazyHeap(_Flow.service_key)
        self.flows_by_backlog: LazyHeap[_Flow] = LazyHeap(_Flow.backlog_key)

    def get_flow(self, workspace: str) -> _Flow:
        flow = self.flow_by_workspace.get(workspace)
        if flow is None:
            flow = self.flow_by_workspace[workspace] = _Flow(workspace, self.service_floor)
        return flow

    def add(self, request: QueuedRequest) -> None:
        flow = self.get_flow(request.workspace)
        if not flow.requests_by_key:
            flow.service = max(flow.service, self.service_floor)
        flow.requests_by_key[request.key] = request
        flow.backlog += request.cost
        self.size += 1
        self._update_order(flow)

    def remove(self, request: QueuedRequest) -> None:
        flow = self.flow_by_workspace[request.workspace]
        del flow.requests_by_key[request.key]
        flow.backlog -= request.cost
        self.size -= 1
        if flow.requests_by_key:
            self._update_order(flow)
            return
        flow.backlog = 0.0
        if flow.service <= self.service_floor:
            del self.flow_by_workspace[request.workspace]

    def charge(self, flow: _Flow, cost: float) -> None:
        flow.service += cost
        self.virtual_time += cost / WEIGHT_BY_TIER[self.number]
        self.flows_by_service.update(flow)

    def remove_idle_flows(self) -> None:
        idle = [
            flow.workspace
            for flow in self.flow_by_workspace.values()
            if not flow.requests_by_key and flow.service <= self.service_floor
        ]
        for workspace in idle:
            del self.flow_by_workspace[workspace]

    def _update_order(self, flow: _Flow) -> None:
        self.flows_by_service.update(flow)
        self.flows_by_backlog.update(flow)


class FairQueue:
    """Queue with weighted fair service of tiers, and fair service of workspaces within a tier.

    Service is measured in work. A workspace that returns after a pause starts at the service of
    the least served workspace in the queue, as in the virtual token counter [1]_, so that it
    accumulates no credit. The time of each operation grows with the logarithm of the queue's
    length.

    Examples
    --------
    >>> queue = FairQueue()
    >>> for number, workspace in enumerate(["large", "large", "small"]):
    ...     queue.push(QueuedRequest("node", number, 1, workspace, 10.0, (), 1e9))
    >>> [queue.pop().workspace for _ in range(3)]
    ['large', 'small', 'large']

    References
    ----------
    .. [1] Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024.
    """

    __slots__ = (
        "_by_deadline",
        "_count_by_node",
        "_count_by_workspace",
        "requests_by_key",
        "tier_by_number",
        "virtual_time",
    )

    def __init__(self) -> None:
        self.tier_by_number = {number: _Tier(number) for number in WEIGHT_BY_TIER}
        self.requests_by_key: dict[tuple[str, int], QueuedRequest] = {}
        self.virtual_time = 0.0
        self._count_by_node: Counter[str] = Counter()
        self._count_by_workspace: Counter[str] = Counter()
        self._by_deadline: LazyHeap[QueuedRequest] = LazyHeap(self._deadline_key)

    def __len__(self) -> int:
        return len(self.requests_by_key)

    def push(self, request: QueuedRequest) -> None:
        """Add a slot request; a request with the same key keeps its position."""
        if request.key in self.requests_by_key:
            return
        tier = self.tier_by_number[request.tier]
        if not tier.size:
            tier.virtual_time = max(tier.virtual_time, self.virtual_time)
        tier.add(request)
        self.requests_by_key[request.key] = request
        self._count_by_node[request.node] += 1
        self._count_by_workspace[request.workspace] += 1
        self._by_deadline.update(request)

    def pop(self, lowest_tier: int = LOWEST_TIER) -> QueuedRequest | None:
        """Remove and return the request to be granted next.

        Parameters
        ----------
        lowest_tier : int
            Number of the lowest tier from which a request may be granted.
        """
        found = self._next_flow(lowest_tier)
        if found is None:
            return None
        tier, flow = found
        self.virtual_time = max(self.virtual_time, tier.virtual_time)
        tier.service_floor = max(tier.service_floor, flow.service)
        request = next(iter(flow.requests_by_key.values()))
        tier.charge(flow, request.cost)
        self._remove(request)
        return request

    def peek(self) -> QueuedRequest | None:
        """Return the request to be granted next."""
        found = self._next_flow(LOWEST_TIER)
        return None if found is None else next(iter(found[1].requests_by_key.values()))

    def adjust_charge(self, tier_number: int, workspace: str, difference: float) -> None:
        """Charge a workspace the difference between the work done and the estimate."""
        tier = self.tier_by_number[tier_number]
        flow = tier.flow_by_workspace.get(workspace)
        if flow is not None:
            tier.charge(flow, difference)

    def remove(self, node: str, slot_request_id: int) -> QueuedRequest | None:
        """Remove a request, usually one that its node has cancelled."""
        request = self.requests_by_key.get((node, slot_request_id))
        if request is not None:
            self._remove(request)
        return request

    def shed(self) -> QueuedRequest | None:
        """Remove and return the newest request of the largest backlog in the lowest queued tier."""
        tiers = self._nonempty_tiers()
        if not tiers:
            return None
        tier = max(tiers, key=lambda tier: tier.number)
        flow = tier.flows_by_backlog.peek()
        assert flow is not None
        request = next(reversed(flow.requests_by_key.values()))
        lower = self.count_below(request.tier)
        check_invariant(not lower, "shed-lowest-first", shed=request.tier, waiting=lower)
        self._remove(request)
        return request

    def has_queued(self, lowest_tier: int) -> bool:
        """Return whether requests of a tier or of a higher one are queued."""
        return any(tier.number <= lowest_tier for tier in self._nonempty_tiers())

    def count_below(self, tier_number: int) -> int:
        """Count the queued requests of the tiers below a tier."""
        return sum(tier.size for tier in self._nonempty_tiers() if tier.number > tier_number)

    def pop_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = []
        while (request := self._by_deadline.peek()) is not None and request.expires <= now:
            self._remove(request)
            expired.append(request)
        for tier in self.tier_by_number.values():
            tier.remove_idle_flows()
        return expired

    def count_of_node(self, node: str) -> int:
        """Count the queued requests of one node."""
        return self._count_by_node[node]

    def count_of_workspace(self, workspace: str) -> int:
        """Count the queued requests of one workspace."""
        return self._count_by_workspace[workspace]

    def _next_flow(self, lowest_tier: int) -> tuple[_Tier, _Flow] | None:
        tiers = [tier for tier in self._nonempty_tiers() if tier.number <= lowest_tier]
        if not tiers:
            return None
        tier = min(tiers, key=lambda tier: (tier.virtual_time, tier.number))
        flow = tier.flows_by_service.peek()
        assert flow is not None
        return tier, flow

    def _nonempty_tiers(self) -> list[_Tier]:
        return [tier for tier in self.tier_by_number.values() if tier.size]

    def _deadline_key(self, request: QueuedRequest) -> float | None:
        return request.expires if self.requests_by_key.get(request.key) is request else None

    def _remove(self, request: QueuedRequest) -> None:
        self.tier_by_number[request.tier].remove(request)
        del self.requests_by_key[request.key]
        for count, name in (
            (self._count_by_node, request.node),
            (self._count_by_workspace, request.workspace),
        ):
            count[name] -= 1
            if not count[name]:
                del count[name]
