"""Grants beyond the limit of a full target, hopeless requests, and separation of suspects."""

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
    """Return a pool whose only engine is full of one workspace's requests of the lowest tier."""
    state = PoolState("drafts", 3.0)
    for number in range(SLOTS + 3):
        state.queue.push(build_queued_request(number, 3, "large"))
    assert [state.grant_next("engine", [ENGINE]) is not None for _ in range(SLOTS + 1)] == (
        [True] * SLOTS + [False]
    )
    return state


@pytest.mark.parametrize("tier", [1, 2, 3])
def test_one_request_of_a_higher_tier_or_small_workspace_exceeds_the_limit(state, tier):
    for number in (100, 101, 102):
        state.queue.push(build_queued_request(number, tier, "small"))
    assert state.grant_next("engine", [ENGINE])[1].workspace == "small"
    assert state.grant_next("engine", [ENGINE]) is None


def test_flood_of_the_highest_tier_does_not_exceed_the_limit():
    state = PoolState("drafts", 3.0)
    for number in range(20):
        state.queue.push(build_queued_request(number, 1))
    grants = [state.grant_next("engine", [ENGINE]) for _ in range(20)]
    assert sum(grant is not None for grant in grants) == SLOTS


def release_one(state):
    """Release a slot after 2 s and 10 tokens of work."""
    grant_id = next(iter(state.grant_by_id))
    state.grant_by_id[grant_id].started -= 2.0
    state.release(SlotReleased("drafts", grant_id, 10.0, 0.1, 2.0, True, 10))


def test_hopeless_request_is_removed_unless_a_lower_tier_is_queued(state):
    release_one(state)
    while state.queue.pop() is not None:
        pass
    late = build_queued_request(200, 2, "large")
    late.expires = time.monotonic() + 0.5
    state.queue.push(late)
    state.queue.push(build_queued_request(201, 3, "other"))
    assert state.grant_next("engine", [ENGINE])[1] is late
    assert state.pop_hopeless() == []
    release_one(state)
    state.queue.pop()
    hopeless = build_queued_request(202, 2, "large")
    hopeless.expires = time.monotonic() + 0.5
    state.queue.push(hopeless)
    assert state.grant_next("engine", [ENGINE]) is None
    assert state.pop_hopeless() == [hopeless]


def test_suspect_requests_run_on_separate_targets():
    state = PoolState("drafts", 3.0)
    state.is_suspect = {SUSPECT, OTHER_SUSPECT}.__contains__
    busy = Target("busy", "drafts", "zone-0", "127.0.0.1:701")
    state.queue.push(build_queued_request(0, fingerprint=SUSPECT))
    assert state.grant_next("engine", [ENGINE])[2] is ENGINE
    for number in (1, 2, 3):
        state.queue.push(build_queued_request(number))
        assert state.grant_next("engine", [busy])[2] is busy
    state.queue.push(build_queued_request(4, fingerprint=OTHER_SUSPECT))
    state.queue.push(build_queued_request(5))
    assert state.grant_next("engine", [ENGINE, busy])[2] is busy
    assert state.grant_next("engine", [ENGINE, busy])[2] is ENGINE
