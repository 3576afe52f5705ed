"""Pools of targets: queueing of slot requests, grants of slots, and shedding."""

from celeryrun.pool._client import PendingRequest, PoolClient
from celeryrun.pool._keeper import Keepers
from celeryrun.pool._limit import SlotLimit
from celeryrun.pool._queue import FairQueue, QueuedRequest
from celeryrun.pool._targets import Target, Targets

__all__ = [
    "FairQueue",
    "Keepers",
    "PendingRequest",
    "PoolClient",
    "QueuedRequest",
    "SlotLimit",
    "Target",
    "Targets",
]
