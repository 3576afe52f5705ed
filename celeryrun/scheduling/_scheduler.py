"""Scheduler that queues, grants and denies slot requests, without network access."""

from __future__ import annotations

import itertools
import math
import random
from collections import defaultdict
from collections.abc import Callable, Iterable

from celeryrun.catalog import Pool, Target
from celeryrun.continuity import Bound, Resolution, Unknown
from celeryrun.hedging import HedgeGate
from celeryrun.rollouts import RolloutGate
from celeryrun.scheduling import _messages as messages
from celeryrun.scheduling._crash_history import CrashHistory
from celeryrun.scheduling._demand import PoolDemand
from celeryrun.scheduling._fair_shares import FairShares
from celeryrun.scheduling._lengths import LengthErrors
from celeryrun.scheduling._limits import FleetLimits, LimitEnforcer
from celeryrun.scheduling._load import BREAK_REPORT_DELAY, ActiveGrant, TargetLoad
from celeryrun.scheduling._messages import (
    Denial,
    Grant,
    HeldSlot,
    SlotReleased,
    SlotRequest,
)
from celeryrun.scheduling._part_history import PROBE_INTERVAL, ProbeGate
from celeryrun.scheduling._pauses import TargetPause, TargetPauses
from celeryrun.scheduling._placement import (
    Placement,
    PlanningRound,
    QueuedRequest,
    find_placement,
    is_hopeless,
    sort_by_urgency,
)
from celeryrun.scheduling._rate_limits import TargetRateLimits
from celeryrun.scheduling._returning import RefusedCallers
from celeryrun.scheduling._returns import add_jitter, choose_return

__all__ = ["Scheduler"]

CRASH_RETENTION = 20.0  # s for which a crash counts; a caller retries within its deadline
MIN_RETRY_AFTER = 0.05  # s, some round trips
HELD_SLOT_LIFETIME = 60.0  # s, the longest deadline; a held slot is reported without its own
FULL_SCAN_LIMIT = 400  # targets times queued requests scanned on each event, about a millisecond
MAX_ORIGIN_WAIT = 1.0  # s for which a stream's origin may still be on its way to a new scheduler
ENTRY_DELAY = 0.2  # s after its start within which a target writes its entry
MIN_RUN_AGE = 0.5  # s since a grant after which its connection is made
# Outcomes that tell something of a version; the others are the caller's or the target's wish.
FAILED_BY_OUTCOME = {
    messages.COMPLETE: False,
    messages.FAILED: True,
    messages.BROKEN: True,
    messages.CRASHED: True,
    messages.UNREACHABLE: True,
}
GRANT_EXPIRY_DELAY = 1.0  # s past its deadline after which an unreleased grant expires


class Scheduler:
    """Queues and target loads of all pools.

    Parameters
    ----------
    limits : FleetLimits
        Limits over all nodes.
    targets : callable
        Returns the ready targets of a pool.
    pool : callable
        Returns the configuration of a pool.
    fleet_share : callable
        Returns the fraction of the fleet's limits that this scheduler may use; 1 when all nodes
        use this scheduler.
    seed : int, optional
        Seed of the random numbers in grant ids and retry delays.
    no_prior_usage : bool
        Whether no usage precedes this scheduler, as at the system's first start.
    crash_history : CrashHistory, optional
        Crashes by request, shared with other nodes; by default, those of this scheduler's grants.
    resolve_origin : callable, optional
        Returns the version at which a resumed stream may go on; by default, none is known. Called
        with the slot request, the times of its arrival and of the call, and whether a stream of
        unknown origin will be denied.
    list_confirmed_at : callable, optional
        Returns the start of the last read that showed the targets of a pool to be the newest list.
    confirm_list : callable, optional
        Called when the list must be read again before a resumed stream can be placed.
    gate : RolloutGate, optional
        Restricts the targets of pools that move to another version; by default, none do.

    Attributes
    ----------
    hedge_gate : HedgeGate
        Decides on hedges; its budget is empty at first.
    """

    __slots__ = (
        "_confirm_list",
        "_crash_history",
        "_demand_by_pool",
        "_fair_shares_by_pool",
        "_fleet_share",
        "_gate",
        "_grant_ids",
        "_lengths_by_kind",
        "_limits",
        "_list_confirmed_at",
        "_load_by_grant_id",
        "_pool",
        "_probes",
        "_random",
        "_refused_callers",
        "_resolve_origin",
        "_resolve_by_key_by_pool",
        "_targets",
        "hedge_gate",
        "loads_by_target",
        "pauses",
        "queues_by_pool",
        "rate_limits",
    )

    def __init__(
        self,
        limits: FleetLimits,
        targets: Callable[[str], Iterable[Target]],
        pool: Callable[[str], Pool],
        fleet_share: Callable[[], float] = lambda: 1.0,
        seed: int | None = None,
        no_prior_usage: bool = False,
        crash_history: CrashHistory | None = None,
        resolve_origin: Callable[[SlotRequest, float, float, bool], Resolution] = (
            lambda slot_request, arrived, now, is_last: Unknown("no origins are recorded")
        ),
        list_confirmed_at: Callable[[str], float] = lambda pool: math.inf,
        confirm_list: Callable[[], None] = lambda: None,
        gate: RolloutGate | None = None,
    ) -> None:
        self._limits = LimitEnforcer(limits, fleet_share, no_prior_usage)
        self._targets = targets
        self._pool = pool
        self._fleet_share = fleet_share
        self._random = random.Random(seed)
        self._grant_ids = itertools.count(self._random.getrandbits(31) << 32 | 1)
        self._crash_history = (
            CrashHistory(CRASH_RETENTION) if crash_history is None else crash_history
        )
        self._probes = ProbeGate()
        self._resolve_origin = resolve_origin
        self._resolve_by_key_by_pool: dict[str, dict[tuple[str, int], float]] = {}
        self._list_confirmed_at = list_confirmed_at
        self._confirm_list = confirm_list
        self._gate = RolloutGate() if gate is None else gate
        self.rate_limits = TargetRateLimits(fleet_share)
        self.pauses = TargetPauses()
        self.hedge_gate = HedgeGate()
        self._load_by_grant_id: dict[int, TargetLoad] = {}
        self._demand_by_pool: defaultdict[str, PoolDemand] = defaultdict(PoolDemand)
        self._fair_shares_by_pool: defaultdict[str, FairShares] = defaultdict(FairShares)
        self._lengths_by_kind: defaultdict[tuple[str, int], LengthErrors] = defaultdict(
            LengthErrors
        )
        self._refused_callers = RefusedCallers()
        self.loads_by_target: dict[str, TargetLoad] = {}
        self.queues_by_pool: dict[str, dict[tuple[str, int], QueuedRequest]] = {}

    def set_limits(self, limits: FleetLimits) -> None:
        """Replace the limits over all nodes."""
        self._limits.set_limits(limits)

    def mark_usage_unknown(self, now: float) -> None:
        """Restrict the quotas because other schedulers may have admitted requests until now."""
        self._limits.mark_usage_unknown(now)
        self.rate_limits.mark_usage_unknown(now)

    def submit(self, node: str, slot_request: SlotRequest, now: float) -> Denial | None:
        """Queue a slot request, or deny it at once.

        Returns
        -------
        Denial or None
            None if the slot request is queued; ``plan`` decides on it.
        """
        if self._crash_history.assess(slot_request.fingerprint, now).refused:
            return Denial(slot_request.id, "suspect", 0.0)
        if slot_request.hedge and self.queues_by_pool.get(slot_request.pool):
            return Denial(slot_request.id, "overload", 0.0)
        if slot_request.probed_parts and not self._probes.admit(slot_request.probed_parts, now):
            return Denial(slot_request.id, "suspect", PROBE_INTERVAL)
        if not self._limits.admit_attempt(slot_request, now):
            return Denial(slot_request.id, "retry-budget", 0.0)
        wait = self._limits.charge_quota(slot_request, now)
        if wait > 0:
            self._refund_retry(slot_request.pool, now if slot_request.retry else None)
            wait = min(wait, slot_request.deadline)
            retry_after = add_jitter(wait, slot_request.deadline, self._random)
            return Denial(slot_request.id, "quota", retry_after)
        first_arrival = self._refused_callers.first_arrival(slot_request.fingerprint, now)
        queued = QueuedRequest(
            node,
            slot_request,
            now,
            first_arrival + slot_request.objective,
            now + slot_request.patience,
            now + slot_request.deadline,
            self._lengths_by_kind[slot_request.pool, slot_request.rank],
        )
        self.queues_by_pool.setdefault(slot_request.pool, {})[node, slot_request.id] = queued
        if slot_request.resumed or slot_request.version:
            wait = min(MAX_ORIGIN_WAIT, slot_request.patience / 2)
            resolve_by_key = self._resolve_by_key_by_pool.setdefault(slot_request.pool, {})
            resolve_by_key[node, slot_request.id] = now + wait
        if not slot_request.hedge:
            self._record_work(slot_request, now)
        return None

    def plan(
        self, pool: str, now: float, full_scan: bool = True
    ) -> tuple[list[tuple[str, Grant]], list[tuple[str, Denial]]]:
        """Run one planning round: grant free slots and deny hopeless slot requests.

        In order of urgency, each queued request is tentatively placed on the slot on which it
        would end first, and granted if that slot is free now. Placements on slots that become
        free later are discarded after the round. They keep a slow target free if a request would
        end sooner elsewhere, and show early which queued requests are hopeless.

        Parameters
        ----------
        full_scan : bool
            Whether to scan the whole queue; if not, the scan of a long queue stops as soon as no
            slot is free.

        Returns
        -------
        grants, denials : lists of (str, Grant) and (str, Denial)
            Replies, each with the node that sent the slot request.
        """
        queue = self.queues_by_pool.get(pool)
        if not queue:
            return [], []
        denials = self._resolve_origins(pool, queue, now) if self._resolve_by_key_by_pool else []
        unresolved = self._resolve_by_key_by_pool.get(pool)
        if unresolved:
            queue = {key: queued for key, queued in queue.items() if key not in unresolved}
        targets = self._usable_loads(pool, now)
        allowance = self._gate.allow(pool, self._targets(pool), self._gate.is_decider(), now)
        if allowance is not None and allowance.banned:
            targets = {name: targets[name] for name in targets.keys() - allowance.banned}
        planning_round = PlanningRound.from_loads(
            targets,
            self._fleet_share(),
            now,
            self._demand_by_pool[pool],
            self.rate_limits,
            self._find_pauses(pool, now),
        )
        planning_round.denials += denials
        planning_round.allowance = allowance
        planning_round.loads_of_version = lambda queued: self._loads_of_version(
            queued, targets, now
        )
        # A slot that is kept free for the right request is lost to all others where many wait.
        planning_round.may_keep_slots = len(queue) <= len(targets)
        full_scan = full_scan or len(queue) * len(targets) <= FULL_SCAN_LIMIT
        if not full_scan and not planning_round.idle_targets:
            return [], denials
        late = []
        for queued in sort_by_urgency(
            queue.values(), targets, self._fair_shares_by_pool[pool], now
        ):
            if not full_scan and not planning_round.idle_targets:
                break
            if queued.slot_request.hedge or not self._decide(
                queued, planning_round, may_be_late=False
            ):
                late.append(queued)
        for queued in late:
            if not full_scan and not planning_round.idle_targets:
                break
            self._decide(queued, planning_round, may_be_late=True)
        return planning_round.grants, planning_round.denials

    def _resolve_origins(
        self, pool: str, queue: dict[tuple[str, int], QueuedRequest], now: float
    ) -> list[tuple[str, Denial]]:
        """Bind resumed streams to their versions, and deny those unknown for too long."""
        denials = []
        unresolved = self._resolve_by_key_by_pool.get(pool, {})
        for key, resolve_by in list(unresolved.items()):
            queued = queue.get(key)
            if queued is None:
                del unresolved[key]
                continue
            is_last = now >= resolve_by
            match self._resolve_origin(queued.slot_request, queued.arrived, now, is_last):
                case Bound(version):
                    queued.slot_request.version = version
                    del unresolved[key]
                case Unknown() if is_last:
                    del unresolved[key]
                    retry_time = now + MAX_ORIGIN_WAIT
                    denials.append(self._deny(queued, "stream-version", retry_time, now))
        if not unresolved:
            self._resolve_by_key_by_pool.pop(pool, None)
        return denials

    def _loads_of_version(
        self, queued: QueuedRequest, loads: dict[str, TargetLoad], now: float
    ) -> dict[str, TargetLoad]:
        """Return the loads of targets that are of a request's version beyond doubt.

        A target may have started again at another version since the list was read. None has that
        has been at work without a break since, or whose entry was read after the slot request;
        but one that was down may be another run until its entry is renewed.
        """
        slot_request = queued.slot_request
        earliest = queued.arrived + (BREAK_REPORT_DELAY if slot_request.retry else 0.0)
        confirmed_at = self._list_confirmed_at(slot_request.pool)
        busy_since = confirmed_at - ENTRY_DELAY - MIN_RUN_AGE if now >= earliest else -math.inf
        found = {}
        is_certain = True
        for target in self._targets(slot_request.pool):
            load = loads.get(target.id)
            if load is None or target.version != slot_request.version:
                continue
            if load.may_be_unlisted_run(target):
                continue
            read_by = max(earliest, load.broken_at + ENTRY_DELAY)
            if confirmed_at >= read_by or load.at_work_since(now) <= busy_since:
                found[target.id] = load
            else:
                is_certain = False
        can_wait = found.keys() - slot_request.excluded_targets
        if not is_certain and not can_wait and now >= earliest:
            self._confirm_list()
        return found

    def _decide(
        self, queued: QueuedRequest, planning_round: PlanningRound, may_be_late: bool
    ) -> bool:
        """Place, grant or deny a queued request.

        Returns
        -------
        bool
            False if its first byte would be late and it may not be; the request is undecided.
        """
        now = planning_round.now
        placement = find_placement(queued, planning_round)
        if queued.slot_request.hedge:
            wait, work = (placement.start - now, placement.first_byte) if placement else (None, 0)
            kind = self.hedge_gate.find_denial(wait, work, planning_round.idle_targets, now)
            if kind is not None:
                planning_round.denials.append(self._deny(queued, kind, now, now))
                return True
        if placement is None:
            # A target of its version may be certain again within what is left of its patience.
            queued.is_scheduled |= bool(queued.slot_request.version)
            if queued.give_up_time <= now:
                planning_round.denials.append(self._deny(queued, "no-target", now, now))
            return True
        if placement.start + placement.first_byte > queued.objective_time and not may_be_late:
            return False
        if is_hopeless(queued, placement):
            wait = planning_round.demand.record_denial(
                queued.slot_request.urgency, placement.start - now, now
            )
            planning_round.denials.append(self._deny(queued, "overload", now + wait, now))
            return True
        queued.is_scheduled = True
        planning_round.occupy(placement.target, placement.start + placement.duration)
        allowance = planning_round.allowance
        if allowance is not None and placement.target in allowance.canaries:
            allowance.open_slots -= 1
        if placement.start <= now:
            planning_round.grants.append((queued.node, self._grant(queued, placement, now)))
        return True

    def target_of(self, grant_id: int, now: float) -> tuple[str, bool] | None:
        """Return the target of an active grant, and whether its version is certain.

        Returns
        -------
        tuple of (str, bool) or None
            None if the grant is unknown.
        """
        load = self._load_by_grant_id.get(grant_id)
        if load is None:
            return None
        active_grant = load.active_grants_by_id[grant_id]
        confirmed_at = self._list_confirmed_at(active_grant.pool)
        is_certain = load.at_work_since(now) <= confirmed_at - ENTRY_DELAY - MIN_RUN_AGE
        return active_grant.target, is_certain

    def may_be_unlisted_run(self, grant_id: int) -> bool:
        """Return whether the target of an active grant may be another run than its entry says."""
        load = self._load_by_grant_id.get(grant_id)
        if load is None:
            return False
        target = self._find_target(load.active_grants_by_id[grant_id])
        return target is not None and load.may_be_unlisted_run(target)

    def _find_target(self, active_grant: ActiveGrant) -> Target | None:
        """Return the listed target of a grant, None if it takes no new requests."""
        targets = self._targets(active_grant.pool)
        return next((target for target in targets if target.id == active_grant.target), None)

    def _record_down(self, load: TargetLoad, active_grant: ActiveGrant, now: float) -> None:
        load.record_unreachable(now)
        load.record_break(now)
        target = self._find_target(active_grant)
        if target is not None:
            load.record_down(target)

    def note_lost_paths(self, node: str, targets: Iterable[str]) -> None:
        """Note that a node does not reach targets, so that its silence there says nothing."""
        for target in targets:
            load = self.loads_by_target.get(target)
            if load is not None:
                load.disregard_silence(node)

    def report_first_byte(self, grant_id: int, seconds: float, now: float) -> None:
        """Update the target's load from a measured time to the first byte."""
        load = self._load_by_grant_id.get(grant_id)
        if load is not None:
            active_grant = load.active_grants_by_id[grant_id]
            load.learn_first_byte(active_grant, seconds)
            load.shorten_prefill(now)
            if active_grant.hedge_work:
                self._settle_hedge(active_grant, 0.0, now)
            if load.engine:
                self.hedge_gate.record_response(
                    active_grant.route, active_grant.prompt_tokens, seconds
                )
            self.pauses.record_served(active_grant.target, active_grant.granted, load.slots)

    def release(self, released: SlotReleased, now: float) -> str | None:
        """Free a slot and update the target's load from the outcome.

        Returns
        -------
        str or None
            Pool of the slot; None if the grant is unknown.
        """
        load = self._load_by_grant_id.pop(released.grant_id, None)
        if load is None:
            return None
        self._gate.record_end(
            released.grant_id,
            FAILED_BY_OUTCOME.get(released.outcome),
            released.seconds,
            released.events,
        )
        active_grant = load.remove_grant(released.grant_id, now)
        if active_grant is None:
            return None
        if released.outcome in (messages.UNREACHABLE, messages.UNUSED):
            self._refund_retry(active_grant.pool, active_grant.retry_charged_at)
        self._settle_hedge(active_grant, _extra_work(released, active_grant), now)
        if released.outcome == messages.LOST or (
            released.outcome == messages.COMPLETE and not load.engine
        ):
            self.hedge_gate.record_response(
                active_grant.route, active_grant.prompt_tokens, released.seconds
            )
        match released.outcome:
            case messages.COMPLETE:
                load.record_result(failed=False)
                load.learn_duration(active_grant, released.seconds, released.events)
                if active_grant.lengths is not None:
                    active_grant.lengths.record(
                        active_grant.expected_events, released.events, is_whole=True
                    )
                if active_grant.first_byte_seconds is None:
                    self.pauses.record_served(active_grant.target, active_grant.granted, load.slots)
                load.record_completion(active_grant, released.seconds)
                self._crash_history.clear(active_grant.fingerprint)
            case messages.FAILED:
                load.record_result(failed=True)
            case messages.BROKEN:
                load.record_result(failed=True)
                load.record_break(now)
            case messages.CRASHED:
                self._record_down(load, active_grant, now)
                self._crash_history.record_crash(active_grant.fingerprint, active_grant.target, now)
            case messages.UNREACHABLE | messages.MISDIRECTED:
                self._record_down(load, active_grant, now)
                self.rate_limits.refund(active_grant.target, now)
            case messages.UNUSED:
                self.rate_limits.refund(active_grant.target, now)
            case messages.REJECTED:
                load.excluded_until = max(load.excluded_until, now + load.call_time)
            case messages.CANCELLED:
                load.learn_cut(active_grant, released.seconds, released.events)
                if active_grant.lengths is not None:
                    active_grant.lengths.record(
                        active_grant.expected_events, released.events, is_whole=False
                    )
            case _:
                pass
        return active_grant.pool

    def cancel(self, node: str, slot_request_id: int) -> None:
        """Remove a slot request from its queue."""
        for pool, queue in self.queues_by_pool.items():
            queued = queue.pop((node, slot_request_id), None)
            if queued is not None:
                self._refund_retry(pool, queued.retry_charged_at)

    def add_held_slot(self, node: str, held_slot: HeldSlot, now: float) -> None:
        """Count a slot that another scheduler granted."""
        if held_slot.grant_id in self._load_by_grant_id:
            return
        load = self._load(held_slot.target, held_slot.pool)
        _, duration = load.predict(held_slot.prompt_tokens, held_slot.expected_events, now)
        granted = now - held_slot.age
        active_grant = ActiveGrant(
            node,
            held_slot.pool,
            held_slot.target,
            0,
            held_slot.expected_events,
            granted,
            granted + duration,
            predicted_first_byte=0.0,
            first_byte_seconds=0.0,
            deadline=now + HELD_SLOT_LIFETIME,
        )
        load.add_grant(held_slot.grant_id, active_grant)
        self._load_by_grant_id[held_slot.grant_id] = load

    def drop_node(self, node: str, now: float) -> set[str]:
        """Remove the queued requests and active grants of a node that has left.

        Returns
        -------
        set of str
            Pools in which the node had any.
        """
        pools = set()
        for pool, queue in self.queues_by_pool.items():
            for key in [key for key in queue if key[0] == node]:
                del queue[key]
                pools.add(pool)
        for load in self.loads_by_target.values():
            for grant_id, active_grant in list(load.active_grants_by_id.items()):
                if active_grant.node == node:
                    load.remove_grant(grant_id, now)
                    self._load_by_grant_id.pop(grant_id, None)
                    self._gate.record_end(grant_id, None, 0.0, 0)
                    pools.add(active_grant.pool)
        return pools

    def expire(self, now: float) -> None:
        """Remove grants that were not released by their deadline, and quotas long unused."""
        self._limits.forget_unused(now)
        for load in self.loads_by_target.values():
            for grant_id, active_grant in list(load.active_grants_by_id.items()):
                if now > active_grant.deadline + GRANT_EXPIRY_DELAY:
                    load.remove_grant(grant_id, now)
                    self._load_by_grant_id.pop(grant_id, None)
                    self._gate.record_end(grant_id, None, 0.0, 0)

    def forget_targets(self, listed: set[str]) -> None:
        """Remove the loads of targets that are no longer listed and have no active grants."""
        self.rate_limits.forget_targets(listed)
        for target, load in list(self.loads_by_target.items()):
            if target not in listed and not load.active_grants_by_id:
                del self.loads_by_target[target]

    def _record_work(self, slot_request: SlotRequest, now: float) -> None:
        """Add the time for which a slot request would occupy all listed targets of its pool."""
        requests_per_second = 0.0
        for target in self._targets(slot_request.pool):
            load = self._load(target.id, slot_request.pool, target.slots)
            requests_per_second += (
                target.slots
                / load.estimate_idle(slot_request.prompt_tokens, slot_request.expected_events)[1]
            )
        if requests_per_second > 0:
            work = 1 / requests_per_second
            self._demand_by_pool[slot_request.pool].record(slot_request.urgency, work, now)
            self._fair_shares_by_pool[slot_request.pool].record(slot_request.workspace, work, now)

    def _load(self, target: str, pool: str, slots: int = 1) -> TargetLoad:
        """Return the load of a target; a new one starts with the speed of a median busy target."""
        load = self.loads_by_target.get(target)
        if load is None:
            configured = self._pool(pool)
            load = TargetLoad(configured.engine, slots, configured.tokens_per_event)
            others = [
                other
                for other in self.loads_by_target.values()
                if other.engine == load.engine and other.active_grants_by_id
            ]
            if others:
                median = sorted(others, key=lambda other: other.event_gap)[len(others) // 2]
                load.prefill_time, load.event_gap = median.prefill_time, median.event_gap
                load.call_time = median.call_time
            self.loads_by_target[target] = load
        return load

    def _usable_loads(self, pool: str, now: float) -> dict[str, TargetLoad]:
        """Return the loads of a pool's targets that are neither excluded nor unresponsive."""
        loads = {}
        for target in self._targets(pool):
            load = self._load(target.id, pool, target.slots)
            load.slots = target.slots
            if load.must_respond and not load.may_be_unlisted_run(target):
                load.must_respond = False
            if now >= load.excluded_until and not load.is_unresponsive(now):
                loads[target.id] = load
        return loads

    def _find_pauses(self, pool: str, now: float) -> dict[str, TargetPause]:
        """Return the pauses of a pool's targets."""
        if not self.pauses:
            return {}
        found = ((target.id, self.pauses.find(target.run, now)) for target in self._targets(pool))
        return {target: pause for target, pause in found if pause is not None}

    def _grant(self, queued: QueuedRequest, placement: Placement, now: float) -> Grant:
        slot_request = queued.slot_request
        del self.queues_by_pool[slot_request.pool][queued.node, slot_request.id]
        grant_id = next(self._grant_ids)
        load = self.loads_by_target[placement.target]
        active_grant = ActiveGrant(
            queued.node,
            slot_request.pool,
            placement.target,
            slot_request.prompt_tokens,
            slot_request.expected_events,
            now,
            now + placement.duration,
            placement.first_byte,
            fingerprint=slot_request.fingerprint,
            deadline=queued.deadline_time,
            retry_charged_at=queued.retry_charged_at,
            lengths=None if slot_request.retry or slot_request.resumed else queued.lengths,
            hedge_work=placement.first_byte if slot_request.hedge else 0.0,
            route="" if slot_request.hedge else slot_request.route,
        )
        if slot_request.hedge:
            self.hedge_gate.budget.charge(active_grant.hedge_work, now)
        else:
            self.hedge_gate.budget.record_work(placement.duration, now)
        load.add_grant(grant_id, active_grant)
        self.rate_limits.consume(placement.target, now)
        self._load_by_grant_id[grant_id] = load
        if self._gate.rollout_by_pool:
            self._record_in_gate(grant_id, queued, placement.target, now)
        return Grant(
            slot_request.id,
            grant_id,
            placement.target,
            placement.first_byte,
            slot_request.version,
            self.hedge_gate.find_delay(slot_request.route, slot_request.prompt_tokens),
            placement.duration,
        )

    def _record_in_gate(
        self, grant_id: int, queued: QueuedRequest, target_id: str, now: float
    ) -> None:
        slot_request, load = queued.slot_request, self.loads_by_target[target_id]
        for target in self._targets(slot_request.pool):
            if target.id == target_id:
                self._gate.record_grant(
                    grant_id,
                    target,
                    slot_request.rank,
                    slot_request.prompt_tokens,
                    slot_request.expected_events,
                    len(load.active_grants_by_id) / max(1, load.slots),
                    queued.deadline_time,
                    now,
                )

    def _deny(
        self, queued: QueuedRequest, kind: str, retry_time: float, now: float
    ) -> tuple[str, Denial]:
        slot_request = queued.slot_request
        del self.queues_by_pool[slot_request.pool][queued.node, slot_request.id]
        self._limits.refund_quota(slot_request, now)
        self._refund_retry(slot_request.pool, queued.retry_charged_at)
        wait = max(MIN_RETRY_AFTER, retry_time - now)
        time_left = queued.deadline_time - now
        if kind == "overload":
            self._refused_callers.record(
                slot_request.fingerprint, queued.arrived, queued.deadline_time, now
            )
            retry_after = choose_return(wait, time_left, self._random)
        else:
            retry_after = add_jitter(wait, time_left, self._random)
        return queued.node, Denial(slot_request.id, kind, max(MIN_RETRY_AFTER, retry_after))

    def _refund_retry(self, pool: str, charged_at: float | None) -> None:
        """Give back the charge of a retry that reached no target, if there was one."""
        if charged_at is not None:
            self._limits.refund_retry(pool, charged_at)

    def _settle_hedge(self, active_grant: ActiveGrant, extra_work: float, now: float) -> None:
        """Replace what was charged for a hedge by the work that it or its loser took."""
        self.hedge_gate.budget.settle(active_grant.hedge_work, extra_work, now)
        active_grant.hedge_work = 0.0


def _extra_work(released: SlotReleased, active_grant: ActiveGrant) -> float:
    """Return the seconds of a slot that a released attempt took beside the one that counts."""
    match released.outcome:
        case messages.LOST:
            return released.seconds
        case messages.COMPLETE | messages.UNUSED | messages.UNREACHABLE:
            return 0.0
        case _:
            return released.seconds if active_grant.hedge_work else 0.0
