"""Choice of a pool among a route's splits."""

from celeryrun.catalog import RequestKind, Route, Split
from celeryrun.gateway._admission import choose_pool


def test_splits_that_all_weigh_nothing_are_chosen_evenly():
    splits = (Split("a", 0.0), Split("b", 0.0))
    route = Route("r", "site.example", "/", RequestKind(), 1.0, 1.0, 1, 0, False, splits)
    assert {choose_pool(route) for _ in range(100)} == {"a", "b"}
