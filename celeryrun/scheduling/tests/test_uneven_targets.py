"""Simulated load on targets of unlike speed, with lengths that are known badly."""

import dataclasses
import itertools
import random

import pytest

import celeryrun.scheduling._scheduler
from celeryrun.scheduling import CANCELLED, COMPLETE, SlotReleased
from celeryrun.scheduling._lengths import LengthErrors
from celeryrun.scheduling._returns import add_jitter, choose_return
from celeryrun.scheduling.tests.builders import (
    build_scheduler,
    build_slot_request,
    build_target,
)
from celeryrun.scheduling.tests.simulation import RequestClass, Simulation, fraction

REVIEW = RequestClass(
    "review", 0, 6600, 20, 0.85, 4.0, rate=14.0, length_spread=0.9, hint_spread=0.8, deadline=12.7
)
DIGEST = RequestClass(
    "digest", 1, 630, 18, 0.32, 2.0, rate=14.0, length_spread=0.7, hint_spread=0.8, deadline=10.6
)
LABEL = RequestClass("label", 2, 1800, 3, 0.42, 1.5, rate=28.0, deadline=2.6)
BURST = (8.0, 10.5)
CLASSES = (REVIEW, DIGEST, LABEL)
SPEEDS = (0.155, 0.645, 0.645) * 4  # 0.129 s and 0.031 s between two events
SEEDS = (1, 2, 3)


def simulate(seed, seconds=40.0):
    simulation = Simulation(
        CLASSES, SPEEDS, 6, seed, burst=(0.0, 0.0), prefill_time=1e-5, return_share=1 / 3
    )
    # The streams that begin near the end may not end.
    return [result for result in simulation.run(seconds) if 5.0 < result.arrived < seconds - 13.0]


def good_fractions(seed):
    results = simulate(seed)
    long = [result for result in results if result.true_events >= 100]
    return [
        fraction(selected, lambda result: result.is_good)
        for selected in (
            *([each for each in results if each.request_class is one] for one in CLASSES),
            long,
        )
    ]


@pytest.mark.parametrize("seed", SEEDS)
def test_long_streams_end_in_time_and_no_kind_pays_for_it(seed):
    review, digest, label, long = good_fractions(seed)
    assert long > 0.88
    assert review > 0.96
    assert digest > 0.95
    assert label > 0.99


@pytest.mark.parametrize(("ratio", "waits"), [(1, False), (4, True)])
def test_stream_waits_for_a_fast_target_if_such_are_often_longer_than_expected(ratio, waits):
    scheduler = build_scheduler(build_target("fast", slots=1), build_target("slow", slots=1))
    number = itertools.count(1)

    def run(events, now):
        """Submit streams for both targets and end those that are granted."""
        for _ in range(2):
            slot_request = build_slot_request(next(number), expected_events=40.0, deadline=12.0)
            assert scheduler.submit("n", slot_request, now) is None
        for _, grant in scheduler.plan("model", now)[0]:
            gap = 0.03 if grant.target == "fast" else 0.13
            scheduler.report_first_byte(grant.grant_id, 0.1, now + 0.1)
            seconds = 0.1 + gap * (events - 1)
            released = SlotReleased(grant.grant_id, COMPLETE, seconds, events)
            scheduler.release(released, now + seconds)

    for turn in range(30):
        run(40 * ratio, 40.0 * turn)
    for _ in range(2):
        slot_request = build_slot_request(
            next(number), expected_events=40.0, objective=0.5, patience=6.0, deadline=12.0
        )
        scheduler.submit("n", slot_request, 2000.0)
    grants, denials = scheduler.plan("model", 2000.0)
    assert [grant.target for _, grant in grants] == (["fast"] if waits else ["fast", "slow"])
    assert not denials


def test_long_stream_under_a_queue_is_not_begun_where_it_cannot_end_in_time():
    scheduler = build_scheduler(build_target("fast", slots=1), build_target("slow", slots=1))
    scheduler._load("fast", "model").event_gap = 0.02
    scheduler._load("slow", "model").event_gap = 0.08
    taken = build_slot_request(1, expected_events=300.0, excluded_targets=("slow",))
    scheduler.submit("n", taken, 0.0)
    scheduler.plan("model", 0.0)
    scheduler.submit("n", build_slot_request(2, expected_events=200.0, deadline=12.0), 0.1)
    for number in (3, 4):
        scheduler.submit("n", build_slot_request(number, rank=1, expected_events=5.0), 0.1)
    grants, _ = scheduler.plan("model", 0.1)
    assert [(grant.slot_request_id, grant.target) for _, grant in grants] == [(3, "slow")]


def test_stream_that_is_cut_off_tells_the_speed_of_its_target():
    scheduler = build_scheduler(build_target("t0", slots=1))
    scheduler.submit("n", build_slot_request(1), 0.0)
    ((_, grant),), _ = scheduler.plan("model", 0.0)
    scheduler.report_first_byte(grant.grant_id, 0.1, 0.1)
    gap = scheduler.loads_by_target["t0"].event_gap
    scheduler.release(SlotReleased(grant.grant_id, CANCELLED, 10.0, 80), 10.0)
    assert scheduler.loads_by_target["t0"].event_gap > 1.2 * gap


def served_in_burst(seed):
    """Return the fraction of streams that are served of those that arrive in a burst."""
    classes = [
        dataclasses.replace(one, rate=0.7 * one.rate, burst_rate=5.0 * one.rate) for one in CLASSES
    ]
    results = Simulation(
        classes, SPEEDS, 6, seed, BURST, prefill_time=1e-5, return_share=1 / 3
    ).run(26.0)
    return fraction(
        (result for result in results if BURST[0] <= result.arrived < BURST[1]),
        lambda result: result.end is not None,
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_more_callers_are_served_if_they_return_before_it_is_too_late(seed, monkeypatch):
    served = served_in_burst(seed)
    monkeypatch.setattr(celeryrun.scheduling._scheduler, "choose_return", add_jitter)
    assert served > served_in_burst(seed) + 0.02


@pytest.mark.parametrize("wait", [0.1, 2.9, 3.1, 11.0])
def test_caller_is_told_a_time_at_which_it_still_returns(wait):
    source = random.Random(1)
    times = [choose_return(wait, 10.0, source) for _ in range(100)]
    assert max(times) <= 10.0 / 3
    assert min(times) >= min(wait, 2.0)


def test_caller_without_prospects_is_told_the_truth():
    assert choose_return(15.0, 10.0, random.Random(1)) >= 15.0


def test_request_gets_a_late_slot_rather_than_none():
    """A fast target that is free only after the caller has left was chosen before a free one."""
    scheduler = build_scheduler(build_target("fast", slots=1), build_target("slow", slots=1))
    for name, gap in (("fast", 0.01), ("slow", 1.0)):
        scheduler._load(name, "model").event_gap = gap
    scheduler._load("slow", "model").prefill_time = 0.0008
    first = build_slot_request(1, expected_events=1000.0, deadline=20.0, excluded_targets=("slow",))
    scheduler.submit("n", first, 0.0)
    assert [grant.target for _, grant in scheduler.plan("model", 0.0)[0]] == ["fast"]
    late = build_slot_request(2, expected_events=40.0, objective=0.5, patience=2.0, deadline=12.0)
    scheduler.submit("n", late, 0.1)
    grants, denials = scheduler.plan("model", 0.1)
    assert [grant.target for _, grant in grants] == ["slow"]
    assert not denials


def test_lengths_that_were_not_seen_for_long_leave_finite_risks():
    errors = LengthErrors()
    errors.record(10.0, 100, is_whole=True)
    errors._weights = [
        weight * 1e-320 if n > 12 else weight for n, weight in enumerate(errors._weights)
    ]
    errors.record(10.0, 90, is_whole=False)
    assert 0.0 <= errors.risk_above(1.2) <= 1.0


def test_risk_falls_between_two_lengths():
    errors = LengthErrors()
    for _ in range(100):
        errors.record(100.0, 101, is_whole=True)
    assert errors.risk_above(1.01) > 0.9
    assert errors.risk_above(1.3) < 0.3
