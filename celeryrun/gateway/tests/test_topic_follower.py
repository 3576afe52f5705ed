"""Freshness confirmed by another node, and when a follower reads the store itself."""

import asyncio

import pytest

from celeryrun.gateway import _topic_follower
from celeryrun.gateway._topic_follower import CONFIRMATION_MARGIN, MAX_MISSED_CONFIRMATIONS
from celeryrun.history import Position, TopicCursor
from celeryrun.platform import KeyedPage, KeyedRecord, StoreUnavailableError

MAX_WAIT = 0.9
READ_DELAY = 0.1
HEARTBEAT_INTERVAL = 0.2
CONFIRMATION_LEASE = max(MAX_MISSED_CONFIRMATIONS * HEARTBEAT_INTERVAL, MAX_WAIT)
MAX_CONFIRMATION_AGE = 2 * MAX_WAIT + READ_DELAY + HEARTBEAT_INTERVAL + CONFIRMATION_MARGIN


class RecordingFollower(_topic_follower.TopicFollower):
    """Follower that records the applied pages."""

    def __init__(self):
        self.pages = []
        super().__init__(None, None, "topic", MAX_WAIT, READ_DELAY, self.pages.append)


@pytest.fixture
def clock(monkeypatch):
    time = [100.0]
    monkeypatch.setattr(_topic_follower, "now", lambda: time[0])
    return time


@pytest.fixture
def follower(clock):
    follower = RecordingFollower()
    follower._cursor.accept_snapshot(Position(1, 5))
    return follower


def page(next_offset):
    return KeyedPage((KeyedRecord("key", b"value"),), Position(1, next_offset), False, False)


def is_reading(follower, clock):
    return follower._suspended_until <= clock[0]


def test_age_counts_from_earliest_start_of_confirming_read(follower, clock):
    follower.confirm_fresh(99.2, end=Position(1, 5), heartbeat_interval=HEARTBEAT_INTERVAL)
    assert follower.age() == pytest.approx(0.8)
    follower.confirm_fresh(98.0, end=Position(1, 5), heartbeat_interval=HEARTBEAT_INTERVAL)
    assert follower.age() == pytest.approx(0.8)


def test_confirmation_beyond_own_position_is_ignored(follower, clock):
    follower.confirm_fresh(99.9, end=Position(1, 6), heartbeat_interval=HEARTBEAT_INTERVAL)
    assert follower.age() == float("inf")
    assert is_reading(follower, clock)


def test_reading_resumes_when_confirmations_stop(follower, clock):
    follower.confirm_fresh(100.0, end=Position(1, 5), heartbeat_interval=HEARTBEAT_INTERVAL)
    assert not is_reading(follower, clock)
    clock[0] += CONFIRMATION_LEASE
    assert is_reading(follower, clock)


def test_reading_resumes_when_next_confirmation_is_late(follower, clock):
    confirmed_at = clock[0]
    while not is_reading(follower, clock) or clock[0] == confirmed_at:
        follower.confirm_fresh(
            confirmed_at, end=Position(1, 5), heartbeat_interval=HEARTBEAT_INTERVAL
        )
        clock[0] += 0.05
        assert clock[0] < confirmed_at + 10
    assert clock[0] - confirmed_at <= MAX_CONFIRMATION_AGE + 0.051


def test_reading_resumes_immediately_when_other_node_loses_store(follower, clock):
    follower.confirm_fresh(100.0, end=Position(1, 5), heartbeat_interval=HEARTBEAT_INTERVAL)
    follower.resume_reading()
    assert is_reading(follower, clock)


def test_follower_without_store_confirms_nothing(follower, clock):
    follower.confirm_fresh(100.0, end=Position(1, 5), heartbeat_interval=HEARTBEAT_INTERVAL)
    assert follower.freshness() == (0.0, 1, 5)
    follower._store_lost = True
    assert follower.freshness() == (-1.0, 1, 5)


def test_pages_are_applied_in_order_without_gaps(follower, clock):
    follower.apply_page(Position(1, 7), page(8))
    assert (follower.position.offset, len(follower.pages)) == (5, 0)
    follower.apply_page(Position(1, 5), page(7))
    assert (follower.position.offset, len(follower.pages)) == (7, 1)
    follower.apply_page(Position(1, 5), page(7))
    assert (follower.position.offset, len(follower.pages)) == (7, 1)
    follower.apply_page(Position(1, 6), page(9))
    assert (follower.position.offset, len(follower.pages)) == (9, 2)


def test_pages_before_first_read_are_ignored(follower, clock):
    follower._cursor = TopicCursor()
    follower.apply_page(Position(1, 0), page(3))
    assert (follower.position, follower.pages) == (None, [])


def test_retry_delay_grows_with_fleet_size(monkeypatch):
    """Eighty nodes together must not call an unavailable store two hundred times a second."""
    delays = []

    async def sleep(seconds):
        delays.append(seconds)
        if len(delays) > 20:
            raise asyncio.CancelledError

    class UnavailableStore:
        async def read_snapshot(self, topic):
            raise StoreUnavailableError("down")

    follower = _topic_follower.TopicFollower(
        UnavailableStore(), DiscardingEventLog(), "topic", MAX_WAIT, READ_DELAY, lambda page: None
    )
    follower.count_readers = lambda: 80
    monkeypatch.setattr(_topic_follower.asyncio, "sleep", sleep)
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(follower._run())
    assert min(delays[-5:]) >= 0.8
    assert max(delays) <= 2.0


class DiscardingEventLog:
    """Event log that discards all lines."""

    def emit(self, event, **fields):
        """Discard the line."""


def test_topic_counts_as_read_when_its_first_page_is_applied():
    """A node that must wait for its next heartbeat instead starts to schedule 0.1 s later."""

    class OneSnapshotStore:
        era_watchers = []

        async def read_snapshot(self, topic):
            return KeyedPage((KeyedRecord("key", b"value"),), Position(1, 1), True, True)

    ages = []
    follower = _topic_follower.TopicFollower(
        OneSnapshotStore(), None, "topic", MAX_WAIT, READ_DELAY, lambda page: ages.append(age())
    )
    age = follower.age
    asyncio.run(follower._read_page())
    assert ages[0] < 1.0
