"""When a node believes what another has read, and when it reads by itself."""

import asyncio

import pytest

from celeryrun.gateway import _follow
from celeryrun.gateway._follow import FED_BEATS, FED_MARGIN
from celeryrun.platform import KeyedPage, KeyedRecord, StoreUnavailableError

WAIT = 0.9
PAUSE = 0.1
BEAT = 0.2
LEASE = max(FED_BEATS * BEAT, WAIT)
CYCLE = 2 * WAIT + PAUSE + BEAT + FED_MARGIN


class Noting(_follow.Follower):
    """A follower that notes the pages applied."""

    def __init__(self):
        self.pages = []
        super().__init__(None, None, "topic", WAIT, PAUSE, self.pages.append)


@pytest.fixture
def clock(monkeypatch):
    time = [100.0]
    monkeypatch.setattr(_follow, "now", lambda: time[0])
    return time


@pytest.fixture
def follower(clock):
    follower = Noting()
    follower._position = 5
    return follower


def page(following):
    return KeyedPage((KeyedRecord("key", b"value"),), following, False, False)


def reads_by_itself(follower, clock):
    return follower._fed_until <= clock[0]


def test_proof_counts_from_the_moment_before_which_it_did_not_begin(follower, clock):
    follower.prove(99.2, position=5, beat=BEAT)
    assert follower.age() == pytest.approx(0.8)
    follower.prove(98.0, position=5, beat=BEAT)
    assert follower.age() == pytest.approx(0.8)


def test_proof_of_what_is_not_held_proves_nothing(follower, clock):
    follower.prove(99.9, position=6, beat=BEAT)
    assert follower.age() == float("inf")
    assert reads_by_itself(follower, clock)


def test_node_reads_by_itself_when_proofs_stop(follower, clock):
    follower.prove(100.0, position=5, beat=BEAT)
    assert not reads_by_itself(follower, clock)
    clock[0] += LEASE
    assert reads_by_itself(follower, clock)


def test_node_reads_by_itself_when_the_other_ones_next_proof_is_late(follower, clock):
    proved = clock[0]
    while not reads_by_itself(follower, clock) or clock[0] == proved:
        follower.prove(proved, position=5, beat=BEAT)
        clock[0] += 0.05
        assert clock[0] < proved + 10
    assert clock[0] - proved <= CYCLE + 0.051


def test_node_reads_by_itself_at_once_when_the_other_has_lost_the_store(follower, clock):
    follower.prove(100.0, position=5, beat=BEAT)
    follower.resume_reading()
    assert reads_by_itself(follower, clock)


def test_lost_store_is_no_proof_for_others(follower, clock):
    follower.prove(100.0, position=5, beat=BEAT)
    assert follower.proof() == (0.0, 5)
    follower._lost = True
    assert follower.proof() == (-1.0, 5)


def test_records_are_taken_in_order_without_gaps(follower, clock):
    follower.feed(7, page(8))
    assert (follower.position, len(follower.pages)) == (5, 0)
    follower.feed(5, page(7))
    assert (follower.position, len(follower.pages)) == (7, 1)
    follower.feed(5, page(7))
    assert (follower.position, len(follower.pages)) == (7, 1)
    follower.feed(6, page(9))
    assert (follower.position, len(follower.pages)) == (9, 2)


def test_records_before_the_first_read_are_not_taken(follower, clock):
    follower._position = None
    follower.feed(0, page(3))
    assert (follower.position, follower.pages) == (-1, [])


def test_large_fleet_tries_a_store_that_is_down_less_often(monkeypatch):
    """Eighty nodes together must not try it two hundred times a second."""
    pauses = []

    async def sleep(seconds):
        pauses.append(seconds)
        if len(pauses) > 20:
            raise asyncio.CancelledError

    class Down:
        async def read_snapshot(self, topic):
            raise StoreUnavailableError("down")

    follower = _follow.Follower(Down(), Silent(), "topic", WAIT, PAUSE, lambda page: None)
    follower.fleet = lambda: 80
    monkeypatch.setattr(_follow.asyncio, "sleep", sleep)
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(follower._run())
    assert min(pauses[-5:]) >= 0.8
    assert max(pauses) <= 2.0


class Silent:
    """An event log that nobody reads."""

    def emit(self, event, **fields):
        """Drop the line."""
