"""Who waits, who is refused and who gets which target; plain decisions without a network."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from celeryrun.catalog import Target
from celeryrun.scheduling._ledger import Ledger
from celeryrun.scheduling._load import Running, TargetLoad
from celeryrun.scheduling._messages import Ask, Denial, Done, Grant, Hold
from celeryrun.scheduling._quota import Bucket, RetryBudget

__all__ = [
    "CANCELLED",
    "COMPLETE",
    "CRASHED",
    "FAILED",
    "NEW_LEVEL",
    "REJECTED",
    "UNREACHABLE",
    "UNUSED",
    "Bounds",
    "Scheduler",
]

COMPLETE = "complete"
FAILED = "failed"  # the target ran it, or may have, and gave no good answer
CRASHED = "crashed"  # it was running when its target went down
REJECTED = "rejected"  # the target said that it did not run it
UNREACHABLE = "unreachable"  # nothing was sent
UNUSED = "unused"  # the node had no use for the grant any more
CANCELLED = "cancelled"

PLANNED = 48  # asks that one pass looks at, so that a pass takes about a millisecond
URGENT_FACTOR = 2.0  # times its expected run before its deadline, a late ask is urgent again
FAILURE_COST = 2.0  # objectives that a certain failure counts as, when targets are compared
SUSPICION_AGE = 20.0  # s for which a death counts; a caller comes back within its deadline
NEW_LEVEL = 0.5  # of a burst, in a bucket of a scheduler that can't know what was spent
LEAST_RETRY_AFTER = 0.05  # s, some round trips
SPREAD = 0.5  # by which returns are spread at random, of the time told
ADOPTED_LIFE = 60.0  # s, the longest deadline of a request whose own is not known
GRANT_SLACK = 1.0  # s past its deadline after which a grant that nobody freed is dropped


@dataclass(frozen=True, slots=True)
class Bounds:
    """Budget of retries, over all nodes."""

    retry_ratio: float
    retry_slack: float
    retry_window: float


@dataclass(slots=True)
class Waiting:
    """An ask in the queue, with its times as this scheduler's clock counts them."""

    node: str
    ask: Ask
    arrived: float
    objective: float
    deadline: float


@dataclass(slots=True)
class Slot:
    """When a target can take one more request."""

    target: str
    free_at: float


class Scheduler:
    """Queues and loads of all pools.

    Parameters
    ----------
    bounds : Bounds
        Limits over all nodes.
    targets : callable
        Returns the targets of a pool, ready ones only.
    is_engine : callable
        Tells whether a pool's targets are engines.
    share : callable
        Returns the part of the fleet's limits that this scheduler may use, 1 when all nodes
        ask it.
    """

    __slots__ = (
        "_bounds",
        "_ids",
        "_is_engine",
        "_ledger",
        "_load_by_grant",
        "_new_level",
        "_random",
        "_retries_by_pool",
        "_share",
        "_targets",
        "_versions",
        "buckets_by_workspace",
        "loads_by_target",
        "waiting_by_pool",
    )

    def __init__(
        self,
        bounds: Bounds,
        targets: Callable[[str], Iterable[Target]],
        is_engine: Callable[[str], bool],
        share: Callable[[], float] = lambda: 1.0,
        seed: int | None = None,
        new_level: float = NEW_LEVEL,
    ) -> None:
        self._bounds = bounds
        self._targets = targets
        self._is_engine = is_engine
        self._share = share
        self._random = random.Random(seed)
        self._new_level = new_level
        self._ids = itertools.count(self._random.getrandbits(31) << 32 | 1)
        self._ledger = Ledger(SUSPICION_AGE)
        self._load_by_grant: dict[int, TargetLoad] = {}
        self._retries_by_pool: dict[str, RetryBudget] = {}
        self._versions: dict[str, tuple[int, float, float, float]] = {}
        self.buckets_by_workspace: dict[str, Bucket] = {}
        self.loads_by_target: dict[str, TargetLoad] = {}
        self.waiting_by_pool: dict[str, dict[tuple[str, int], Waiting]] = {}

    def ask(self, node: str, ask: Ask, now: float) -> Denial | None:
        """Let an ask wait, or deny it at once.

        Returns
        -------
        Denial or None
            None if it waits; ``plan`` decides on it.
        """
        if self._ledger.judge(ask.fingerprint, now).refused:
            return Denial(ask.id, "suspect", 0.0)
        budget = self._budget(ask.pool)
        if ask.retry:
            if not budget.take(now, self._share()):
                return Denial(ask.id, "retry-budget", 0.0)
        else:
            budget.note_first(now)
        if ask.rate > 0 and ask.charge > 0:
            wait = self._bucket(ask, now).take(ask.charge, now)
            if wait > 0:
                return Denial(ask.id, "quota", self._spread(min(wait, ask.deadline)))
        waiting = Waiting(node, ask, now, now + ask.objective, now + ask.deadline)
        self.waiting_by_pool.setdefault(ask.pool, {})[node, ask.id] = waiting
        return None

    def plan(
        self, pool: str, now: float
    ) -> tuple[list[tuple[str, Grant]], list[tuple[str, Denial]]]:
        """Grant what can start now and deny what can't end in time.

        Each ask in order is given, in thought, the slot on which it would end first; one whose
        slot is free now is granted. What is thought of a slot that frees later is not kept, but
        it leaves a slow target free rather than give it a request that ends sooner elsewhere.

        Returns
        -------
        grants, denials : lists of (str, Grant) and (str, Denial)
            With the node that asked.
        """
        queue = self.waiting_by_pool.get(pool)
        if not queue:
            return [], []
        targets = self._usable(pool, now)
        slots = self._slots(targets, now)
        grants: list[tuple[str, Grant]] = []
        denials: list[tuple[str, Denial]] = []
        for waiting in self._in_order(queue.values(), targets, now)[:PLANNED]:
            found = self._best_slot(waiting, targets, slots, now)
            if found is None:
                if not targets and waiting.deadline <= now:
                    denials.append(self._deny(waiting, "no-target", now))
                continue
            slot, first, end = found
            if slot.free_at + end > waiting.deadline and slot.free_at + first > waiting.deadline:
                denials.append(self._deny(waiting, "overload", slot.free_at))
                continue
            if slot.free_at > now:
                slot.free_at += end
                continue
            grants.append((waiting.node, self._grant(waiting, slot, first, end, now)))
            slots = self._slots(targets, now)
        return grants, denials

    def first(self, grant: int, seconds: float, now: float) -> None:
        """Learn that the first byte of an answer came."""
        load = self._load_by_grant.get(grant)
        if load is not None:
            load.learn_first(load.running_by_grant[grant], seconds)
            load.settle(now)

    def done(self, done: Done, now: float) -> str | None:
        """Free a slot and learn from its use; returns its pool, None if it is not known."""
        load = self._load_by_grant.pop(done.grant, None)
        if load is None:
            return None
        running = load.remove(done.grant, now)
        if running is None:
            return None
        match done.outcome:
            case "complete":
                load.note_result(failed=False)
                load.learn_end(running, done.seconds, done.events)
                self._ledger.clear(running.fingerprint)
            case "failed":
                load.note_result(failed=True)
            case "crashed":
                load.note_unreachable(now)
                self._ledger.report(running.fingerprint, running.target, now)
            case "unreachable":
                load.note_unreachable(now)
            case "rejected":
                load.avoid_until = max(load.avoid_until, now + load.call)
            case _:
                pass
        return running.pool

    def cancel(self, node: str, ask: int) -> None:
        """Forget an ask that waits."""
        for queue in self.waiting_by_pool.values():
            queue.pop((node, ask), None)

    def adopt(self, node: str, hold: Hold, now: float) -> None:
        """Count a slot that another scheduler granted."""
        if hold.grant in self._load_by_grant:
            return
        load = self._load(hold.target, hold.pool)
        _, end = load.predict(hold.prompt, hold.events, now)
        granted = now - hold.age
        running = Running(
            node,
            hold.pool,
            hold.target,
            0,
            hold.events,
            granted,
            granted + end,
            predicted=0.0,
            first=0.0,
            deadline=now + ADOPTED_LIFE,
        )
        load.add(hold.grant, running)
        self._load_by_grant[hold.grant] = load

    def drop_node(self, node: str) -> set[str]:
        """Free what a node that is gone waited for and held; returns the pools it used."""
        pools = set()
        for pool, queue in self.waiting_by_pool.items():
            for key in [key for key in queue if key[0] == node]:
                del queue[key]
                pools.add(pool)
        for load in self.loads_by_target.values():
            for grant, running in list(load.running_by_grant.items()):
                if running.node == node:
                    del load.running_by_grant[grant]
                    self._load_by_grant.pop(grant, None)
                    pools.add(running.pool)
        return pools

    def expire(self, now: float) -> None:
        """Drop grants that nobody freed long after their end."""
        for load in self.loads_by_target.values():
            for grant, running in list(load.running_by_grant.items()):
                if now > running.deadline + GRANT_SLACK:
                    load.remove(grant, now)
                    self._load_by_grant.pop(grant, None)

    def forget_targets(self, known: set[str]) -> None:
        """Forget the loads of targets that are gone and hold nothing."""
        for target, load in list(self.loads_by_target.items()):
            if target not in known and not load.running_by_grant:
                del self.loads_by_target[target]

    def _budget(self, pool: str) -> RetryBudget:
        budget = self._retries_by_pool.get(pool)
        if budget is None:
            bounds = self._bounds
            budget = RetryBudget(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window)
            self._retries_by_pool[pool] = budget
        return budget

    def _bucket(self, ask: Ask, now: float) -> Bucket:
        share = self._share()
        bucket = self.buckets_by_workspace.get(ask.workspace)
        known = self._versions.get(ask.workspace)
        if bucket is None:
            bucket = Bucket(ask.rate * share, ask.burst * share, now, self._new_level)
            self.buckets_by_workspace[ask.workspace] = bucket
        if known is None or ask.version > known[0]:
            known = (ask.version, ask.rate, ask.burst, -1.0)
        if known[3] != share:
            bucket.set_quota(known[1] * share, known[2] * share, now)
        self._versions[ask.workspace] = (known[0], known[1], known[2], share)
        return bucket

    def _load(self, target: str, pool: str, slots: int = 1) -> TargetLoad:
        load = self.loads_by_target.get(target)
        if load is None:
            load = TargetLoad(self._is_engine(pool), slots)
            others = [
                other
                for other in self.loads_by_target.values()
                if other.engine == load.engine and other.running_by_grant
            ]
            if others:
                middle = sorted(others, key=lambda other: other.event_gap)[len(others) // 2]
                load.prefill, load.event_gap = middle.prefill, middle.event_gap
                load.call = middle.call
            self.loads_by_target[target] = load
        return load

    def _usable(self, pool: str, now: float) -> dict[str, TargetLoad]:
        loads = {}
        for target in self._targets(pool):
            load = self._load(target.id, pool, target.slots)
            load.slots = target.slots
            if now >= load.avoid_until and not load.is_silent(now):
                loads[target.id] = load
        return loads

    def _slots(self, targets: dict[str, TargetLoad], now: float) -> dict[str, Slot]:
        """Return the next slot of each target."""
        slots = {}
        for name, load in targets.items():
            taken = len(load.running_by_grant)
            if taken < self._limit(load):
                free_at = now
            else:
                free_at = max(now, min(run.finish for run in load.running_by_grant.values()))
                free_at = max(free_at, now + LEAST_RETRY_AFTER)
            slots[name] = Slot(name, free_at)
        return slots

    def _limit(self, load: TargetLoad) -> int:
        share = self._share()
        return load.slots if share > 0.5 else max(1, round(load.slots * share))

    def _in_order(
        self, queue: Iterable[Waiting], targets: dict[str, TargetLoad], now: float
    ) -> list[Waiting]:
        """Order asks: by tier, the nearest objective first, those that must be late last."""
        loads = list(targets.values())

        def order(waiting: Waiting) -> tuple[bool, int, float]:
            ask = waiting.ask
            times = [load.predict(ask.prompt, ask.events, now) for load in loads]
            first = min((time[0] for time in times), default=0.0)
            end = min((time[1] for time in times), default=0.0)
            late = now + first > waiting.objective
            urgent = now + URGENT_FACTOR * end > waiting.deadline
            return late and not urgent, ask.tier, waiting.objective

        return sorted(queue, key=order)

    def _best_slot(
        self,
        waiting: Waiting,
        targets: dict[str, TargetLoad],
        slots: dict[str, Slot],
        now: float,
    ) -> tuple[Slot, float, float] | None:
        ask = waiting.ask
        best: tuple[float, Slot, float, float] | None = None
        for name, load in targets.items():
            if name in ask.avoid:
                continue
            slot = slots[name]
            first, end = load.predict(ask.prompt, ask.events, slot.free_at)
            cost = slot.free_at - now + end
            cost += max(0.0, slot.free_at + first - waiting.objective)
            cost += load.failure_rate * FAILURE_COST * ask.objective
            if best is None or cost < best[0]:
                best = (cost, slot, first, end)
        return None if best is None else best[1:]

    def _grant(self, waiting: Waiting, slot: Slot, first: float, end: float, now: float) -> Grant:
        ask = waiting.ask
        del self.waiting_by_pool[ask.pool][waiting.node, ask.id]
        grant = next(self._ids)
        load = self.loads_by_target[slot.target]
        running = Running(
            waiting.node,
            ask.pool,
            slot.target,
            ask.prompt,
            ask.events,
            now,
            now + end,
            first,
            fingerprint=ask.fingerprint,
            deadline=waiting.deadline,
        )
        load.add(grant, running)
        self._load_by_grant[grant] = load
        return Grant(ask.id, grant, slot.target, first)

    def _deny(self, waiting: Waiting, kind: str, until: float) -> tuple[str, Denial]:
        ask = waiting.ask
        del self.waiting_by_pool[ask.pool][waiting.node, ask.id]
        bucket = self.buckets_by_workspace.get(ask.workspace)
        if bucket is not None:
            bucket.give_back(ask.charge)
        wait = max(LEAST_RETRY_AFTER, until - waiting.arrived)
        return waiting.node, Denial(ask.id, kind, self._spread(wait))

    def _spread(self, seconds: float) -> float:
        return seconds * (1 + SPREAD * self._random.random())
