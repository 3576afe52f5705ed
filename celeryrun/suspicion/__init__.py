"""Requests that were in flight on targets when those died."""

from celeryrun.scheduling._ledger import Ledger, Verdict
from celeryrun.suspicion._service import SuspectTracker, request_fingerprint

__all__ = ["Ledger", "SuspectTracker", "Verdict", "request_fingerprint"]
