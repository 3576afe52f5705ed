"""Position of a record in a log whose offsets may be given out again."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Position"]


@dataclass(frozen=True, order=True, slots=True)
class Position:
    """Offset in the history of one era; a position of a later era is later, whatever its offset.

    Parameters
    ----------
    era : int
        Rises by one each time that the store is restored from a copy.
    offset : int
        Offset of a record, or of the next one to read.

    Examples
    --------
    >>> Position(2, 3) > Position(1, 40)
    True
    """

    era: int
    offset: int
