"""Extra work of hedges, and when they may start."""

import random

import pytest

from celeryrun.catalog import RequestKind
from celeryrun.hedging import HedgeBudget, HedgeGate, may_hedge


@pytest.mark.parametrize("share", [0.0, 0.01, 0.1])
@pytest.mark.parametrize("seed", range(5))
def test_extra_work_stays_within_the_share(share, seed):
    chance = random.Random(seed)
    budget = HedgeBudget(share)
    work = extra = time = 0.0
    for _ in range(20_000):
        time += chance.expovariate(100)
        seconds = chance.expovariate(10)
        budget.record_work(seconds, time)
        work += seconds
        if chance.random() < 0.5 and budget.allows(seconds, time):
            budget.charge(seconds, time)
            actual = seconds * chance.uniform(0.2, 1.5)
            budget.settle(seconds, actual, time + 0.01)
            extra += actual
    assert extra <= 1.02 * share * work
    assert extra >= 0.5 * share * work


def test_a_calm_time_long_ago_gives_no_credit():
    budget = HedgeBudget(0.1)
    budget.record_work(1000.0, 0.0)
    assert budget.allows(50.0, 1.0)
    assert not budget.allows(1.0, 300.0)


@pytest.mark.parametrize(
    ("wait", "idle", "work", "denial"),
    [
        (0.0, 2, 0.5, None),
        (0.1, 2, 0.5, "overload"),
        (None, 2, 0.5, "overload"),
        (0.0, 1, 0.5, "overload"),
        (0.0, 2, 5.0, "hedge-budget"),
    ],
)
def test_hedge_needs_a_free_slot_and_credit_and_leaves_a_target(wait, idle, work, denial):
    gate = HedgeGate()
    gate.budget.share = 0.1
    gate.budget.record_work(10.0, 0.0)
    assert gate.find_denial(wait, work, idle, 0.0) == denial


def test_nothing_is_learned_while_hedging_is_off():
    gate = HedgeGate()
    for _ in range(100):
        gate.record_response("calls", 1, 0.01)
    gate.budget.share = 0.1
    assert gate.find_delay("calls", 1) == 0.0


@pytest.mark.parametrize(
    ("kind", "attempts", "expected"),
    [
        (RequestKind(repeatable=True), 1, True),
        (RequestKind(repeatable=True), 2, False),
        (RequestKind(), 1, False),
        (RequestKind(stream=True), 1, False),
        (RequestKind(repeatable=True, stream=True), 1, False),
        (RequestKind(repeatable=True, stream=True, resumable=True), 1, True),
    ],
)
def test_only_what_may_run_again_is_hedged(kind, attempts, expected):
    assert may_hedge(kind, attempts, 2) is expected
