"""Pauses that targets ask for, as schedulers keep them, without a network."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from celeryrun.catalog import Pool, Target, TargetRun
from celeryrun.scheduling import COMPLETE, FleetLimits, Scheduler, SlotReleased, TargetPauses
from celeryrun.scheduling._pauses import MAX_PAUSE, MAX_TARGETS, RETURN_TIMEOUT
from celeryrun.scheduling.tests.builders import build_slot_request

RUN = TargetRun("t", "10.0.0.1", 80, 5)
OTHER_RUNS = [RUN, TargetRun("t", "10.0.0.1", 80, 6), TargetRun("u", "10.0.0.1", 81, 5)]


@pytest.mark.parametrize("seconds", [0.0, -1.0, float("nan"), float("-inf")])
def test_value_that_is_no_time_is_no_pause(seconds):
    pauses = TargetPauses()
    assert not pauses.apply(RUN, seconds, 1.0)
    assert pauses.remaining(RUN, 1.0) == 0.0


@pytest.mark.parametrize("seconds", [MAX_PAUSE + 1, 1e300, float("inf")])
def test_pause_is_bounded(seconds):
    pauses = TargetPauses()
    pauses.apply(RUN, seconds, 0.0)
    assert pauses.remaining(RUN, 0.0) == MAX_PAUSE


@given(
    st.lists(
        st.tuples(st.sampled_from(OTHER_RUNS), st.floats(0.01, 40.0), st.floats(0.0, 3.0)),
        min_size=1,
    )
)
def test_latest_end_wins_in_any_order(notices):
    pauses, time, ends = TargetPauses(), 0.0, {}
    for run, seconds, delay in notices:
        time += delay
        newest = max((known.born for known in ends if known.id == run.id), default=run.born)
        pauses.apply(run, seconds, time)
        if run.born >= newest:
            ends[run] = max(ends.get(run, 0.0), time + seconds)
            ends = {known: end for known, end in ends.items() if known.id != run.id or known == run}
        for known, end in ends.items():
            assert pauses.remaining(known, time) == pytest.approx(max(0.0, end - time))


def test_statement_of_the_run_before_does_not_count():
    pauses = TargetPauses()
    assert pauses.apply(TargetRun("t", "a", 1, 6), 1.0, 0.0)
    assert not pauses.apply(TargetRun("t", "a", 1, 5), 9.0, 0.1)
    assert pauses.remaining(TargetRun("t", "a", 1, 6), 0.2) == pytest.approx(0.8)
    assert pauses.remaining(TargetRun("t", "a", 1, 5), 0.2) == 0.0


def test_served_response_neither_lengthens_nor_ends_a_pause():
    pauses = TargetPauses()
    pauses.apply(RUN, 2.0, 0.0)
    pauses.record_served("t", granted=-0.5, slots=1)
    assert pauses.remaining(RUN, 0.5) == 1.5
    pauses.record_served("t", granted=2.0, slots=1)
    assert pauses.find(RUN, 2.0) is None


def test_number_of_pauses_is_bounded_and_the_longest_stay():
    pauses = TargetPauses()
    pauses.apply(RUN, 500.0, 0.0)
    for number in range(MAX_TARGETS + 10):
        pauses.apply(TargetRun(f"t{number}", "a", 1, 1), 1.0, number / 1000)
    assert len(pauses) == MAX_TARGETS
    assert pauses.remaining(RUN, 0.0) == 500.0


def build_scheduler(*ids, slots=4):
    """Return a scheduler over targets, and its targets."""
    targets = [Target(id, "p", "10.0.0.1", 80, "z", slots, True, 5) for id in ids]
    limits = FleetLimits(1.0, 100.0, 1.0, 0.0, 0.0, 1.0)
    return Scheduler(limits, lambda pool: targets, Pool, seed=1), targets


def submit(scheduler, count, now, first=1):
    for number in range(first, first + count):
        request = build_slot_request(number, pool="p", patience=5.0, deadline=9.0)
        assert scheduler.submit("n", request, now) is None


def grants(scheduler, now):
    return [grant for _, grant in scheduler.plan("p", now)[0]]


def test_nothing_is_placed_during_a_pause():
    scheduler, (first, _) = build_scheduler("a", "b")
    scheduler.pauses.apply(first.run, 2.0, 10.0)
    submit(scheduler, 8, 10.0)
    assert {grant.target for grant in grants(scheduler, 10.0)} == {"b"}
    assert {grant.target for grant in grants(scheduler, 11.9)} <= {"b"}


def test_requests_come_back_one_first_and_then_more():
    scheduler, (target,) = build_scheduler("a", slots=8)
    scheduler.pauses.apply(target.run, 1.0, 10.0)
    submit(scheduler, 20, 10.0)
    assert not grants(scheduler, 10.5)
    now, counts = 11.0, []
    while len(counts) < 4:
        granted = grants(scheduler, now)
        counts.append(len(granted))
        assert not grants(scheduler, now)
        for grant in granted:
            scheduler.release(SlotReleased(grant.grant_id, COMPLETE, 0.01), now + 0.01)
        now += 0.1
    assert counts == [1, 2, 4, 8]


def test_target_is_used_in_full_again_though_nothing_was_sent():
    scheduler, (target,) = build_scheduler("a")
    scheduler.pauses.apply(target.run, 1.0, 10.0)
    submit(scheduler, 4, 11.1 + RETURN_TIMEOUT)
    assert len(grants(scheduler, 11.1 + RETURN_TIMEOUT)) == 4


def test_request_is_denied_until_the_pause_ends_if_it_can_not_wait():
    scheduler, (target,) = build_scheduler("a")
    scheduler.pauses.apply(target.run, 30.0, 10.0)
    submit(scheduler, 1, 10.0)
    _, [(_, denial)] = scheduler.plan("p", 10.0)
    assert denial.kind == "overload" and 30.0 <= denial.retry_after <= 46.0
