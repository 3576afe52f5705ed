"""Tests that arrivals are seeded and independent of the other callers."""

from bench._deployment import CAJAS, build_load
from bench._load import plan_arrivals


def arrivals_of(load, workspace):
    arrivals = plan_arrivals(build_load(CAJAS, load), 5.0, 6, seed=1)
    return [(a.at, a.node) for a in arrivals if a.caller.workspace == workspace]


def test_flood_does_not_change_arrivals_of_other_callers():
    assert arrivals_of("steady-60", "drivers") == arrivals_of("flood-low", "drivers")
    assert len(arrivals_of("flood-low", "contracts-north")) > 5 * len(
        arrivals_of("steady-60", "contracts-north")
    )


def test_load_level_matches_name():
    for name, level in (("steady-60", 0.6), ("steady-95", 0.95)):
        load = build_load(CAJAS, name)
        work = sum(caller.work * rate for caller, rate in load.rate_by_caller if caller.prompt)
        assert abs(work / CAJAS.capacity_by_pool["drafts"] - level) < 0.01
