"""Connections to targets that this node carries for others."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios
from collections.abc import Callable
from typing import Any

from celeryrun.paths._frames import (
    CONNECTED,
    DECLINED,
    END,
    MAX_FRAME_BYTES,
    UNREACHABLE,
    FrameReader,
    format_frame,
)
from celeryrun.settings import Address

__all__ = ["Carrier"]

MAX_CARRIED = 256  # connections; each holds up to four buffers of the size below
MAX_BUFFERED_BYTES = 16_384  # unsent bytes above which the other side is not read
CONNECT_TIMEOUT = 0.3  # s; targets are milliseconds away, and the asking node waits
IDLE_TIMEOUT = 65.0  # s without a byte, longer than any request lasts
QUEUE_SIZE = struct.Struct("i")  # bytes that a socket has not delivered, as the system returns it


class Carrier:
    """Carries connections between other nodes and targets.

    Parameters
    ----------
    find_address : callable
        Returns the address of a target that takes new requests, None of any other.

    Attributes
    ----------
    is_stopping : bool
        Whether new connections are declined.
    """

    __slots__ = ("_carried", "_find_address", "_tasks", "is_stopping")

    def __init__(self, find_address: Callable[[str], Address | None]) -> None:
        self._find_address = find_address
        self._carried: set[CarriedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_stopping = False

    @property
    def active(self) -> int:
        """Number of connections that are carried now."""
        return len(self._carried)

    def accept(self, transport: Any, target: str) -> None:
        """Carry a connection between a node and a target, or decline to."""
        address = self._find_address(target)
        if self.is_stopping or address is None or self.active + len(self._tasks) >= MAX_CARRIED:
            transport.write(DECLINED)
            transport.close()
            return
        task = asyncio.get_running_loop().create_task(self._connect(transport, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, transport: Any, address: Address) -> None:
        carried = CarriedConnection(self._carried.discard)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await loop.create_connection(lambda: carried.target, address.host, address.port)
        except (OSError, TimeoutError, ValueError, OverflowError):
            transport.write(UNREACHABLE)
            transport.close()
            return
        self._carried.add(carried)
        carried.start(transport)

    def close(self) -> None:
        """Abort all connections."""
        for task in self._tasks:
            task.cancel()
        for carried in list(self._carried):
            carried.abort()


class CarriedConnection:
    """Both ends of a carried connection."""

    __slots__ = ("_idle_handle", "_last_byte_at", "_on_closed", "node", "target")

    def __init__(self, on_closed: Callable[[CarriedConnection], None]) -> None:
        self._on_closed = on_closed
        self._idle_handle: asyncio.TimerHandle | None = None
        self._last_byte_at = 0.0
        self.node = NodeEnd(self)
        self.target = TargetEnd(self)

    def start(self, transport: Any) -> None:
        """Begin to forward between a node and the target that is connected."""
        transport.set_protocol(self.node)
        self.node.connection_made(transport)
        if transport.is_closing() or self.target.transport.is_closing():
            self.abort()
            return
        transport.write(CONNECTED)
        self.target.transport.resume_reading()
        self.note_bytes()
        self._check_idle()

    def note_bytes(self) -> None:
        """Note that bytes have passed."""
        self._last_byte_at = asyncio.get_running_loop().time()

    def _check_idle(self) -> None:
        loop = asyncio.get_running_loop()
        left = self._last_byte_at + IDLE_TIMEOUT - loop.time()
        if left <= 0:
            self.abort()
        else:
            self._idle_handle = loop.call_later(left, self._check_idle)

    def abort(self) -> None:
        """Close both ends without delay."""
        if self._idle_handle is not None:
            self._idle_handle.cancel()
        for end in (self.node, self.target):
            if end.transport is not None:
                end.transport.abort()
        self._on_closed(self)


class _End(asyncio.Protocol):
    """One end; it stops reading while the other has too many unsent bytes."""

    def __init__(self, carried: CarriedConnection) -> None:
        self.carried = carried
        self.transport: Any = None

    @property
    def other(self) -> _End:
        """The other end."""
        carried = self.carried
        return carried.target if self is carried.node else carried.node

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.transport.set_write_buffer_limits(high=MAX_BUFFERED_BYTES)

    def pause_writing(self) -> None:
        if self.other.transport is not None and not self.other.transport.is_closing():
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.other.transport is not None and not self.other.transport.is_closing():
            self.other.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.carried.abort()


class NodeEnd(_End):
    """Connection to the node that asked; its bytes come in frames."""

    def __init__(self, carried: CarriedConnection) -> None:
        super().__init__(carried)
        self._frames = FrameReader()

    def data_received(self, data: bytes) -> None:
        self.carried.note_bytes()
        target = self.other.transport
        try:
            for part in self._frames.feed(data):
                if part and not target.is_closing():
                    target.write(part)
        except ValueError:
            self.carried.abort()

    def eof_received(self) -> bool:
        return False


class TargetEnd(_End):
    """Connection to the target."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        # Until the other end is there.
        self.transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        self.carried.note_bytes()
        node = self.other.transport
        for start in range(0, len(data), MAX_FRAME_BYTES):
            node.write(format_frame(data[start : start + MAX_FRAME_BYTES]))

    def eof_received(self) -> bool:
        """Pass the end on, unless it may have come before the whole request."""
        if self._has_unsent_bytes():
            self.carried.abort()
            return False
        self.other.transport.write(END)
        # The target may still reset the connection, which must reach the node.
        return True

    def _has_unsent_bytes(self) -> bool:
        if self.transport.get_write_buffer_size():
            return True
        sock = self.transport.get_extra_info("socket")
        (queued,) = QUEUE_SIZE.unpack(fcntl.ioctl(sock, termios.TIOCOUTQ, QUEUE_SIZE.pack(0)))
        return bool(queued > 0)
