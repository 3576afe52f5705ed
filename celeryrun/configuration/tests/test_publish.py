"""Publishing against a log with faults."""

import pytest

from celeryrun.configuration import (
    Configuration,
    ConfigurationReplica,
    Publisher,
    SnapshotSigner,
    new_change_id,
)
from celeryrun.configuration.tests.memory_log import MemoryLog
from celeryrun.exception import (
    ConfigurationForgottenError,
    ConfigurationRejectedError,
    LogUnavailableError,
)
from celeryrun.tests.builders import build_change, build_plan

KEY = "0123456789abcdef"


def lists(*workspaces):
    return Configuration.from_lists(0, tuple(map(build_plan, workspaces)), ())


def publisher(log, patience=5.0):
    return Publisher(log, patience, KEY)


def fold_all(log):
    fold = ConfigurationReplica(SnapshotSigner(KEY))
    while fold.folded_to < len(log.bodies):
        assert fold.apply_page(log.read("", fold.folded_to))
    return fold


def trimmed_log(count=9):
    """A log whose first records are forgotten, and the snapshot pages behind the first kept."""
    log = MemoryLog(
        *(build_change(base=at, put_plans=(build_plan(f"w{at}"),)) for at in range(count))
    )
    snapshot = fold_all(log).snapshot()
    log.first = count
    for _ in range(9):
        log.write(b"junk")
    log.write(snapshot)
    return log


def test_lost_answer_is_retried_under_the_same_id():
    log = MemoryLog()
    log.lose_answers = 1
    outcome = publisher(log).publish(lists("a"))
    assert outcome.accepted
    assert fold_all(log).current.version == outcome.version == 1


def test_race_is_told_to_the_loser():
    log = MemoryLog()
    log.before_append = lambda: log.write(build_change(put_plans=(build_plan("first"),)))
    with pytest.raises(ConfigurationRejectedError, match="publish again"):
        publisher(log).publish(lists("second"))
    assert list(fold_all(log).current.plans_by_workspace) == ["first"]


def test_lists_made_upon_an_older_version_take_nothing_back():
    log = MemoryLog()
    base = publisher(log).read().version
    publisher(log).publish(lists("a"), base=base)
    with pytest.raises(ConfigurationRejectedError, match="made upon version 0"):
        publisher(log).publish(lists("b"), base=base)
    assert list(publisher(log).read().plans_by_workspace) == ["a"]


def test_outcome_of_an_earlier_try_is_found_by_its_id():
    log, change_id = MemoryLog(), new_change_id()
    first = publisher(log).publish(lists("a"), change_id)
    publisher(log).publish(lists("b"))
    again = publisher(log).publish(lists("a"), change_id)
    assert again == first
    assert list(fold_all(log).current.plans_by_workspace) == ["b"]


def test_publisher_finds_a_snapshot_many_pages_into_a_trimmed_log():
    log = trimmed_log()
    outcome = publisher(log).publish(lists("a"))
    assert outcome.accepted
    assert outcome.version == len(log.bodies)


def test_forgotten_change_id_is_refused_and_not_run_twice():
    log, change_id = MemoryLog(), new_change_id()
    publisher(log).publish(lists("a"), change_id)
    publisher(log).publish(lists("b"))
    fold = fold_all(log)
    fold.outcome_by_change_id.clear()
    fold.known_since = 1e12
    log.write(fold.snapshot())
    log.first = 2
    with pytest.raises(ConfigurationForgottenError, match="publish anew"):
        publisher(log).publish(lists("a"), change_id)
    with pytest.raises(ConfigurationForgottenError, match="no change id"):
        publisher(log).publish(lists("a"), "made-up")


def test_log_without_snapshot_says_so():
    log = MemoryLog(*[b"junk"] * 5)
    log.first = 3
    with pytest.raises(ConfigurationForgottenError, match="no snapshot"):
        publisher(log, patience=0.1).publish(lists("a"))


def test_silent_log_names_the_change_id():
    log = MemoryLog()
    log.read = lambda *_: (_ for _ in ()).throw(LogUnavailableError("no answer", False))
    change_id = new_change_id()
    with pytest.raises(LogUnavailableError, match=change_id):
        publisher(log, patience=0.1).publish(lists("a"), change_id)
