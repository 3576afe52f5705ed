"""Tests of when a node appends a snapshot."""

import threading
import time
from types import SimpleNamespace

import pytest

from celeryrun.configuration import ConfigurationReplica, LogFollower
from celeryrun.configuration._snapshot_appender import SnapshotAppender
from celeryrun.configuration.tests.memory_log import MemoryLog
from celeryrun.kernel import Kernel
from celeryrun.kernel._rendezvous import rank
from celeryrun.settings import parse_settings
from celeryrun.tests.builders import build_change, build_plan, build_settings

NAMES = ["a", "b", "c"]
HOUR = 3600.0


def build_appender(name, replica):
    kernel = Kernel()
    members = SimpleNamespace(
        local_member=SimpleNamespace(name=name), eligible_nodes=lambda: list(NAMES)
    )
    kernel.register("members", members)
    platform = parse_settings(build_settings(platform__retention="1h")).platform
    return SnapshotAppender(kernel, platform, replica, threading.Lock())


def build_follower(age):
    """Return a log of one change, of an age in seconds, and a follower that has not read it."""
    log = MemoryLog(build_change(put_plans=(build_plan("a"),)))
    log.born = time.time() - age
    replica = ConfigurationReplica()
    return log, LogFollower(log, "", replica, threading.Lock())


@pytest.mark.parametrize(
    ("position", "age", "is_due"),
    [
        (0, 0.29 * HOUR, False),
        (0, 0.31 * HOUR, True),
        (1, 0.31 * HOUR, False),
        (1, 0.36 * HOUR, True),
        (2, 0.36 * HOUR, False),
        (2, 0.41 * HOUR, True),
    ],
)
def test_snapshot_is_due_later_for_nodes_further_down_the_order(position, age, is_due):
    _, follower = build_follower(age)
    appender = build_appender(rank("configuration", NAMES)[position], follower.replica)
    assert not appender._is_due()
    appender.on_read(follower.read_page(0.0))
    assert appender._is_due() == is_due


def test_shorter_retention_of_the_log_is_detected():
    log, follower = build_follower(0.2 * HOUR)
    appender = build_appender(rank("configuration", NAMES)[2], follower.replica)
    appender.on_read(follower.read_page(0.0))
    assert not appender._is_due()
    log.first = 1
    appender.on_read(follower.read_page(0.0))
    assert appender._is_due()


def test_node_that_lacks_records_appends_no_snapshot():
    log, follower = build_follower(HOUR)
    appender = build_appender(rank("configuration", NAMES)[0], follower.replica)
    appender.on_read(follower.read_page(0.0))
    assert appender._is_due()
    for _ in range(3):
        log.write(b"unseen")
    log.first = 2
    appender.on_read(follower.read_page(0.0))
    assert not appender._is_due()
