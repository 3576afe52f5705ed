"""Limit on the memory for request bodies that several connections share."""

from __future__ import annotations

import math

__all__ = ["ByteBudget"]


class ByteBudget:
    """Counter of reserved bytes with an upper limit.

    Parameters
    ----------
    limit : float
        Maximum number of bytes reserved at once, unlimited by default.

    Attributes
    ----------
    reserved : int
        Bytes reserved now.

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
        """Reserve bytes unless that exceeds the limit; return whether they are reserved."""
        if self.reserved + size > self.limit:
            return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        """Return reserved bytes to the budget."""
        self.reserved -= size
