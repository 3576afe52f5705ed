"""Decides when a node that starts reads the list of targets."""

from __future__ import annotations

from collections.abc import Sequence

from celeryrun.gateway._topic_follower import TopicFollower

__all__ = ["TargetListStart", "list_read_delay"]

FIRST_READERS = 8  # nodes ranked first, which may have to schedule within seconds
READERS_PER_SECOND = (
    20.0  # a list of thousands of targets then takes a part of the store's bandwidth
)
MAX_RANK_WAIT = 0.6  # s after the start for which the registry of nodes may take to be read


def list_read_delay(candidates: Sequence[str], name: str) -> float:
    """Return the seconds after its start at which a node reads the list of targets.

    Parameters
    ----------
    candidates : sequence of str
        All nodes, in the order in which they would schedule.

    Examples
    --------
    >>> list_read_delay(["a", "b"], "b")
    0.0
    """
    later = candidates.index(name) - FIRST_READERS
    return 0.0 if later < 0 else MAX_RANK_WAIT + (later + 1) / READERS_PER_SECOND


class TargetListStart:
    """First read of the list of targets, in an order that spares the store.

    If all nodes of a fleet read the whole list at the moment in which they start, its bytes grow
    with the square of the fleet. A node whose scheduler has the list can do without for a time.

    Parameters
    ----------
    follower : TopicFollower
        Follower of the list.
    name : str
        This node's name.
    """

    __slots__ = ("_follower", "_is_ranked", "_name", "_started_at")

    def __init__(self, follower: TopicFollower, name: str) -> None:
        self._follower = follower
        self._name = name
        self._is_ranked = False
        self._started_at = 0.0

    def start(self, time: float) -> None:
        """Wait until this node's rank is known."""
        self._started_at = time
        self._follower.defer_until(time + MAX_RANK_WAIT)

    def update(self, candidates: Sequence[str], is_alone: bool) -> None:
        """Apply the node's rank once the registry was read.

        Parameters
        ----------
        is_alone : bool
            Whether the node found no other to schedule for it.
        """
        if self._follower.position is not None:
            return
        if is_alone:
            self._follower.resume_reading()
        elif not self._is_ranked:
            self._is_ranked = True
            delay = list_read_delay(candidates, self._name)
            self._follower.defer_until(self._started_at + delay)
