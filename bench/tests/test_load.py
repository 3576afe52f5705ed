"""Arrivals are seeded, and a caller's do not depend on the others'."""

from bench._deployment import CAJAS, build_load
from bench._load import plan_arrivals


def arrivals(load, workspace):
    planned = plan_arrivals(build_load(CAJAS, load), 5.0, 6, seed=1)
    return [(a.at, a.node) for a in planned if a.caller.workspace == workspace]


def test_a_flood_leaves_the_others_arrivals_alone():
    assert arrivals("steady-60", "drivers") == arrivals("flood-low", "drivers")
    assert len(arrivals("flood-low", "contracts-north")) > 5 * len(
        arrivals("steady-60", "contracts-north")
    )


def test_every_load_asks_for_what_its_name_says():
    for name, level in (("steady-60", 0.6), ("steady-95", 0.95)):
        load = build_load(CAJAS, name)
        work = sum(caller.work * rate for caller, rate in load.rate_by_caller if caller.prompt)
        assert abs(work / CAJAS.capacity_by_pool["drafts"] - level) < 0.01
