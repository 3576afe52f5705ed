"""Simulated bursts of requests: who is served, and when denied callers return."""

import dataclasses

import pytest

from celeryrun.scheduling import COMPLETE, MISDIRECTED, UNREACHABLE, SlotReleased
from celeryrun.scheduling._demand import PoolDemand
from celeryrun.scheduling._fair_shares import FairShares
from celeryrun.scheduling.tests.builders import (
    build_scheduler,
    build_slot_request,
    build_target,
)
from celeryrun.scheduling.tests.simulation import RequestClass, Simulation, fraction

DRAFT = RequestClass("draft", 0, 6000, 80, 1.0, 4.0, rate=5.0, burst_rate=14.0)
CHAT = RequestClass("chat", 1, 600, 60, 0.4, 2.0, rate=5.0)
LABEL = RequestClass("label", 2, 1800, 5, 0.4, 2.0, rate=8.0)
SPEEDS = (0.7, 1.0, 1.0, 1.5)
SEEDS = (1, 2, 3)
LONG_SEEDS = range(1, 13)


def simulate(seed, request_classes=(DRAFT, CHAT, LABEL), seconds=20.0):
    return Simulation(request_classes, SPEEDS, slots=6, seed=seed).run(seconds)


def select(results, request_class, since=5.0, until=10.0):
    return [
        result
        for result in results
        if result.request_class is request_class and since <= result.arrived < until
    ]


@pytest.mark.parametrize("seed", SEEDS)
def test_more_urgent_requests_are_served_more_often_in_a_burst(seed):
    results = simulate(seed)
    served = [
        fraction(select(results, request_class), lambda result: result.first_event is not None)
        for request_class in (DRAFT, CHAT, LABEL)
    ]
    assert served[0] > 0.9
    assert served[0] >= served[1] - 0.05


def on_time_fractions(seed):
    """Return the on-time fractions of one workspace with 3/4 of the load and of four others."""
    workspaces = ("large",) * 12 + ("a", "b", "c", "d")
    request_class = dataclasses.replace(CHAT, rate=8.0, burst_rate=40.0)
    simulation = Simulation((request_class,), SPEEDS, slots=6, seed=seed, workspaces=workspaces)
    results = select(simulation.run(15.0), request_class)
    large = [result for result in results if result.workspace == "large"]
    small = [result for result in results if result.workspace != "large"]
    return [fraction(selected, lambda result: result.on_time) for selected in (large, small)]


@pytest.mark.parametrize("seed", SEEDS)
def test_large_workspace_does_not_crowd_out_small_ones(seed, monkeypatch):
    large, small = on_time_fractions(seed)
    monkeypatch.setattr(FairShares, "is_exceeded", lambda self, workspace: False)
    _, small_without_fair_shares = on_time_fractions(seed)
    assert small > large
    assert small > small_without_fair_shares


def denied_twice(request_classes):
    results = [result for seed in LONG_SEEDS for result in simulate(seed, request_classes)]
    return [
        fraction(
            select(results, request_class, 5.0, 13.0), lambda result: len(result.denial_waits) > 1
        )
        for request_class in request_classes[1:]
    ]


def test_fewer_callers_are_denied_twice_if_the_retry_delay_grows_with_the_overload(monkeypatch):
    request_classes = (dataclasses.replace(DRAFT, burst_rate=20.0), CHAT, LABEL)
    with_overload_delay = denied_twice(request_classes)
    monkeypatch.setattr(PoolDemand, "record_denial", lambda self, urgency, wait, now: wait)
    with_queue_delay = denied_twice(request_classes)
    for with_overload, with_queue in zip(with_overload_delay, with_queue_delay, strict=True):
        assert with_overload < with_queue


@pytest.mark.parametrize("seed", SEEDS)
def test_few_requests_are_denied_without_a_burst(seed):
    results = simulate(seed, seconds=5.0)
    assert fraction(results, lambda result: result.denial_waits) < 0.02


def test_caller_that_returns_does_not_delay_one_that_can_still_be_served_on_time():
    scheduler = build_scheduler(build_target("t0", slots=1))
    scheduler.submit("n", build_slot_request(1, expected_events=200.0), 0.0)
    ((_, grant),), _ = scheduler.plan("model", 0.0)
    scheduler.submit("n", build_slot_request(2, fingerprint=77), 0.1)
    _, denials = scheduler.plan("model", 0.1)
    assert [denial.kind for _, denial in denials] == ["overload"]
    scheduler.release(SlotReleased(grant.grant_id, COMPLETE, 2.0, 200), 2.0)
    scheduler.submit("n", build_slot_request(3, fingerprint=77), 2.0)
    scheduler.submit("n", build_slot_request(4), 2.0)
    ((_, grant),), _ = scheduler.plan("model", 2.0)
    assert grant.slot_request_id == 4
    scheduler.release(SlotReleased(grant.grant_id, COMPLETE, 0.2, 10), 2.2)
    ((_, grant),), _ = scheduler.plan("model", 2.2)
    assert grant.slot_request_id == 3


@pytest.mark.parametrize("outcome", [MISDIRECTED, UNREACHABLE])
def test_target_that_was_not_found_gets_one_request_until_it_responds(outcome):
    scheduler = build_scheduler(build_target("t0", slots=4))
    scheduler.submit("n", build_slot_request(1), 0.0)
    ((_, grant),), _ = scheduler.plan("model", 0.0)
    scheduler.release(SlotReleased(grant.grant_id, outcome), 0.01)
    for number in range(2, 6):
        scheduler.submit("n", build_slot_request(number, patience=8.0), 0.02)
    assert not scheduler.plan("model", 0.02)[0]
    ((_, grant),), _ = scheduler.plan("model", 0.6)
    assert not scheduler.plan("model", 0.61)[0]
    scheduler.report_first_byte(grant.grant_id, 0.05, 0.65)
    assert len(scheduler.plan("model", 0.65)[0]) == 3
