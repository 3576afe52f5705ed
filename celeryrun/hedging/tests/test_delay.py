"""Delay after which a request is hedged."""

import random

import pytest

from celeryrun.hedging import DecayingQuantile, HedgeDelays


@pytest.mark.parametrize("quantile", [0.5, 0.9, 0.95])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_estimate_is_near_the_quantile_of_the_latest_samples(quantile, seed):
    chance = random.Random(seed)
    estimator = DecayingQuantile()
    samples = [chance.lognormvariate(-3, 0.7) for _ in range(5000)]
    for sample in samples:
        estimator.record(sample)
    exact = sorted(samples)[int(quantile * len(samples))]
    assert estimator.estimate(quantile) == pytest.approx(exact, rel=0.25)


def test_estimate_follows_a_change():
    estimator = DecayingQuantile()
    for seconds in [0.01] * 5000 + [0.1] * 2000:
        estimator.record(seconds)
    assert estimator.estimate(0.5) == pytest.approx(0.1, rel=0.11)


def test_weights_stay_bounded():
    estimator = DecayingQuantile()
    for _ in range(30_000):
        estimator.record(0.02)
    assert estimator.estimate(0.95) == pytest.approx(0.02, rel=0.11)


def test_routes_and_sizes_learn_apart_and_only_from_enough_samples():
    delays = HedgeDelays()
    for number in range(50):
        assert delays.find("calls", 1) is None
        delays.record("calls", 1, 0.01)
        delays.record("chats", 4000, 0.01 * number)
    assert delays.find("calls", 1) == pytest.approx(0.01, rel=0.11)
    assert delays.find("calls", 4000) is None and delays.find("chats", 1) is None
    assert delays.find("chats", 4095) > delays.find("calls", 1)


def test_memory_is_bounded():
    delays = HedgeDelays()
    for number in range(50_000):
        delays.record(f"r{number // 10}", 1, 0.01)
    assert len(delays._quantiles) <= 1024
