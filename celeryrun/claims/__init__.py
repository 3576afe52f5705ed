"""Claims on the idempotency keys of calls that must not run twice."""

from celeryrun.claims._key import key_age
from celeryrun.claims._records import content_digest, digest_from_claim_id
from celeryrun.claims._registry import (
    KEY_TOO_OLD,
    LOG_UNAVAILABLE,
    ClaimLost,
    ClaimRegistry,
    ClaimUnresolved,
    ClaimWon,
)
from celeryrun.claims._table import ClaimTable, HeldClaim, key_window

__all__ = [
    "KEY_TOO_OLD",
    "LOG_UNAVAILABLE",
    "ClaimLost",
    "ClaimRegistry",
    "ClaimTable",
    "ClaimUnresolved",
    "ClaimWon",
    "HeldClaim",
    "content_digest",
    "digest_from_claim_id",
    "key_age",
    "key_window",
]
