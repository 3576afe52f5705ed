"""The limit ends near a target's knee, wherever that is."""

import pytest

from celeryrun.pool import SlotLimit


@pytest.mark.parametrize("knee", [4, 8, 12, 24])
def test_limit_finds_the_knee_of_a_batching_target(knee):
    limit = SlotLimit(4.0)
    for _ in range(400):
        level = int(limit.slots)
        together = min(level, knee)
        gap = 0.01 * (1 + together / knee) * max(1.0, level / knee)
        limit.observe(float(level), gap, tokens=40)
    assert 0.7 * knee <= limit.slots <= 1.6 * knee


def test_idle_target_teaches_no_limit():
    limit = SlotLimit(4.0)
    for _ in range(50):
        limit.observe(1.0, 0.01, tokens=40)
    assert limit.slots == 4.0
