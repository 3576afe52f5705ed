"""Rendezvous hashing."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

__all__ = ["choose_owner", "rank"]

WEIGHT_BYTES = 8


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names in descending order of their hash weight for a key.

    Parameters
    ----------
    key : str
        Key to be owned, such as the name of a pool.
    names : iterable of str
        Candidate owners.

    Examples
    --------
    >>> rank("pool", ["a", "b", "c"]) == rank("pool", ["c", "b", "a"])
    True

    References
    ----------
    .. [1] Thaler, Ravishankar, "A Name-Based Mapping Scheme for Rendezvous",
       University of Michigan CSE-TR-316-96, 1996.
    """
    return sorted(names, key=lambda name: (_weight(key, name), name), reverse=True)


def choose_owner(key: str, names: Iterable[str]) -> str | None:
    """Return the owner of a key: the name with the highest weight, or None without names."""
    return max(names, key=lambda name: (_weight(key, name), name), default=None)


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=WEIGHT_BYTES).digest()
