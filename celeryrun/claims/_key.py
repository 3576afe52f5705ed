"""Idempotency keys in the form of UUIDv7, which contain their creation time."""

from __future__ import annotations

import uuid

__all__ = ["key_age", "key_timestamp", "new_idempotency_key"]

UUID_VERSION = 7


def key_age(key: str, now: float) -> float | None:
    """Return the age of a key in seconds, or None if it is not a UUIDv7.

    Parameters
    ----------
    key : str
        UUID of version 7.
    now : float
        Seconds since the epoch.

    Examples
    --------
    >>> key_age("00000000-03e8-7000-8000-000000000000", 3.0)
    2.0
    >>> key_age("booking-1", 3.0) is None
    True

    References
    ----------
    .. [1] RFC 9562, "Universally Unique IDentifiers (UUIDs)", section 5.7.
    """
    timestamp = key_timestamp(key)
    return None if timestamp is None else now - timestamp


def key_timestamp(key: str) -> float | None:
    """Return the creation time of a key in seconds since the epoch, or None if it is not a UUIDv7.

    Examples
    --------
    >>> key_timestamp("00000000-03e8-7000-8000-000000000000")
    1.0
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION or str(parsed) != key.lower():
        return None
    return (parsed.int >> 80) / 1000


def new_idempotency_key(now: float, random_bits: int) -> str:
    """Build a UUIDv7 key.

    Parameters
    ----------
    now : float
        Seconds since the epoch.
    random_bits : int
        At least 74 random bits; only the lowest 74 are used.

    Examples
    --------
    >>> new_idempotency_key(1.0, 0)
    '00000000-03e8-7000-8000-000000000000'
    """
    milliseconds = int(now * 1000) & ((1 << 48) - 1)
    high = (random_bits >> 62) & 0xFFF
    low = random_bits & ((1 << 62) - 1)
    return str(uuid.UUID(int=milliseconds << 80 | 7 << 76 | high << 64 | 2 << 62 | low))
