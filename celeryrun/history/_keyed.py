"""Records of topics in which a later record of a key replaces the earlier one."""

from __future__ import annotations

from dataclasses import dataclass

from celeryrun.history._position import Position

__all__ = ["KeyedPage", "KeyedRecord"]


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Latest value of a key, None if the key was deleted."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records read from a topic.

    Parameters
    ----------
    end : Position
        Position at which the next read starts.
    is_snapshot : bool
        Whether the records are the latest ones of all keys rather than the changes since an offset.
    at_end : bool
        Whether the read reached the end of the topic.
    restored : bool
        Whether the records are of a restored copy, which may lack what was applied before.
    """

    records: tuple[KeyedRecord, ...]
    end: Position
    is_snapshot: bool
    at_end: bool
    restored: bool = False
