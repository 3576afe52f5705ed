"""Whole events of a stream, so that it can go on elsewhere after the last one."""

from __future__ import annotations

__all__ = ["EventSplitter"]


class EventSplitter:
    """Cuts the bytes of an event stream into whole events.

    Attributes
    ----------
    last_id : bytes
        Id of the last whole event that was taken.
    count : int
        Events taken.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> splitter.last_id, splitter.has_rest()
    (b'1', True)
    >>> splitter.feed(b"ta: b\\n\\n")
    b'id: 2\\ndata: b\\n\\n'
    """

    __slots__ = ("_rest", "count", "last_id")

    def __init__(self) -> None:
        self._rest = b""
        self.last_id = b""
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole events that they complete."""
        data = self._rest + data
        end = max(_end_of(data, b"\n\n"), _end_of(data, b"\r\n\r\n"))
        whole, self._rest = data[:end], data[end:]
        for line in whole.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
                self.count += 1
        return whole

    def has_rest(self) -> bool:
        """Tell whether a part of an event is held."""
        return bool(self._rest)

    def drop_rest(self) -> bytes:
        """Return and forget the part of an event that is held."""
        rest, self._rest = self._rest, b""
        return rest


def _end_of(data: bytes, mark: bytes) -> int:
    found = data.rfind(mark)
    return 0 if found < 0 else found + len(mark)
