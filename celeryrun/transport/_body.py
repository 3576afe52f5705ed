"""Body of a request while it is received."""

from __future__ import annotations

__all__ = ["BodyBuffer"]

MIN_PIECE_BYTES = 4096  # of a piece that is kept as it came; smaller ones are joined
JOINED_BYTES = 65_536  # from which on a new piece is begun


class BodyBuffer:
    """Received pieces of a body, of which small ones are joined.

    Examples
    --------
    >>> body = BodyBuffer()
    >>> body.append(b"a")
    >>> body.append(b"b" * 5000)
    >>> len(body), len(body.pieces), len(body.join())
    (5001, 2, 5001)
    """

    __slots__ = ("_size", "_tail", "pieces")

    def __init__(self) -> None:
        self._size = 0
        self._tail = bytearray()
        self.pieces: list[bytes | bytearray] = []

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Add a piece."""
        self._size += len(data)
        if len(data) >= MIN_PIECE_BYTES:
            self.pieces.append(data)
            return
        if not self.pieces or self.pieces[-1] is not self._tail or len(self._tail) >= JOINED_BYTES:
            self._tail = bytearray()
            self.pieces.append(self._tail)
        self._tail += data

    def join(self) -> bytes:
        """Return the body."""
        return b"".join(self.pieces)

    def clear(self) -> None:
        """Forget all pieces."""
        self._size = 0
        self._tail = bytearray()
        self.pieces = []
