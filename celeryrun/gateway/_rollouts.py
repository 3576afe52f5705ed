"""Roll-outs: the operators' orders, and their status in the store."""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from prometheus_client import Gauge

from celeryrun.gateway._discovery import Discovery
from celeryrun.gateway._events import EventLog
from celeryrun.gateway._members import Members
from celeryrun.gateway._topic_follower import MAX_REASON_CHARS
from celeryrun.kernel import Kernel, now
from celeryrun.platform import (
    NODES_TOPIC,
    ROLLOUT_PREFIX,
    KeyedPage,
    KeyedRecord,
    RolloutStatus,
    Store,
    StoreUnavailableError,
    UnreadableRecordError,
    decode_rollout_order,
    decode_rollout_status,
)
from celeryrun.rollouts import (
    COMPLETED,
    RUNNING,
    ExposureLimits,
    Rollout,
    RolloutGate,
    RolloutOrder,
    VersionIsBad,
)
from celeryrun.settings import GatewaySettings

__all__ = ["Rollouts"]

TICK = 0.1  # s between two looks at each roll-out
MAX_GAP = 1.0  # s between two looks after which another node may have decided
RETRY_DELAY = 0.3  # s after a failed write
MAX_SEEN = 1024  # latest orders known to be old in a restored copy


@dataclass(slots=True)
class _Accepted:
    """Order in force, and what was last logged of it."""

    order: RolloutOrder
    digest: str
    began: float  # Unix seconds
    is_new: bool
    former_status: RolloutStatus | None = None  # stored before it, perhaps of an equal order
    stage: int = 0
    sick: int = 0
    state: str = RUNNING


class Rollouts:
    """Service that follows orders, advances them, and writes their status.

    Attributes
    ----------
    gate : RolloutGate
        Restricts which targets the scheduler uses.
    is_decider : callable
        Returns whether most nodes use this node's scheduler, which alone decides and writes.
    """

    __slots__ = (
        "_accepted_by_pool",
        "_discovery",
        "_events",
        "_has_orders",
        "_members",
        "_metrics_by_name",
        "_seen",
        "_settings",
        "_status_by_pool",
        "_store",
        "_tasks",
        "_ticked_at",
        "_undecided_at",
        "gate",
        "is_decider",
    )

    def __init__(self, kernel: Kernel, settings: GatewaySettings) -> None:
        self._store: Store = kernel.find("store")
        self._events: EventLog = kernel.find("events")
        self._discovery: Discovery = kernel.find("discovery")
        self._members: Members = kernel.find("members")
        self._settings = settings
        self._metrics_by_name: dict[str, Gauge] = kernel.find("metrics").rollouts
        self._accepted_by_pool: dict[str, _Accepted] = {}
        self._status_by_pool: dict[str, RolloutStatus] = {}
        self._seen: dict[tuple[str, str], None] = {}
        self._has_orders = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._ticked_at = float("-inf")
        self._undecided_at = float("inf")
        self.gate = RolloutGate()
        self.gate.is_decider = self._may_decide
        self.is_decider: Callable[[], bool] = lambda: False
        self._discovery.operator_watchers.append(self._apply_orders)
        self._members.page_watchers.append(self._apply_statuses)

    def start(self) -> None:
        """Start advancing orders and writing their status."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._run()), loop.create_task(self._write())]

    def stop(self) -> None:
        """Stop; another node goes on."""
        for task in self._tasks:
            task.cancel()

    def apply(self, settings: GatewaySettings) -> None:
        """Use changed bounds from the next order on."""
        self._settings = settings

    async def _run(self) -> None:
        while True:
            await self._has_orders.wait()
            await asyncio.sleep(TICK)
            self._check_decider()
            for pool, accepted in list(self._accepted_by_pool.items()):
                try:
                    self._advance(pool, accepted)
                except Exception as error:
                    reason = repr(error)[:MAX_REASON_CHARS]
                    self._events.emit("rollout-failed", pool=pool, why=reason)

    def _check_decider(self) -> None:
        """Note whether another node may have decided, and read its verdict before the next own."""
        time_now = now()
        if not self.is_decider() or time_now - self._ticked_at > MAX_GAP:
            self._undecided_at = time_now
        self._ticked_at = time_now
        if self.is_decider() and not self._may_decide():
            self._members.follower.hurry()

    def _may_decide(self) -> bool:
        """Return whether this node decides, and has read all verdicts of nodes before it."""
        return self.is_decider() and self._members.follower.confirmed_at > self._undecided_at

    def _advance(self, pool: str, accepted: _Accepted) -> None:
        rollout, targets = self.gate.rollout_by_pool[pool], self._discovery.ready_targets(pool)
        if self._members.is_loaded():
            self.gate.note_old(pool, targets)
        if not self._may_decide():
            rollout.rest(now())
        else:
            self.gate.advance(pool, targets, now())
        self._log_progress(rollout, accepted)

    def _log_progress(self, rollout: Rollout, accepted: _Accepted) -> None:
        """Log each step with its evidence, and export the evidence."""
        order, evidence = rollout.order, rollout.evidence
        facts: dict[str, Any] = {
            "pool": order.pool,
            "version": order.version,
            "age": round(now() - rollout.began, 3),
            "requests": rollout.requests,
            "exposed": round(rollout.exposed),
            "results": evidence.results,
            "bad": evidence.bad,
        }
        for name, gauge in self._metrics_by_name.items():
            gauge.labels(order.pool, order.version).set(facts[name])
        if rollout.stage != accepted.stage:
            accepted.stage = rollout.stage
            self._events.emit("rollout-stage", stage=rollout.stage.name.lower(), **facts)
        for sick in rollout.found_sick[accepted.sick :]:
            self._events.emit("rollout-target-sick", target=sick.target, why=sick.reason, **facts)
        accepted.sick = len(rollout.found_sick)
        if rollout.state != accepted.state:
            accepted.state = rollout.state
            match rollout.verdict:
                case VersionIsBad(reason, bad, trials, chance):
                    why = f"{reason}: {bad} of {trials} bad, {chance:.3f} on old versions"
                case str(why):
                    why = why or "decided by another scheduler"
            self._events.emit("rollout-decided", state=rollout.state, why=why, **facts)

    def _wanted_status(self, pool: str) -> RolloutStatus:
        accepted = self._accepted_by_pool[pool]
        rollout = self.gate.rollout_by_pool[pool]
        return RolloutStatus(
            rollout.state,  # type: ignore[arg-type]
            accepted.order.version,
            accepted.digest,
            accepted.began,
            tuple(sorted(self.gate.rejected_by_pool.get(pool, ()))),
        )

    async def _write(self) -> None:
        while True:
            await self._has_orders.wait()
            await asyncio.sleep(TICK)
            if not self._may_decide():
                continue
            for pool in list(self._accepted_by_pool):
                if pool not in self._accepted_by_pool:
                    continue
                status, stored = self._wanted_status(pool), self._status_by_pool.get(pool)
                if status == stored or self._is_verdict(pool, stored):
                    continue
                try:
                    await self._put(pool, status)
                except StoreUnavailableError as error:
                    self._events.emit("rollout-not-stored", pool=pool, why=str(error))
                    await asyncio.sleep(RETRY_DELAY)

    def _is_verdict(self, pool: str, stored: RolloutStatus | None) -> bool:
        """Return whether a stored status is the verdict on the order in force, which stays."""
        accepted = self._accepted_by_pool[pool]
        return (
            stored is not None
            and stored != accepted.former_status
            and stored.order == accepted.digest
            and stored.state != RUNNING
        )

    async def _put(self, pool: str, status: RolloutStatus) -> None:
        body = msgspec.json.encode(status)
        await self._store.put(NODES_TOPIC, ROLLOUT_PREFIX + pool, body)
        accepted = self._accepted_by_pool.get(pool)
        if accepted is None or accepted.digest != status.order:
            # Another order came meanwhile.
            return
        self._status_by_pool[pool] = status
        self._events.emit("rollout-stored", pool=pool, version=status.to, state=status.state)
        if status.state == COMPLETED:
            self.gate.decide(pool, status.to, COMPLETED)

    def _apply_orders(self, page: KeyedPage) -> None:
        if self._settings.bounds.rollback_lag <= 0:
            return
        records = [record for record in page.records if record.key.startswith(ROLLOUT_PREFIX)]
        if page.is_snapshot and not page.restored:
            listed = {record.key for record in records if record.value is not None}
            for pool in list(self._accepted_by_pool):
                if ROLLOUT_PREFIX + pool not in listed:
                    self._withdraw(pool)
        for record in records:
            pool = record.key.removeprefix(ROLLOUT_PREFIX)
            if record.value is None:
                self._withdraw(pool)
                continue
            try:
                order = decode_rollout_order(record.key, record.value)
            except UnreadableRecordError as error:
                reason = str(error)[:MAX_REASON_CHARS]
                self._events.emit("rollout-unreadable", key=record.key, why=reason)
                continue
            digest = hashlib.blake2b(record.value, digest_size=8).hexdigest()
            self._accept(order, digest, page)

    def _accept(self, order: RolloutOrder, digest: str, page: KeyedPage) -> None:
        """Begin an order unless it is in force, or an earlier one of a restored copy."""
        pool = order.pool
        accepted = self._accepted_by_pool.get(pool)
        if accepted is not None and accepted.digest == digest:
            is_again = not page.is_snapshot and self.gate.rollout_by_pool[pool].state != RUNNING
            if not is_again:
                return
        if page.restored and (pool, digest) in self._seen:
            self._events.emit("rollout-outdated", pool=pool, version=order.version)
            return
        self._seen[pool, digest] = None
        if len(self._seen) > MAX_SEEN:
            del self._seen[next(iter(self._seen))]
        bounds = self._settings.bounds
        limits = ExposureLimits(bounds.expose_share, bounds.expose_slack)
        is_new = not page.is_snapshot
        if is_new:
            rollout = Rollout.from_order(order, limits, now())
        else:
            rollout = Rollout.taken_over(order, limits, 0.0, now())
        self.gate.begin(rollout)
        former_status = self._status_by_pool.get(pool) if is_new else None
        accepted = _Accepted(order, digest, round(time.time(), 3), is_new, former_status)
        self._accepted_by_pool[pool] = accepted
        self._has_orders.set()
        self._events.emit(
            "rollout-ordered", pool=pool, version=order.version, duration=order.duration
        )
        self._reconcile(pool)

    def _withdraw(self, pool: str) -> None:
        accepted = self._accepted_by_pool.get(pool)
        if accepted is None:
            return
        rollout = self.gate.rollout_by_pool[pool]
        was_running = rollout.state == RUNNING
        self.gate.withdraw(pool)
        if pool not in self.gate.rollout_by_pool:
            del self._accepted_by_pool[pool]
            if not self._accepted_by_pool:
                self._has_orders.clear()
        if was_running:
            self._events.emit("rollout-withdrawn", pool=pool, version=accepted.order.version)

    def _apply_statuses(self, page: KeyedPage) -> None:
        if page.is_snapshot:
            # What a restored copy has lost is written again.
            self._status_by_pool.clear()
        for record in page.records:
            if record.key.startswith(ROLLOUT_PREFIX):
                self._apply_status(record)

    def _apply_status(self, record: KeyedRecord) -> None:
        pool = record.key.removeprefix(ROLLOUT_PREFIX)
        self._status_by_pool.pop(pool, None)
        if record.value is None:
            return
        try:
            status = decode_rollout_status(record.key, record.value)
        except UnreadableRecordError as error:
            reason = str(error)[:MAX_REASON_CHARS]
            self._events.emit("rollout-unreadable", key=record.key, why=reason)
            return
        self._status_by_pool[pool] = status
        self._reconcile(pool)

    def _reconcile(self, pool: str) -> None:
        """Apply what the stored status says of the order in force, and of rejected versions."""
        status = self._status_by_pool.get(pool)
        accepted = self._accepted_by_pool.get(pool)
        if status is None:
            return
        current = accepted.order.version if accepted is not None else None
        for version in status.rejected:
            if version != current:
                self.gate.decide(pool, version, "rolled_back")
        if accepted is None or status == accepted.former_status:
            return
        if status.order != accepted.digest or status.to != current:
            return
        rollout = self.gate.rollout_by_pool[pool]
        if status.state != RUNNING:
            self.gate.decide(pool, status.to, status.state)
        elif not accepted.is_new and accepted.began > status.began:
            age = min(max(0.0, time.time() - status.began), rollout.order.duration)
            rollout.began = min(rollout.began, now() - age)
            accepted.began = status.began
