"""One request and its response on a connection to a target."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from collections import deque
from typing import Any

from celeryrun.kernel import now
from celeryrun.transport._message import MalformedMessageError, ResponseHead, ResponseParser

__all__ = ["Exchange", "TargetFailedError", "accepts_connections", "is_kept", "open_exchange"]

MAX_BUFFERED_BYTES = 65_536  # of a response that a slow caller has not read; then reading pauses
SETTLE_TIME = 0.03  # s, a round trip, that a new connection must last to count as accepted
MAX_FRAMING_BYTES = 32_768  # received in a row without a byte of the body: head, trailers
SENT_BYTES = 65_536  # of a request written at once, as the transport copies what it can't send
READ_BYTES = 16_384  # that one connection may bring in a turn of the event loop
PIECE_RATE = 5000.0  # pieces of a response per second, which take a few milliseconds to parse
MAX_PIECES = 10_000.0  # pieces that may come at once
QUEUE_SIZE = struct.Struct("i")  # bytes that a socket has not delivered, as the system returns it
# Filled and parsed within one callback of the event loop, so all connections share it.
_READ_BUFFER = bytearray(READ_BYTES)


class TargetFailedError(Exception):
    """An exchange ended without a complete response.

    Parameters
    ----------
    kind : str
        ``refused`` (no connection was made, so nothing was sent), ``reset``, ``closed`` or
        ``malformed``.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        super().__init__(f"exchange failed: {kind}")


class Exchange(asyncio.BufferedProtocol):
    """Connection to a target for a single request and its response.

    Reads are small, and pause while the response comes in more pieces than it may, so that a target
    that sends tiny chunks or events without end does not delay the other connections.

    Attributes
    ----------
    head : ResponseHead or None
        Head of the response, None until it is received.
    complete : bool
        Whether the response is received to its end.
    ended_by_close : bool
        Whether only the end of the connection marks that end.
    """

    __slots__ = (
        "_buffered_bytes",
        "_changed",
        "_chunks",
        "_failure",
        "_framing_bytes",
        "_is_full",
        "_is_sending",
        "_parser",
        "_pieces",
        "_pieces_at",
        "_resume_handle",
        "_transport",
        "_writable",
        "complete",
        "ended_by_close",
        "head",
    )

    def __init__(self) -> None:
        self._parser = ResponseParser()
        self._parser.head_callback = self._on_head
        self._parser.body_callback = self._on_body
        self._parser.end_callback = self._on_end
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._framing_bytes = 0
        self._is_full = False
        self._is_sending = False
        self._pieces = 0.0
        self._pieces_at = now()
        self._resume_handle: asyncio.TimerHandle | None = None
        self._failure: TargetFailedError | None = None
        self._changed = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._transport: Any = None
        self.head: ResponseHead | None = None
        self.complete = False
        self.ended_by_close = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self._transport = transport

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes; bytes after the end of the response are ignored."""
        if self.complete or self._failure is not None:
            return
        self._feed(bytes(memoryview(_READ_BUFFER)[:nbytes]))
        self.count_pieces(1)

    def count_pieces(self, count: int) -> None:
        """Count parts of the response that take time of their own, such as chunks or lines.

        Reading pauses while there are more of them than `PIECE_RATE` allows.
        """
        time = now()
        self._pieces = max(0.0, self._pieces - PIECE_RATE * (time - self._pieces_at)) + count
        self._pieces_at = time
        excess = self._pieces - MAX_PIECES
        if excess > 0 and self._resume_handle is None and not self._transport.is_closing():
            self._transport.pause_reading()
            loop = asyncio.get_running_loop()
            self._resume_handle = loop.call_later(excess / PIECE_RATE, self._resume_after_pieces)

    def _resume_after_pieces(self) -> None:
        self._resume_handle = None
        self._resume_reading()

    def _resume_reading(self) -> None:
        if not self._is_full and self._resume_handle is None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _feed(self, data: bytes) -> None:
        self._framing_bytes += len(data)
        try:
            self._parser.feed(data)
        except MalformedMessageError:
            self._fail("malformed")
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._fail("malformed")
        if self._failure is not None:
            # What follows belongs to no response.
            self._transport.abort()

    def eof_received(self) -> bool:
        """Complete a response whose body is delimited by the end of the connection.

        It may be cut if the target has not received the whole request. Otherwise the connection
        stays half open, as the target may still reset it.
        """
        head = self.head
        is_unframed = head is not None and not head.chunked and head.content_length is None
        if is_unframed and not self.complete and not self._has_unsent_bytes():
            self.ended_by_close = True
            self._on_end()
        self._fail("closed")
        return self.ended_by_close

    def _has_unsent_bytes(self) -> bool:
        """Return whether the system of the target has not acknowledged the whole request."""
        if self._is_sending or self._transport.get_write_buffer_size():
            return True
        sock = self._transport.get_extra_info("socket")
        (queued,) = QUEUE_SIZE.unpack(fcntl.ioctl(sock, termios.TIOCOUTQ, QUEUE_SIZE.pack(0)))
        return queued > 0

    def was_reset(self) -> bool:
        """Return whether the target has reset the connection, or it is closed.

        A target that closes a connection from which it has not read all resets it.
        """
        if self._transport.is_closing():
            return True
        sock = self._transport.get_extra_info("socket")
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    @property
    def has_failed(self) -> bool:
        """Whether the exchange has ended without a complete response."""
        return self._failure is not None

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the failure of an incomplete response and wake all waiting tasks."""
        self._writable.set()
        if self._resume_handle is not None:
            self._resume_handle.cancel()
        self._fail("reset" if exc else "closed")

    def pause_writing(self) -> None:
        """Suspend ``send``, as the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume ``send``."""
        self._writable.set()

    async def send(self, data: bytes) -> None:
        """Write a request and wait until the write buffer accepts more."""
        view = memoryview(data)
        self._is_sending = True
        for start in range(0, len(data), SENT_BYTES):
            if self._transport.is_closing():
                return
            self._transport.write(view[start : start + SENT_BYTES])
            await self._writable.wait()
        self._is_sending = False

    async def read_head(self) -> ResponseHead:
        """Return the head of the response once it is received.

        Raises
        ------
        TargetFailedError
            If the exchange fails before.
        """
        while self.head is None:
            await self._wait_for_change()
        return self.head

    async def read_body(self) -> bytes:
        """Return the next part of the body, waiting for it if needed; empty at the end.

        Raises
        ------
        TargetFailedError
            If the exchange fails before the end of the response.
        """
        while not self._chunks:
            if self.complete:
                return b""
            await self._wait_for_change()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        self._is_full = False
        self._resume_reading()
        return data

    def close(self) -> None:
        """Abort the connection, which makes the target stop work on an unfinished request."""
        if self._transport is not None:
            self._transport.abort()

    async def _wait_for_change(self) -> None:
        if self._failure is not None:
            raise self._failure
        self._changed.clear()
        await self._changed.wait()

    def _on_head(self) -> None:
        self.head = self._parser.head
        self._changed.set()

    def _on_body(self, data: bytes) -> None:
        if self.complete:
            # A second response follows in the same segment.
            return
        self._framing_bytes = 0
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        self.count_pieces(1)
        if self._buffered_bytes > MAX_BUFFERED_BYTES and not self._transport.is_closing():
            self._is_full = True
            self._transport.pause_reading()
        self._changed.set()

    def _on_end(self) -> None:
        self.complete = True
        self._changed.set()

    def _fail(self, kind: str) -> None:
        if self._failure is None and not self.complete:
            self._failure = TargetFailedError(kind)
        self._changed.set()


async def open_exchange(host: str, port: int, timeout: float) -> Exchange:
    """Connect to a target.

    Parameters
    ----------
    timeout : float
        Limit in seconds for establishing the connection.

    Raises
    ------
    TargetFailedError
        With kind ``refused``; no bytes were sent.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, exchange = await loop.create_connection(Exchange, host, port)
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        # The last two are of a host or port that no system call takes.
        raise TargetFailedError("refused") from error
    return exchange


async def accepts_connections(host: str, port: int, timeout: float) -> bool:
    """Return whether a target accepts a connection within a timeout in seconds, and keeps it.

    A proxy before a target that is down accepts connections and closes them at once.
    """
    try:
        exchange = await open_exchange(host, port, timeout)
    except TargetFailedError:
        return False
    return await is_kept(exchange)


async def is_kept(exchange: Exchange) -> bool:
    """Return whether a target keeps a new connection for a moment, and close it."""
    try:
        async with asyncio.timeout(SETTLE_TIME):
            await exchange.read_head()
    except TargetFailedError:
        return False
    except TimeoutError:
        # The end may have arrived together with the time-out, while the event loop stood still.
        return not exchange.has_failed
    finally:
        exchange.close()
    return True
