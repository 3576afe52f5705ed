"""When a node appends a snapshot."""

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


def duty(name, fold):
    kernel = Kernel()
    members = SimpleNamespace(
        local_member=SimpleNamespace(name=name), eligible_nodes=lambda: list(NAMES)
    )
    kernel.register("members", members)
    platform = parse_settings(build_settings(platform__retention="1h")).platform
    return SnapshotAppender(kernel, platform, fold, threading.Lock())


def follow(age):
    """Fold a log of one change, written so many seconds ago."""
    log = MemoryLog(build_change(put_plans=(build_plan("a"),)))
    log.born = time.time() - age
    fold = ConfigurationReplica()
    return log, LogFollower(log, "", fold, threading.Lock())


@pytest.mark.parametrize(
    ("place", "age", "is_due"),
    [
        (0, 0.29 * HOUR, False),
        (0, 0.31 * HOUR, True),
        (1, 0.31 * HOUR, False),
        (1, 0.36 * HOUR, True),
        (2, 0.36 * HOUR, False),
        (2, 0.41 * HOUR, True),
    ],
)
def test_duty_passes_down_the_ranks(place, age, is_due):
    _, follower = follow(age)
    carry = duty(rank("configuration", NAMES)[place], follower.replica)
    assert not carry._is_due()
    carry.on_read(follower.read_page(0.0))
    assert carry._is_due() == is_due


def test_log_that_forgets_sooner_than_it_should_is_noticed():
    log, follower = follow(0.2 * HOUR)
    carry = duty(rank("configuration", NAMES)[2], follower.replica)
    carry.on_read(follower.read_page(0.0))
    assert not carry._is_due()
    log.first = 1
    carry.on_read(follower.read_page(0.0))
    assert carry._is_due()


def test_node_with_a_gap_does_not_carry():
    log, follower = follow(HOUR)
    carry = duty(rank("configuration", NAMES)[0], follower.replica)
    carry.on_read(follower.read_page(0.0))
    assert carry._is_due()
    for _ in range(3):
        log.write(b"unseen")
    log.first = 2
    carry.on_read(follower.read_page(0.0))
    assert not carry._is_due()
