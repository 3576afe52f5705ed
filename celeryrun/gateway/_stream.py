"""Splitting of event streams, so that another target can continue after a whole event."""

from __future__ import annotations

import re

__all__ = ["MAX_EVENT_BYTES", "EventSplitter", "EventTooLargeError", "has_event"]

MAX_EVENT_BYTES = 262_144  # of an event that is held back until it is whole
ID_LINE = re.compile(rb"^id:([^\n]*)", re.MULTILINE)
LINE = re.compile(rb"^(?![:\n]|\r+\n)[^\n]+", re.MULTILINE)  # of an event, but no comment


class EventTooLargeError(Exception):
    """An event has no end within the limit; a target may send such bytes without end."""


class EventSplitter:
    """Splits the bytes of an event stream into whole events.

    Attributes
    ----------
    last_id : bytes
        Id of the last whole event.
    count : int
        Number of whole events with an id.
    line_count : int
        Number of lines of whole events, without comments.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> splitter.last_id, splitter.has_partial()
    (b'1', True)
    >>> splitter.feed(b"ta: b\\n\\n")
    b'id: 2\\ndata: b\\n\\n'
    """

    __slots__ = ("_partial", "count", "last_id", "line_count")

    def __init__(self) -> None:
        self._partial = bytearray()
        self.last_id = b""
        self.count = 0
        self.line_count = 0

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete.

        Raises
        ------
        EventTooLargeError
            If an event does not end within `MAX_EVENT_BYTES`.
        """
        searched = max(0, len(self._partial) - len(b"\r\n\r"))
        self._partial += data
        end = _find_end(self._partial, searched)
        whole_events = bytes(self._partial[:end])
        del self._partial[:end]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLargeError
        ids = ID_LINE.findall(whole_events)
        if ids:
            self.last_id = ids[-1].strip()
            self.count += len(ids)
        self.line_count += len(LINE.findall(whole_events))
        return whole_events

    def has_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._partial)

    @property
    def partial(self) -> bytes:
        """Copy of the bytes of the incomplete event."""
        return bytes(self._partial)

    def restore_partial(self, partial: bytes) -> None:
        """Go on with the incomplete event of another response, or with none."""
        self._partial = bytearray(partial)


def has_event(data: bytes) -> bool:
    """Return whether bytes hold a whole event that is not only a comment.

    Examples
    --------
    >>> has_event(b"data: a\\n\\n"), has_event(b": wait\\n\\n"), has_event(b"data: a")
    (True, False, False)
    """
    return LINE.search(data[: _find_end(data)]) is not None


def _find_end(data: bytes | bytearray, start: int = 0) -> int:
    """Return the end of the last event that ends behind a position, 0 if none does."""
    ends = (
        found + len(separator)
        for separator in (b"\n\n", b"\r\n\r\n")
        if (found := data.rfind(separator, start)) >= 0
    )
    return max(ends, default=0)
