"""Decisions of a planned stop, without a network."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from celeryrun.gateway._planned_stop import (
    DURATIONS_KEPT,
    MAX_ROUTES,
    DurationHistory,
    PlannedStop,
    StopSchedule,
)
from celeryrun.kernel import now


@given(st.floats(0.5, 600), st.floats(0, 1e7))
def test_process_exits_before_the_kill_and_answers_before_it_exits(grace, began):
    schedule = StopSchedule.from_config(grace, began)
    assert began + 0.79 * grace <= schedule.answer_by < schedule.exit_at < began + grace


@given(st.floats(0, 20), st.floats(0, 20))
def test_request_is_sent_only_if_it_is_expected_to_end_in_time(time, duration):
    schedule = StopSchedule(answer_by=10.0, exit_at=10.2)
    if schedule.allows(time, duration, arrived_at=0.0, respond_by=99.0):
        assert time + duration <= 10.0 + 1e-9
    else:
        assert time + duration >= 10.0 - 1e-9


@given(st.floats(0.5, 600), st.floats(0, 1), st.floats(0, 30), st.floats(0, 600))
def test_late_request_is_sent_only_if_it_ends_for_certain(grace, share, duration, patience):
    schedule = StopSchedule.from_config(grace, 0.0)
    arrived_at = schedule.estimate_until + 0.001 + share * grace
    if schedule.allows(arrived_at, duration, arrived_at, arrived_at + patience):
        assert arrived_at + patience <= schedule.answer_by


def test_every_request_is_allowed_before_a_stop():
    assert PlannedStop().allows(1e9, arrived_at=0.0, respond_by=2e9)
    assert PlannedStop().limit(7.0) == 7.0


def test_duration_of_an_unknown_route_is_zero():
    assert DurationHistory().expect("a", 3.0) == 0.0


def test_few_slow_responses_do_not_count():
    history = DurationHistory()
    for seconds in [1.0] * 30 + [90.0] * 2:
        history.record("a", seconds, 1.0)
    assert history.expect("a", 1.0) == 1.0


def test_slower_responses_count_once_they_are_usual():
    history = DurationHistory()
    for seconds in [1.0] * 100 + [3.0] * (DURATIONS_KEPT // 2):
        history.record("a", seconds, 1.0)
    assert history.expect("a", 1.0) == 3.0


def test_routes_are_bounded():
    history = DurationHistory()
    for number in range(2 * MAX_ROUTES):
        history.record(str(number), 1.0, 1.0)
    assert history.expect("0", 1.0) == 0.0
    assert history.expect(str(2 * MAX_ROUTES - 1), 1.0) == 1.0
    assert len(history._rates_by_route) == MAX_ROUTES


@pytest.mark.parametrize("begins_first", [True, False])
def test_wait_for_a_slot_ends_when_the_rest_is_too_short(begins_first):
    async def scenario():
        stop, schedule = PlannedStop(), StopSchedule(now() + 0.5, now() + 0.6)
        began = now()
        if begins_first:
            stop.begin(schedule)
        else:
            asyncio.get_running_loop().call_later(0.05, stop.begin, schedule)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(None) as timeout:
                with stop.track_wait(timeout, 0.3):
                    await asyncio.sleep(5)
        assert 0.15 < now() - began < 0.4

    asyncio.run(scenario())


@pytest.mark.parametrize("has_begun", [True, False])
def test_only_requests_whose_response_has_not_begun_are_ended(has_begun):
    async def scenario():
        stop = PlannedStop()

        async def serve():
            async with asyncio.timeout(5) as timeout:
                with stop.track_request(timeout, lambda: has_begun):
                    await asyncio.sleep(0.1)

        serving = asyncio.create_task(serve())
        await asyncio.sleep(0.02)
        stop.end_unanswered()
        stop.end_unanswered()
        if has_begun:
            await serving
        else:
            with pytest.raises(TimeoutError):
                await serving
        stop.end_unanswered()

    asyncio.run(scenario())
