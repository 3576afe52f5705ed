"""Folding of the configuration stream."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrun.configuration import Configuration, ConfigurationReplica, SnapshotSigner
from celeryrun.configuration._model import encode_record
from celeryrun.configuration._replica import OUTCOMES_KEPT
from celeryrun.exception import InvariantViolatedError
from celeryrun.kernel import set_strict
from celeryrun.tests.builders import build_change, build_page, build_plan, build_pool


def test_racing_changes_are_settled_by_log_order():
    fold = ConfigurationReplica()
    first = build_change(put_plans=(build_plan("a"),))
    second = build_change(put_plans=(build_plan("b"),))
    fold.apply_page(build_page(first, second))
    assert list(fold.current.plans_by_workspace) == ["a"]
    assert not fold.outcome_by_change_id[second.change_id].accepted


def test_repeated_change_is_taken_once():
    fold = ConfigurationReplica()
    change = build_change(put_plans=(build_plan("a"),))
    fold.apply_page(build_page(change, change))
    assert fold.current.version == 1
    assert fold.outcome_by_change_id[change.change_id].accepted


@pytest.mark.parametrize("body", [b"{", b"", b"\xff\xfe", b"[" * 100_000, b'{"type":"other"}'])
def test_malformed_record_is_passed_over(body):
    fold = ConfigurationReplica()
    fold.apply_page(build_page(body, build_change(put_plans=(build_plan("a"),))))
    assert fold.current.version == 2


def test_truncated_record_is_passed_over():
    fold = ConfigurationReplica()
    whole = build_change(put_plans=(build_plan("a"),))
    fold.apply_page(build_page(encode_record(whole)[:-9], whole))
    assert fold.current.version == 2


def test_fresh_reader_starts_from_a_snapshot():
    whole = ConfigurationReplica()
    first = build_change(put_plans=(build_plan("a"),))
    second = build_change(base=1, put_plans=(build_plan("b"),))
    whole.apply_page(build_page(first))
    snapshot = whole.snapshot()
    whole.apply_page(build_page(second, first=1))
    fresh = ConfigurationReplica()
    fresh.apply_page(build_page(second, snapshot, first=1))
    assert fresh.current == whole.current


def test_hole_in_a_page_is_not_folded_over():
    fold = ConfigurationReplica()
    page = build_page(build_change(put_plans=(build_plan("a"),)), first=1)
    assert not fold.apply_record(page.records[0])
    assert (fold.folded_to, fold.current.version) == (0, 0)


def test_forged_snapshot_moves_nobody():
    forger = ConfigurationReplica(SnapshotSigner("another key"))
    forger.apply_page(build_page(build_change(put_plans=(build_plan("evil"),))))
    fresh = ConfigurationReplica(SnapshotSigner("our key"))
    assert not fresh.apply_page(build_page(forger.snapshot(), first=1))
    assert fresh.current.version == 0
    follower = ConfigurationReplica(SnapshotSigner("our key"))
    follower.apply_page(build_page(build_change(put_plans=(build_plan("a"),)), forger.snapshot()))
    assert list(follower.current.plans_by_workspace) == ["a"]


def test_late_snapshot_of_a_paused_node_moves_nobody_back():
    fold = ConfigurationReplica()
    first = build_change(put_plans=(build_plan("a"),))
    fold.apply_page(build_page(first))
    late = fold.snapshot()
    second = build_change(base=1, put_plans=(build_plan("b"),))
    fold.apply_page(build_page(first, second, late, late))
    assert fold.current.version == 2
    assert not fold.apply_snapshot(late)


def test_newest_of_several_snapshots_is_taken():
    fold = ConfigurationReplica()
    fold.apply_page(build_page(build_change(put_plans=(build_plan("a"),))))
    old = fold.snapshot()
    fold.apply_page(build_page(build_change(base=1, put_plans=(build_plan("b"),)), first=1))
    fresh = ConfigurationReplica()
    fresh.apply_page(build_page(fold.snapshot(), old, first=2))
    assert fresh.current == fold.current


def test_late_snapshot_does_not_count_as_carrying():
    fold = ConfigurationReplica()
    fold.apply_page(build_page(build_change(put_plans=(build_plan("a"),))))
    late = fold.snapshot()
    page = build_page(*[b"junk"] * 1100, late, first=1)
    fold.apply_page(page)
    assert fold.snapshot_time == 0.0


def test_forgotten_change_is_not_taken_twice():
    fold, other = ConfigurationReplica(), ConfigurationReplica()
    change = build_change(put_plans=(build_plan("a"),))
    dropped = build_change(base=1, drop_plans=("a",))
    flood = [build_change(base=99_999) for _ in range(OUTCOMES_KEPT + 1)]
    fold.apply_page(build_page(change, dropped, *flood, change))
    assert fold.current.version == 2
    assert fold.known_since >= 0.0
    assert change.change_id not in other.outcome_by_change_id


def test_reader_from_a_snapshot_judges_repeats_as_all_others_do():
    # A change made upon a version that comes only later: rejected, then sent again.
    early = build_change(base=2, put_plans=(build_plan("c"),))
    contents = [early, build_change(put_plans=(build_plan("a"),))]
    whole = ConfigurationReplica()
    whole.apply_page(build_page(*contents))
    snapshot = whole.snapshot()
    whole.apply_page(build_page(early, first=2))
    fresh = ConfigurationReplica()
    fresh.apply_page(build_page(snapshot, first=2))
    fresh.apply_page(build_page(early, first=2))
    assert fresh.current == whole.current
    assert "c" not in fresh.current.plans_by_workspace


def test_two_contents_at_one_version_are_a_violation():
    fold = ConfigurationReplica()
    fold.apply_page(build_page(build_change(put_plans=(build_plan("a"),))))
    set_strict(True)
    try:
        fold.check_digest(1, fold.current.digest, "peer")
        with pytest.raises(InvariantViolatedError):
            fold.check_digest(1, "0" * 16, "peer")
    finally:
        set_strict(False)


def test_delta_brings_what_a_peer_lacks_and_no_more():
    ahead, behind = ConfigurationReplica(), ConfigurationReplica()
    page = build_page(*_chain(20))
    ahead.apply_page(page)
    for record in page.records[:15]:
        behind.apply_record(record)
    delta = ahead.delta_from(behind.folded_to)
    assert len(delta.records) == 5
    assert behind.apply_delta(delta)
    assert behind.current == ahead.current
    assert behind.outcome_by_change_id == ahead.outcome_by_change_id
    assert not behind.apply_delta(delta)


def test_delta_that_leaves_a_hole_is_not_taken():
    ahead, behind = ConfigurationReplica(), ConfigurationReplica()
    ahead.apply_page(build_page(*_chain(4)))
    assert not behind.apply_delta(ahead.delta_from(2))
    assert behind.folded_to == 0


def test_delta_older_than_the_tail_is_refused():
    ahead = ConfigurationReplica()
    ahead.apply_page(build_page(*_chain(3)))
    fresh = ConfigurationReplica()
    fresh.apply_snapshot(ahead.snapshot())
    assert fresh.delta_from(1) is None


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.integers(0, 2**32), st.integers(1, 40))
def test_every_reader_ends_at_the_same_state(seed, count):
    """However a reader came by its state: by records, snapshots or deltas."""
    source = random.Random(seed)
    whole = ConfigurationReplica()
    page = build_page(*_mixed(source, count))
    states = [whole.snapshot()]
    for record in page.records:
        whole.apply_record(record)
        states.append(whole.snapshot())
    reader = ConfigurationReplica()
    while reader.folded_to < whole.folded_to:
        match source.randrange(3):
            case 0:
                reader.apply_record(page.records[reader.folded_to])
            case 1:
                reader.apply_snapshot(source.choice(states))
            case 2:
                delta = whole.delta_from(source.randrange(whole.folded_to))
                reader.apply_delta(delta)
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
        fold = ConfigurationReplica()
        fold.apply_page(build_page(*contents))
        version = fold.current.version
    return contents
