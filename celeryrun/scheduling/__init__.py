"""Admission, ordering and placement of slot requests, and the messages that carry them."""

from celeryrun.scheduling._crash_history import (
    SHARED_CRASH_LIMIT,
    Crash,
    CrashAssessment,
    CrashHistory,
)
from celeryrun.scheduling._leaving import LeavingTargets
from celeryrun.scheduling._limits import FleetLimits
from celeryrun.scheduling._load import ActiveGrant, TargetLoad
from celeryrun.scheduling._messages import (
    BROKEN,
    CANCELLED,
    COMPLETE,
    CRASHED,
    FAILED,
    LOST,
    MISDIRECTED,
    REJECTED,
    UNREACHABLE,
    UNUSED,
    Cancel,
    Denial,
    FirstByte,
    Grant,
    HeldSlot,
    Outcome,
    SlotReleased,
    SlotRequest,
)
from celeryrun.scheduling._part_history import PartAssessment, PartCrashHistory
from celeryrun.scheduling._pauses import TargetPause, TargetPauses
from celeryrun.scheduling._quota import RetryBudget, SlidingSum, TokenBucket
from celeryrun.scheduling._rate_limits import NamedLimit, TargetRateLimits
from celeryrun.scheduling._scheduler import Scheduler

__all__ = [
    "BROKEN",
    "CANCELLED",
    "COMPLETE",
    "CRASHED",
    "FAILED",
    "LOST",
    "MISDIRECTED",
    "REJECTED",
    "SHARED_CRASH_LIMIT",
    "UNREACHABLE",
    "UNUSED",
    "ActiveGrant",
    "Cancel",
    "Crash",
    "CrashAssessment",
    "CrashHistory",
    "Denial",
    "FirstByte",
    "FleetLimits",
    "Grant",
    "HeldSlot",
    "LeavingTargets",
    "NamedLimit",
    "Outcome",
    "PartAssessment",
    "PartCrashHistory",
    "RetryBudget",
    "Scheduler",
    "SlidingSum",
    "SlotReleased",
    "SlotRequest",
    "TargetLoad",
    "TargetPause",
    "TargetPauses",
    "TargetRateLimits",
    "TokenBucket",
]
