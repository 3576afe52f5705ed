"""Keeper of a pool: sees the demand of all nodes and grants the targets' slots."""

from __future__ import annotations

import threading
import time

import logbook

from celeryrun.kernel import Kernel
from celeryrun.pool._queue import Waiting
from celeryrun.pool._state import PoolState
from celeryrun.settings import Settings
from celeryrun.wire import Ask, Done, Grant, KeeperBeat, PoolBeat, Shed, Withdraw

__all__ = ["Keepers"]

TICK_PERIOD = 0.25  # s
GRACE = 1.0  # s in which a new keeper only listens
RETRY_AFTER = 1.0  # s

log = logbook.Logger("keeper")


class Keepers:
    """Service that keeps the pools which fall to this node.

    Two nodes may believe that they keep one pool; that can only cost goodput, since the node that
    holds the caller's connection is the only one that dispatches.
    """

    __slots__ = ("_kernel", "_lease", "_lock", "_max_waiting", "_stopped", "state_by_pool")

    def __init__(self, kernel: Kernel, lease: float, max_waiting: int) -> None:
        self._kernel = kernel
        self._lease = lease
        self._max_waiting = max_waiting
        self._lock = threading.RLock()
        self._stopped = threading.Event()
        self.state_by_pool: dict[str, PoolState] = {}

    @classmethod
    def from_config(cls, kernel: Kernel, settings: Settings) -> Keepers:
        """Build the service from settings."""
        return cls(kernel, settings.peers.lease, settings.limits.max_waiting)

    def start(self) -> None:
        """Begin to take asks."""
        peers = self._kernel.find("peers")
        peers.handle(Ask, self._on_ask)
        peers.handle(Withdraw, self._on_withdraw)
        peers.handle(Done, self._on_done)
        peers.handle(PoolBeat, self._on_beat)
        threading.Thread(target=self._run, name="keepers", daemon=True).start()

    def stop(self) -> None:
        """End."""
        self._stopped.set()

    def in_flight(self, pool: str, target: str) -> int:
        """Count the slots of a target in use, as far as this node keeps the pool."""
        with self._lock:
            state = self.state_by_pool.get(pool)
            return state.in_flight(target) if state is not None else 0

    def slots(self, pool: str, target: str) -> float:
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
        members = self._kernel.find("members")
        for name in self._kernel.find("configuration").current.pools_by_name:
            if members.is_duty(f"pool/{name}"):
                self._state(name)
            else:
                self.state_by_pool.pop(name, None)
        for state in self.state_by_pool.values():
            self._expire(state)
            self._pump(state)

    def _state(self, pool: str) -> PoolState:
        state = self.state_by_pool.get(pool)
        if state is None:
            state = self.state_by_pool[pool] = PoolState(pool, self._lease)
            log.info("keeps pool {}", pool)
        return state

    def _expire(self, state: PoolState) -> None:
        for granted in state.lapse():
            log.warning("lease of {} on {} lapsed", granted.node, granted.target)
        for waiting in state.queue.expired(time.monotonic()):
            self._refuse(state, waiting, "deadline")

    def _on_ask(self, sender: str, ask: Ask) -> None:
        with self._lock:
            state = self._state(ask.pool)
            if (sender, ask.ask) in state.queue.by_ask:
                return
            if self._over_plan(state, ask):
                self._send(sender, Shed(ask.pool, ask.ask, "plan-limit", RETRY_AFTER))
                return
            expires = time.monotonic() + ask.remaining
            state.queue.push(
                Waiting(sender, ask.ask, ask.tier, ask.workspace, ask.cost, ask.prefix, expires)
            )
            self._pump(state)
            while len(state.queue) > self._max_waiting:
                waiting = state.queue.shed()
                if waiting is not None:
                    self._refuse(state, waiting, "overload")

    def _over_plan(self, state: PoolState, ask: Ask) -> bool:
        plan = self._kernel.find("configuration").current.plans_by_workspace.get(ask.workspace)
        return plan is not None and state.outstanding(ask.workspace) >= plan.max_outstanding

    def _on_withdraw(self, sender: str, withdraw: Withdraw) -> None:
        with self._lock:
            state = self.state_by_pool.get(withdraw.pool)
            if state is not None:
                state.queue.remove(sender, withdraw.ask)

    def _on_done(self, sender: str, done: Done) -> None:
        with self._lock:
            state = self.state_by_pool.get(done.pool)
            if state is not None:
                state.finish(done)
                self._pump(state)

    def _on_beat(self, sender: str, beat: PoolBeat) -> None:
        with self._lock:
            state = self._state(beat.pool)
            state.renew(sender, beat.holds)
            known = state.queue.of_node(sender)
            self._send(sender, KeeperBeat(beat.pool, state.epoch, known))

    def _pump(self, state: PoolState) -> None:
        pool = self._kernel.find("configuration").current.pools_by_name.get(state.name)
        if pool is None or time.monotonic() < state.started + GRACE:
            return
        targets = self._kernel.find("targets").of_pool(state.name)
        while True:
            granted = state.next_grant(pool.kind, targets)
            for hopeless in state.take_hopeless():
                self._refuse(state, hopeless, "deadline")
            if granted is None:
                return
            grant, waiting, target = granted
            self._send(waiting.node, Grant(state.name, waiting.ask, grant, target.name))

    def _refuse(self, state: PoolState, waiting: Waiting, kind: str) -> None:
        self._send(waiting.node, Shed(state.name, waiting.ask, kind, RETRY_AFTER))

    def _send(self, node: str, message: Grant | Shed | KeeperBeat) -> None:
        self._kernel.find("peers").send(node, message)
