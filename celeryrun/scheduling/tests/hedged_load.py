"""Seeded load of plain calls on targets of which a few answers are slow, with hedges."""

import heapq
import itertools
import random

from celeryrun.catalog import Pool, RequestKind
from celeryrun.hedging import may_hedge
from celeryrun.scheduling import COMPLETE, LOST, Denial, Scheduler, SlotReleased
from celeryrun.scheduling.tests.builders import LIMITS, build_slot_request, build_target

CALL = 0.03  # s that most calls take
SLOW_FRACTION = 0.03  # of the calls
SLOW_FACTOR = 20.0
SCAN_INTERVAL = 0.05  # s
KIND = RequestKind(repeatable=True)


class HedgedLoad:
    """Calls that arrive at random, the scheduler, and targets that take a random time.

    Attributes
    ----------
    seconds : list of float
        Time to the response of each call that has one.
    denied : int
        Calls that were denied.
    work, extra_work : float
        Seconds of a slot in all, and those of attempts that lost.
    """

    def __init__(self, share, rate, targets=8, slots=2, seed=1):
        self.random = random.Random(seed)
        self.rate = rate
        pool = Pool("model")
        self.targets = [build_target(f"t{n}", slots=slots) for n in range(targets)]
        self.scheduler = Scheduler(
            LIMITS, lambda name: self.targets, lambda name: pool, seed=seed, no_prior_usage=True
        )
        self.scheduler.hedge_gate.budget.share = share
        self.events = []
        self.sequence = itertools.count(1)
        self.call_by_slot_request_id = {}
        self.seconds = []
        self.denied = 0
        self.hedged = 0
        self.work = self.extra_work = 0.0

    def run(self, seconds):
        """Let calls arrive for some seconds, and all end."""
        time = 0.0
        while (time := time + self.random.expovariate(self.rate)) < seconds:
            self._at(time, self._arrive)
        for number in range(int((seconds + 10) / SCAN_INTERVAL)):
            self._at(number * SCAN_INTERVAL, self._plan, True)
        while self.events:
            time, _, action, arguments = heapq.heappop(self.events)
            action(time, *arguments)
        return self

    def percentile(self, fraction):
        """Return the time within which a fraction of the calls has its response."""
        return sorted(self.seconds)[int(fraction * len(self.seconds))]

    def _at(self, time, action, *arguments):
        heapq.heappush(self.events, (time, next(self.sequence), action, arguments))

    def _arrive(self, time):
        # A call: its arrival, and its open attempts by grant id with start and target.
        self._submit(time, (time, {}))

    def _submit(self, time, call, **changes):
        slot_request = build_slot_request(
            next(self.sequence), expected_events=0.0, prompt_tokens=1, route="calls", **changes
        )
        self.call_by_slot_request_id[slot_request.id] = call, slot_request.hedge
        denial = self.scheduler.submit("n", slot_request, time)
        if denial is not None:
            self._deny(denial)
        self._plan(time, False)

    def _deny(self, denial):
        _, is_hedge = self.call_by_slot_request_id.pop(denial.slot_request_id)
        self.denied += not is_hedge

    def _plan(self, time, full_scan):
        grants, denials = self.scheduler.plan("model", time, full_scan)
        for _, reply in (*grants, *denials):
            if isinstance(reply, Denial):
                self._deny(reply)
                continue
            call, is_hedge = self.call_by_slot_request_id.pop(reply.slot_request_id)
            if is_hedge and not call[1]:
                self.scheduler.release(SlotReleased(reply.grant_id, "unused"), time)
                continue
            call[1][reply.grant_id] = time, reply.target
            self.hedged += is_hedge
            is_slow = self.random.random() < SLOW_FRACTION
            seconds = CALL * self.random.uniform(0.7, 1.3) * (SLOW_FACTOR if is_slow else 1)
            self._at(time + seconds, self._respond, call, reply.grant_id)
            if reply.hedge_delay and not is_hedge:
                self._at(time + reply.hedge_delay, self._hedge, call)

    def _hedge(self, time, call):
        if call[1] and may_hedge(KIND, len(call[1]), 2):
            excluded = tuple(target for _, target in call[1].values())
            self._submit(time, call, retry=True, hedge=True, excluded_targets=excluded)

    def _respond(self, time, call, grant_id):
        arrived, attempts = call
        if grant_id not in attempts:
            return
        self.seconds.append(time - arrived)
        for id, (start, _) in attempts.items():
            outcome = COMPLETE if id == grant_id else LOST
            self.work += time - start
            self.extra_work += (time - start) * (outcome == LOST)
            self.scheduler.release(SlotReleased(id, outcome, time - start), time)
        attempts.clear()
        self._plan(time, False)
