"""Records of the claim stream and digests of request contents."""

from __future__ import annotations

import hashlib
import os

import msgspec

__all__ = ["Batch", "Claim", "Release", "content_digest", "digest_from_claim_id", "new_claim_id"]

DIGEST_BYTES = 8
RANDOM_BYTES = 8


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Claim of a node on a key.

    Parameters
    ----------
    key : str
        Workspace, a slash, and the idempotency key.
    claim_id : str
        Unique id in hexadecimal: the digest of the request's content followed by random bytes.
    node : str
        Name of the claiming node.
    """

    key: str
    claim_id: str
    node: str


class Release(msgspec.Struct, frozen=True, array_like=True):
    """Release of an unused claim, appended only by the node that made the claim."""

    key: str
    claim_id: str


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Body of one log record; the claims are applied before the releases."""

    claims: tuple[Claim, ...] = ()
    releases: tuple[Release, ...] = ()


def content_digest(*parts: str | bytes) -> bytes:
    """Return a digest of the parts of a request's content.

    Each part is hashed with its length, so the boundaries between parts matter.

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
    """Return a unique claim id in hexadecimal for content with a given digest."""
    return (digest + os.urandom(RANDOM_BYTES)).hex()


def digest_from_claim_id(claim_id: bytes) -> bytes:
    """Return the digest of the request content from a claim id."""
    return claim_id[:DIGEST_BYTES]
