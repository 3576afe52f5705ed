"""Who may go beyond a full target, and who is refused for the deadline."""

import time

import pytest

from celeryrun.pool import Target
from celeryrun.pool._state import PoolState
from celeryrun.tests.builders import build_queued_request
from celeryrun.wire import SlotReleased

ENGINE = Target("engine", "drafts", "zone-0", "127.0.0.1:700")
SLOTS = 4
SUSPECT, OTHER_SUSPECT = 7, 8


@pytest.fixture
def state():
    """Return a pool whose only engine is full of the lowest tier's requests of one workspace."""
    state = PoolState("drafts", 3.0)
    for ask in range(SLOTS + 3):
        state.queue.push(build_queued_request(ask, 3, "large"))
    assert [state.grant_next("engine", [ENGINE]) is not None for _ in range(SLOTS + 1)] == (
        [True] * SLOTS + [False]
    )
    return state


@pytest.mark.parametrize("tier", [1, 2, 3])
def test_one_more_of_a_higher_tier_or_of_a_small_workspace_runs(state, tier):
    for ask in (100, 101, 102):
        state.queue.push(build_queued_request(ask, tier, "small"))
    assert state.grant_next("engine", [ENGINE])[1].workspace == "small"
    assert state.grant_next("engine", [ENGINE]) is None


def test_a_flood_of_the_highest_tier_takes_no_more_than_the_limit():
    state = PoolState("drafts", 3.0)
    for ask in range(20):
        state.queue.push(build_queued_request(ask, 1))
    grants = [state.grant_next("engine", [ENGINE]) for _ in range(20)]
    assert sum(grant is not None for grant in grants) == SLOTS


def finish_one(state):
    grant = next(iter(state.granted_by_id))
    state.granted_by_id[grant].since -= 2.0
    state.finish(SlotReleased("drafts", grant, 10.0, 0.1, 2.0, True, 10))


def test_ask_that_cannot_end_in_time_is_refused_unless_a_lower_one_waits(state):
    finish_one(state)
    while state.queue.pop() is not None:
        pass
    late = build_queued_request(200, 2, "large")
    late.expires = time.monotonic() + 0.5
    state.queue.push(late)
    state.queue.push(build_queued_request(201, 3, "other"))
    assert state.grant_next("engine", [ENGINE])[1] is late
    assert state.take_hopeless() == []
    finish_one(state)
    state.queue.pop()
    again = build_queued_request(202, 2, "large")
    again.expires = time.monotonic() + 0.5
    state.queue.push(again)
    assert state.grant_next("engine", [ENGINE]) is None
    assert state.take_hopeless() == [again]


def test_suspects_run_apart_from_each_other():
    state = PoolState("drafts", 3.0)
    state.is_suspect = {SUSPECT, OTHER_SUSPECT}.__contains__
    busy = Target("busy", "drafts", "zone-0", "127.0.0.1:701")
    state.queue.push(build_queued_request(0, fingerprint=SUSPECT))
    assert state.grant_next("engine", [ENGINE])[2] is ENGINE
    for ask in (1, 2, 3):
        state.queue.push(build_queued_request(ask))
        assert state.grant_next("engine", [busy])[2] is busy
    state.queue.push(build_queued_request(4, fingerprint=OTHER_SUSPECT))
    state.queue.push(build_queued_request(5))
    assert state.grant_next("engine", [ENGINE, busy])[2] is busy
    assert state.grant_next("engine", [ENGINE, busy])[2] is ENGINE
