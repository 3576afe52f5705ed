"""Connections between nodes: length-prefixed MessagePack messages and heartbeats."""

from __future__ import annotations

import asyncio
import struct
import zlib
from collections.abc import Callable
from typing import Any

import logbook
import msgspec

from celeryrun.catalog import TargetRun
from celeryrun.history import Position
from celeryrun.platform import KeyedPage, KeyedRecord
from celeryrun.scheduling import (
    Cancel,
    Denial,
    FirstByte,
    Grant,
    HeldSlot,
    SlotReleased,
    SlotRequest,
)

__all__ = [
    "MAX_FRAME",
    "PROTOCOL",
    "Carry",
    "CrashReport",
    "Feed",
    "Heartbeat",
    "Hello",
    "Leaving",
    "Link",
    "Message",
    "NewerConfiguration",
    "OriginReport",
    "TargetLeaving",
    "TargetLimit",
    "TargetPaused",
    "TraitsCompleted",
    "VersionReport",
    "encode",
]

log = logbook.Logger("links")

PROTOCOL = 4  # incremented when a message changes meaning; nodes with another value are rejected
LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME = 1024 * 1024  # bytes; the largest message lists all slots that a node holds
MAX_DECOMPRESSED = 4 * 1024 * 1024  # bytes of records in one message, several reads of the store
SNAPSHOT = -1  # start of a page that holds the newest record of every key
COMPRESSION_LEVEL = 1  # zlib's fastest; every level shrinks configurations to a tenth
MAX_WRITE_BUFFER = 4 * 1024 * 1024  # bytes that a peer may leave unread

Records = tuple[tuple[str, bytes | None], ...]


class Hello(msgspec.Struct, array_like=True, tag=True):
    """First message of a node: its name, its slots in use and its protocol version."""

    node: str
    held_slots: tuple[HeldSlot, ...] = ()
    protocol: int = PROTOCOL


class Carry(msgspec.Struct, array_like=True, tag=True):
    """First message of a connection on which the receiver carries bytes to and from a target."""

    target: str


class Heartbeat(msgspec.Struct, array_like=True, tag="Beat"):
    """Heartbeat of a node, returned by its scheduler.

    Parameters
    ----------
    number : int
        Sequence number, repeated in the reply.
    freshness : tuple of (float, int, int)
        Of the sender's data, for each topic: the age in seconds, -1 if it has lost the store, and
        the era and offset up to which it has read. A scheduler is sent that of the targets alone.
    version : int
        Of the configuration that the sender has in force, 0 without any.
    version_age : float
        Seconds since it came into force there.
    absent : tuple of str or None
        Nodes that the scheduler has found to be gone; None if it has told the receiver before.
    lost_paths : tuple of str
        Targets that the sender reaches by way of other nodes only.
    """

    number: int
    freshness: tuple[tuple[float, int, int], ...] = ()
    version: int = 0
    version_age: float = 0.0
    absent: tuple[str, ...] | None = None
    lost_paths: tuple[str, ...] = ()


class Feed(msgspec.Struct, array_like=True, tag=True):
    """Records of a store topic, forwarded by the scheduler's node.

    Parameters
    ----------
    topic : int
        Index of the topic in ``SchedulerServer.followers``.
    era : int
        Era of the store in which they were read.
    start, next_offset : int
        Offset of the first record, `SNAPSHOT` for the newest record of every key, and the offset
        after the last.
    compressed : bytes
        Records, compressed because a configuration of a thousand routes is sent to all nodes over
        one link of low bandwidth.
    """

    topic: int
    era: int
    start: int
    next_offset: int
    compressed: bytes

    @classmethod
    def from_page(cls, topic: int, start: Position | None, page: KeyedPage) -> Feed:
        """Encode and compress the records of a page."""
        records = tuple((record.key, record.value) for record in page.records)
        return cls(
            topic,
            page.end.era,
            SNAPSHOT if start is None else start.offset,
            page.end.offset,
            zlib.compress(_encoder.encode(records), COMPRESSION_LEVEL),
        )

    @property
    def first(self) -> Position | None:
        """Position of the first record, None for a snapshot."""
        return None if self.start == SNAPSHOT else Position(self.era, self.start)

    @property
    def page(self) -> KeyedPage:
        """Decode the records.

        Raises
        ------
        ValueError
            If they are malformed or larger than ``MAX_DECOMPRESSED``.
        """
        records = tuple(KeyedRecord(key, value) for key, value in self._decode_records())
        end = Position(self.era, self.next_offset)
        return KeyedPage(records, end, is_snapshot=self.start == SNAPSHOT, at_end=False)

    def _decode_records(self) -> Records:
        try:
            return _records_decoder.decode(_decompress(self.compressed))
        except (msgspec.MsgspecError, RecursionError) as error:
            raise ValueError(f"malformed records ({error})") from error


class NewerConfiguration(msgspec.Struct, array_like=True, tag="Config"):
    """Record of a configuration that the receiver lacks, as the store may have lost it."""

    compressed: bytes

    @classmethod
    def from_record(cls, record: bytes) -> NewerConfiguration:
        """Compress a record."""
        return cls(zlib.compress(record, COMPRESSION_LEVEL))

    @property
    def record(self) -> bytes:
        """Decompress the record.

        Raises
        ------
        ValueError
            If it is malformed or larger than ``MAX_DECOMPRESSED``.
        """
        return _decompress(self.compressed)


class Leaving(msgspec.Struct, array_like=True, tag=True):
    """Notice that the scheduler's node is shutting down and another node must schedule."""


class CrashReport(msgspec.Struct, array_like=True, tag="Crash"):
    """Notice that a target crashed with a request in flight.

    Parameters
    ----------
    age : float
        Seconds since the crash.
    parts : tuple of int
        Hashes of the parts of the prompt that other requests may share.
    completed_before : tuple of int
        Those of them with which requests of the reporting node had completed.
    born : int
        Start of the target's run, in Unix milliseconds, 0 if unknown.
    """

    fingerprint: int
    target: str
    age: float
    parts: tuple[int, ...] = ()
    completed_before: tuple[int, ...] = ()
    born: int = 0


class TargetLeaving(msgspec.Struct, array_like=True, tag=True):
    """Notice that a run of a target has stated that it leaves.

    Parameters
    ----------
    age : float
        Seconds since the response that says so.
    """

    run: TargetRun
    age: float


class TargetLimit(msgspec.Struct, array_like=True, tag="Limit"):
    """Notice that a target has named another limit, or none any more.

    Parameters
    ----------
    rate : float or None
        Requests per second that it takes from all nodes.
    age : float
        Seconds since the request was sent whose response says so.
    """

    target: str
    rate: float | None
    age: float


class TargetPaused(msgspec.Struct, array_like=True, tag=True):
    """Notice that a run of a target wants no requests for some time.

    Parameters
    ----------
    seconds : float
        Time that remains.
    """

    run: TargetRun
    seconds: float


class TraitsCompleted(msgspec.Struct, array_like=True, tag="Completed"):
    """Notice that a suspect request, or one with suspect parts, has completed.

    Parameters
    ----------
    age : float
        Seconds since the request was sent to its target.
    """

    fingerprint: int
    parts: tuple[int, ...]
    age: float


class OriginReport(msgspec.Struct, array_like=True, tag="Origins"):
    """Notice of the version that began streams.

    Parameters
    ----------
    version : str
        Version, empty if contradictory ones were reported.
    streams, lifetimes : tuple of int
        Keys of the streams, and the whole seconds for which their callers may resume them.
    """

    version: str
    streams: tuple[int, ...]
    lifetimes: tuple[int, ...]


class VersionReport(msgspec.Struct, array_like=True, tag="Versions"):
    """Notice of the versions that a node has observed in the list of targets.

    Parameters
    ----------
    seconds : float
        Time for which it has observed them without a gap.
    ages_by_pool : dict
        For each pool, the seconds since each version was last listed.
    """

    seconds: float
    ages_by_pool: dict[str, dict[str, float]]


Message = (
    Hello
    | Carry
    | Heartbeat
    | Feed
    | Leaving
    | NewerConfiguration
    | SlotRequest
    | Cancel
    | FirstByte
    | SlotReleased
    | Grant
    | Denial
    | CrashReport
    | TargetLeaving
    | TargetLimit
    | TargetPaused
    | TraitsCompleted
    | OriginReport
    | VersionReport
)


def _decompress(compressed: bytes) -> bytes:
    try:
        decompressor = zlib.decompressobj()
        raw = decompressor.decompress(compressed, MAX_DECOMPRESSED)
    except zlib.error as error:
        raise ValueError(f"malformed records ({error})") from error
    if decompressor.unconsumed_tail:
        raise ValueError("decompressed records are too large")
    return raw


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)
_records_decoder = msgspec.msgpack.Decoder(Records)


def encode(message: Message) -> bytes:
    """Return a message with its length."""
    frame = _encoder.encode(message)
    return LENGTH_PREFIX.pack(len(frame)) + frame


class Link(asyncio.Protocol):
    """One end of a connection between nodes.

    Parameters
    ----------
    on_message : callable
        Called with this link and each message received.
    on_closed : callable
        Called once with this link when it is closed.

    Attributes
    ----------
    absent : frozenset of str or None
        Absent nodes of which this end last told the peer, or was told by it; None before.
    configuration_sent_at : float
        Time at which the peer was last sent a newer configuration, -inf before.
    last_received_at : float
        Time of the last message received, in seconds.
    node : str
        Name of the peer, empty until it is known.
    """

    __slots__ = (
        "_buffer",
        "_on_closed",
        "_on_message",
        "_transport",
        "absent",
        "closed",
        "configuration_sent_at",
        "last_received_at",
        "node",
    )

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
        self.absent: frozenset[str] | None = None
        self.configuration_sent_at = float("-inf")
        self.last_received_at = 0.0
        self.node = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Decode complete messages; close the link on an oversized or malformed one."""
        self._buffer += data
        while len(self._buffer) >= LENGTH_PREFIX.size and not self.closed:
            (length,) = LENGTH_PREFIX.unpack_from(self._buffer)
            if length > MAX_FRAME:
                self.close()
                return
            end = LENGTH_PREFIX.size + length
            if len(self._buffer) < end:
                return
            frame = bytes(self._buffer[LENGTH_PREFIX.size : end])
            del self._buffer[:end]
            try:
                message = _decoder.decode(frame)
            except (msgspec.MsgspecError, RecursionError, ValueError):
                self.close()
                return
            try:
                self._on_message(self, message)
            except Exception:
                log.exception("message of node {!r} failed", self.node)
                self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner."""
        self._mark_closed()

    @property
    def host(self) -> str:
        """IP address of the peer, empty if there is no connection."""
        name = self._transport.get_extra_info("peername") if self._transport else None
        return name[0] if name else ""

    def send(self, message: Message) -> None:
        """Send a message, or close the link if the peer does not read."""
        if self.closed:
            return
        if self._transport.get_write_buffer_size() > MAX_WRITE_BUFFER:
            self.close()
            return
        self._transport.write(encode(message))

    def detach(self) -> Any:
        """Return the transport, which serves another purpose from now on."""
        self.closed = True
        return self._transport

    def close(self) -> None:
        """Close the link immediately."""
        if self._transport is not None:
            self._transport.abort()
        self._mark_closed()

    def _mark_closed(self) -> None:
        if not self.closed:
            self.closed = True
            self._on_closed(self)
