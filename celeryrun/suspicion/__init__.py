"""Requests that were in flight on targets when those died."""

from celeryrun.scheduling._ledger import Ledger, Verdict
from celeryrun.suspicion._service import Suspicion, hash_request

__all__ = ["Ledger", "Suspicion", "Verdict", "hash_request"]
