"""Tracking of requests that were in flight on crashed targets."""

from celeryrun.scheduling._crash_history import CrashAssessment, CrashHistory
from celeryrun.suspicion._service import SuspectTracker, request_fingerprint

__all__ = ["CrashAssessment", "CrashHistory", "SuspectTracker", "request_fingerprint"]
