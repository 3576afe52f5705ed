"""Which claim holds which key: a fold over the claim stream, alike on every node."""

from __future__ import annotations

import hashlib
import sys
from dataclasses import dataclass

from celeryrun.claims._key import key_birth
from celeryrun.claims._records import Batch, Claim, Release

__all__ = ["ClaimTable", "HeldClaim", "key_window"]

MAX_SLACK = 60.0  # s by which a caller's clock may run ahead of the log's, or the log's step back
SLACK_SHARE = 0.25  # of the log's retention
WINDOW_SHARE = 0.5  # of the log's retention
MAX_WINDOW = 3600.0  # s
MAX_SPENT = 64  # claims of one key that are remembered; the one that follows them stays
BUCKET_SECONDS = 30.0
KEY_HASH_BYTES = 16


def key_window(retention: float) -> float:
    """Return for how many seconds from its birth a key may be claimed.

    Parameters
    ----------
    retention : float
        Seconds that the log keeps a record.

    Notes
    -----
    A claim stands in the log until `retention` after the key's birth, less the clock slack of at
    most a quarter. With a window of half, whoever may still claim the key sees the first claim.

    Examples
    --------
    >>> key_window(1200.0)
    600.0
    """
    return min(retention * WINDOW_SHARE, MAX_WINDOW)


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """A claim that holds its key.

    Parameters
    ----------
    claim_id : bytes
        The claim's id.
    node : str
        The claiming node.
    """

    claim_id: bytes
    node: str


@dataclass(slots=True)
class _KeyState:
    held: HeldClaim | None = None
    spent: tuple[bytes, ...] = ()

    def spend(self, claim_id: bytes) -> bool:
        """Remember a claim that was released or lost: it may be appended again, or late."""
        if claim_id not in self.spent and len(self.spent) < MAX_SPENT:
            self.spent += (claim_id,)
        return claim_id in self.spent


class ClaimTable:
    """First claims by key.

    A claim's age is judged by the log's clock at the time of its append, so all nodes judge alike
    whatever their own clocks say.

    Parameters
    ----------
    retention : float
        Seconds that the log keeps a record.

    Examples
    --------
    >>> from celeryrun.claims._key import new_idempotency_key
    >>> table = ClaimTable(120.0)
    >>> key = "cajas/" + new_idempotency_key(1000.0, 1)
    >>> table.apply_batch(Batch((Claim(key, "aa", "node-0"), Claim(key, "bb", "node-1"))), 1001.0)
    >>> table.held_claim(key)
    HeldClaim(claim_id=b'\\xaa', node='node-0')
    """

    __slots__ = ("_entry_by_hash", "_hashes_by_bucket", "_slack", "window")

    def __init__(self, retention: float) -> None:
        self.window = key_window(retention)
        self._slack = min(retention * SLACK_SHARE, MAX_SLACK)
        self._entry_by_hash: dict[bytes, _KeyState] = {}
        self._hashes_by_bucket: dict[int, list[bytes]] = {}

    def __len__(self) -> int:
        return len(self._entry_by_hash)

    def held_claim(self, key: str) -> HeldClaim | None:
        """Return the claim that holds a key."""
        entry = self._entry_by_hash.get(_hash(key))
        return None if entry is None else entry.held

    def counts(self, key: str, written: float) -> bool:
        """Tell whether a claim on a key counts if the log took it at a time.

        Parameters
        ----------
        written : float
            Seconds since the epoch by the log's clock.
        """
        birth = _birth(key)
        return birth is not None and -self._slack <= written - birth <= self.window

    def apply_batch(self, batch: Batch, written: float) -> None:
        """Fold one record that the log took at a time, in seconds since the epoch."""
        for claim in batch.claims:
            if self.counts(claim.key, written):
                self._claim(claim)
        for release in batch.releases:
            if self.counts(release.key, written):
                self._release(release)

    def expire(self, now: float) -> None:
        """Forget the keys on which no claim counts any more.

        Parameters
        ----------
        now : float
            Time by the log's clock that no record still to be folded is older than.
        """
        oldest = int((now - self.window - self._slack) // BUCKET_SECONDS)
        for bucket in [bucket for bucket in self._hashes_by_bucket if bucket < oldest]:
            for key_hash in self._hashes_by_bucket.pop(bucket):
                del self._entry_by_hash[key_hash]

    def _claim(self, claim: Claim) -> None:
        entry = self._entry(claim.key)
        claim_id = bytes.fromhex(claim.claim_id)
        if entry.held is None and claim_id not in entry.spent:
            entry.held = HeldClaim(claim_id, sys.intern(claim.node))
        elif entry.held is not None and entry.held.claim_id != claim_id:
            entry.spend(claim_id)

    def _release(self, release: Release) -> None:
        entry = self._entry(release.key)
        claim_id = bytes.fromhex(release.claim_id)
        holds = entry.held is not None and entry.held.claim_id == claim_id
        if entry.spend(claim_id) and holds:
            entry.held = None

    def _entry(self, key: str) -> _KeyState:
        key_hash = _hash(key)
        entry = self._entry_by_hash.get(key_hash)
        if entry is None:
            entry = self._entry_by_hash[key_hash] = _KeyState()
            birth = _birth(key)
            assert birth is not None
            bucket = int(birth // BUCKET_SECONDS)
            self._hashes_by_bucket.setdefault(bucket, []).append(key_hash)
        return entry


def _hash(key: str) -> bytes:
    return hashlib.blake2b(key.encode(), digest_size=KEY_HASH_BYTES).digest()


def _birth(key: str) -> float | None:
    return key_birth(key.rpartition("/")[2])
