"""Discrete-event simulation of engines and callers around a scheduler."""

import heapq
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass, field

from celeryrun.catalog import Pool
from celeryrun.scheduling import CANCELLED, COMPLETE, Scheduler, SlotReleased, SlotRequest
from celeryrun.scheduling.tests.builders import LIMITS, build_target

FULL_SCAN_INTERVAL = 0.05  # s between two full scans of the queue, as in the gateway
PREFILL_TIME = 0.00002  # s per prompt token on a target of speed 1
EVENT_GAP = 0.02  # s between two events of a stream on a target of speed 1


@dataclass(frozen=True)
class RequestClass:
    """Class of requests with equal sizes and limits.

    Parameters
    ----------
    rate : float
        Arrivals per second outside the burst.
    burst_rate : float
        Arrivals per second within the burst; 0 for no burst.
    length_spread, hint_spread : float
        Standard deviations of the logarithms of the expected number of events, around ``events``,
        and of the ratio of the true to the expected number.
    deadline : float
        Seconds until the response must have ended; 0 for five times the patience.
    """

    name: str
    rank: int
    prompt_tokens: int
    events: int
    objective: float
    patience: float
    rate: float
    burst_rate: float = 0.0
    length_spread: float = 0.0
    hint_spread: float = 0.0
    deadline: float = 0.0


@dataclass
class Result:
    """Result of one request: the first attempt, and the retry that follows a denial."""

    request_class: RequestClass
    workspace: str
    arrived: float
    expected_events: float
    true_events: int
    first_event: float | None = None
    end: float | None = None
    denial_waits: list[float] = field(default_factory=list)

    @property
    def on_time(self):
        """Whether the first event arrived within the objective, counted from the first attempt."""
        return (
            self.first_event is not None
            and self.first_event - self.arrived <= self.request_class.objective
        )

    @property
    def is_good(self):
        """Whether the first event arrived within the objective and the response was whole."""
        return self.on_time and self.end is not None


class Simulation:
    """Targets of different speeds, and callers that retry once after the delay in a denial.

    Parameters
    ----------
    speeds : sequence of float
        Speed of each target; a target of speed 2 takes half the time.
    workspaces : sequence of str
        Workspaces from which callers are drawn; repeated names send more requests.
    prefill_time : float
        Seconds per prompt token on a target of speed 1.
    return_share : float or None
        Fraction of the time that a caller has left within which it returns after a denial; it
        does not if the denial names a later time. None: all return, within their patience.
    """

    def __init__(
        self,
        request_classes,
        speeds=(1.0, 1.0, 1.0),
        slots=4,
        seed=1,
        burst=(5.0, 10.0),
        workspaces=("w0", "w1", "w2", "w3", "w4"),
        prefill_time=PREFILL_TIME,
        return_share=None,
    ):
        self.prefill_time = prefill_time
        self.return_share = return_share
        self.request_classes = request_classes
        self.random = random.Random(seed)
        self.targets = [build_target(f"t{n}", slots=slots) for n in range(len(speeds))]
        self.speed_by_target = {f"t{n}": speed for n, speed in enumerate(speeds)}
        self.prefill_end_by_target = defaultdict(float)
        pool = Pool("model", engine=True)
        self.scheduler = Scheduler(
            LIMITS, lambda name: self.targets, lambda name: pool, seed=seed, no_prior_usage=True
        )
        self.burst = burst
        self.workspaces = workspaces
        self.events = []
        self.sequence = itertools.count()
        self.result_by_slot_request_id = {}
        self.results = []

    def run(self, seconds):
        """Run the simulation for a time and return the result of each request."""
        for request_class in self.request_classes:
            self._schedule(self._interarrival_time(request_class, 0.0), self._arrive, request_class)
        self._schedule(0.0, self._scan)
        time = 0.0
        while self.events and time < seconds:
            time, _, action, arguments = heapq.heappop(self.events)
            action(time, *arguments)
        return self.results

    def _schedule(self, time, action, *arguments):
        heapq.heappush(self.events, (time, next(self.sequence), action, arguments))

    def _interarrival_time(self, request_class, time):
        rate = request_class.rate
        if self.burst[0] <= time < self.burst[1] and request_class.burst_rate:
            rate = request_class.burst_rate
        return self.random.expovariate(rate)

    def _arrive(self, time, request_class):
        self._schedule(
            time + self._interarrival_time(request_class, time), self._arrive, request_class
        )
        workspace = self.random.choice(self.workspaces)
        expected = request_class.events * self._draw_factor(request_class.length_spread)
        true_events = max(1, round(expected * self._draw_factor(request_class.hint_spread)))
        result = Result(request_class, workspace, time, expected, true_events)
        self.results.append(result)
        self._submit(time, result, len(self.results))

    def _draw_factor(self, spread):
        return self.random.lognormvariate(0.0, spread) if spread else 1.0

    def _submit(self, time, result, fingerprint):
        request_class = result.request_class
        slot_request = SlotRequest(
            id=next(self.sequence),
            pool="model",
            tier=0,
            rank=request_class.rank,
            workspace=result.workspace,
            prompt_tokens=request_class.prompt_tokens,
            expected_events=result.expected_events,
            objective=request_class.objective,
            patience=request_class.patience,
            deadline=_deadline(request_class) - (time - result.arrived),
            max_pause=0.0,
            fingerprint=fingerprint,
            configuration_version=1,
        )
        self.result_by_slot_request_id[slot_request.id] = result, time, fingerprint
        denial = self.scheduler.submit("n", slot_request, time)
        if denial is not None:
            self._deny(time, denial)
        self._plan(time, False)

    def _scan(self, time):
        self._plan(time, True)
        self._schedule(time + FULL_SCAN_INTERVAL, self._scan)

    def _plan(self, time, full_scan):
        grants, denials = self.scheduler.plan("model", time, full_scan)
        for _, grant in grants:
            self._run(time, grant)
        for _, denial in denials:
            self._deny(time, denial)

    def _deny(self, time, denial):
        result, submitted, fingerprint = self.result_by_slot_request_id.pop(denial.slot_request_id)
        result.denial_waits.append(time - submitted)
        if len(result.denial_waits) > 1:
            return
        delay = min(denial.retry_after, result.request_class.patience)
        if self.return_share is not None:
            delay = denial.retry_after
            left = _deadline(result.request_class) - (time - result.arrived)
            if delay > left * self.return_share:
                return
        self._schedule(time + delay, self._submit, result, fingerprint)

    def _run(self, time, grant):
        result, _, _ = self.result_by_slot_request_id.pop(grant.slot_request_id)
        speed = self.speed_by_target[grant.target]
        start = max(time, self.prefill_end_by_target[grant.target])
        first_event = start + result.request_class.prompt_tokens * self.prefill_time / speed
        self.prefill_end_by_target[grant.target] = first_event
        self._schedule(first_event, self._report_first_event, result, grant, first_event - time)
        end = first_event + result.true_events * EVENT_GAP / speed
        cut = result.arrived + _deadline(result.request_class)
        events = result.true_events
        if end > cut:
            events = max(0, int((cut - first_event) * speed / EVENT_GAP))
        else:
            result.end = end
        end = min(end, cut)
        self._schedule(end, self._release, result, grant, end - time, events)

    def _report_first_event(self, time, result, grant, seconds):
        result.first_event = time
        self.scheduler.report_first_byte(grant.grant_id, seconds, time)

    def _release(self, time, result, grant, seconds, events):
        outcome = CANCELLED if result.end is None else COMPLETE
        self.scheduler.release(SlotReleased(grant.grant_id, outcome, seconds, events), time)
        self._plan(time, False)


def _deadline(request_class):
    return request_class.deadline or 5 * request_class.patience


def fraction(results, predicate):
    """Return the fraction of results that satisfy a predicate."""
    results = list(results)
    return sum(1 for result in results if predicate(result)) / max(1, len(results))
