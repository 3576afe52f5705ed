"""Heap whose items may change their keys."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["LazyHeap"]

SPARE_ENTRIES = 64
ENTRIES_FOR_EACH = 4

T = TypeVar("T")


class LazyHeap(Generic[T]):
    """Finds the item with the least key; an entry whose key is out of date is dropped on sight.

    Parameters
    ----------
    key : callable
        Returns an item's key now, or None if the item is no longer wanted.

    Examples
    --------
    >>> price_by_name = {"a": 3.0, "b": 1.0}
    >>> heap = LazyHeap(price_by_name.get)
    >>> heap.note("a"); heap.note("b"); heap.first()
    'b'
    >>> price_by_name["b"] = 5.0
    >>> heap.note("b"); heap.first()
    'a'
    """

    __slots__ = ("_bound", "_count", "_entries", "_key")

    def __init__(self, key: Callable[[T], float | None]) -> None:
        self._key = key
        self._entries: list[tuple[float, int, T]] = []
        self._count = itertools.count()
        self._bound = SPARE_ENTRIES

    def note(self, item: T) -> None:
        """Take an item in, or take note that its key has changed."""
        key = self._key(item)
        if key is None:
            return
        heapq.heappush(self._entries, (key, next(self._count), item))
        if len(self._entries) > self._bound:
            self._compact()

    def first(self) -> T | None:
        """Return the item with the least key, None if there is none."""
        while self._entries:
            key, _, item = self._entries[0]
            if self._key(item) == key:
                return item
            heapq.heappop(self._entries)
        return None

    def _compact(self) -> None:
        entry_by_item = {
            id(item): (key, count, item)
            for key, count, item in self._entries
            if self._key(item) == key
        }
        self._entries = list(entry_by_item.values())
        heapq.heapify(self._entries)
        self._bound = ENTRIES_FOR_EACH * len(self._entries) + SPARE_ENTRIES
