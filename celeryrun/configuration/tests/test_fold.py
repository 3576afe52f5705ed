"""Folding of the configuration stream."""

from celeryrun.configuration import Fold
from celeryrun.tests.builders import build_change, build_page, build_plan


def test_racing_changes_are_settled_by_log_order():
    fold = Fold()
    first = build_change(put_plans=(build_plan("a"),))
    second = build_change(put_plans=(build_plan("b"),))
    fold.take_page(build_page(first, second))
    assert list(fold.current.plans_by_workspace) == ["a"]
    assert not fold.outcome_by_change[second.change_id].accepted


def test_repeated_change_is_taken_once():
    fold = Fold()
    change = build_change(put_plans=(build_plan("a"),))
    fold.take_page(build_page(change, change))
    assert fold.current.version == 1
    assert fold.outcome_by_change[change.change_id].accepted


def test_malformed_record_is_passed_over():
    fold = Fold()
    fold.take_page(build_page(b"{", build_change(put_plans=(build_plan("a"),))))
    assert fold.current.version == 2


def test_fresh_reader_starts_from_a_snapshot():
    whole = Fold()
    first = build_change(put_plans=(build_plan("a"),))
    second = build_change(base=1, put_plans=(build_plan("b"),))
    whole.take_page(build_page(first))
    snapshot = whole.snapshot()
    whole.take_page(build_page(second, first=1))
    fresh = Fold()
    fresh.take_page(build_page(second, snapshot, first=1))
    assert fresh.current == whole.current
