"""Pools: who waits, which target is granted, who is shed."""

from celeryrun.pool._client import PoolClient, Waiter
from celeryrun.pool._keeper import Keepers
from celeryrun.pool._limit import SlotLimit
from celeryrun.pool._queue import FairQueue, Waiting
from celeryrun.pool._targets import Target, Targets

__all__ = [
    "FairQueue",
    "Keepers",
    "PoolClient",
    "SlotLimit",
    "Target",
    "Targets",
    "Waiter",
    "Waiting",
]
