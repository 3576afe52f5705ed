"""Loads played against the scheduler: what callers get of it."""

import dataclasses

import pytest

from celeryrun.scheduling._demand import PoolDemand
from celeryrun.scheduling._fair_shares import FairShares
from celeryrun.scheduling.tests.simulation import Emulation, Kind, share

DRAFT = Kind("draft", 0, 6000, 80, 1.0, 4.0, rate=5.0, burst_rate=14.0)
CHAT = Kind("chat", 1, 600, 60, 0.4, 2.0, rate=5.0)
LABEL = Kind("label", 2, 1800, 5, 0.4, 2.0, rate=8.0)
SPEEDS = (0.7, 1.0, 1.0, 1.5)
SEEDS = (1, 2, 3)
LONG_SEEDS = range(1, 13)


def play(seed, kinds=(DRAFT, CHAT, LABEL), seconds=20.0):
    return Emulation(kinds, SPEEDS, slots=6, seed=seed).play(seconds)


def of(outcomes, kind, since=5.0, until=10.0):
    return [
        outcome for outcome in outcomes if outcome.kind is kind and since <= outcome.arrived < until
    ]


@pytest.mark.parametrize("seed", SEEDS)
def test_more_urgent_kinds_are_served_more_often_in_a_burst(seed):
    outcomes = play(seed)
    served = [
        share(of(outcomes, kind), lambda outcome: outcome.first is not None)
        for kind in (DRAFT, CHAT, LABEL)
    ]
    assert served[0] > 0.9
    assert served[0] >= served[1] - 0.05


def on_time_beside_a_large_one(seed):
    """Return the parts on time of one workspace that sends three quarters, and of four others."""
    crowd = ("large",) * 12 + ("a", "b", "c", "d")
    kind = dataclasses.replace(CHAT, rate=8.0, burst_rate=40.0)
    emulation = Emulation((kind,), SPEEDS, slots=6, seed=seed, workspaces=crowd)
    outcomes = of(emulation.play(15.0), kind)
    large = [outcome for outcome in outcomes if outcome.workspace == "large"]
    small = [outcome for outcome in outcomes if outcome.workspace != "large"]
    return [share(some, lambda outcome: outcome.on_time) for some in (large, small)]


@pytest.mark.parametrize("seed", SEEDS)
def test_small_workspaces_are_not_crowded_out_by_a_large_one(seed, monkeypatch):
    large, small = on_time_beside_a_large_one(seed)
    monkeypatch.setattr(FairShares, "is_over", lambda self, workspace: False)
    _, small_without_parts = on_time_beside_a_large_one(seed)
    assert small > large
    assert small > small_without_parts


def refused_twice(kinds):
    found = [outcome for seed in LONG_SEEDS for outcome in play(seed, kinds)]
    return [
        share(of(found, kind, 5.0, 13.0), lambda outcome: len(outcome.refused) > 1)
        for kind in kinds[1:]
    ]


def test_fewer_are_refused_twice_when_a_long_overload_sends_them_further_away(monkeypatch):
    kinds = (dataclasses.replace(DRAFT, burst_rate=20.0), CHAT, LABEL)
    told_by_overload = refused_twice(kinds)
    monkeypatch.setattr(PoolDemand, "wait_out", lambda self, urgency, wait, now: wait)
    told_by_queue = refused_twice(kinds)
    for new, old in zip(told_by_overload, told_by_queue, strict=True):
        assert new < old


@pytest.mark.parametrize("seed", SEEDS)
def test_nobody_is_refused_without_a_burst(seed):
    outcomes = play(seed, seconds=5.0)
    assert share(outcomes, lambda outcome: outcome.refused) < 0.02
