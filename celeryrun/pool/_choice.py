"""Choice of the target for an ask."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from celeryrun.pool._queue import QueuedRequest
from celeryrun.pool._targets import Target

if TYPE_CHECKING:
    from celeryrun.pool._state import PoolState

__all__ = ["choose_target"]


def choose_target(state: PoolState, waiting: QueuedRequest, free: list[Target]) -> Target:
    """Return the target with the longest prefix believed cached, then the fastest as loaded now.

    Parameters
    ----------
    state : PoolState
        The pool.
    waiting : QueuedRequest
        The ask to be served.
    free : list of Target
        Targets with a free slot, at least one.
    """

    def preference(target: Target) -> tuple[int, float, float, float]:
        cached = state.prefix_index.cached_blocks(target.name, waiting.prefix)
        limit, running = state.limit_by_target[target.name], state.in_flight(target.name)
        gap = limit.expected_step_time(running + 1)
        return (-cached, gap, running / limit.slots, random.random())

    return min(free, key=preference)
