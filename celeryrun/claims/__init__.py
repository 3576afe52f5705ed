"""Claims on the idempotency keys of calls that may not be repeated."""

from celeryrun.claims._book import TOO_OLD, UNAVAILABLE, ClaimBook, Lost, Unresolved, Won
from celeryrun.claims._key import key_age
from celeryrun.claims._records import content_digest, digest_of
from celeryrun.claims._table import ClaimTable, Held, key_window

__all__ = [
    "TOO_OLD",
    "UNAVAILABLE",
    "ClaimBook",
    "ClaimTable",
    "Held",
    "Lost",
    "Unresolved",
    "Won",
    "content_digest",
    "digest_of",
    "key_age",
    "key_window",
]
