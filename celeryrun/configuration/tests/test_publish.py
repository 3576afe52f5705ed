"""Tests of publication to a log with faults."""

import threading

import pytest

from celeryrun.configuration import (
    Configuration,
    ConfigurationReplica,
    Publisher,
    SnapshotSigner,
    new_change_id,
)
from celeryrun.configuration._log_follower import LogFollower
from celeryrun.configuration.tests.memory_log import MemoryLog
from celeryrun.exception import (
    ConfigurationRejectedError,
    LogUnavailableError,
    RecordsExpiredError,
)
from celeryrun.tests.builders import build_change, build_plan

KEY = "0123456789abcdef"


def build_lists(*workspaces):
    return Configuration.from_lists(0, tuple(map(build_plan, workspaces)), ())


def build_publisher(log, patience=5.0):
    return Publisher(log, patience, KEY)


def replay_all(log):
    replica = ConfigurationReplica(SnapshotSigner(KEY))
    while replica.folded_to < len(log.bodies):
        assert replica.apply_page(log.read("", replica.folded_to))
    return replica


def build_trimmed_log(count=9):
    """Return a log without its first records, and with a snapshot several pages into the rest."""
    log = MemoryLog(
        *(build_change(base=at, put_plans=(build_plan(f"w{at}"),)) for at in range(count))
    )
    snapshot = replay_all(log).snapshot()
    log.first = count
    for _ in range(9):
        log.write(b"junk")
    log.write(snapshot)
    return log


def test_lost_response_is_retried_with_the_same_change_id():
    log = MemoryLog()
    log.lost_responses = 1
    outcome = build_publisher(log).publish(build_lists("a"))
    assert outcome.accepted
    assert replay_all(log).current.version == outcome.version == 1


def test_publication_is_rejected_if_another_one_was_first():
    log = MemoryLog()
    log.before_append = lambda: log.write(build_change(put_plans=(build_plan("first"),)))
    with pytest.raises(ConfigurationRejectedError, match="publish again"):
        build_publisher(log).publish(build_lists("second"))
    assert list(replay_all(log).current.plans_by_workspace) == ["first"]


def test_lists_based_on_an_older_version_are_rejected():
    log = MemoryLog()
    base = build_publisher(log).read().version
    build_publisher(log).publish(build_lists("a"), base=base)
    with pytest.raises(ConfigurationRejectedError, match="made upon version 0"):
        build_publisher(log).publish(build_lists("b"), base=base)
    assert list(build_publisher(log).read().plans_by_workspace) == ["a"]


def test_change_id_returns_the_outcome_of_an_earlier_attempt():
    log, change_id = MemoryLog(), new_change_id()
    first = build_publisher(log).publish(build_lists("a"), change_id)
    build_publisher(log).publish(build_lists("b"))
    again = build_publisher(log).publish(build_lists("a"), change_id)
    assert again == first
    assert list(replay_all(log).current.plans_by_workspace) == ["b"]


def test_publisher_finds_a_snapshot_several_pages_into_a_trimmed_log():
    log = build_trimmed_log()
    outcome = build_publisher(log).publish(build_lists("a"))
    assert outcome.accepted
    assert outcome.version == len(log.bodies)


def test_change_id_with_an_evicted_outcome_is_rejected_and_not_applied_twice():
    log, change_id = MemoryLog(), new_change_id()
    build_publisher(log).publish(build_lists("a"), change_id)
    build_publisher(log).publish(build_lists("b"))
    replica = replay_all(log)
    replica.outcome_by_change_id.clear()
    replica.known_since = 1e12
    log.write(replica.snapshot())
    log.first = 2
    with pytest.raises(RecordsExpiredError, match="publish anew"):
        build_publisher(log).publish(build_lists("a"), change_id)
    with pytest.raises(RecordsExpiredError, match="no change id"):
        build_publisher(log).publish(build_lists("a"), "made-up")


def test_missing_records_without_a_snapshot_are_an_error():
    log = MemoryLog(*[b"junk"] * 5)
    log.first = 3
    with pytest.raises(RecordsExpiredError, match="no snapshot"):
        build_publisher(log, patience=0.1).publish(build_lists("a"))


def test_unavailable_log_error_names_the_change_id():
    log = MemoryLog()
    log.read = lambda *_: (_ for _ in ()).throw(LogUnavailableError("no answer", False))
    change_id = new_change_id()
    with pytest.raises(LogUnavailableError, match=change_id):
        build_publisher(log, patience=0.1).publish(build_lists("a"), change_id)


def test_confirmed_change_survives_restored_log_that_is_published_to_again():
    log = MemoryLog()
    build_publisher(log).publish(build_lists("w0"))
    copy = list(log.bodies)
    build_publisher(log).publish(build_lists("w0", "w1"))
    build_publisher(log).publish(build_lists("w0", "w1", "w2"))
    replica = ConfigurationReplica(SnapshotSigner(KEY))
    follower = LogFollower(log, "", replica, threading.Lock())
    while not follower.read_page(0.0).caught_up:
        pass
    log.bodies[:] = copy
    log.era = 2
    build_publisher(log).publish(build_lists("w0", "w3"))
    for _ in range(3):
        follower.read_page(0.0)
    workspaces = set(replica.current.plans_by_workspace)
    assert {"w1", "w2"} <= workspaces
    assert workspaces == set(build_publisher(log).read().plans_by_workspace)
