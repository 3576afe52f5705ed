"""Keeper of a pool: sees the demand of all nodes and grants the targets' slots."""

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

TICK_PERIOD = 0.25  # s
GRACE = 0.6  # s in which a keeper that nobody handed the pool to only listens
SETTLE = 4.0  # s until a new keeper counts on having every node's asks
NODE_SILENCE = 2.0  # s until the asks of a node that sends no heartbeat are dropped
PAUSED = 1.0  # s without a turn after which this node was paused itself
LOWEST_TIER = max(WEIGHT_BY_TIER)
RETRY_AFTER = 1.0  # s

log = logbook.Logger("keeper")


class Keepers:
    """Service that keeps the pools which fall to this node.

    Two nodes may believe that they keep one pool; that can only cost goodput, since the node that
    holds the caller's connection is the only one that dispatches. A keeper sheds only the lowest
    tier, in whose order nothing can be wrong, unless it has kept the pool for a while, hears every
    listed node and was not paused.
    """

    __slots__ = (
        "_kernel",
        "_lease",
        "_lock",
        "_max_waiting",
        "_paused",
        "_stopped",
        "_turn",
        "state_by_pool",
    )

    def __init__(self, kernel: Kernel, lease: float, max_waiting: int) -> None:
        self._kernel = kernel
        self._lease = lease
        self._max_waiting = max_waiting
        self._lock = threading.RLock()
        self._stopped = threading.Event()
        self._turn = time.monotonic()
        self._paused = 0.0
        self.state_by_pool: dict[str, PoolState] = {}

    @classmethod
    def from_config(cls, kernel: Kernel, settings: Settings) -> Keepers:
        """Build the service from settings."""
        return cls(kernel, settings.peers.lease, settings.limits.max_waiting)

    def start(self) -> None:
        """Begin to take asks."""
        peers = self._kernel.find("peers")
        peers.set_handler(SlotRequest, self._on_slot_request)
        peers.set_handler(Cancel, self._on_withdraw)
        peers.set_handler(SlotReleased, self._on_slot_released)
        peers.set_handler(NodeHeartbeat, self._on_node_heartbeat)
        peers.set_handler(PoolHandover, self._on_hand_over)
        peers.set_handler(ForwardedMessage, self._on_relayed)
        self._kernel.find("members").watchers.append(self._follow_duties)
        self._turn = time.monotonic()
        threading.Thread(target=self._run, name="keepers", daemon=True).start()

    def stop(self) -> None:
        """End."""
        self._stopped.set()

    def in_flight(self, pool: str, target: str) -> int:
        """Count the slots of a target in use, as far as this node keeps the pool."""
        with self._lock:
            state = self.state_by_pool.get(pool)
            return state.in_flight(target) if state is not None else 0

    def slot_limit(self, pool: str, target: str) -> float:
        """Return a target's limit, 0 if this node does not keep the pool."""
        with self._lock:
            state = self.state_by_pool.get(pool)
            limit = state.limit_by_target.get(target) if state is not None else None
            return limit.slots if limit is not None else 0.0

    def waiting_by_tier(self, pool: str) -> dict[int, int]:
        """Count the asks that wait in each tier."""
        with self._lock:
            state = self.state_by_pool.get(pool)
            if state is None:
                return {}
            return {number: tier.size for number, tier in state.queue.tier_by_number.items()}

    def _run(self) -> None:
        while not self._stopped.wait(TICK_PERIOD):
            with self._lock:
                self._tick()

    def _tick(self) -> None:
        self._note_turn()
        self._follow_duties()
        for state in self.state_by_pool.values():
            self._expire(state)
            self._pump(state)
            self._shed_surplus(state)

    def _note_turn(self) -> None:
        """Notice that this node was paused: others may keep its pools by now."""
        now = time.monotonic()
        if now - self._turn > PAUSED:
            self._paused = now
        self._turn = now

    def _follow_duties(self) -> None:
        members = self._kernel.find("members")
        with self._lock:
            for name in self._kernel.find("configuration").current.pools_by_name:
                if members.is_duty(f"pool/{name}"):
                    self._ensure_state(name)
                elif name in self.state_by_pool:
                    self._hand_over(name, members.duty(f"pool/{name}"))

    def _hand_over(self, pool: str, keeper: str | None) -> None:
        state = self.state_by_pool.pop(pool)
        stale = time.monotonic() - self._paused < SETTLE
        if keeper is None or stale:
            return
        self._kernel.find("peers").send(keeper, PoolHandover(pool, state.node_states()))
        log.info("hands pool {} over to {}", pool, keeper)

    def _on_hand_over(self, sender: str, message: PoolHandover) -> None:
        with self._lock:
            state = self._ensure_state(message.pool)
            for share in message.node_states:
                state.renew(share.node, share.held_slots)
                for ask in share.slot_requests:
                    self._hear_ask(share.node, ask)
                    state.push(share.node, ask)
            state.no_grants_until = 0.0
            self._pump(state)

    def _relays(
        self, sender: str, message: SlotRequest | Cancel | SlotReleased | NodeHeartbeat
    ) -> bool:
        """Pass a message on to the pool's keeper, if that is another node."""
        keeper = self._kernel.find("members").duty(f"pool/{message.pool}")
        if keeper is None or keeper == self._kernel.find("members").me.name:
            return False
        self._kernel.find("peers").send(keeper, ForwardedMessage(sender, message))
        return True

    def _on_relayed(self, sender: str, relayed: ForwardedMessage) -> None:
        match relayed.message:
            case SlotRequest() as ask:
                self._take_ask(relayed.sender, ask)
            case Cancel() as withdraw:
                self._take_withdraw(relayed.sender, withdraw)
            case SlotReleased() as done:
                self._take_done(done)
            case NodeHeartbeat() as beat:
                self._take_beat(relayed.sender, beat)

    def _ensure_state(self, pool: str) -> PoolState:
        state = self.state_by_pool.get(pool)
        if state is None:
            state = self.state_by_pool[pool] = PoolState(pool, self._lease, GRACE)
            state.is_suspect = partial(self._kernel.find("suspicion").is_suspect, pool)
            log.info("keeps pool {}", pool)
        return state

    def _expire(self, state: PoolState) -> None:
        for granted in state.lapse():
            log.warning("lease of {} on {} lapsed", granted.node, granted.target)
        for node in state.drop_silent(NODE_SILENCE):
            log.warning("node {} is silent; its asks in {} are dropped", node, state.name)
            state.started = time.monotonic()
        for waiting in state.queue.pop_expired(time.monotonic()):
            self._refuse(state, waiting, "deadline")

    def _on_slot_request(self, sender: str, ask: SlotRequest) -> None:
        if not self._relays(sender, ask):
            self._take_ask(sender, ask)

    def _take_ask(self, node: str, ask: SlotRequest) -> None:
        with self._lock:
            state = self._ensure_state(ask.pool)
            if (node, ask.slot_request_id) in state.queue.requests_by_key:
                return
            if self._over_plan(state, ask):
                self._send(node, Denial(ask.pool, ask.slot_request_id, "plan-limit", RETRY_AFTER))
                return
            self._hear_ask(node, ask)
            state.push(node, ask)
            self._pump(state)
            self._shed_surplus(state)

    def _hear_ask(self, node: str, ask: SlotRequest) -> None:
        if ask.fingerprint:
            self._kernel.find("suspicion").on_slot_request(node, ask.pool, ask.fingerprint)

    def _shed_surplus(self, state: PoolState) -> None:
        while len(state.queue) > self._max_waiting and self._may_shed(state):
            waiting = state.queue.shed()
            if waiting is None:
                return
            self._refuse(state, waiting, "overload")

    def _may_shed(self, state: PoolState) -> bool:
        """Tell whether no lower tier can be waiting elsewhere than in this queue."""
        if state.queue.tier_by_number[LOWEST_TIER].size:
            return True
        self._note_turn()
        settled = time.monotonic() - max(state.started, self._paused) > SETTLE
        return settled and bool(self._kernel.find("members").is_whole())

    def _over_plan(self, state: PoolState, ask: SlotRequest) -> bool:
        plan = self._kernel.find("configuration").current.plans_by_workspace.get(ask.workspace)
        return plan is not None and state.outstanding(ask.workspace) >= plan.max_outstanding

    def _on_withdraw(self, sender: str, withdraw: Cancel) -> None:
        if not self._relays(sender, withdraw):
            self._take_withdraw(sender, withdraw)

    def _take_withdraw(self, node: str, withdraw: Cancel) -> None:
        with self._lock:
            state = self.state_by_pool.get(withdraw.pool)
            if state is not None:
                state.queue.remove(node, withdraw.slot_request_id)

    def _on_slot_released(self, sender: str, done: SlotReleased) -> None:
        if not self._relays(sender, done):
            self._take_done(done)

    def _take_done(self, done: SlotReleased) -> None:
        with self._lock:
            state = self.state_by_pool.get(done.pool)
            if state is not None:
                state.finish(done)
                self._pump(state)

    def _on_node_heartbeat(self, sender: str, beat: NodeHeartbeat) -> None:
        if not self._relays(sender, beat):
            self._take_beat(sender, beat)

    def _take_beat(self, node: str, beat: NodeHeartbeat) -> None:
        with self._lock:
            state = self._ensure_state(beat.pool)
            state.renew(node, beat.held_slots)
            known = state.queue.count_of_node(node)
            self._send(node, KeeperHeartbeat(beat.pool, state.epoch, known))

    def _pump(self, state: PoolState) -> None:
        pool = self._kernel.find("configuration").current.pools_by_name.get(state.name)
        if pool is None or time.monotonic() < state.no_grants_until:
            return
        targets = self._kernel.find("targets").of_pool(state.name)
        while True:
            granted = state.grant_next(pool.kind, targets)
            for hopeless in state.take_hopeless():
                self._refuse(state, hopeless, "deadline")
            if granted is None:
                return
            grant, waiting, target = granted
            self._send(
                waiting.node,
                Grant(state.name, waiting.slot_request_id, grant, target.name, target.address),
            )

    def _refuse(self, state: PoolState, waiting: QueuedRequest, kind: str) -> None:
        self._send(waiting.node, Denial(state.name, waiting.slot_request_id, kind, RETRY_AFTER))

    def _send(self, node: str, message: Grant | Denial | KeeperHeartbeat) -> None:
        self._kernel.find("peers").send(node, message)
