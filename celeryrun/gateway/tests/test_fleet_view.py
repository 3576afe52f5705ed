"""What a node concludes from the silence of the others, without a network."""

import pytest

from celeryrun.gateway._fleet_view import ASSUMED_NODES, SILENCE_TIMEOUT, FleetView

LISTED = {"a", "b", "c", "d", "e", "f"}
LONG = 10 * SILENCE_TIMEOUT


def build_view(connected=(), time=0.0):
    """Build the view of node "a", which has heard of the connected nodes at a time."""
    view = FleetView("a")
    view.share(LISTED, {"a"}, time)
    for node in connected:
        view.record_seen(node, time)
    return view


def test_silence_counts_from_the_loss_of_the_scheduler():
    """A node that had run for 30 s took the whole fleet for gone as soon as it was cut off."""
    view = build_view()
    view.record_in_touch(LONG)
    assert view.share(LISTED, {"a"}, LONG + SILENCE_TIMEOUT - 1) == pytest.approx(1 / 6)
    assert view.share(LISTED, {"a"}, LONG + SILENCE_TIMEOUT) == 1.0


def test_node_that_uses_another_scheduler_has_its_own_share_at_most():
    view = build_view()
    for time in (0.0, LONG):
        view.record_in_touch(time)
        assert view.share(LISTED, (), time) <= 1 / 6


def test_shares_of_a_partition_sum_to_the_limit():
    whole = build_view(LISTED, LONG)
    cut_off = FleetView("b")
    cut_off.share(LISTED, {"b"}, 0.0)
    cut_off.record_in_touch(LONG)
    for time in (LONG, LONG + SILENCE_TIMEOUT - 1):
        shares = whole.share(LISTED, LISTED - {"b"}, time), cut_off.share(LISTED, {"b"}, time)
        assert sum(shares) == pytest.approx(1.0)


def test_scheduler_redistributes_the_share_of_a_node_that_is_gone():
    view = build_view(LISTED)
    rest = LISTED - {"f"}
    assert view.share(LISTED, rest, SILENCE_TIMEOUT - 1) == pytest.approx(5 / 6)
    assert view.share(LISTED, rest, SILENCE_TIMEOUT) == 1.0


def test_next_scheduler_knows_at_once_who_is_gone():
    """Without it, each change of the scheduler took the shares of former nodes for 30 s."""
    first = build_view(LISTED)
    assert first.update_absent(LISTED, LISTED - {"f"}, LONG) == ["f"]
    second = FleetView("b")
    second.record_in_touch(LONG)
    second.replace_absent(first.absent)
    assert second.share(LISTED, LISTED - {"a", "f"}, LONG + 1) == pytest.approx(4 / 5)


def test_node_that_returns_is_not_gone():
    view = build_view(LISTED)
    view.update_absent(LISTED, LISTED - {"f"}, LONG)
    view.record_seen("f", LONG)
    assert view.absent == frozenset()
    assert view.share(LISTED, LISTED - {"f"}, LONG + 1) == pytest.approx(5 / 6)


def test_node_that_hears_nothing_finds_nobody_gone():
    view = build_view()
    assert view.update_absent(LISTED, {"a"}, LONG) == []
    assert view.share(LISTED, {"a"}, LONG) == 1.0
    assert not view.are_most(LISTED, {"a"})


def test_rest_of_a_fleet_that_shrank_are_most_of_it():
    view = build_view(LISTED)
    for connected in ({"a", "d", "e", "f"}, {"a", "e", "f"}, {"a", "f"}):
        assert view.are_most(LISTED, connected)
        view.update_absent(LISTED, connected, LONG)
    assert view.are_most(LISTED, {"a", "f"})
    assert not view.are_most(LISTED, {"a"})


def test_node_that_left_the_registry_takes_no_share():
    view = build_view(LISTED)
    view.update_absent(LISTED, LISTED - {"f"}, LONG)
    rest = LISTED - {"f"}
    view.update_absent(rest, rest, LONG + 1)
    assert view.absent == frozenset()
    assert view.share(rest, rest, LONG + 1) == 1.0


def test_unknown_fleet_counts_as_the_largest():
    """A node that could not read the registry took itself for the whole fleet."""
    view = FleetView("a")
    assert view.share((), {"a"}, 0.0, is_complete=False) == 1 / ASSUMED_NODES
    assert view.share((), {"a", "b"}, LONG, is_complete=False) == 2 / ASSUMED_NODES
    assert view.share((), {"a"}, 0.0) == 1.0
