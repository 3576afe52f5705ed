"""What an attempt reports of its target."""

import asyncio

import pytest

from celeryrun.gateway import _attempt
from celeryrun.gateway._attempt import Attempt
from celeryrun.scheduling import COMPLETE, Grant
from celeryrun.scheduling.tests.builders import build_target


class ReleasedSlots:
    """Client of a scheduler that records what is released."""

    def __init__(self):
        self.seconds = []

    def release(self, grant, outcome, seconds, events):
        self.seconds.append(seconds)


class ClosedExchange:
    """Connection that is closed without a trace."""

    def close(self):
        pass


@pytest.mark.parametrize(("outcome", "seconds"), [(None, 2.0), (COMPLETE, 20.0)])
def test_cut_stream_tells_its_target_s_time_without_that_of_a_stalled_caller(
    outcome, seconds, monkeypatch
):
    """A caller that did not read made its target look slower by all the time until its deadline."""

    async def scenario():
        time = 100.0
        monkeypatch.setattr(_attempt, "now", lambda: time)
        client, target = ReleasedSlots(), build_target()
        attempt = Attempt(client, Grant(1, 1, "t0", 0.1), target, ClosedExchange(), began=100.0)
        time = 101.0
        attempt.count_events(1)
        attempt.stall = 8.0
        time = 110.0
        attempt.count_events(1)
        attempt.stall = 10.0
        time = 120.0
        attempt.close(outcome)
        assert client.seconds == [seconds]

    asyncio.run(scenario())
