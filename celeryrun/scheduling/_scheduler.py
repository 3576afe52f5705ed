"""Who waits, who is refused and who gets which target; plain decisions without a network."""

from __future__ import annotations

import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Iterable

from celeryrun.catalog import Pool, Target
from celeryrun.scheduling import _messages as messages
from celeryrun.scheduling._crash_history import CrashHistory
from celeryrun.scheduling._demand import PoolDemand
from celeryrun.scheduling._fair_shares import FairShares
from celeryrun.scheduling._limits import FleetLimits, LimitEnforcer
from celeryrun.scheduling._load import ActiveGrant, TargetLoad
from celeryrun.scheduling._messages import (
    Denial,
    Grant,
    HeldSlot,
    SlotReleased,
    SlotRequest,
)
from celeryrun.scheduling._placement import (
    Placement,
    PlanningRound,
    QueuedRequest,
    find_placement,
    in_order,
    is_hopeless,
)

__all__ = ["Scheduler"]

SUSPICION_AGE = 20.0  # s for which a death counts; a caller comes back within its deadline
LEAST_RETRY_AFTER = 0.05  # s, some round trips
SPREAD = 0.5  # by which returns are spread at random, of the time told
ADOPTED_LIFE = 60.0  # s, the longest deadline of a request whose own is not known
WHOLE_PASS = 400  # targets times asks that a pass on each event may look at, about a millisecond
GRANT_SLACK = 1.0  # s past its deadline after which a grant that nobody freed is dropped


class Scheduler:
    """Queues and loads of all pools.

    Parameters
    ----------
    bounds : Bounds
        Limits over all nodes.
    targets : callable
        Returns the targets of a pool, ready ones only.
    pool : callable
        Returns what is configured of a pool.
    share : callable
        Returns the part of the fleet's limits that this scheduler may use, 1 when all nodes
        ask it.
    """

    __slots__ = (
        "_ids",
        "_pool",
        "_ledger",
        "_limits",
        "_load_by_grant",
        "_pressure_by_pool",
        "_random",
        "_share",
        "_shares_by_pool",
        "_targets",
        "loads_by_target",
        "queues_by_pool",
    )

    def __init__(
        self,
        bounds: FleetLimits,
        targets: Callable[[str], Iterable[Target]],
        pool: Callable[[str], Pool],
        fleet_share: Callable[[], float] = lambda: 1.0,
        seed: int | None = None,
        no_prior_usage: bool = False,
    ) -> None:
        self._limits = LimitEnforcer(bounds, fleet_share, no_prior_usage)
        self._targets = targets
        self._pool = pool
        self._share = fleet_share
        self._random = random.Random(seed)
        self._ids = itertools.count(self._random.getrandbits(31) << 32 | 1)
        self._ledger = CrashHistory(SUSPICION_AGE)
        self._load_by_grant: dict[int, TargetLoad] = {}
        self._pressure_by_pool: defaultdict[str, PoolDemand] = defaultdict(PoolDemand)
        self._shares_by_pool: defaultdict[str, FairShares] = defaultdict(FairShares)
        self.loads_by_target: dict[str, TargetLoad] = {}
        self.queues_by_pool: dict[str, dict[tuple[str, int], QueuedRequest]] = {}

    def set_limits(self, bounds: FleetLimits) -> None:
        """Use other limits from now on."""
        self._limits.set_bounds(bounds)

    def mark_usage_unknown(self, now: float) -> None:
        """Take nothing as known of what was spent before, as another scheduler was asked."""
        self._limits.forget_spent(now)

    def submit(self, node: str, ask: SlotRequest, now: float) -> Denial | None:
        """Let an ask wait, or deny it at once.

        Returns
        -------
        Denial or None
            None if it waits; ``plan`` decides on it.
        """
        if self._ledger.assess(ask.fingerprint, now).refused:
            return Denial(ask.id, "suspect", 0.0)
        if not self._limits.take_send(ask, now):
            return Denial(ask.id, "retry-budget", 0.0)
        wait = self._limits.take_quota(ask, now)
        if wait > 0:
            return Denial(ask.id, "quota", self._spread(min(wait, ask.deadline)))
        waiting = QueuedRequest(
            node, ask, now, now + ask.objective, now + ask.patience, now + ask.deadline
        )
        self.queues_by_pool.setdefault(ask.pool, {})[node, ask.id] = waiting
        self._note_work(ask, now)
        return None

    def plan(
        self, pool: str, now: float, full_scan: bool = True
    ) -> tuple[list[tuple[str, Grant]], list[tuple[str, Denial]]]:
        """Grant what can start now and deny what can't be answered in time.

        Each ask in order is given, in thought, the slot on which it would end first; one whose
        slot is free now is granted. What is thought of a slot that frees later is not kept, but
        it leaves a slow target free rather than give it a request that ends sooner elsewhere,
        and tells early which asks would wait in vain.

        Parameters
        ----------
        whole : bool
            Whether to look at every ask, or only while a slot is free where there are many.

        Returns
        -------
        grants, denials : lists of (str, Grant) and (str, Denial)
            With the node that asked.
        """
        queue = self.queues_by_pool.get(pool)
        if not queue:
            return [], []
        targets = self._usable(pool, now)
        pass_ = PlanningRound.from_loads(targets, self._share(), now, self._pressure_by_pool[pool])
        full_scan = full_scan or len(queue) * len(targets) <= WHOLE_PASS
        if not full_scan and not pass_.idle:
            return [], []
        late = []
        for waiting in in_order(queue.values(), targets, self._shares_by_pool[pool], now):
            if not full_scan and not pass_.idle:
                break
            if not self._settle(waiting, pass_, may_be_late=False):
                late.append(waiting)
        for waiting in late:
            if not full_scan and not pass_.idle:
                break
            self._settle(waiting, pass_, may_be_late=True)
        return pass_.grants, pass_.denials

    def _settle(self, waiting: QueuedRequest, pass_: PlanningRound, may_be_late: bool) -> bool:
        """Decide on one ask in a pass; tell whether it was, or is left for when it may be late."""
        now = pass_.now
        place = find_placement(waiting, pass_)
        if place is None:
            if waiting.patience <= now:
                pass_.denials.append(self._deny(waiting, "no-target", now, now))
            return True
        if place.start + place.first > waiting.objective and not may_be_late:
            return False
        if is_hopeless(waiting, place):
            wait = pass_.pressure.wait_out(waiting.ask.urgency, place.start - now, now)
            pass_.denials.append(self._deny(waiting, "overload", now + wait, now))
            return True
        waiting.seen = True
        pass_.occupy(place.target, place.start + place.end)
        if place.start <= now:
            pass_.grants.append((waiting.node, self._grant(waiting, place, now)))
        return True

    def report_first_byte(self, grant: int, seconds: float, now: float) -> None:
        """Learn that the first byte of an answer came."""
        load = self._load_by_grant.get(grant)
        if load is not None:
            load.learn_first(load.active_grants_by_id[grant], seconds)
            load.settle(now)

    def release(self, done: SlotReleased, now: float) -> str | None:
        """Free a slot and learn from its use; returns its pool, None if it is not known."""
        load = self._load_by_grant.pop(done.grant_id, None)
        if load is None:
            return None
        running = load.remove(done.grant_id, now)
        if running is None:
            return None
        match done.outcome:
            case messages.COMPLETE:
                load.note_result(failed=False)
                load.learn_end(running, done.seconds, done.events)
                self._ledger.clear(running.fingerprint)
            case messages.FAILED:
                load.note_result(failed=True)
            case messages.CRASHED:
                load.note_unreachable(now)
                self._ledger.record_crash(running.fingerprint, running.target, now)
            case messages.UNREACHABLE:
                load.note_unreachable(now)
            case messages.REJECTED:
                load.avoid_until = max(load.avoid_until, now + load.call)
            case _:
                pass
        return running.pool

    def cancel(self, node: str, ask: int) -> None:
        """Forget an ask that waits."""
        for queue in self.queues_by_pool.values():
            queue.pop((node, ask), None)

    def add_held_slot(self, node: str, hold: HeldSlot, now: float) -> None:
        """Count a slot that another scheduler granted."""
        if hold.grant_id in self._load_by_grant:
            return
        load = self._load(hold.target, hold.pool)
        _, end = load.predict(hold.prompt_tokens, hold.expected_events, now)
        granted = now - hold.age
        running = ActiveGrant(
            node,
            hold.pool,
            hold.target,
            0,
            hold.expected_events,
            granted,
            granted + end,
            predicted=0.0,
            first=0.0,
            deadline=now + ADOPTED_LIFE,
        )
        load.add(hold.grant_id, running)
        self._load_by_grant[hold.grant_id] = load

    def drop_node(self, node: str) -> set[str]:
        """Free what a node that is gone waited for and held; returns the pools it used."""
        pools = set()
        for pool, queue in self.queues_by_pool.items():
            for key in [key for key in queue if key[0] == node]:
                del queue[key]
                pools.add(pool)
        for load in self.loads_by_target.values():
            for grant, running in list(load.active_grants_by_id.items()):
                if running.node == node:
                    del load.active_grants_by_id[grant]
                    self._load_by_grant.pop(grant, None)
                    pools.add(running.pool)
        return pools

    def expire_grants(self, now: float) -> None:
        """Drop grants that nobody freed long after their end."""
        for load in self.loads_by_target.values():
            for grant, running in list(load.active_grants_by_id.items()):
                if now > running.deadline + GRANT_SLACK:
                    load.remove(grant, now)
                    self._load_by_grant.pop(grant, None)

    def forget_targets(self, known: set[str]) -> None:
        """Forget the loads of targets that are gone and hold nothing."""
        for target, load in list(self.loads_by_target.items()):
            if target not in known and not load.active_grants_by_id:
                del self.loads_by_target[target]

    def _note_work(self, ask: SlotRequest, now: float) -> None:
        """Count an ask by the time for which the pool, as it is listed, would work on it."""
        slots_a_second = 0.0
        for target in self._targets(ask.pool):
            load = self._load(target.id, ask.pool, target.slots)
            slots_a_second += (
                target.slots / load.estimate(ask.prompt_tokens, ask.expected_events)[1]
            )
        if slots_a_second > 0:
            work = 1 / slots_a_second
            self._pressure_by_pool[ask.pool].note(ask.urgency, work, now)
            self._shares_by_pool[ask.pool].note(ask.workspace, work, now)

    def _load(self, target: str, pool: str, slots: int = 1) -> TargetLoad:
        load = self.loads_by_target.get(target)
        if load is None:
            known = self._pool(pool)
            load = TargetLoad(known.engine, slots, known.tokens_per_event)
            others = [
                other
                for other in self.loads_by_target.values()
                if other.engine == load.engine and other.active_grants_by_id
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

    def _grant(self, waiting: QueuedRequest, place: Placement, now: float) -> Grant:
        ask = waiting.ask
        del self.queues_by_pool[ask.pool][waiting.node, ask.id]
        grant = next(self._ids)
        load = self.loads_by_target[place.target]
        running = ActiveGrant(
            waiting.node,
            ask.pool,
            place.target,
            ask.prompt_tokens,
            ask.expected_events,
            now,
            now + place.end,
            place.first,
            fingerprint=ask.fingerprint,
            deadline=waiting.deadline,
        )
        load.add(grant, running)
        self._load_by_grant[grant] = load
        return Grant(ask.id, grant, place.target, place.first)

    def _deny(
        self, waiting: QueuedRequest, kind: str, until: float, now: float
    ) -> tuple[str, Denial]:
        ask = waiting.ask
        del self.queues_by_pool[ask.pool][waiting.node, ask.id]
        self._limits.give_back(ask)
        wait = max(LEAST_RETRY_AFTER, until - now)
        return waiting.node, Denial(ask.id, kind, self._spread(wait))

    def _spread(self, seconds: float) -> float:
        return seconds * (1 + SPREAD * self._random.random())
