"""Simulated load on targets of unlike speed, with lengths that are known badly."""

import pytest

from celeryrun.scheduling.tests.simulation import RequestClass, Simulation, fraction

REVIEW = RequestClass(
    "review", 0, 6600, 20, 0.85, 4.0, rate=14.0, length_spread=0.9, hint_spread=0.8, deadline=12.7
)
DIGEST = RequestClass(
    "digest", 1, 630, 18, 0.32, 2.0, rate=14.0, length_spread=0.7, hint_spread=0.8, deadline=10.6
)
LABEL = RequestClass("label", 2, 1800, 3, 0.42, 1.5, rate=28.0, deadline=2.6)
CLASSES = (REVIEW, DIGEST, LABEL)
SPEEDS = (0.155, 0.645, 0.645) * 4  # 0.129 s and 0.031 s between two events
SEEDS = (1, 2, 3)


def simulate(seed, seconds=40.0):
    simulation = Simulation(CLASSES, SPEEDS, slots=6, seed=seed, burst=(0.0, 0.0))
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
