"""Order of queued requests and their placement on targets."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from celeryrun.rollouts import Allowance
from celeryrun.scheduling._demand import PoolDemand
from celeryrun.scheduling._fair_shares import FairShares
from celeryrun.scheduling._lengths import LengthErrors
from celeryrun.scheduling._load import TargetLoad
from celeryrun.scheduling._messages import Denial, Grant, SlotRequest
from celeryrun.scheduling._pauses import TargetPause
from celeryrun.scheduling._rate_limits import TargetRateLimits

__all__ = [
    "Placement",
    "PlanningRound",
    "QueuedRequest",
    "find_placement",
    "is_hopeless",
    "sort_by_urgency",
]

MAX_BEST_PLACEMENTS = 48  # requests of a round placed by cost; later ones get the next free slot
URGENT_FACTOR = 2.0  # a late request this many expected durations before its deadline is urgent
FAILURE_COST = 2.0  # cost of a certain failure, in objectives
LATE_WORTH = 0.2  # of a response whose first byte is late, against one on time
LOSS_COST = 0.3  # cost of a stream that is late or has no end, in seconds that it had left
PAUSE_COST = 1.0  # cost of each stream whose events are paused too long, in objectives
HOPELESS_COST = 1e9  # cost of a first byte after the caller has left, above all before
OVERRUN_COST = 4e9  # cost of a stream that takes a slot in vain while others wait for it
MAX_OVERRUN_RISK = 0.75  # of a stream, above which it does not take a slot that others wait for
UNEVEN_RATIO = 2.0  # of the quartiles of event gaps, above which targets are of unlike speed
MIN_OBJECTIVE = 0.1  # s, unit of costs once an objective has passed; that of a fast call
MAJORITY_SHARE = 0.5  # fleet share above which most nodes use this scheduler, others few slots
OVERRUN_DELAY = 0.05  # s from now until the expected end of a request that overruns its own
PROBE_PAUSE = 0.5  # s, a failed connection and the delay after it
NEW_PATIENCE = 0.6  # fraction of its patience within which a new request needs its first byte


@dataclass(slots=True)
class QueuedRequest:
    """Slot request in the queue, with its limits as times of this scheduler's clock.

    Parameters
    ----------
    node : str
        Node that sent the slot request.
    objective_time, give_up_time, deadline_time : float
        Times at which the first byte becomes late, the caller gives up waiting for it, and the
        response must have ended.
    lengths : LengthErrors
        Errors of the expected lengths of its kind.
    is_scheduled : bool
        Whether an earlier planning round assigned a slot that was not free yet.
    """

    node: str
    slot_request: SlotRequest
    arrived: float
    objective_time: float
    give_up_time: float
    deadline_time: float
    lengths: LengthErrors
    is_scheduled: bool = False

    @property
    def retry_charged_at(self) -> float | None:
        """Time at which it was charged to the retry budget, None if it was not."""
        return self.arrived if self.slot_request.retry else None


@dataclass(frozen=True, slots=True)
class Placement:
    """Target and time for a queued request.

    Parameters
    ----------
    start : float
        Time at which the slot is free.
    first_byte, duration : float
        Predicted seconds from the start to the first byte and to the end.
    """

    target: str
    start: float
    first_byte: float
    duration: float


@dataclass(slots=True)
class PlanningRound:
    """State of one run of the planner over a queue.

    Parameters
    ----------
    fleet_share : float
        Fraction of the fleet's limits that may be used; above a half, all slots are used.
    next_free_by_target : dict
        Time at which each target's next slot is free.
    idle_targets : int
        Number of targets with a free slot.
    limits_to_check : set of str
        Targets that get a request although others would end it sooner, since only a response
        shows that their limit has ended.
    pauses_by_target : dict
        Pauses of targets that want no requests, or get them back one after the other.
    placed : int
        Number of queued requests for which a placement was searched.
    is_uneven : bool
        Whether streams last several times longer on some targets than on others.
    may_keep_slots : bool
        Whether a free slot may be kept for a request that would be late elsewhere.
    loads_of_version : callable
        Returns those of the targets that are certainly of the version that a request needs.
    allowance : Allowance or None
        Targets that requests may use during or after a roll-out, None for all.
    """

    targets: dict[str, TargetLoad]
    fleet_share: float
    now: float
    demand: PoolDemand
    rate_limits: TargetRateLimits = field(default_factory=TargetRateLimits)
    pauses_by_target: dict[str, TargetPause] = field(default_factory=dict)
    next_free_by_target: dict[str, float] = field(default_factory=dict)
    idle_targets: int = 0
    limits_to_check: set[str] = field(default_factory=set)
    placed: int = 0
    is_uneven: bool = False
    may_keep_slots: bool = True
    loads_of_version: Callable[[QueuedRequest], dict[str, TargetLoad]] = lambda queued: {}
    allowance: Allowance | None = None
    _general_loads: dict[str, TargetLoad] | None = None
    _next_send_by_target: dict[str, float] = field(default_factory=dict)
    _probed_targets: set[str] = field(default_factory=set)
    _returns_by_target: dict[str, int] = field(default_factory=dict)
    _free_times_by_target: dict[str, list[float]] = field(default_factory=dict)
    grants: list[tuple[str, Grant]] = field(default_factory=list)
    denials: list[tuple[str, Denial]] = field(default_factory=list)

    @classmethod
    def from_loads(
        cls,
        targets: dict[str, TargetLoad],
        fleet_share: float,
        now: float,
        demand: PoolDemand,
        rate_limits: TargetRateLimits,
        pauses_by_target: dict[str, TargetPause],
    ) -> PlanningRound:
        """Start a planning round over a pool's targets."""
        planning_round = cls(targets, fleet_share, now, demand, rate_limits, pauses_by_target)
        min_end = now + OVERRUN_DELAY
        event_gaps = sorted(load.event_gap for load in targets.values() if load.engine)
        if event_gaps:
            fast, slow = (event_gaps[part * len(event_gaps) // 4] for part in (1, 3))
            planning_round.is_uneven = slow > UNEVEN_RATIO * fast
        for name, load in targets.items():
            occupying = load.occupying_grants(now)
            excess = len(occupying) - planning_round._slot_count(load)
            next_send = rate_limits.next_send(name, now)
            if name in rate_limits:
                planning_round._next_send_by_target[name] = next_send
                if rate_limits.is_check_due(name, now):
                    planning_round.limits_to_check.add(name)
            if name in pauses_by_target:
                pause = pauses_by_target[name]
                planning_round._returns_by_target[name] = pause.free_slots(occupying, now)
                if not planning_round._returns_by_target[name]:
                    next_send = max(next_send, pause.next_send(now))
            if load.must_respond:
                # One request at a time, as those that meet a target that is still down lose time.
                planning_round._probed_targets.add(name)
                since = load.excluded_until
                if any(active_grant.granted >= since for active_grant in occupying):
                    next_send = max(next_send, now + PROBE_PAUSE)
            if excess < 0:
                planning_round.next_free_by_target[name] = next_send
                planning_round.idle_targets += next_send <= now
            else:
                ends = sorted(active_grant.finish for active_grant in occupying)
                planning_round.next_free_by_target[name] = max(min_end, ends[excess], next_send)
        return planning_round

    def candidates(self, queued: QueuedRequest) -> dict[str, TargetLoad]:
        """Return the targets on which a request may run, apart from those that it excludes."""
        loads = self._allowed_loads(queued)
        if queued.slot_request.hedge:
            next_free = self.next_free_by_target
            loads = {name: load for name, load in loads.items() if next_free[name] <= self.now}
        return loads

    def _allowed_loads(self, queued: QueuedRequest) -> dict[str, TargetLoad]:
        """Return the targets of a request's version, or those that roll-outs leave to it."""
        if queued.slot_request.version:
            return self.loads_of_version(queued)
        if self.allowance is None:
            return self.targets
        slot_request = queued.slot_request
        if self.allowance.may_use_canary(
            slot_request.rank,
            slot_request.prompt_tokens,
            slot_request.expected_events,
            slot_request.retry or slot_request.hedge,
        ):
            free = {
                name: self.targets[name]
                for name in self.allowance.canaries
                if name in self.targets and self.next_free_by_target[name] <= self.now
            }
            if free.keys() - set(slot_request.excluded_targets):
                return free
        if self._general_loads is None:
            general = self.allowance.general
            self._general_loads = {
                name: load for name, load in self.targets.items() if name in general
            }
        return self._general_loads

    def occupy(self, target: str, end: float) -> None:
        """Occupy a target's next free slot until a time."""
        free_times = self._free_times_by_target.get(target)
        if free_times is None:
            free_times = self._free_times_by_target[target] = self._free_times(self.targets[target])
        heapq.heapreplace(free_times, end)
        next_free = free_times[0]
        if target in self._next_send_by_target:
            start = max(self.now, self._next_send_by_target[target])
            self._next_send_by_target[target] = start + self.rate_limits.interval(target)
            next_free = max(next_free, self._next_send_by_target[target])
        if target in self._returns_by_target:
            self._returns_by_target[target] -= 1
            if self._returns_by_target[target] <= 0:
                pause = self.pauses_by_target[target]
                next_free = max(next_free, pause.next_send(self.now))
        if target in self._probed_targets:
            next_free = max(next_free, self.now + PROBE_PAUSE)
        if self.next_free_by_target[target] <= self.now < next_free:
            self.idle_targets -= 1
        self.next_free_by_target[target] = next_free

    def _slot_count(self, load: TargetLoad) -> int:
        """Return the number of a target's slots that this scheduler may use."""
        return (
            load.slots
            if self.fleet_share > MAJORITY_SHARE
            else max(1, round(load.slots * self.fleet_share))
        )

    def _free_times(self, load: TargetLoad) -> list[float]:
        """Return a heap of the times at which a target's slots are free."""
        slot_count = self._slot_count(load)
        min_end = self.now + OVERRUN_DELAY
        free_times = [
            max(min_end, active_grant.finish) for active_grant in load.occupying_grants(self.now)
        ]
        free_times += [self.now] * (slot_count - len(free_times))
        return sorted(free_times)[-slot_count:]


def sort_by_urgency(
    queue: Iterable[QueuedRequest],
    targets: dict[str, TargetLoad],
    fair_shares: FairShares,
    now: float,
) -> list[QueuedRequest]:
    """Sort queued requests by tier and rank, then by slack; late requests come last.

    Within a tier and rank, workspaces that exceed their fair share come last. A late request
    whose deadline is near is sorted as if it were not late.
    """
    fastest = min(
        targets.values(), key=lambda load: load.prefill_time + load.call_time, default=None
    )

    def sort_key(queued: QueuedRequest) -> tuple[bool, int, int, bool, float]:
        slot_request = queued.slot_request
        first_byte, duration = (
            fastest.estimate_idle(slot_request.prompt_tokens, slot_request.expected_events)
            if fastest
            else (0.0, 0.0)
        )
        late = now + first_byte > queued.objective_time
        urgent = now + URGENT_FACTOR * duration > queued.deadline_time
        exceeds_share = fair_shares.is_exceeded(slot_request.workspace)
        return (
            late and not urgent,
            slot_request.tier,
            slot_request.rank,
            exceeds_share,
            queued.objective_time - first_byte,
        )

    return sorted(queue, key=sort_key)


def find_placement(queued: QueuedRequest, planning_round: PlanningRound) -> Placement | None:
    """Return the placement of a queued request, or None if no target may run it."""
    planning_round.placed += 1
    if planning_round.placed <= MAX_BEST_PLACEMENTS:
        return _best_placement(queued, planning_round)
    return _next_placement(queued, planning_round)


def _best_placement(queued: QueuedRequest, planning_round: PlanningRound) -> Placement | None:
    """Return the placement of least cost.

    The cost is the time until the end, plus the delay beyond the objective, the risk of a
    failure, and the pauses caused in other streams on the target. Of unlike targets it is also the
    risk that it is late, or that it does not end in time since it is longer than expected. A
    placement that is too late for the caller is chosen only if all are; so is one that probably
    does not end in time, while others wait for its slot.
    """
    slot_request = queued.slot_request
    objective = max(MIN_OBJECTIVE, slot_request.objective)
    latest = _latest_first_byte(queued)
    best: Placement | None = None
    min_cost = math.inf
    for name, load in planning_round.candidates(queued).items():
        if name in slot_request.excluded_targets:
            continue
        start = planning_round.next_free_by_target[name]
        first_byte, duration = load.predict(
            slot_request.prompt_tokens, slot_request.expected_events, start
        )
        cost = start - planning_round.now + duration
        cost += max(0.0, start + first_byte - queued.objective_time)
        cost += load.failure_rate * FAILURE_COST * objective
        if planning_round.is_uneven:
            loss = queued.lengths.risk_of_overrun(
                slot_request.expected_events,
                load.event_gap,
                queued.deadline_time - start - first_byte,
            )
            if planning_round.may_keep_slots:
                if start + first_byte > queued.objective_time:
                    loss = 1.0 + loss * LATE_WORTH
                cost += loss * LOSS_COST * slot_request.deadline
            elif loss > MAX_OVERRUN_RISK:
                cost += OVERRUN_COST
        if (
            slot_request.max_pause > 0
            and load.event_gap_during_prefill(slot_request.prompt_tokens, planning_round.now)
            > slot_request.max_pause
        ):
            cost += PAUSE_COST * len(load.active_grants_by_id) * objective
        if start + first_byte > latest:
            cost += HOPELESS_COST
        placement = Placement(name, start, first_byte, duration)
        if (
            name in planning_round.limits_to_check
            and start <= planning_round.now
            and start + first_byte <= queued.objective_time
        ):
            planning_round.limits_to_check.remove(name)
            return placement
        if cost < min_cost:
            min_cost, best = cost, placement
    return best


def _next_placement(queued: QueuedRequest, planning_round: PlanningRound) -> Placement | None:
    """Return the placement on the slot that is free first."""
    slot_request = queued.slot_request
    next_free_by_target = planning_round.next_free_by_target
    name = min(
        (
            name
            for name in planning_round.candidates(queued)
            if name not in slot_request.excluded_targets
        ),
        key=next_free_by_target.__getitem__,
        default=None,
    )
    if name is None:
        return None
    start = next_free_by_target[name]
    first_byte, duration = planning_round.targets[name].predict(
        slot_request.prompt_tokens, slot_request.expected_events, start
    )
    return Placement(name, start, first_byte, duration)


def is_hopeless(queued: QueuedRequest, placement: Placement) -> bool:
    """Return whether the first byte would arrive after the caller gives up.

    A request in its first planning round must meet only a fraction of its patience, since more
    urgent slot requests may still arrive.
    """
    return placement.start + placement.first_byte > _latest_first_byte(queued)


def _latest_first_byte(queued: QueuedRequest) -> float:
    """Return the time after which a first byte is too late for a request to be kept."""
    limit = queued.give_up_time
    if not queued.is_scheduled:
        limit = queued.arrived + NEW_PATIENCE * (limit - queued.arrived)
    return min(limit, queued.deadline_time)
