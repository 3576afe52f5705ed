"""Choice of the target for a queued request."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from celeryrun.pool._queue import QueuedRequest
from celeryrun.pool._targets import Target

if TYPE_CHECKING:
    from celeryrun.pool._state import PoolState

__all__ = ["choose_target"]


def choose_target(state: PoolState, request: QueuedRequest, free: list[Target]) -> Target:
    """Return the target with the longest cached prefix, among equals the one expected fastest.

    Parameters
    ----------
    state : PoolState
        State of the pool.
    request : QueuedRequest
        Request to be granted.
    free : list of Target
        Targets with a free slot, at least one.
    """

    def preference(target: Target) -> tuple[int, float, float, float]:
        cached = state.prefix_index.cached_blocks(target.name, request.prefix)
        limit, in_flight = state.limit_by_target[target.name], state.in_flight(target.name)
        step_time = limit.expected_step_time(in_flight + 1)
        return (-cached, step_time, in_flight / limit.slots, random.random())

    return min(free, key=preference)
