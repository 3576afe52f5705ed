"""How many bytes of request bodies a node may hold at once."""

from __future__ import annotations

import math

__all__ = ["ByteBudget"]


class ByteBudget:
    """Counts bytes that are held against a limit.

    Parameters
    ----------
    limit : float
        Bytes that may be held at once, unlimited by default.

    Examples
    --------
    >>> budget = ByteBudget(10)
    >>> budget.reserve(8), budget.reserve(3)
    (True, False)
    >>> budget.release(8)
    >>> budget.reserve(3)
    True
    """

    __slots__ = ("limit", "reserved")

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.reserved = 0

    def reserve(self, size: int) -> bool:
        """Count bytes if they may be held; tell whether they may."""
        if self.reserved + size > self.limit:
            return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        """Count bytes as no longer held."""
        self.reserved -= size
