"""Emulated engines and callers: plays a load against a scheduler without a network or a clock."""

import heapq
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass, field

from celeryrun.catalog import Pool
from celeryrun.scheduling import COMPLETE, Scheduler, SlotReleased, SlotRequest
from celeryrun.scheduling.tests.builders import BOUNDS, build_target

TICK = 0.05  # s between two whole looks at the queue, as the gateway has it
PREFILL = 0.00002  # s for a prompt token on a target of speed 1
EVENT_GAP = 0.02  # s between two events of a stream there


@dataclass(frozen=True)
class Kind:
    """Requests of one sort.

    Parameters
    ----------
    rate : float
        Arrivals a second; ``burst_rate`` within the burst.
    """

    name: str
    rank: int
    prompt: int
    events: int
    objective: float
    patience: float
    rate: float
    burst_rate: float = 0.0


@dataclass
class Outcome:
    """What one caller got, over its first try and the one it makes when it is refused."""

    kind: Kind
    workspace: str
    arrived: float
    first: float | None = None
    refused: list[float] = field(default_factory=list)

    @property
    def on_time(self):
        """Whether the first event came within the objective of the first try."""
        return self.first is not None and self.first - self.arrived <= self.kind.objective


class Emulation:
    """Targets of unlike speeds and callers that come back once, as they are told.

    Parameters
    ----------
    speeds : sequence of float
        Of the targets; a target of speed 2 takes half of the time.
    workspaces : sequence of str
        That callers belong to; one that stands more often sends more.
    """

    def __init__(
        self,
        kinds,
        speeds=(1.0, 1.0, 1.0),
        slots=4,
        seed=1,
        burst=(5.0, 10.0),
        workspaces=("w0", "w1", "w2", "w3", "w4"),
    ):
        self.kinds = kinds
        self.random = random.Random(seed)
        self.targets = [build_target(f"t{n}", slots=slots) for n in range(len(speeds))]
        self.speed_by_target = {f"t{n}": speed for n, speed in enumerate(speeds)}
        self.busy_until = defaultdict(float)
        pool = Pool("model", engine=True)
        self.scheduler = Scheduler(
            BOUNDS, lambda name: self.targets, lambda name: pool, seed=seed, no_prior_usage=True
        )
        self.burst = burst
        self.workspaces = workspaces
        self.events = []
        self.order = itertools.count()
        self.outcome_by_ask = {}
        self.outcomes = []

    def play(self, seconds):
        """Play a load and return what each caller got."""
        for kind in self.kinds:
            self._after(self._gap(kind, 0.0), self._arrive, kind)
        self._after(0.0, self._tick)
        time = 0.0
        while self.events and time < seconds:
            time, _, act, arguments = heapq.heappop(self.events)
            act(time, *arguments)
        return self.outcomes

    def _after(self, time, act, *arguments):
        heapq.heappush(self.events, (time, next(self.order), act, arguments))

    def _gap(self, kind, time):
        rate = kind.rate
        if self.burst[0] <= time < self.burst[1] and kind.burst_rate:
            rate = kind.burst_rate
        return self.random.expovariate(rate)

    def _arrive(self, time, kind):
        self._after(time + self._gap(kind, time), self._arrive, kind)
        outcome = Outcome(kind, self.random.choice(self.workspaces), time)
        self.outcomes.append(outcome)
        self._ask(time, outcome, len(self.outcomes))

    def _ask(self, time, outcome, fingerprint):
        kind = outcome.kind
        ask = SlotRequest(
            id=next(self.order),
            pool="model",
            tier=0,
            rank=kind.rank,
            workspace=outcome.workspace,
            prompt_tokens=kind.prompt,
            expected_events=kind.events,
            objective=kind.objective,
            patience=kind.patience,
            deadline=5 * kind.patience,
            max_pause=0.0,
            fingerprint=fingerprint,
            configuration_version=1,
        )
        self.outcome_by_ask[ask.id] = outcome, time, fingerprint
        denial = self.scheduler.submit("n", ask, time)
        if denial is not None:
            self._refuse(time, denial)
        self._plan(time, False)

    def _tick(self, time):
        self._plan(time, True)
        self._after(time + TICK, self._tick)

    def _plan(self, time, whole):
        grants, denials = self.scheduler.plan("model", time, whole)
        for _, grant in grants:
            self._run(time, grant)
        for _, denial in denials:
            self._refuse(time, denial)

    def _refuse(self, time, denial):
        outcome, asked, fingerprint = self.outcome_by_ask.pop(denial.slot_request_id)
        outcome.refused.append(time - asked)
        if len(outcome.refused) == 1:
            back = min(denial.retry_after, outcome.kind.patience)
            self._after(time + back, self._ask, outcome, fingerprint)

    def _run(self, time, grant):
        outcome, _, _ = self.outcome_by_ask.pop(grant.slot_request_id)
        speed = self.speed_by_target[grant.target]
        begun = max(time, self.busy_until[grant.target])
        first = begun + outcome.kind.prompt * PREFILL / speed
        self.busy_until[grant.target] = first
        self._after(first, self._first, outcome, grant, first - time)
        end = first + outcome.kind.events * EVENT_GAP / speed
        self._after(end, self._end, outcome, grant, end - time)

    def _first(self, time, outcome, grant, seconds):
        outcome.first = time
        self.scheduler.report_first_byte(grant.grant_id, seconds, time)

    def _end(self, time, outcome, grant, seconds):
        self.scheduler.release(
            SlotReleased(grant.grant_id, COMPLETE, seconds, outcome.kind.events), time
        )
        self._plan(time, False)


def share(outcomes, holds):
    """Return the part of outcomes for which something holds."""
    outcomes = list(outcomes)
    return sum(1 for outcome in outcomes if holds(outcome)) / max(1, len(outcomes))
