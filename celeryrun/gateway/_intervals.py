"""Intervals of heartbeats and store retries, scaled by the number of nodes."""

from __future__ import annotations

__all__ = ["MAX_MISSED_HEARTBEATS", "heartbeat_interval", "max_retry_delay"]

MIN_HEARTBEAT_INTERVAL = 0.2  # s; a silent scheduler is detected within three intervals
MAX_HEARTBEAT_INTERVAL = 0.8  # s; adds up to one interval to the age of the configuration
MIN_RETRY_DELAY = 0.4  # s; a recovered store is detected well within a second
RETRIES_PER_SECOND = 50.0  # of the whole fleet in an outage of the store; refused calls cost too
MAX_RETRY_DELAY = 2.0  # s; valid keys may be refused for one more delay after the store recovers
HEARTBEATS_PER_SECOND = 250.0  # answered by one scheduler with a few hundredths of a core
MAX_MISSED_HEARTBEATS = 3.0  # unanswered heartbeats after which a scheduler counts as lost


def heartbeat_interval(nodes: int) -> float:
    """Return the seconds between two heartbeats of one node.

    Parameters
    ----------
    nodes : int
        Nodes that use the same scheduler.

    Examples
    --------
    >>> heartbeat_interval(7), heartbeat_interval(100)
    (0.2, 0.4)
    """
    return min(MAX_HEARTBEAT_INTERVAL, max(MIN_HEARTBEAT_INTERVAL, nodes / HEARTBEATS_PER_SECOND))


def max_retry_delay(nodes: int) -> float:
    """Return the longest delay between one node's retries in an outage of the store, in seconds.

    Parameters
    ----------
    nodes : int
        Nodes that retry.

    Examples
    --------
    >>> max_retry_delay(7), max_retry_delay(80)
    (0.4, 1.6)
    """
    return min(MAX_RETRY_DELAY, max(MIN_RETRY_DELAY, nodes / RETRIES_PER_SECOND))
