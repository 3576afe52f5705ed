"""Table of held claims, built by replaying the claim stream with the same result on every node."""

from __future__ import annotations

import hashlib
import sys
from dataclasses import dataclass

from celeryrun.claims._key import key_timestamp
from celeryrun.claims._records import Batch, Claim, Release

__all__ = ["ClaimTable", "HeldClaim", "key_window"]

MAX_CLOCK_SLACK = 60.0  # s that a caller's clock may be ahead, or the log's clock step back
CLOCK_SLACK_FRACTION = 0.25  # of the log's retention
WINDOW_FRACTION = 0.5  # of the log's retention
MAX_WINDOW = 3600.0  # s
MAX_REJECTED = 64  # per key; beyond that, a held claim stays held
BUCKET_SECONDS = 30.0
KEY_HASH_BYTES = 16


def key_window(retention: float) -> float:
    """Return the time in seconds after its creation during which a key may be claimed.

    Parameters
    ----------
    retention : float
        Time in seconds that the log keeps a record.

    Notes
    -----
    A claim stays in the log until at least three quarters of `retention` after the key's creation,
    since the clock slack is at most a quarter. The window of half the retention is shorter, so a
    node that may still claim the key reads the first claim.

    Examples
    --------
    >>> key_window(1200.0)
    600.0
    """
    return min(retention * WINDOW_FRACTION, MAX_WINDOW)


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """Claim that holds its key.

    Parameters
    ----------
    claim_id : bytes
        Claim id.
    node : str
        Name of the claiming node.
    """

    claim_id: bytes
    node: str


@dataclass(slots=True)
class _KeyState:
    held: HeldClaim | None = None
    rejected: tuple[bytes, ...] = ()

    def reject(self, claim_id: bytes) -> bool:
        """Reject a released or lost claim, which may be appended late or again.

        Returns
        -------
        bool
            False if `MAX_REJECTED` other claims are already rejected.
        """
        if claim_id not in self.rejected and len(self.rejected) < MAX_REJECTED:
            self.rejected += (claim_id,)
        return claim_id in self.rejected


class ClaimTable:
    """Held claims by key.

    The age of a claim is measured by the log's clock at its append, so all nodes decide the same
    independently of their own clocks.

    Parameters
    ----------
    retention : float
        Time in seconds that the log keeps a record.

    Attributes
    ----------
    window : float
        Time in seconds after its creation during which a key may be claimed.

    Examples
    --------
    >>> from celeryrun.claims._key import new_idempotency_key
    >>> table = ClaimTable(120.0)
    >>> key = "cajas/" + new_idempotency_key(1000.0, 1)
    >>> table.apply_batch(Batch((Claim(key, "aa", "node-0"), Claim(key, "bb", "node-1"))), 1001.0)
    >>> table.held_claim(key)
    HeldClaim(claim_id=b'\\xaa', node='node-0')
    """

    __slots__ = ("_key_hashes_by_bucket", "_slack", "_state_by_key_hash", "window")

    def __init__(self, retention: float) -> None:
        self.window = key_window(retention)
        self._slack = min(retention * CLOCK_SLACK_FRACTION, MAX_CLOCK_SLACK)
        self._state_by_key_hash: dict[bytes, _KeyState] = {}
        self._key_hashes_by_bucket: dict[int, list[bytes]] = {}

    def __len__(self) -> int:
        return len(self._state_by_key_hash)

    def held_claim(self, key: str) -> HeldClaim | None:
        """Return the claim that holds a key, if any."""
        state = self._state_by_key_hash.get(_hash(key))
        return None if state is None else state.held

    def is_within_window(self, key: str, written: float) -> bool:
        """Return whether a claim on a key was appended within the key's window.

        Parameters
        ----------
        written : float
            Time of append in seconds since the epoch, by the log's clock. It may precede the
            creation of the key by the clock slack.
        """
        timestamp = _timestamp(key)
        return timestamp is not None and -self._slack <= written - timestamp <= self.window

    def apply_batch(self, batch: Batch, written: float) -> None:
        """Apply one record.

        Parameters
        ----------
        written : float
            Time of append in seconds since the epoch, by the log's clock.
        """
        for claim in batch.claims:
            if self.is_within_window(claim.key, written):
                self._claim(claim)
        for release in batch.releases:
            if self.is_within_window(release.key, written):
                self._release(release)

    def expire(self, now: float) -> None:
        """Remove the keys that can no longer be claimed.

        Parameters
        ----------
        now : float
            Time by the log's clock; no record appended earlier is still to be applied.
        """
        oldest_bucket = int((now - self.window - self._slack) // BUCKET_SECONDS)
        for bucket in [bucket for bucket in self._key_hashes_by_bucket if bucket < oldest_bucket]:
            for key_hash in self._key_hashes_by_bucket.pop(bucket):
                del self._state_by_key_hash[key_hash]

    def _claim(self, claim: Claim) -> None:
        state = self._find_or_add_state(claim.key)
        claim_id = bytes.fromhex(claim.claim_id)
        if state.held is None and claim_id not in state.rejected:
            state.held = HeldClaim(claim_id, sys.intern(claim.node))
        elif state.held is not None and state.held.claim_id != claim_id:
            state.reject(claim_id)

    def _release(self, release: Release) -> None:
        state = self._find_or_add_state(release.key)
        claim_id = bytes.fromhex(release.claim_id)
        is_held = state.held is not None and state.held.claim_id == claim_id
        if state.reject(claim_id) and is_held:
            state.held = None

    def _find_or_add_state(self, key: str) -> _KeyState:
        key_hash = _hash(key)
        state = self._state_by_key_hash.get(key_hash)
        if state is None:
            state = self._state_by_key_hash[key_hash] = _KeyState()
            timestamp = _timestamp(key)
            assert timestamp is not None
            bucket = int(timestamp // BUCKET_SECONDS)
            self._key_hashes_by_bucket.setdefault(bucket, []).append(key_hash)
        return state


def _hash(key: str) -> bytes:
    return hashlib.blake2b(key.encode(), digest_size=KEY_HASH_BYTES).digest()


def _timestamp(key: str) -> float | None:
    return key_timestamp(key.rpartition("/")[2])
