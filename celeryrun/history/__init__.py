"""Positions in logs whose store may be restored from an older copy."""

from celeryrun.history._cursor import Accepted, Ignored, TopicCursor
from celeryrun.history._keyed import KeyedPage, KeyedRecord
from celeryrun.history._position import Position

__all__ = ["Accepted", "Ignored", "KeyedPage", "KeyedRecord", "Position", "TopicCursor"]
