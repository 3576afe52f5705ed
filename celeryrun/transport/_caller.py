"""Connection of a caller; its requests are served one at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import logbook

from celeryrun.catalog import CallerLimits
from celeryrun.exception import Refusal
from celeryrun.kernel import now
from celeryrun.transport._body import BodyBuffer
from celeryrun.transport._budget import ByteAccount, ByteBudget
from celeryrun.transport._message import (
    MalformedMessageError,
    RequestHead,
    RequestParser,
    format_head,
)

__all__ = ["CallerConnection", "ReceivedRequest", "RequestHandler"]

MAX_PIPELINED = 4  # requests queued behind the one being served; then reading pauses
LINGER_DELAY = 0.5  # s, several round trips, that a caller has to read a refusal before the close
READ_BYTES = 16_384  # that one connection may bring in a turn of the event loop
BODY_READ_BYTES = 65_536  # the same, of the rest of a body of known length
REQUEST_BYTES = 8192  # objects and tasks of a request besides its headers and body
QUEUED_FRACTION = 0.125  # of the budget, for the pipelined requests of one connection
STALL_TIME = 1.0  # s that bytes are held before a connection is closed to make room
HEADER_OVERHEAD = 4  # bytes per header for ": " and CRLF
HEADER_TOO_LARGE = Refusal(431, "header-too-large", "send fewer or shorter headers")
BODY_TOO_LARGE = Refusal(413, "body-too-large", "send a smaller body")
SLOW_REQUEST = Refusal(408, "slow-request", "send the whole request sooner")
# The retry delay is 0.5 s, as most requests complete and release their bodies within it.
MEMORY_FULL = Refusal(503, "memory-full", "send it again later", 0.5)
INTERNAL_ERROR = Refusal(502, "internal-error", "find out whether it ran before you send it again")
REASON_BY_STATUS = {
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

# Filled and parsed within one callback of the event loop, so all connections share it.
_READ_BUFFER = memoryview(bytearray(BODY_READ_BYTES))

log = logbook.Logger("callers")


@dataclass(slots=True)
class ReceivedRequest:
    """A completely received request.

    Parameters
    ----------
    arrived_at : float
        Time of the last byte on the clock of ``now``, in seconds.
    kept_bytes : int
        Bytes reserved for the request until it is served.
    """

    head: RequestHead
    body: bytes
    arrived_at: float
    kept_bytes: int


RequestHandler = Callable[["CallerConnection", ReceivedRequest], Awaitable[None]]


class CallerConnection(asyncio.BufferedProtocol):
    """Server side of a caller's connection; each request is passed to a handler.

    All that the caller makes the process keep is reserved from a budget: heads, bodies, pipelined
    requests until they are served, and responses until they are read.

    Parameters
    ----------
    handler : callable
        Coroutine function that serves one request; cancelled when the caller disconnects.
    limits : callable
        Returns the current limits on requests.
    is_draining : callable
        Returns whether the node is draining, so that the connection closes after a response.
    on_closed : callable
        Called once with this connection after it is lost or closed.
    on_read_refusal : callable, optional
        Called with the refusal of a request that could not be read completely.
    budget : ByteBudget, optional
        Limit on kept bytes, shared by several connections; unlimited by default.
    on_dropped : callable, optional
        Called when the connection is closed to make room, as its caller reads no response.

    Attributes
    ----------
    response_started : bool
        Whether bytes were written in response to the current request.
    idle_since : float
        Time of the end of the last request, or of the creation, in seconds.
    """

    __slots__ = (
        "_account",
        "_body",
        "_body_length",
        "_budget",
        "_changed",
        "_closing",
        "_deadline_handle",
        "_framing_bytes",
        "_handler",
        "_head_bytes",
        "_in_head",
        "_is_draining",
        "_limits",
        "_method",
        "_on_closed",
        "_is_continue_due",
        "_on_dropped",
        "_on_read_refusal",
        "_parser",
        "_queued_bytes",
        "_read_bytes",
        "_read_refusal",
        "_reading_since",
        "_refused_method",
        "_requests",
        "_task",
        "_unread_bytes",
        "_unread_since",
        "_writable",
        "closed",
        "idle_since",
        "is_serving",
        "response_started",
        "transport",
    )

    def __init__(
        self,
        handler: RequestHandler,
        limits: Callable[[], CallerLimits],
        is_draining: Callable[[], bool],
        on_closed: Callable[[CallerConnection], None],
        on_read_refusal: Callable[[Refusal], None] = lambda refusal: None,
        budget: ByteBudget | None = None,
        on_dropped: Callable[[], None] = lambda: None,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._is_draining = is_draining
        self._on_closed = on_closed
        self._on_read_refusal = on_read_refusal
        self._budget = budget or ByteBudget()
        self._account: ByteAccount = self._budget.open_account(self)
        self._on_dropped = on_dropped
        self._read_bytes = 0
        self._queued_bytes = 0
        self._unread_bytes = 0
        self._unread_since = 0.0
        self._parser = RequestParser()
        self._parser.begin_callback = self._on_begin
        self._parser.head_callback = self._on_head
        self._parser.body_callback = self._on_body
        self._parser.end_callback = self._on_end
        self._requests: deque[ReceivedRequest] = deque()
        self._method = b""
        self._body = BodyBuffer()
        self._body_length = 0
        self._head_bytes = 0
        self._framing_bytes = 0
        self._in_head = True
        self._is_continue_due = False
        self._reading_since: float | None = None
        self._read_refusal: Refusal | None = None
        self._refused_method = b""
        self._changed = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._task: asyncio.Task[None] | None = None
        self._deadline_handle: asyncio.TimerHandle | None = None
        self._closing = False
        self.is_serving = False
        self.response_started = False
        self.closed = False
        self.idle_since = now()
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the serving task and the idle timeout."""
        self.transport = transport
        if self._closing:
            # It was aborted between its acceptance and this call.
            self.transport.abort()
            return
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._serve())
        self._set_deadline(self._limits().idle_timeout)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read; a large one takes only what is left of a body."""
        return _READ_BUFFER[: max(READ_BYTES, self._body_length - len(self._body))]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes, unless a request was already refused while being read."""
        if self._read_refusal is None:
            self._feed(_READ_BUFFER[:nbytes])

    def _feed(self, data: memoryview) -> None:
        self._framing_bytes += len(data)
        if self._in_head:
            self._head_bytes += len(data)
            if self._reading_since is None:
                self._reading_since = now()
                if not self.is_serving:
                    self._set_deadline(self._limits().header_timeout)
        try:
            self._parser.feed(data)
        except MalformedMessageError as error:
            self._set_read_refusal(Refusal(400, "malformed", f"send valid HTTP/1.1 ({error})"))
        if self._read_refusal is None:
            self._check_head()
        if self._read_refusal is not None:
            # The parser keeps what it has of a request, and passed on what followed in this read.
            self._parser.drop()

    def _check_head(self) -> None:
        """Limit a head that is not complete, and the chunk lines and trailers of a body."""
        limit = self._limits().header_bytes
        if self._in_head and self._head_bytes > limit:
            self._set_read_refusal(HEADER_TOO_LARGE)
        elif not self._in_head and max(self._framing_bytes, self._parser.trailer_bytes) > limit:
            self._set_read_refusal(HEADER_TOO_LARGE)
        elif self._reading_since is not None:
            self._reserve(self._head_cost() + len(self._body) - self._read_bytes)

    def _head_cost(self) -> int:
        return REQUEST_BYTES + self._head_bytes + self._parser.kept_bytes

    def _reserve(self, size: int) -> None:
        """Reserve bytes for the request being read, which is refused without them."""
        if size <= 0:
            return
        if self._account.reserve(size):
            self._read_bytes += size
        elif self._read_refusal is None:
            self._set_read_refusal(MEMORY_FULL)

    def eof_received(self) -> bool:
        """Close the connection; a caller that ends its side counts as disconnected."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request being served and release all reserved bytes."""
        self.closed = True
        self._writable.set()
        if self._deadline_handle is not None:
            self._deadline_handle.cancel()
        if self._task is not None:
            self._task.cancel()
        self._account.close()
        self._on_closed(self)

    def pause_writing(self) -> None:
        """Suspend ``drain``, as the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume ``drain``."""
        self._writable.set()
        self._count_read()

    def write(self, data: bytes) -> None:
        """Write bytes of a response."""
        self.response_started = True
        self._write(data)

    def _write(self, data: bytes) -> None:
        if self._unread_bytes:
            self._count_read()
        self.transport.write(data)
        size = self.transport.get_write_buffer_size()
        if size > self._unread_bytes:
            if not self._unread_bytes:
                self._unread_since = now()
            grown, self._unread_bytes = size - self._unread_bytes, size
            self._account.charge(grown)

    def _count_read(self) -> None:
        """Release what the caller has read of the responses since the last count."""
        size = self.transport.get_write_buffer_size()
        if size < self._unread_bytes:
            self._account.release(self._unread_bytes - size)
            self._unread_bytes, self._unread_since = size, now()

    def weigh(self, time: float) -> float:
        """Return the kept bytes times the seconds of a request or response without an end.

        It is 0 while nothing was kept for long, and while a request waits or is served.
        """
        if self.transport is None:
            return 0.0
        self._count_read()
        if self._unread_bytes:
            age = time - self._unread_since
        elif self._is_reading_only():
            assert self._reading_since is not None
            age = time - self._reading_since
        else:
            return 0.0
        return self._account.held * age if age >= STALL_TIME else 0.0

    def give_up(self) -> None:
        """Refuse the request being read, or close the connection whose caller reads nothing."""
        if self._unread_bytes:
            self.drop()
        else:
            self._refuse_reading(MEMORY_FULL)

    def drop(self) -> None:
        """Close at once and release all bytes."""
        self._on_dropped()
        self.abort()
        self._account.close()

    def drop_if_unread(self) -> bool:
        """Close the connection if its caller read no response for the idle timeout.

        Returns
        -------
        bool
            Whether this call closed the connection.
        """
        if self.transport is None or self.closed:
            return False
        self._count_read()
        if not self._unread_bytes or now() - self._unread_since < self._limits().idle_timeout:
            return False
        self.drop()
        return True

    def reading_time(self, time: float) -> float:
        """Return the seconds for which nothing but a request that has no end yet is read.

        It is 0 if that takes less than `STALL_TIME`, or the connection is closed.
        """
        if self.transport is None or self.transport.is_closing() or not self._is_reading_only():
            return 0.0
        assert self._reading_since is not None
        age = time - self._reading_since
        return age if age >= STALL_TIME else 0.0

    def _is_reading_only(self) -> bool:
        is_busy = self.is_serving or self._requests or self._read_refusal is not None
        return self._reading_since is not None and not is_busy

    async def drain(self) -> None:
        """Wait until the write buffer accepts more."""
        await self._writable.wait()

    def connection_header(self) -> bytes:
        """Return the value of the ``Connection`` header for the current response."""
        self._close_if_draining()
        return b"close" if self._closing else b"keep-alive"

    def respond(self, start: bytes, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Write a whole response; that to a HEAD request ends with its head."""
        headers = [
            *headers,
            (b"Content-Length", b"%d" % len(body)),
            (b"Connection", self.connection_header()),
        ]
        self.write(format_head(start, headers) + (b"" if self._method == b"HEAD" else body))

    def refuse(self, refusal: Refusal) -> None:
        """Write a refusal as a plain-text response."""
        body = f"{refusal.kind}: {refusal.remedy}\n".encode()
        headers = [(b"Content-Type", b"text/plain")]
        if refusal.retry_after is not None:
            headers.append((b"Retry-After", f"{refusal.retry_after:.3f}".encode()))
        reason = REASON_BY_STATUS.get(refusal.status, b"Refused")
        self.respond(b"HTTP/1.1 %d %b" % (refusal.status, reason), headers, body)

    def abort(self) -> None:
        """Close at once without flushing, so that a partial response can't look complete."""
        self._closing = True
        if self.transport is not None:
            self.transport.abort()

    def close_if_idle(self) -> bool:
        """Close the connection unless a request is being read, queued or served.

        Returns
        -------
        bool
            Whether this call closed the connection.
        """
        if self.is_serving or self._requests or self._reading_since is not None:
            return False
        if self.transport is None or self.transport.is_closing():
            # The event loop calls `connection_made` one iteration after it accepts a connection,
            # and `connection_lost` one iteration after a close.
            return False
        self.transport.close()
        return True

    def refuse_unread(self, refusal: Refusal) -> None:
        """Refuse the request that is being received, if any, unless an earlier one is served."""
        if self._is_reading_only():
            self._refuse_reading(refusal)

    def _close_if_draining(self) -> None:
        """Close after the current response if the node is draining, but not before queued ones."""
        if self._is_draining() and not self._requests:
            self._closing = True

    async def _serve(self) -> None:
        while not self.closed:
            while not self._requests:
                if self._read_refusal is not None:
                    await self._send_read_refusal(self._read_refusal)
                    return
                # It must not stand inside the response to an earlier request.
                self._send_due_continue()
                self._changed.clear()
                await self._changed.wait()
            # What the caller has not read of earlier responses must not pile up.
            await self._writable.wait()
            request = self._requests.popleft()
            self._queued_bytes -= request.kept_bytes
            self._method = request.head.method
            self.is_serving, self.response_started = True, False
            self._clear_deadline()
            if not request.head.keep_alive:
                self._closing = True
            self._close_if_draining()
            await self._handle(request)
            self._account.release(request.kept_bytes)
            del request  # or it is kept until the next one comes
            self.is_serving = False
            if self._closing:
                self.transport.close()
                return
            if len(self._requests) < MAX_PIPELINED:
                self.transport.resume_reading()
            if not self._requests:
                self.idle_since = now()
                self._set_deadline(self._limits().idle_timeout)

    async def _handle(self, request: ReceivedRequest) -> None:
        """Pass a request to the handler, and respond for one that fails."""
        try:
            await self._handler(self, request)
        except Exception:
            log.exception("the handler of a request failed")
            self._closing = True
            if self.response_started:
                self.abort()
            else:
                self.refuse(INTERNAL_ERROR)

    async def _send_read_refusal(self, refusal: Refusal) -> None:
        """Send a refusal and close after a delay, in which input is read and dropped.

        Closing with unread input would reset the connection before the caller reads the refusal.
        """
        self._closing = True
        self._on_read_refusal(refusal)
        self._method = self._refused_method
        self.refuse(refusal)
        self.transport.write_eof()
        await asyncio.sleep(LINGER_DELAY)
        self.transport.close()

    def _refuse_reading(self, refusal: Refusal) -> None:
        """Refuse the request being read, between two reads."""
        self._set_read_refusal(refusal)
        self._parser.drop()

    def _set_read_refusal(self, refusal: Refusal) -> None:
        self._read_refusal = refusal
        self._account.release(self._read_bytes)
        self._read_bytes = self._body_length = 0
        self._body.clear()
        self._changed.set()

    def _on_begin(self) -> None:
        self._refused_method = b""
        if self._reading_since is None:
            # It begins in the read that ended the request before.
            self._reading_since = now()

    def _on_head(self) -> None:
        head = self._parser.head
        assert head is not None
        limits = self._limits()
        self._in_head = False
        self._framing_bytes = 0
        self._refused_method = head.method
        self._body_length = 0
        if not self.is_serving:
            self._set_deadline(limits.idle_timeout)
        lengths = head.values(b"content-length")
        size = sum(len(name) + len(value) + HEADER_OVERHEAD for name, value in head.headers)
        # What was received with the head is part of the body.
        self._head_bytes = size + len(head.request_target)
        if self._head_bytes > limits.header_bytes:
            self._set_read_refusal(HEADER_TOO_LARGE)
        elif lengths and int(lengths[0]) > limits.body_bytes:
            self._set_read_refusal(BODY_TOO_LARGE)
        elif lengths:
            self._body_length = int(lengths[0])
        self._is_continue_due = self._read_refusal is None and any(
            value.lower() == b"100-continue" for value in head.values(b"expect")
        )
        if not self.is_serving and not self._requests:
            self._send_due_continue()

    def _send_due_continue(self) -> None:
        """Send the interim response to the request being read, if its caller waits for it."""
        if self._is_continue_due:
            self._is_continue_due = False
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _on_body(self, data: bytes) -> None:
        if self._read_refusal is not None:
            return
        self._framing_bytes = 0
        if len(self._body) + len(data) > self._limits().body_bytes:
            self._set_read_refusal(BODY_TOO_LARGE)
            return
        self._body.append(data)

    def _on_end(self) -> None:
        self._is_continue_due = False
        if self._read_refusal is not None:
            return
        head = self._parser.head
        assert head is not None
        if self._queued_bytes > QUEUED_FRACTION * self._budget.limit:
            self._set_read_refusal(MEMORY_FULL)
            return
        # The body is kept twice: while it is made one, and while it is sent.
        self._reserve(self._head_cost() + 2 * len(self._body) - self._read_bytes)
        if self._read_refusal is not None:
            return
        request = ReceivedRequest(head, self._body.join(), now(), self._read_bytes)
        self._requests.append(request)
        self._queued_bytes += request.kept_bytes
        self._body.clear()
        self._head_bytes = self._framing_bytes = 0
        self._read_bytes = self._body_length = 0
        self._in_head, self._reading_since = True, None
        self._parser.release_head()
        if len(self._requests) >= MAX_PIPELINED:
            self.transport.pause_reading()
        self._changed.set()

    def _set_deadline(self, seconds: float) -> None:
        self._clear_deadline()
        loop = asyncio.get_running_loop()
        self._deadline_handle = loop.call_later(seconds, self._on_deadline)

    def _clear_deadline(self) -> None:
        if self._deadline_handle is not None:
            self._deadline_handle.cancel()
            self._deadline_handle = None

    def _on_deadline(self) -> None:
        if self.is_serving or self._requests:
            return
        if self._reading_since is None:
            self.transport.close()
        else:
            self._refuse_reading(SLOW_REQUEST)
