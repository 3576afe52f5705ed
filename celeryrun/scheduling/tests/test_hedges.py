"""Hedges under seeded loads: the slowest responses, the extra work, and overload."""

import pytest

from celeryrun.scheduling import COMPLETE, LOST, SlotReleased
from celeryrun.scheduling.tests.builders import build_scheduler, build_slot_request, build_target
from celeryrun.scheduling.tests.hedged_load import HedgedLoad

SECONDS = 60
CALM, OVERLOAD = 120.0, 700.0  # calls per second; the targets can take 340


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_hedges_cut_the_slowest_responses_within_the_share(seed):
    share = 0.2
    before = HedgedLoad(0.0, CALM, seed=seed).run(SECONDS)
    after = HedgedLoad(share, CALM, seed=seed).run(SECONDS)
    assert before.hedged == before.extra_work == 0
    assert after.percentile(0.99) < 0.5 * before.percentile(0.99)
    assert after.percentile(0.999) < before.percentile(0.999)
    assert 0 < after.extra_work <= share * (after.work - after.extra_work)
    assert len(after.seconds) + after.denied == len(before.seconds) + before.denied


@pytest.mark.parametrize("seed", [1, 2])
def test_a_small_share_bounds_the_extra_work(seed):
    share = 0.02
    load = HedgedLoad(share, CALM, seed=seed).run(SECONDS)
    assert 0 < load.extra_work <= 1.1 * share * (load.work - load.extra_work)


@pytest.mark.parametrize("seed", [1, 2])
def test_nothing_is_lost_in_overload(seed):
    before = HedgedLoad(0.0, OVERLOAD, seed=seed).run(20)
    after = HedgedLoad(0.2, OVERLOAD, seed=seed).run(20)
    assert before.denied > 1000
    assert len(after.seconds) >= 0.98 * len(before.seconds)
    assert after.hedged < 0.01 * len(after.seconds)


def build_hedging_scheduler(targets=3, slots=1):
    """Return a scheduler with credit for hedges, whose first target has a request."""
    scheduler = build_scheduler(
        *(build_target(f"t{n}", slots=slots) for n in range(targets)), engine=False
    )
    scheduler.hedge_gate.budget.share = 0.5
    scheduler.hedge_gate.budget.record_work(100.0, 0.0)
    scheduler.submit("n", build_slot_request(1, route="calls"), 0.0)
    [(_, grant)], _ = scheduler.plan("model", 0.0)
    return scheduler, grant


def submit_hedge(scheduler, grant, now=0.1, **changes):
    """Return the replies to a hedge."""
    fields = {"hedge": True, "retry": True, "excluded_targets": (grant.target,)} | changes
    denial = scheduler.submit("n", build_slot_request(2, **fields), now)
    if denial is not None:
        return [], [denial]
    grants, denials = scheduler.plan("model", now)
    return [grant for _, grant in grants], [denial for _, denial in denials]


def test_hedge_runs_on_another_target():
    scheduler, grant = build_hedging_scheduler()
    [hedge], _ = submit_hedge(scheduler, grant)
    assert hedge.target != grant.target


@pytest.mark.parametrize(
    "case", ["no-slot", "last-target", "no-credit", "queue", "no-retries", "limits", "pauses"]
)
def test_hedge_never_waits(case):
    scheduler, grant = build_hedging_scheduler(targets=2 if case == "last-target" else 3)
    kind = "overload"
    match case:
        case "no-slot":
            for id in (11, 12):
                scheduler.submit("n", build_slot_request(id), 0.0)
            scheduler.plan("model", 0.0)
        case "no-credit":
            scheduler.hedge_gate.budget.share = 0.0
            kind = "hedge-budget"
        case "limits":
            for target in ("t1", "t2"):
                scheduler.rate_limits.apply(target, 0.5, 0.0, 0.0)
                scheduler.rate_limits.consume(target, 0.05)
        case "pauses":
            for target in scheduler._targets("model"):
                scheduler.pauses.apply(target.run, 5.0, 0.0)
        case "queue":
            scheduler.submit("n", build_slot_request(11), 0.1)
        case "no-retries":
            while scheduler.submit("n", build_slot_request(11, retry=True), 0.05) is None:
                [(_, other)], _ = scheduler.plan("model", 0.05)
                scheduler.release(SlotReleased(other.grant_id, COMPLETE, 0.01), 0.05)
            kind = "retry-budget"
    grants, denials = submit_hedge(scheduler, grant)
    assert not [granted for granted in grants if granted.slot_request_id == 2]
    assert [denial.kind for denial in denials if denial.slot_request_id == 2] == [kind]


def test_nothing_is_learned_against_a_target_that_lost():
    scheduler, grant = build_hedging_scheduler()
    load = scheduler.loads_by_target[grant.target]
    call_time = load.call_time
    scheduler.release(SlotReleased(grant.grant_id, LOST, 3.0), 3.0)
    assert (load.call_time, load.failure_rate, load.excluded_until) == (call_time, 0.0, 0.0)
    assert not load.active_grants_by_id


def test_hedge_that_wins_costs_what_the_other_took():
    scheduler, grant = build_hedging_scheduler()
    budget = scheduler.hedge_gate.budget
    [hedge], _ = submit_hedge(scheduler, grant)
    scheduler.report_first_byte(hedge.grant_id, 0.02, 0.2)
    assert budget._extra_work == 0
    scheduler.release(SlotReleased(grant.grant_id, LOST, 0.2), 0.2)
    scheduler.release(SlotReleased(hedge.grant_id, COMPLETE, 9.0), 9.1)
    assert budget._extra_work == pytest.approx(0.2, rel=0.3)
