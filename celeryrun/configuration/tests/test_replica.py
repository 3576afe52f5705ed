"""Tests of the replay of the configuration stream."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrun.configuration import Configuration, ConfigurationReplica, SnapshotSigner
from celeryrun.configuration._model import encode_record
from celeryrun.configuration._replica import MAX_OUTCOMES
from celeryrun.exception import InvariantViolatedError
from celeryrun.kernel import set_strict
from celeryrun.tests.builders import build_change, build_page, build_plan, build_pool


def test_first_of_two_concurrent_changes_wins():
    replica = ConfigurationReplica()
    first = build_change(put_plans=(build_plan("a"),))
    second = build_change(put_plans=(build_plan("b"),))
    replica.apply_page(build_page(first, second))
    assert list(replica.current.plans_by_workspace) == ["a"]
    assert not replica.outcome_by_change_id[second.change_id].accepted


def test_repeated_change_is_applied_once():
    replica = ConfigurationReplica()
    change = build_change(put_plans=(build_plan("a"),))
    replica.apply_page(build_page(change, change))
    assert replica.current.version == 1
    assert replica.outcome_by_change_id[change.change_id].accepted


@pytest.mark.parametrize("body", [b"{", b"", b"\xff\xfe", b"[" * 100_000, b'{"type":"other"}'])
def test_malformed_record_is_skipped(body):
    replica = ConfigurationReplica()
    replica.apply_page(build_page(body, build_change(put_plans=(build_plan("a"),))))
    assert replica.current.version == 2


def test_truncated_record_is_skipped():
    replica = ConfigurationReplica()
    change = build_change(put_plans=(build_plan("a"),))
    replica.apply_page(build_page(encode_record(change)[:-9], change))
    assert replica.current.version == 2


def test_new_replica_starts_from_a_snapshot():
    reference = ConfigurationReplica()
    first = build_change(put_plans=(build_plan("a"),))
    second = build_change(base=1, put_plans=(build_plan("b"),))
    reference.apply_page(build_page(first))
    snapshot = reference.snapshot()
    reference.apply_page(build_page(second, first=1))
    new = ConfigurationReplica()
    new.apply_page(build_page(second, snapshot, first=1))
    assert new.current == reference.current


def test_record_after_a_gap_is_not_applied():
    replica = ConfigurationReplica()
    page = build_page(build_change(put_plans=(build_plan("a"),)), first=1)
    assert not replica.apply_record(page.records[0])
    assert (replica.folded_to, replica.current.version) == (0, 0)


def test_forged_snapshot_is_ignored():
    forger = ConfigurationReplica(SnapshotSigner("another key"))
    forger.apply_page(build_page(build_change(put_plans=(build_plan("evil"),))))
    new = ConfigurationReplica(SnapshotSigner("our key"))
    assert not new.apply_page(build_page(forger.snapshot(), first=1))
    assert new.current.version == 0
    other = ConfigurationReplica(SnapshotSigner("our key"))
    other.apply_page(build_page(build_change(put_plans=(build_plan("a"),)), forger.snapshot()))
    assert list(other.current.plans_by_workspace) == ["a"]


def test_outdated_snapshot_of_a_paused_node_is_ignored():
    replica = ConfigurationReplica()
    first = build_change(put_plans=(build_plan("a"),))
    replica.apply_page(build_page(first))
    outdated = replica.snapshot()
    second = build_change(base=1, put_plans=(build_plan("b"),))
    replica.apply_page(build_page(first, second, outdated, outdated))
    assert replica.current.version == 2
    assert not replica.apply_snapshot(outdated)


def test_newest_of_several_snapshots_is_applied():
    replica = ConfigurationReplica()
    replica.apply_page(build_page(build_change(put_plans=(build_plan("a"),))))
    old = replica.snapshot()
    replica.apply_page(build_page(build_change(base=1, put_plans=(build_plan("b"),)), first=1))
    new = ConfigurationReplica()
    new.apply_page(build_page(replica.snapshot(), old, first=2))
    assert new.current == replica.current


def test_outdated_snapshot_does_not_change_the_snapshot_time():
    replica = ConfigurationReplica()
    replica.apply_page(build_page(build_change(put_plans=(build_plan("a"),))))
    outdated = replica.snapshot()
    page = build_page(*[b"junk"] * 1100, outdated, first=1)
    replica.apply_page(page)
    assert replica.snapshot_time == 0.0


def test_change_with_an_evicted_outcome_is_not_applied_twice():
    replica, other = ConfigurationReplica(), ConfigurationReplica()
    change = build_change(put_plans=(build_plan("a"),))
    dropped = build_change(base=1, drop_plans=("a",))
    flood = [build_change(base=99_999) for _ in range(MAX_OUTCOMES + 1)]
    replica.apply_page(build_page(change, dropped, *flood, change))
    assert replica.current.version == 2
    assert replica.known_since >= 0.0
    assert change.change_id not in other.outcome_by_change_id


def test_replica_from_a_snapshot_rejects_the_same_repeated_changes():
    # The base of this change is a later version: it is rejected, then sent again.
    premature = build_change(base=2, put_plans=(build_plan("c"),))
    contents = [premature, build_change(put_plans=(build_plan("a"),))]
    reference = ConfigurationReplica()
    reference.apply_page(build_page(*contents))
    snapshot = reference.snapshot()
    reference.apply_page(build_page(premature, first=2))
    new = ConfigurationReplica()
    new.apply_page(build_page(snapshot, first=2))
    new.apply_page(build_page(premature, first=2))
    assert new.current == reference.current
    assert "c" not in new.current.plans_by_workspace


def test_different_lists_at_one_version_are_a_violation():
    replica = ConfigurationReplica()
    replica.apply_page(build_page(build_change(put_plans=(build_plan("a"),))))
    set_strict(True)
    try:
        replica.check_digest(1, replica.current.digest, "peer")
        with pytest.raises(InvariantViolatedError):
            replica.check_digest(1, "0" * 16, "peer")
    finally:
        set_strict(False)


def test_delta_holds_only_the_changes_that_a_peer_lacks():
    ahead, behind = ConfigurationReplica(), ConfigurationReplica()
    page = build_page(*_build_changes(20))
    ahead.apply_page(page)
    for record in page.records[:15]:
        behind.apply_record(record)
    delta = ahead.delta_from(behind.folded_to)
    assert len(delta.records) == 5
    assert behind.apply_delta(delta)
    assert behind.current == ahead.current
    assert behind.outcome_by_change_id == ahead.outcome_by_change_id
    assert not behind.apply_delta(delta)


def test_delta_that_leaves_a_gap_is_not_applied():
    ahead, behind = ConfigurationReplica(), ConfigurationReplica()
    ahead.apply_page(build_page(*_build_changes(4)))
    assert not behind.apply_delta(ahead.delta_from(2))
    assert behind.folded_to == 0


def test_no_delta_for_changes_no_longer_in_memory():
    ahead = ConfigurationReplica()
    ahead.apply_page(build_page(*_build_changes(3)))
    new = ConfigurationReplica()
    new.apply_snapshot(ahead.snapshot())
    assert new.delta_from(1) is None


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.integers(0, 2**32), st.integers(1, 40))
def test_all_replicas_reach_the_same_state(seed, count):
    """Replicas agree whether they apply records, snapshots or deltas."""
    rng = random.Random(seed)
    reference = ConfigurationReplica()
    page = build_page(*_build_mixed_records(rng, count))
    snapshots = [reference.snapshot()]
    for record in page.records:
        reference.apply_record(record)
        snapshots.append(reference.snapshot())
    reader = ConfigurationReplica()
    while reader.folded_to < reference.folded_to:
        match rng.randrange(3):
            case 0:
                reader.apply_record(page.records[reader.folded_to])
            case 1:
                reader.apply_snapshot(rng.choice(snapshots))
            case 2:
                delta = reference.delta_from(rng.randrange(reference.folded_to))
                reader.apply_delta(delta)
    assert reader.snapshot() == reference.snapshot()
    rebuilt = Configuration.from_lists(
        reference.current.version, reference.current.plans, reference.current.pools
    )
    assert rebuilt.digest == reference.current.digest


def _build_changes(count):
    return [
        build_change(base=at, put_plans=(build_plan(f"w{at % 3}", 1 + at % 3),))
        for at in range(count)
    ]


def _build_mixed_records(rng, count):
    """Build changes, some of them outdated, invalid, repeated or malformed."""
    contents, version = [], 0
    for offset in range(count):
        kind = rng.randrange(6)
        plan = build_plan(f"w{rng.randrange(4)}", 9 if kind == 1 else 1 + rng.randrange(3))
        change = build_change(
            base=version if kind else rng.randrange(offset + 2),
            change_id=str(rng.getrandbits(64)),
            put_plans=(plan,),
            drop_plans=(f"w{rng.randrange(4)}",),
            put_pools=(build_pool(f"p{rng.randrange(2)}"),),
        )
        content = b"{" if kind == 2 else rng.choice(contents) if kind == 3 and contents else change
        contents.append(content)
        replica = ConfigurationReplica()
        replica.apply_page(build_page(*contents))
        version = replica.current.version
    return contents
