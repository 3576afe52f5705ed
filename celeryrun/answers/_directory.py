"""Which node has the answer to which request id."""

from __future__ import annotations

import hashlib
from collections import OrderedDict

__all__ = ["AnswerDirectory", "hash_id"]

HASH_BYTES = 16


def hash_id(workspace: str, answer_id: str) -> bytes:
    """Return the hash under which an answer is looked up.

    Examples
    --------
    >>> hash_id("a", "b/c") == hash_id("a/b", "c")
    False
    """
    text = f"{workspace}\0{answer_id}"
    return hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()


class AnswerDirectory:
    """Soft table of holders, bounded in entries and age.

    Parameters
    ----------
    most : int
        Entries kept.
    age : float
        Seconds that an entry is kept.

    Examples
    --------
    >>> directory = AnswerDirectory(2, 10.0)
    >>> directory.find(b"id", "node-0", "", 0.0)
    'node-0'
    >>> directory.find(b"id", "node-1", "", 1.0)
    'node-0'
    >>> directory.find(b"id", "node-1", "node-0", 2.0)
    'node-1'
    """

    __slots__ = ("_age", "_holder_by_hash", "_most")

    def __init__(self, most: int, age: float) -> None:
        self._most = most
        self._age = age
        self._holder_by_hash: OrderedDict[bytes, tuple[str, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._holder_by_hash)

    def find(self, id_hash: bytes, asker: str, instead_of: str, now: float) -> str:
        """Return the holder; the asker becomes it if there is none or it has proved wrong.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self._expire(now)
        known = self._holder_by_hash.get(id_hash)
        if known is not None and known[0] != instead_of:
            return known[0]
        self._holder_by_hash.pop(id_hash, None)
        self._holder_by_hash[id_hash] = (asker, now)
        return asker

    def _expire(self, now: float) -> None:
        while self._holder_by_hash:
            id_hash, (_, noted) = next(iter(self._holder_by_hash.items()))
            if len(self._holder_by_hash) < self._most and noted > now - self._age:
                return
            del self._holder_by_hash[id_hash]
