"""Connections between nodes: length-prefixed messages with a heartbeat of their own."""

from __future__ import annotations

import asyncio
import struct
import zlib
from collections.abc import Callable
from typing import Any

import msgspec

from celeryrun.scheduling import (
    Cancel,
    Denial,
    FirstByte,
    Grant,
    HeldSlot,
    SlotReleased,
    SlotRequest,
)

__all__ = ["MAX_FRAME", "PROTOCOL", "Beat", "Feed", "Hello", "Leaving", "Link", "Message"]

PROTOCOL = 1  # raised when a message changes its meaning; nodes of another one are rejected
LENGTH = struct.Struct(">I")
MAX_FRAME = 1024 * 1024  # bytes; the largest message tells all that a node holds
MAX_UNPACKED = 4 * 1024 * 1024  # bytes of records in one message, some reads of the store
PACKING = 1  # the fastest level; configurations shrink to a tenth by any
MAX_BACKLOG = 4 * 1024 * 1024  # bytes that a silent peer may leave unread

Records = tuple[tuple[str, bytes | None], ...]


class Hello(msgspec.Struct, array_like=True, tag=True):
    """First message of a node: who it is and what it holds."""

    node: str
    holds: tuple[HeldSlot, ...] = ()
    protocol: int = PROTOCOL


class Beat(msgspec.Struct, array_like=True, tag=True):
    """Heartbeat, sent by the node and returned by the scheduler.

    Parameters
    ----------
    proofs : tuple of (float, int)
        Of the scheduler, for configuration and targets: the age of its proof in seconds, -1 if it
        has lost the store, and the offset up to which it has read.
    """

    number: int
    proofs: tuple[tuple[float, int], ...] = ()


class Feed(msgspec.Struct, array_like=True, tag=True):
    """Records that the scheduler's node has read.

    Parameters
    ----------
    topic : int
        Its number.
    start, next : int
        Offset of the first record, and the one after the last.
    packed : bytes
        Records, packed: a configuration of a thousand routes goes to all nodes by one thin link.
    """

    topic: int
    start: int
    next: int
    packed: bytes

    @classmethod
    def from_records(cls, topic: int, start: int, next: int, records: Records) -> Feed:
        """Pack records."""
        return cls(topic, start, next, zlib.compress(_encoder.encode(records), PACKING))

    @property
    def records(self) -> Records:
        """Unpack the records.

        Raises
        ------
        ValueError
            If they can't be read, or are larger than a page that a node reads.
        """
        try:
            unpacker = zlib.decompressobj()
            raw = unpacker.decompress(self.packed, MAX_UNPACKED)
            if unpacker.unconsumed_tail:
                raise ValueError("records are too large")
            return _records_decoder.decode(raw)
        except (zlib.error, msgspec.MsgspecError) as error:
            raise ValueError(f"records can't be read ({error})") from error


class Leaving(msgspec.Struct, array_like=True, tag=True):
    """The scheduler's node is leaving; ask another."""


Message = (
    Hello | Beat | Feed | Leaving | SlotRequest | Cancel | FirstByte | SlotReleased | Grant | Denial
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)
_records_decoder = msgspec.msgpack.Decoder(Records)


class Link(asyncio.Protocol):
    """One end of a connection between nodes.

    Parameters
    ----------
    on_message : callable
        Takes this link and each message.
    on_closed : callable
        Takes this link when it is gone.
    """

    __slots__ = ("_buffer", "_on_closed", "_on_message", "_transport", "closed", "heard", "node")

    def __init__(
        self,
        on_message: Callable[[Link, Any], None],
        on_closed: Callable[[Link], None],
    ) -> None:
        self._on_message = on_message
        self._on_closed = on_closed
        self._buffer = bytearray()
        self._transport: Any = None
        self.closed = False
        self.heard = 0.0
        self.node = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Take whole messages; what is none ends the link."""
        self._buffer += data
        while len(self._buffer) >= LENGTH.size and not self.closed:
            (length,) = LENGTH.unpack_from(self._buffer)
            if length > MAX_FRAME:
                self.close()
                return
            end = LENGTH.size + length
            if len(self._buffer) < end:
                return
            frame = bytes(self._buffer[LENGTH.size : end])
            del self._buffer[:end]
            try:
                message = _decoder.decode(frame)
            except msgspec.MsgspecError:
                self.close()
                return
            self._on_message(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner."""
        self._end()

    @property
    def host(self) -> str:
        """IP number of the peer, empty once the link is gone."""
        name = self._transport.get_extra_info("peername") if self._transport else None
        return name[0] if name else ""

    def send(self, message: Message) -> None:
        """Send a message, or end the link if the peer does not read."""
        if self.closed:
            return
        if self._transport.get_write_buffer_size() > MAX_BACKLOG:
            self.close()
            return
        frame = _encoder.encode(message)
        self._transport.write(LENGTH.pack(len(frame)) + frame)

    def close(self) -> None:
        """End the link at once."""
        if self._transport is not None:
            self._transport.abort()
        self._end()

    def _end(self) -> None:
        if not self.closed:
            self.closed = True
            self._on_closed(self)
