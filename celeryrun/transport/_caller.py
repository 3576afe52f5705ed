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
from celeryrun.transport._budget import ByteBudget
from celeryrun.transport._message import (
    MalformedMessageError,
    RequestHead,
    RequestParser,
    format_head,
)

__all__ = ["CallerConnection", "ReceivedRequest", "RequestHandler"]

MAX_PIPELINED = 4  # requests queued behind the one being served; then reading pauses
LINGER_DELAY = 0.5  # s, several round trips, that a caller has to read a refusal before the close
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


log = logbook.Logger("callers")


@dataclass(slots=True)
class ReceivedRequest:
    """A completely received request.

    Parameters
    ----------
    arrived_at : float
        Time of the last byte on the clock of ``now``, in seconds.
    """

    head: RequestHead
    body: bytes
    arrived_at: float


RequestHandler = Callable[["CallerConnection", ReceivedRequest], Awaitable[None]]


class CallerConnection(asyncio.Protocol):
    """Server side of a caller's connection; each request is passed to a handler.

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
        Limit on body bytes, shared by several connections; unlimited by default.

    Attributes
    ----------
    response_started : bool
        Whether bytes were written in response to the current request.
    idle_since : float
        Time of the end of the last request, or of the creation, in seconds.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_budget",
        "_changed",
        "_closing",
        "_deadline_handle",
        "_handler",
        "_head_bytes",
        "_in_head",
        "_is_draining",
        "_limits",
        "_method",
        "_on_closed",
        "_on_read_refusal",
        "_parser",
        "_read_refusal",
        "_reading_since",
        "_requests",
        "_reserved_bytes",
        "_task",
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
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._is_draining = is_draining
        self._on_closed = on_closed
        self._on_read_refusal = on_read_refusal
        self._budget = budget or ByteBudget()
        self._reserved_bytes = 0
        self._parser = RequestParser()
        self._parser.head_callback = self._on_head
        self._parser.body_callback = self._on_body
        self._parser.end_callback = self._on_end
        self._requests: deque[ReceivedRequest] = deque()
        self._method = b""
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._in_head = True
        self._reading_since: float | None = None
        self._read_refusal: Refusal | None = None
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

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, unless a request was already refused while being read."""
        if self._read_refusal is not None:
            return
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
        if self._in_head and self._head_bytes > self._limits().header_bytes:
            self._set_read_refusal(HEADER_TOO_LARGE)

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
        self._release_bytes(self._reserved_bytes)
        self._on_closed(self)

    def pause_writing(self) -> None:
        """Suspend ``drain``, as the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume ``drain``."""
        self._writable.set()

    def write(self, data: bytes) -> None:
        """Write bytes of a response."""
        self.response_started = True
        self.transport.write(data)

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
        is_busy = self.is_serving or self._requests or self._read_refusal is not None
        if self._reading_since is not None and not is_busy:
            self._set_read_refusal(refusal)

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
                self._changed.clear()
                await self._changed.wait()
            request = self._requests.popleft()
            self._method = request.head.method
            self.is_serving, self.response_started = True, False
            self._clear_deadline()
            if not request.head.keep_alive:
                self._closing = True
            self._close_if_draining()
            await self._handle(request)
            self._release_bytes(len(request.body))
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
        head = self._parser.head
        self._method = head.method if head is not None else b""
        self.refuse(refusal)
        self.transport.write_eof()
        await asyncio.sleep(LINGER_DELAY)
        self.transport.close()

    def _set_read_refusal(self, refusal: Refusal) -> None:
        self._read_refusal = refusal
        self._release_bytes(self._body_bytes)
        self._body, self._body_bytes = [], 0
        self._changed.set()

    def _release_bytes(self, size: int) -> None:
        size = min(size, self._reserved_bytes)
        self._reserved_bytes -= size
        self._budget.release(size)

    def _on_head(self) -> None:
        head = self._parser.head
        assert head is not None
        limits = self._limits()
        self._in_head = False
        self._body, self._body_bytes = [], 0
        if not self.is_serving:
            self._set_deadline(limits.idle_timeout)
        lengths = head.values(b"content-length")
        size = sum(len(name) + len(value) + HEADER_OVERHEAD for name, value in head.headers)
        if size + len(head.request_target) > limits.header_bytes:
            self._set_read_refusal(HEADER_TOO_LARGE)
        elif lengths and int(lengths[0]) > limits.body_bytes:
            self._set_read_refusal(BODY_TOO_LARGE)
        elif any(value.lower() == b"100-continue" for value in head.values(b"expect")):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _on_body(self, data: bytes) -> None:
        if self._read_refusal is not None:
            return
        if self._body_bytes + len(data) > self._limits().body_bytes:
            self._set_read_refusal(BODY_TOO_LARGE)
            return
        if not self._budget.reserve(len(data)):
            self._set_read_refusal(MEMORY_FULL)
            return
        self._body_bytes += len(data)
        self._reserved_bytes += len(data)
        self._body.append(data)

    def _on_end(self) -> None:
        if self._read_refusal is not None:
            return
        head = self._parser.head
        assert head is not None
        self._requests.append(ReceivedRequest(head, b"".join(self._body), now()))
        self._body, self._body_bytes, self._head_bytes = [], 0, 0
        self._in_head, self._reading_since = True, None
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
            self._set_read_refusal(SLOW_REQUEST)
