"""Table of the versions that began streams, merged from the reports of several nodes."""

from __future__ import annotations

import hashlib
import sys
from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["CONTRADICTORY", "OriginTable", "StreamOrigin", "hash_attempt"]

CONTRADICTORY = ""  # version of a stream of which two versions were reported
MAX_LIFETIME = 120.0  # s for which an origin is kept, whatever its caller's deadline
MAX_ORIGINS = 50_000  # streams, about 200 bytes each; the ones recorded first are dropped
BUCKET_SECONDS = 1.0  # s; origins that expire within the same bucket are removed together


@dataclass(slots=True)
class StreamOrigin:
    """Version of the target that made the first event of a stream.

    Parameters
    ----------
    version : str
        Version, or `CONTRADICTORY`.
    recorded_at, expires_at : float
        Time at which this node learned of it, and at which its caller has given up, in seconds.
    is_certain : bool
        Whether the target was known to be the one in the list.
    """

    version: str
    recorded_at: float
    expires_at: float
    is_certain: bool = False


def hash_attempt(attempt_id: bytes) -> int:
    """Return the key of the stream whose first event came with an attempt, never 0.

    Examples
    --------
    >>> hash_attempt(b"9c41d07b") == hash_attempt(b"9c41d07b"), hash_attempt(b"9c41d07c") > 0
    (True, True)
    """
    return int.from_bytes(hashlib.blake2b(attempt_id, digest_size=8).digest(), "big") >> 1 or 1


class OriginTable:
    """Origins of streams by key.

    An origin is recorded once the first event is passed on, so it never changes, and reports may
    be merged in any order and any number of times.

    Parameters
    ----------
    max_origins : int, optional
        Number of origins kept.

    Examples
    --------
    >>> table = OriginTable()
    >>> table.record(7, "1.4", lifetime=30.0, now=100.0)
    True
    >>> table.find(7, now=110.0).version, table.find(7, now=131.0)
    ('1.4', None)
    """

    __slots__ = ("_expired_until", "_keys_by_bucket", "_max_origins", "_origins_by_key")

    def __init__(self, max_origins: int = MAX_ORIGINS) -> None:
        self._max_origins = max_origins
        self._origins_by_key: dict[int, StreamOrigin] = {}
        self._keys_by_bucket: dict[int, list[int]] = {}
        self._expired_until = 0

    def __len__(self) -> int:
        """Return the number of origins, some of which may have expired."""
        return len(self._origins_by_key)

    def record(self, key: int, version: str, lifetime: float, now: float) -> bool:
        """Record a reported origin; return whether the report has any news.

        Parameters
        ----------
        lifetime : float
            Seconds for which the stream's caller may still take it up again.
        """
        expires_at = now + min(lifetime, MAX_LIFETIME)
        if expires_at <= now:
            return False
        known = self._origins_by_key.get(key)
        if known is None:
            self._expire(now)
            self._origins_by_key[key] = StreamOrigin(sys.intern(version), now, expires_at)
            self._schedule_expiry(key, expires_at)
            if len(self._origins_by_key) > self._max_origins:
                del self._origins_by_key[next(iter(self._origins_by_key))]
            return True
        contradicts = known.version not in (version, CONTRADICTORY)
        if contradicts:
            known.version = CONTRADICTORY
        if expires_at > known.expires_at:
            known.expires_at = expires_at
            self._schedule_expiry(key, expires_at)
        return contradicts

    def find(self, key: int, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        origin = self._origins_by_key.get(key)
        return origin if origin is not None and now < origin.expires_at else None

    def origins(self, now: float) -> Iterator[tuple[int, StreamOrigin]]:
        """Iterate over the origins that have not expired."""
        for key, origin in self._origins_by_key.items():
            if now < origin.expires_at:
                yield key, origin

    def _schedule_expiry(self, key: int, expires_at: float) -> None:
        bucket = int(expires_at / BUCKET_SECONDS) + 1
        self._keys_by_bucket.setdefault(bucket, []).append(key)

    def _expire(self, now: float) -> None:
        """Remove the origins of the buckets that have ended."""
        current = int(now / BUCKET_SECONDS)
        if current <= self._expired_until:
            return
        self._expired_until = current
        for bucket in [bucket for bucket in self._keys_by_bucket if bucket <= current]:
            for key in self._keys_by_bucket.pop(bucket):
                origin = self._origins_by_key.get(key)
                if origin is not None and origin.expires_at <= now:
                    del self._origins_by_key[key]
