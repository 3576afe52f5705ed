"""Claims on the idempotency keys of calls that may not be repeated."""

from celeryrun.claims._book import ClaimBook, Lost, Unresolved, Won
from celeryrun.claims._key import key_age

__all__ = ["ClaimBook", "Lost", "Unresolved", "Won", "key_age"]
