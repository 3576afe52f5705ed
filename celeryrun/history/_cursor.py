"""Decides which pages of a topic to apply, and what they prove, across restored copies."""

from __future__ import annotations

from dataclasses import dataclass

from celeryrun.history._position import Position

__all__ = ["Accepted", "Ignored", "TopicCursor"]


@dataclass(frozen=True, slots=True)
class Accepted:
    """The records are to be applied.

    Parameters
    ----------
    restored : bool
        Whether they are the first of a restored copy, which may lack records applied before.
    """

    restored: bool = False


@dataclass(frozen=True, slots=True)
class Ignored:
    """Sentinel: the records are not to be applied."""

    reason: str


class TopicCursor:
    """Position of one reader of a topic, which gets pages from the store and from other readers.

    Offsets are compared within one era only. After a restore the reader needs a snapshot, since
    the new history may hold other records at offsets that it has passed.

    Attributes
    ----------
    position : Position or None
        Position after the last record applied, None before the first snapshot.

    Examples
    --------
    >>> cursor = TopicCursor()
    >>> cursor.accept_snapshot(Position(1, 4))
    Accepted(restored=False)
    >>> cursor.advance_era(2), cursor.next_read, cursor.covers(Position(2, 2))
    (True, None, False)
    >>> cursor.accept_changes(Position(2, 2), Position(2, 5))
    Ignored(reason='a snapshot of this era must come first')
    >>> cursor.accept_snapshot(Position(2, 3)), cursor.covers(Position(2, 3))
    (Accepted(restored=True), True)
    """

    __slots__ = ("_era", "_history_lost", "position")

    def __init__(self) -> None:
        self._era = 0
        self._history_lost = False
        self.position: Position | None = None

    @property
    def next_read(self) -> Position | None:
        """Position at which the next read starts, None if it must be a snapshot."""
        position = self.position
        if position is None or self._history_lost or position.era < self._era:
            return None
        return position

    def advance_era(self, era: int) -> bool:
        """Note an era that a response or another reader has named; return whether it is later."""
        is_later = era > self._era
        self._era = max(self._era, era)
        return is_later

    def lose_history(self, start: Position | None = None) -> None:
        """Require a snapshot, as the records from ``start`` on, or any others, are gone."""
        if start is None or start == self.position:
            self._history_lost = True

    def accept_snapshot(self, end: Position) -> Accepted | Ignored:
        """Decide on the newest record of every key, as of a position."""
        self.advance_era(end.era)
        if end.era < self._era:
            return Ignored("of an earlier era")
        former = self.position
        if former is not None and former >= end and not self._history_lost:
            return Ignored("not newer")
        self.position = end
        self._history_lost = False
        return Accepted(restored=former is not None and former.era < end.era)

    def accept_changes(self, start: Position, end: Position) -> Accepted | Ignored:
        """Decide on the records from one position up to another.

        Parameters
        ----------
        start, end : Position
            In different eras if the store was restored during the read.
        """
        self.advance_era(end.era)
        if end.era < self._era or start.era != end.era:
            return Ignored("of an earlier era")
        position = self.next_read
        if position is None:
            return Ignored("a snapshot of this era must come first")
        if start > position:
            return Ignored("records before it are missing")
        if end <= position:
            return Ignored("not newer")
        self.position = end
        return Accepted()

    def covers(self, end: Position) -> bool:
        """Return whether all records before ``end`` have been applied, in its own era."""
        position = self.next_read
        return position is not None and position.era == end.era and position.offset >= end.offset
