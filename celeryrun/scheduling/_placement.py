"""Which of the asks that wait goes first, and which target it would run on; pure functions."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from celeryrun.scheduling._demand import PoolDemand
from celeryrun.scheduling._fair_shares import FairShares
from celeryrun.scheduling._load import TargetLoad
from celeryrun.scheduling._messages import Denial, Grant, SlotRequest

__all__ = [
    "Placement",
    "PlanningRound",
    "QueuedRequest",
    "find_placement",
    "in_order",
    "is_hopeless",
]

PLANNED = 48  # asks that are given their best target; those behind them get the next one
URGENT_FACTOR = 2.0  # times its expected run before its deadline, a late ask is urgent again
FAILURE_COST = 2.0  # objectives that a certain failure counts as, when targets are compared
PAUSE_COST = 1.0  # objectives that each stream made to pause too long counts as
LEAST_OBJECTIVE = 0.1  # s that costs are counted by where the objective is over, a fast call's own
MOST = 0.5  # share above which most nodes ask here, so that the others use few slots
OVERRUN = 0.05  # s after which a request that should have ended is expected to
NEW_PATIENCE = 0.6  # of a caller's patience within which a new ask must see its first byte


@dataclass(slots=True)
class QueuedRequest:
    """An ask in the queue, with its times as this scheduler's clock counts them."""

    node: str
    ask: SlotRequest
    arrived: float
    objective: float
    patience: float
    deadline: float
    seen: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """Where and when an ask would run: on a target, from a time, with seconds from then on."""

    target: str
    start: float
    first: float
    end: float


@dataclass(slots=True)
class PlanningRound:
    """One look at a queue.

    Parameters
    ----------
    share : float
        Part of the fleet's limits that may be used; above a half all slots are.
    next_by_target : dict
        When each target's next slot is free.
    idle : int
        Targets that have a slot free now.
    """

    targets: dict[str, TargetLoad]
    share: float
    now: float
    pressure: PoolDemand
    next_by_target: dict[str, float] = field(default_factory=dict)
    idle: int = 0
    looked_at: int = 0
    _slots_by_target: dict[str, list[float]] = field(default_factory=dict)
    grants: list[tuple[str, Grant]] = field(default_factory=list)
    denials: list[tuple[str, Denial]] = field(default_factory=list)

    @classmethod
    def from_loads(
        cls, targets: dict[str, TargetLoad], share: float, now: float, pressure: PoolDemand
    ) -> PlanningRound:
        """Begin a pass over a pool's targets."""
        pass_ = cls(targets, share, now, pressure)
        soon = now + OVERRUN
        for name, load in targets.items():
            present = load.present(now)
            over = len(present) - pass_._slots(load)
            if over < 0:
                pass_.next_by_target[name] = now
                pass_.idle += 1
            else:
                ends = sorted(run.finish for run in present)
                pass_.next_by_target[name] = max(soon, ends[over])
        return pass_

    def occupy(self, target: str, end: float) -> None:
        """Let a target's next slot be taken until a time."""
        times = self._slots_by_target.get(target)
        if times is None:
            times = self._slots_by_target[target] = self._slot_times(self.targets[target])
        heapq.heapreplace(times, end)
        if self.next_by_target[target] <= self.now < times[0]:
            self.idle -= 1
        self.next_by_target[target] = times[0]

    def _slots(self, load: TargetLoad) -> int:
        return load.slots if self.share > MOST else max(1, round(load.slots * self.share))

    def _slot_times(self, load: TargetLoad) -> list[float]:
        """Return a heap of the times at which a target's slots are free."""
        slots = self._slots(load)
        soon = self.now + OVERRUN
        times = [max(soon, run.finish) for run in load.present(self.now)]
        times += [self.now] * (slots - len(times))
        return sorted(times)[-slots:]


def in_order(
    queue: Iterable[QueuedRequest], targets: dict[str, TargetLoad], shares: FairShares, now: float
) -> list[QueuedRequest]:
    """Order asks: by tier and rank, the least time to spare first, late ones last.

    Among equals of tier and rank, a workspace that takes much more than its part goes behind.
    """
    fastest = min(targets.values(), key=lambda load: load.prefill + load.call, default=None)

    def order(waiting: QueuedRequest) -> tuple[bool, int, int, bool, float]:
        ask = waiting.ask
        first, end = (
            fastest.estimate(ask.prompt_tokens, ask.expected_events) if fastest else (0.0, 0.0)
        )
        late = now + first > waiting.objective
        urgent = now + URGENT_FACTOR * end > waiting.deadline
        over = shares.is_over(ask.workspace)
        return late and not urgent, ask.tier, ask.rank, over, waiting.objective - first

    return sorted(queue, key=order)


def find_placement(waiting: QueuedRequest, pass_: PlanningRound) -> Placement | None:
    """Return where an ask would run, None if there is no target for it."""
    pass_.looked_at += 1
    if pass_.looked_at <= PLANNED:
        return _best_place(waiting, pass_)
    return _next_place(waiting, pass_)


def _best_place(waiting: QueuedRequest, pass_: PlanningRound) -> Placement | None:
    """Return where an ask would end first; what harms it or others there costs extra."""
    ask = waiting.ask
    objective = max(LEAST_OBJECTIVE, ask.objective)
    best: Placement | None = None
    least = math.inf
    for name, load in pass_.targets.items():
        if name in ask.excluded_targets:
            continue
        start = pass_.next_by_target[name]
        first, end = load.predict(ask.prompt_tokens, ask.expected_events, start)
        cost = start - pass_.now + end
        cost += max(0.0, start + first - waiting.objective)
        cost += load.failure_rate * FAILURE_COST * objective
        if ask.max_pause > 0 and load.pause_with(ask.prompt_tokens, pass_.now) > ask.max_pause:
            cost += PAUSE_COST * len(load.active_grants_by_id) * objective
        if cost < least:
            least, best = cost, Placement(name, start, first, end)
    return best


def _next_place(waiting: QueuedRequest, pass_: PlanningRound) -> Placement | None:
    """Return the next slot of any target that the ask may get."""
    ask = waiting.ask
    next_by_target = pass_.next_by_target
    name = min(
        (name for name in next_by_target if name not in ask.excluded_targets),
        key=next_by_target.__getitem__,
        default=None,
    )
    if name is None:
        return None
    start = next_by_target[name]
    first, end = pass_.targets[name].predict(ask.prompt_tokens, ask.expected_events, start)
    return Placement(name, start, first, end)


def is_hopeless(waiting: QueuedRequest, place: Placement) -> bool:
    """Tell whether an ask would not be answered before its caller gives up.

    A new ask is held to a part of that time, since what is more urgent may still come.
    """
    limit = waiting.patience
    if not waiting.seen:
        limit = waiting.arrived + NEW_PATIENCE * (limit - waiting.arrived)
    return place.start + place.first > min(limit, waiting.deadline)
