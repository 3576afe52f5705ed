"""When callers that are refused for overload return."""

from __future__ import annotations

import random

__all__ = ["add_jitter", "choose_return"]

RETURN_SHARE = 0.3  # of the time that a caller has left within which it returns
RETRY_JITTER = 0.5  # fraction of a retry delay that may be added at random
LATEST_SPREAD = 0.3  # fraction by which the latest return may be earlier, at random
MAX_BEYOND = 4.0  # multiple of the latest return beyond which no room is expected by then


def choose_return(wait: float, time_left: float, source: random.Random) -> float:
    """Return the seconds after which a refused caller returns.

    A caller that is told a later time than its latest return is lost. Since the end of an overload
    is unknown, one whose room is expected about then or not long after is told to return just
    before it, spread over some time. One without prospects is told the truth, as it would return
    in vain.

    Parameters
    ----------
    wait : float
        Seconds after which a slot is expected to be free for it.
    time_left : float
        Seconds until its response must have ended.
    """
    latest = time_left * RETURN_SHARE
    if latest * (1 - LATEST_SPREAD) < wait <= latest * MAX_BEYOND:
        return latest * (1 - LATEST_SPREAD * source.random())
    return add_jitter(wait, time_left, source)


def add_jitter(wait: float, time_left: float, source: random.Random) -> float:
    """Return a time at random after a wait.

    It is no later than the caller's latest return, unless the wait itself is.

    Parameters
    ----------
    wait : float
        Seconds after which the caller may return.
    time_left : float
        Seconds until its response must have ended.
    """
    latest = time_left * RETURN_SHARE
    spread = wait * RETRY_JITTER
    if wait <= latest:
        spread = min(spread, latest - wait)
    return wait + spread * source.random()
