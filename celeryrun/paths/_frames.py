"""Frames in which a carried connection passes between two nodes."""

from __future__ import annotations

import struct
from collections.abc import Iterator

__all__ = ["CONNECTED", "DECLINED", "END", "UNREACHABLE", "FrameReader", "format_frame"]

CONNECTED = b"C"  # the carrying node has a connection to the target
UNREACHABLE = b"U"  # it could not make one
DECLINED = b"D"  # it did not try
LENGTH_PREFIX = struct.Struct(">I")
END = LENGTH_PREFIX.pack(0)  # the sender has ended its stream and all of it was passed on
MAX_FRAME_BYTES = 65_536  # larger ones are no frames


def format_frame(data: bytes) -> bytes:
    """Return bytes of a stream as a frame."""
    return LENGTH_PREFIX.pack(len(data)) + data


class FrameReader:
    """Splits received bytes into the contents of frames.

    Examples
    --------
    >>> reader = FrameReader()
    >>> frame = format_frame(b"abc")
    >>> list(reader.feed(frame[:5])), list(reader.feed(frame[5:] + END))
    ([b'a'], [b'bc', b''])
    """

    __slots__ = ("_left", "_prefix")

    def __init__(self) -> None:
        self._prefix = b""
        self._left = 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the parts of frames in some bytes; an empty one is the end of the stream.

        Raises
        ------
        ValueError
            If a frame is too large.
        """
        position = 0
        while position < len(data):
            if self._left:
                part = data[position : position + self._left]
                position += len(part)
                self._left -= len(part)
                yield part
                continue
            missing = LENGTH_PREFIX.size - len(self._prefix)
            self._prefix += data[position : position + missing]
            position += missing
            if len(self._prefix) == LENGTH_PREFIX.size:
                (self._left,) = LENGTH_PREFIX.unpack(self._prefix)
                self._prefix = b""
                if self._left > MAX_FRAME_BYTES:
                    raise ValueError(f"a frame of {self._left} bytes is too large")
                if not self._left:
                    yield b""
