"""Records of the claim stream."""

from __future__ import annotations

import hashlib
import os

import msgspec

__all__ = ["Batch", "Claim", "Release", "content_digest", "digest_from_claim_id", "new_claim_id"]

DIGEST_BYTES = 8
RANDOM_BYTES = 8


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A node's claim on a key.

    Parameters
    ----------
    key : str
        Workspace, a slash, and the idempotency key.
    claim_id : str
        Unique id in hexadecimal: the digest of the request's content, then random bytes.
    node : str
        The claiming node.
    """

    key: str
    claim_id: str
    node: str


class Release(msgspec.Struct, frozen=True, array_like=True):
    """The end of a claim that was not used, written by its own node alone."""

    key: str
    claim_id: str


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """One record: claims, then releases."""

    claims: tuple[Claim, ...] = ()
    releases: tuple[Release, ...] = ()


def content_digest(*parts: str | bytes) -> bytes:
    """Return a digest of a request's content.

    Examples
    --------
    >>> content_digest("POST", "/a", b"") == content_digest("POST", "/", b"a")
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.digest()


def new_claim_id(digest: bytes) -> str:
    """Return a new claim id for content with a digest."""
    return (digest + os.urandom(RANDOM_BYTES)).hex()


def digest_from_claim_id(claim: bytes) -> bytes:
    """Return the digest of the content that a claim is for."""
    return claim[:DIGEST_BYTES]
