"""Folding of the configuration stream."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrun.configuration import Configuration, Fold, SnapshotSealer
from celeryrun.configuration._fold import OUTCOMES_KEPT
from celeryrun.configuration._model import encode_record
from celeryrun.exception import InvariantViolatedError
from celeryrun.kernel import set_strict
from celeryrun.tests.builders import build_change, build_page, build_plan, build_pool


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


@pytest.mark.parametrize("body", [b"{", b"", b"\xff\xfe", b"[" * 100_000, b'{"type":"other"}'])
def test_malformed_record_is_passed_over(body):
    fold = Fold()
    fold.take_page(build_page(body, build_change(put_plans=(build_plan("a"),))))
    assert fold.current.version == 2


def test_truncated_record_is_passed_over():
    fold = Fold()
    whole = build_change(put_plans=(build_plan("a"),))
    fold.take_page(build_page(encode_record(whole)[:-9], whole))
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


def test_hole_in_a_page_is_not_folded_over():
    fold = Fold()
    page = build_page(build_change(put_plans=(build_plan("a"),)), first=1)
    assert not fold.take(page.records[0])
    assert (fold.folded_to, fold.current.version) == (0, 0)


def test_forged_snapshot_moves_nobody():
    forger = Fold(SnapshotSealer("another key"))
    forger.take_page(build_page(build_change(put_plans=(build_plan("evil"),))))
    fresh = Fold(SnapshotSealer("our key"))
    assert not fresh.take_page(build_page(forger.snapshot(), first=1))
    assert fresh.current.version == 0
    follower = Fold(SnapshotSealer("our key"))
    follower.take_page(build_page(build_change(put_plans=(build_plan("a"),)), forger.snapshot()))
    assert list(follower.current.plans_by_workspace) == ["a"]


def test_late_snapshot_of_a_paused_node_moves_nobody_back():
    fold = Fold()
    first = build_change(put_plans=(build_plan("a"),))
    fold.take_page(build_page(first))
    late = fold.snapshot()
    second = build_change(base=1, put_plans=(build_plan("b"),))
    fold.take_page(build_page(first, second, late, late))
    assert fold.current.version == 2
    assert not fold.take_snapshot(late)


def test_newest_of_several_snapshots_is_taken():
    fold = Fold()
    fold.take_page(build_page(build_change(put_plans=(build_plan("a"),))))
    old = fold.snapshot()
    fold.take_page(build_page(build_change(base=1, put_plans=(build_plan("b"),)), first=1))
    fresh = Fold()
    fresh.take_page(build_page(fold.snapshot(), old, first=2))
    assert fresh.current == fold.current


def test_late_snapshot_does_not_count_as_carrying():
    fold = Fold()
    fold.take_page(build_page(build_change(put_plans=(build_plan("a"),))))
    late = fold.snapshot()
    page = build_page(*[b"junk"] * 1100, late, first=1)
    fold.take_page(page)
    assert fold.carried == 0.0


def test_forgotten_change_is_not_taken_twice():
    fold, other = Fold(), Fold()
    change = build_change(put_plans=(build_plan("a"),))
    dropped = build_change(base=1, drop_plans=("a",))
    flood = [build_change(base=99_999) for _ in range(OUTCOMES_KEPT + 1)]
    fold.take_page(build_page(change, dropped, *flood, change))
    assert fold.current.version == 2
    assert fold.known_since >= 0.0
    assert change.change_id not in other.outcome_by_change


def test_reader_from_a_snapshot_judges_repeats_as_all_others_do():
    # A change made upon a version that comes only later: rejected, then sent again.
    early = build_change(base=2, put_plans=(build_plan("c"),))
    contents = [early, build_change(put_plans=(build_plan("a"),))]
    whole = Fold()
    whole.take_page(build_page(*contents))
    snapshot = whole.snapshot()
    whole.take_page(build_page(early, first=2))
    fresh = Fold()
    fresh.take_page(build_page(snapshot, first=2))
    fresh.take_page(build_page(early, first=2))
    assert fresh.current == whole.current
    assert "c" not in fresh.current.plans_by_workspace


def test_two_contents_at_one_version_are_a_violation():
    fold = Fold()
    fold.take_page(build_page(build_change(put_plans=(build_plan("a"),))))
    set_strict(True)
    try:
        fold.compare_digest(1, fold.current.digest, "peer")
        with pytest.raises(InvariantViolatedError):
            fold.compare_digest(1, "0" * 16, "peer")
    finally:
        set_strict(False)


def test_delta_brings_what_a_peer_lacks_and_no_more():
    ahead, behind = Fold(), Fold()
    page = build_page(*_chain(20))
    ahead.take_page(page)
    for record in page.records[:15]:
        behind.take(record)
    delta = ahead.delta_from(behind.folded_to)
    assert len(delta.records) == 5
    assert behind.take_delta(delta)
    assert behind.current == ahead.current
    assert behind.outcome_by_change == ahead.outcome_by_change
    assert not behind.take_delta(delta)


def test_delta_that_leaves_a_hole_is_not_taken():
    ahead, behind = Fold(), Fold()
    ahead.take_page(build_page(*_chain(4)))
    assert not behind.take_delta(ahead.delta_from(2))
    assert behind.folded_to == 0


def test_delta_older_than_the_tail_is_refused():
    ahead = Fold()
    ahead.take_page(build_page(*_chain(3)))
    fresh = Fold()
    fresh.take_snapshot(ahead.snapshot())
    assert fresh.delta_from(1) is None


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.integers(0, 2**32), st.integers(1, 40))
def test_every_reader_ends_at_the_same_state(seed, count):
    """However a reader came by its state: by records, snapshots or deltas."""
    source = random.Random(seed)
    whole = Fold()
    page = build_page(*_mixed(source, count))
    states = [whole.snapshot()]
    for record in page.records:
        whole.take(record)
        states.append(whole.snapshot())
    reader = Fold()
    while reader.folded_to < whole.folded_to:
        match source.randrange(3):
            case 0:
                reader.take(page.records[reader.folded_to])
            case 1:
                reader.take_snapshot(source.choice(states))
            case 2:
                delta = whole.delta_from(source.randrange(whole.folded_to))
                reader.take_delta(delta)
    assert reader.snapshot() == whole.snapshot()
    again = Configuration.from_lists(
        whole.current.version, whole.current.plans, whole.current.pools
    )
    assert again.digest == whole.current.digest


def _chain(count):
    return [
        build_change(base=at, put_plans=(build_plan(f"w{at % 3}", 1 + at % 3),))
        for at in range(count)
    ]


def _mixed(source, count):
    """Build changes of which some are stale, faulty, repeated or malformed."""
    contents, version = [], 0
    for offset in range(count):
        kind = source.randrange(6)
        plan = build_plan(f"w{source.randrange(4)}", 9 if kind == 1 else 1 + source.randrange(3))
        change = build_change(
            base=version if kind else source.randrange(offset + 2),
            change_id=str(source.getrandbits(64)),
            put_plans=(plan,),
            drop_plans=(f"w{source.randrange(4)}",),
            put_pools=(build_pool(f"p{source.randrange(2)}"),),
        )
        content = (
            b"{" if kind == 2 else source.choice(contents) if kind == 3 and contents else change
        )
        contents.append(content)
        fold = Fold()
        fold.take_page(build_page(*contents))
        version = fold.current.version
    return contents
