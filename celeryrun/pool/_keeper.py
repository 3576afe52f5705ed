"""Keeper of a pool: queues the slot requests of all nodes and grants the targets' slots."""

from __future__ import annotations

import threading
import time
from functools import partial

import logbook

from celeryrun.kernel import Kernel
from celeryrun.pool._queue import WEIGHT_BY_TIER, QueuedRequest
from celeryrun.pool._state import PoolState
from celeryrun.settings import Settings
from celeryrun.wire import (
    Cancel,
    Denial,
    ForwardedMessage,
    Grant,
    KeeperHeartbeat,
    NodeHeartbeat,
    PoolHandover,
    SlotReleased,
    SlotRequest,
)

__all__ = ["Keepers"]

TICK_INTERVAL = 0.25  # s
GRACE_TIME = 0.6  # s without grants, in which a keeper without a handover awaits heartbeats
SETTLING_TIME = 4.0  # s until a new keeper counts as having the requests of every node
NODE_TIMEOUT = 2.0  # s without a message until the requests of a node are removed
PAUSE_THRESHOLD = 1.0  # s between two ticks, above which this node counts as having been paused
LOWEST_TIER = max(WEIGHT_BY_TIER)
RETRY_AFTER = 1.0  # s

log = logbook.Logger("keeper")


class Keepers:
    """Service that is the keeper of the pools that this node owns.

    Two nodes may act as keepers of one pool. That only lowers goodput, since a request is
    dispatched only by the node that has its caller's connection. A keeper whose queue has no
    requests of the lowest tier sheds higher ones only when it has kept the pool for
    ``SETTLING_TIME``, every listed node is reachable and this node was not paused; before that,
    lower tiers may be queued at another keeper.
    """

    __slots__ = (
        "_kernel",
        "_last_pause",
        "_last_tick",
        "_lease",
        "_lock",
        "_max_waiting",
        "_stopped",
        "state_by_pool",
    )

    def __init__(self, kernel: Kernel, lease: float, max_waiting: int) -> None:
        self._kernel = kernel
        self._lease = lease
        self._max_waiting = max_waiting
        self._lock = threading.RLock()
        self._stopped = threading.Event()
        self._last_tick = time.monotonic()
        self._last_pause = 0.0
        self.state_by_pool: dict[str, PoolState] = {}

    @classmethod
    def from_config(cls, kernel: Kernel, settings: Settings) -> Keepers:
        """Build the service from settings."""
        return cls(kernel, settings.peers.lease, settings.limits.max_waiting)

    def start(self) -> None:
        """Register the message handlers and start the ticks."""
        peers = self._kernel.find("peers")
        peers.set_handler(SlotRequest, self._on_slot_request)
        peers.set_handler(Cancel, self._on_cancel)
        peers.set_handler(SlotReleased, self._on_slot_released)
        peers.set_handler(NodeHeartbeat, self._on_node_heartbeat)
        peers.set_handler(PoolHandover, self._on_handover)
        peers.set_handler(ForwardedMessage, self._on_forwarded)
        self._kernel.find("members").watchers.append(self._update_ownership)
        self._last_tick = time.monotonic()
        threading.Thread(target=self._run, name="keepers", daemon=True).start()

    def stop(self) -> None:
        """Stop the ticks."""
        self._stopped.set()

    def in_flight(self, pool: str, target: str) -> int:
        """Count the slots of a target in use, 0 if this node is not the pool's keeper."""
        with self._lock:
            state = self.state_by_pool.get(pool)
            return state.in_flight(target) if state is not None else 0

    def slot_limit(self, pool: str, target: str) -> float:
        """Return a target's limit of slots, 0 if this node is not the pool's keeper."""
        with self._lock:
            state = self.state_by_pool.get(pool)
            limit = state.limit_by_target.get(target) if state is not None else None
            return limit.slots if limit is not None else 0.0

    def waiting_by_tier(self, pool: str) -> dict[int, int]:
        """Count the queued requests of each tier."""
        with self._lock:
            state = self.state_by_pool.get(pool)
            if state is None:
                return {}
            return {number: tier.size for number, tier in state.queue.tier_by_number.items()}

    def _run(self) -> None:
        while not self._stopped.wait(TICK_INTERVAL):
            with self._lock:
                self._tick()

    def _tick(self) -> None:
        self._detect_pause()
        self._update_ownership()
        for state in self.state_by_pool.values():
            self._expire(state)
            self._grant_slots(state)
            self._shed_surplus(state)

    def _detect_pause(self) -> None:
        """Record a pause of this node, after which other nodes may be the keepers of its pools."""
        now = time.monotonic()
        if now - self._last_tick > PAUSE_THRESHOLD:
            self._last_pause = now
        self._last_tick = now

    def _update_ownership(self) -> None:
        members = self._kernel.find("members")
        with self._lock:
            for name in self._kernel.find("configuration").current.pools_by_name:
                if members.is_owner(f"pool/{name}"):
                    self._ensure_state(name)
                elif name in self.state_by_pool:
                    self._hand_over(name, members.owner(f"pool/{name}"))

    def _hand_over(self, pool: str, keeper: str | None) -> None:
        state = self.state_by_pool.pop(pool)
        stale = time.monotonic() - self._last_pause < SETTLING_TIME
        if keeper is None or stale:
            return
        self._kernel.find("peers").send(keeper, PoolHandover(pool, state.node_states()))
        log.info("handed pool {} over to node {}", pool, keeper)

    def _on_handover(self, sender: str, message: PoolHandover) -> None:
        with self._lock:
            state = self._ensure_state(message.pool)
            for node_state in message.node_states:
                state.renew_leases(node_state.node, node_state.held_slots)
                for slot_request in node_state.slot_requests:
                    self._notify_suspicion(node_state.node, slot_request)
                    state.push(node_state.node, slot_request)
            state.no_grants_until = 0.0
            self._grant_slots(state)

    def _forward_to_keeper(
        self, sender: str, message: SlotRequest | Cancel | SlotReleased | NodeHeartbeat
    ) -> bool:
        """Forward a message to the pool's keeper; return False if that is this node or unknown."""
        keeper = self._kernel.find("members").owner(f"pool/{message.pool}")
        if keeper is None or keeper == self._kernel.find("members").local_member.name:
            return False
        self._kernel.find("peers").send(keeper, ForwardedMessage(sender, message))
        return True

    def _on_forwarded(self, sender: str, forwarded: ForwardedMessage) -> None:
        match forwarded.message:
            case SlotRequest() as slot_request:
                self._apply_slot_request(forwarded.sender, slot_request)
            case Cancel() as cancel:
                self._apply_cancel(forwarded.sender, cancel)
            case SlotReleased() as released:
                self._apply_slot_released(released)
            case NodeHeartbeat() as heartbeat:
                self._apply_node_heartbeat(forwarded.sender, heartbeat)

    def _ensure_state(self, pool: str) -> PoolState:
        state = self.state_by_pool.get(pool)
        if state is None:
            state = self.state_by_pool[pool] = PoolState(pool, self._lease, GRACE_TIME)
            state.is_suspect = partial(self._kernel.find("suspicion").is_suspect, pool)
            log.info("this node is now the keeper of pool {}", pool)
        return state

    def _expire(self, state: PoolState) -> None:
        for grant in state.expire_leases():
            log.warning("lease of node {} on target {} expired", grant.node, grant.target)
        for node in state.drop_silent_nodes(NODE_TIMEOUT):
            log.warning(
                "node {} is silent; its queued requests in pool {} are removed", node, state.name
            )
            state.settling_since = time.monotonic()
        for request in state.queue.pop_expired(time.monotonic()):
            self._deny(state, request, "deadline")

    def _on_slot_request(self, sender: str, slot_request: SlotRequest) -> None:
        if not self._forward_to_keeper(sender, slot_request):
            self._apply_slot_request(sender, slot_request)

    def _apply_slot_request(self, node: str, slot_request: SlotRequest) -> None:
        with self._lock:
            state = self._ensure_state(slot_request.pool)
            if (node, slot_request.slot_request_id) in state.queue.requests_by_key:
                return
            if self._exceeds_plan(state, slot_request):
                self._send(
                    node,
                    Denial(
                        slot_request.pool, slot_request.slot_request_id, "plan-limit", RETRY_AFTER
                    ),
                )
                return
            self._notify_suspicion(node, slot_request)
            state.push(node, slot_request)
            self._grant_slots(state)
            self._shed_surplus(state)

    def _notify_suspicion(self, node: str, slot_request: SlotRequest) -> None:
        if slot_request.fingerprint:
            self._kernel.find("suspicion").on_slot_request(
                node, slot_request.pool, slot_request.fingerprint
            )

    def _shed_surplus(self, state: PoolState) -> None:
        while len(state.queue) > self._max_waiting and self._may_shed(state):
            request = state.queue.shed()
            if request is None:
                return
            self._deny(state, request, "overload")

    def _may_shed(self, state: PoolState) -> bool:
        """Return whether no request of a lower tier can be queued at another keeper."""
        if state.queue.tier_by_number[LOWEST_TIER].size:
            return True
        self._detect_pause()
        settled = time.monotonic() - max(state.settling_since, self._last_pause) > SETTLING_TIME
        return settled and bool(self._kernel.find("members").all_listed_reachable())

    def _exceeds_plan(self, state: PoolState, slot_request: SlotRequest) -> bool:
        plan = self._kernel.find("configuration").current.plans_by_workspace.get(
            slot_request.workspace
        )
        return (
            plan is not None and state.outstanding(slot_request.workspace) >= plan.max_outstanding
        )

    def _on_cancel(self, sender: str, cancel: Cancel) -> None:
        if not self._forward_to_keeper(sender, cancel):
            self._apply_cancel(sender, cancel)

    def _apply_cancel(self, node: str, cancel: Cancel) -> None:
        with self._lock:
            state = self.state_by_pool.get(cancel.pool)
            if state is not None:
                state.queue.remove(node, cancel.slot_request_id)

    def _on_slot_released(self, sender: str, released: SlotReleased) -> None:
        if not self._forward_to_keeper(sender, released):
            self._apply_slot_released(released)

    def _apply_slot_released(self, released: SlotReleased) -> None:
        with self._lock:
            state = self.state_by_pool.get(released.pool)
            if state is not None:
                state.release(released)
                self._grant_slots(state)

    def _on_node_heartbeat(self, sender: str, heartbeat: NodeHeartbeat) -> None:
        if not self._forward_to_keeper(sender, heartbeat):
            self._apply_node_heartbeat(sender, heartbeat)

    def _apply_node_heartbeat(self, node: str, heartbeat: NodeHeartbeat) -> None:
        with self._lock:
            state = self._ensure_state(heartbeat.pool)
            state.renew_leases(node, heartbeat.held_slots)
            queued = state.queue.count_of_node(node)
            self._send(node, KeeperHeartbeat(heartbeat.pool, state.epoch, queued))

    def _grant_slots(self, state: PoolState) -> None:
        pool = self._kernel.find("configuration").current.pools_by_name.get(state.name)
        if pool is None or time.monotonic() < state.no_grants_until:
            return
        targets = self._kernel.find("targets").of_pool(state.name)
        while True:
            granted = state.grant_next(pool.kind, targets)
            for hopeless in state.pop_hopeless():
                self._deny(state, hopeless, "deadline")
            if granted is None:
                return
            grant_id, request, target = granted
            self._send(
                request.node,
                Grant(state.name, request.slot_request_id, grant_id, target.name, target.address),
            )

    def _deny(self, state: PoolState, request: QueuedRequest, kind: str) -> None:
        self._send(request.node, Denial(state.name, request.slot_request_id, kind, RETRY_AFTER))

    def _send(self, node: str, message: Grant | Denial | KeeperHeartbeat) -> None:
        self._kernel.find("peers").send(node, message)
