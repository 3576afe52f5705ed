"""Tests of the upper bound on the worth that any planner could serve."""

import pytest

from bench.bound import RequestClass, plan_window, worth_bound

ENGINE = {
    "step_ms": 4.0,
    "step_ms_per_slot": 0.0,
    "batch": 4,
    "stride": 1,
    "prefill_tokens_per_ms": 1.0,
}


def build_site(speeds=(1.0,), count=2):
    """Build a site whose class needs 0.2 s of an engine: 0.1 s of prefill and 100 batched steps."""
    stream = {"pieces": {"mean": 100.0}, "prompt_tokens": {"mean": 100.0}}
    return {
        "thin": 1.0,
        "length_s": 12.0,
        "classes": [{"name": "chat", "worth": 1.0, "stream": stream}],
        "services": [
            {"name": "m", "llm": ENGINE, "speeds": list(speeds), "servers": [{"count": count}]}
        ],
        "traffic": [{"per_s": 20.0, "mix": {"chat": 1.0, "other": 1.0}}],
    }


@pytest.mark.parametrize(
    ("site", "day", "share"),
    [
        (build_site(), {}, 1.0),
        (build_site(count=1), {}, 0.5),
        (build_site(speeds=(1.0, 2.0), count=2), {}, 0.75),
        (build_site(), {"faults": [{"kind": "burst", "at": 0, "for_s": 12, "x": 2.0}]}, 0.5),
        (
            build_site(),
            {"faults": [{"kind": "srv_crash", "at": 0, "for_s": 12, "share": 0.5}]},
            0.5,
        ),
    ],
)
def test_share_is_capacity_over_offered_work(site, day, share):
    total_share, share_by_class = worth_bound(site, day)
    assert total_share == pytest.approx(share)
    assert share_by_class["chat"] == pytest.approx(share)


def test_highest_worth_per_work_is_served_first():
    dense, large = RequestClass("dense", 0.1, 1.0), RequestClass("large", 1.0, 2.0)
    assert plan_window({large: 10, dense: 10}, 2.0) == {dense: 10, large: pytest.approx(1.0)}
