"""Splitting of event streams, so that another target can continue after a whole event."""

from __future__ import annotations

__all__ = ["MAX_EVENT_BYTES", "EventSplitter", "EventTooLargeError", "has_event"]

MAX_EVENT_BYTES = 262_144  # of an event that is held back until it is whole


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
        self._partial = b""
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
        data = self._partial + data
        end = max(_find_end(data, b"\n\n"), _find_end(data, b"\r\n\r\n"))
        whole_events, self._partial = data[:end], data[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLargeError
        for line in whole_events.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
                self.count += 1
            if line.rstrip(b"\r") and not line.startswith(b":"):
                self.line_count += 1
        return whole_events

    def has_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._partial)

    @property
    def partial(self) -> bytes:
        """Bytes of the incomplete event."""
        return self._partial

    def restore_partial(self, partial: bytes) -> None:
        """Go on with the incomplete event of another response, or with none."""
        self._partial = partial


def has_event(data: bytes) -> bool:
    """Return whether bytes hold a whole event that is not only a comment.

    Examples
    --------
    >>> has_event(b"data: a\\n\\n"), has_event(b": wait\\n\\n"), has_event(b"data: a")
    (True, False, False)
    """
    end = max(_find_end(data, b"\n\n"), _find_end(data, b"\r\n\r\n"))
    lines = data[:end].splitlines()
    return any(line and not line.startswith(b":") for line in lines)


def _find_end(data: bytes, separator: bytes) -> int:
    found = data.rfind(separator)
    return 0 if found < 0 else found + len(separator)
