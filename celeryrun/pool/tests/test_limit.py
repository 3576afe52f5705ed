"""Convergence of the slot limit to a target's knee of throughput."""

import pytest

from celeryrun.pool import SlotLimit


@pytest.mark.parametrize("knee", [4, 8, 12, 24])
def test_limit_converges_to_the_knee_of_a_batching_target(knee):
    limit = SlotLimit(4.0)
    for _ in range(400):
        concurrency = int(limit.slots)
        batched = min(concurrency, knee)
        step_time = 0.01 * (1 + batched / knee) * max(1.0, concurrency / knee)
        limit.observe(float(concurrency), step_time, tokens=40)
    assert 0.7 * knee <= limit.slots <= 1.6 * knee


def test_limit_of_an_idle_target_does_not_change():
    limit = SlotLimit(4.0)
    for _ in range(50):
        limit.observe(1.0, 0.01, tokens=40)
    assert limit.slots == 4.0
