"""Directory of the nodes that keep the answers to requests, so that retries find them."""

from __future__ import annotations

import hashlib
from collections import OrderedDict

__all__ = ["AnswerDirectory", "hash_id"]

ID_HASH_BYTES = 16


def hash_id(workspace: str, answer_id: str) -> bytes:
    """Return the hash of fixed length by which an answer is looked up.

    Parameters
    ----------
    answer_id : str
        Id that all retries of a request have in common, unique within the workspace.

    Examples
    --------
    >>> hash_id("a", "b/c") == hash_id("a/b", "c")
    False
    """
    text = f"{workspace}\0{answer_id}"
    return hashlib.blake2b(text.encode(), digest_size=ID_HASH_BYTES).digest()


class AnswerDirectory:
    """Map of answer ids to the nodes that have the answers, bounded in size and age.

    An entry is a hint: it may be lost or outdated. A requester that does not find the answer on
    the node looks it up again and excludes that node.

    Parameters
    ----------
    max_entries : int
    max_age : float
        Time in seconds that an entry is kept.

    Examples
    --------
    >>> directory = AnswerDirectory(2, 10.0)
    >>> directory.find_or_register(b"id", "node-0", "", 0.0)
    'node-0'
    >>> directory.find_or_register(b"id", "node-1", "", 1.0)
    'node-0'
    >>> directory.find_or_register(b"id", "node-1", "node-0", 2.0)
    'node-1'
    """

    __slots__ = ("_entry_by_id_hash", "_max_age", "_max_entries")

    def __init__(self, max_entries: int, max_age: float) -> None:
        self._max_entries = max_entries
        self._max_age = max_age
        self._entry_by_id_hash: OrderedDict[bytes, tuple[str, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entry_by_id_hash)

    def find_or_register(
        self, id_hash: bytes, requester: str, excluded_node: str, now: float
    ) -> str:
        """Return the node that has an answer; if none is known, record and return the requester.

        Parameters
        ----------
        requester : str
            Node that looks the answer up; it runs the request itself if no other node is known.
        excluded_node : str
            Node that was found not to have the answer, or empty; an entry for it is replaced.
        now : float
            Monotonic time in seconds.
        """
        self._expire(now)
        entry = self._entry_by_id_hash.get(id_hash)
        if entry is not None and entry[0] != excluded_node:
            return entry[0]
        self._entry_by_id_hash.pop(id_hash, None)
        self._entry_by_id_hash[id_hash] = (requester, now)
        return requester

    def _expire(self, now: float) -> None:
        """Remove expired entries, and the oldest ones until there is room for one more."""
        while self._entry_by_id_hash:
            id_hash, (_, added_at) = next(iter(self._entry_by_id_hash.items()))
            if len(self._entry_by_id_hash) < self._max_entries and added_at > now - self._max_age:
                return
            del self._entry_by_id_hash[id_hash]
