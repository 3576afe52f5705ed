"""Heap with lazy deletion for items whose keys change."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["LazyHeap"]

SPARE_ENTRIES = 64
MAX_ENTRIES_PER_ITEM = 4

T = TypeVar("T")


class LazyHeap(Generic[T]):
    """Finds the item with the least key; entries with an outdated key are dropped at the top.

    Parameters
    ----------
    key : callable
        Returns an item's current key, or None if the item no longer belongs to the heap.

    Examples
    --------
    >>> price_by_name = {"a": 3.0, "b": 1.0}
    >>> heap = LazyHeap(price_by_name.get)
    >>> heap.update("a"); heap.update("b"); heap.peek()
    'b'
    >>> price_by_name["b"] = 5.0
    >>> heap.update("b"); heap.peek()
    'a'
    """

    __slots__ = ("_counter", "_entries", "_key", "_max_entries")

    def __init__(self, key: Callable[[T], float | None]) -> None:
        self._key = key
        self._entries: list[tuple[float, int, T]] = []
        self._counter = itertools.count()
        self._max_entries = SPARE_ENTRIES

    def update(self, item: T) -> None:
        """Add an item, or another entry for an item whose key has changed."""
        key = self._key(item)
        if key is None:
            return
        heapq.heappush(self._entries, (key, next(self._counter), item))
        if len(self._entries) > self._max_entries:
            self._compact()

    def peek(self) -> T | None:
        """Return the item with the least key, or None if the heap is empty."""
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
        self._max_entries = MAX_ENTRIES_PER_ITEM * len(self._entries) + SPARE_ENTRIES
