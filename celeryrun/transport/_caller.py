"""One caller's connection: requests in, answers out, one at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

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

PIPELINE = 4  # requests read ahead of the one that is answered
LINGER = 0.5  # s that a refused caller has to read why, some round trips
HEADER_OVERHEAD = 4  # bytes of separators for each header
HEADER_TOO_LARGE = Refusal(431, "header-too-large", "send fewer or shorter headers")
BODY_TOO_LARGE = Refusal(413, "body-too-large", "send a smaller body")
SLOW_REQUEST = Refusal(408, "slow-request", "send the whole request sooner")
# Half a second: bodies come and go with their requests, most of which take less.
MEMORY_FULL = Refusal(503, "memory-full", "send it again later", 0.5)
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


@dataclass(slots=True)
class ReceivedRequest:
    """A whole request as it was read.

    Parameters
    ----------
    arrived_at : float
        Time of its last byte, in seconds.
    """

    head: RequestHead
    body: bytes
    arrived_at: float


RequestHandler = Callable[["CallerConnection", ReceivedRequest], Awaitable[None]]


class CallerConnection(asyncio.Protocol):
    """Reads requests, hands each to a handler, and writes what the handler answers.

    Parameters
    ----------
    handler : callable
        Answers one request; cancelled when the caller leaves.
    limits : callable
        Returns the bounds in force.
    is_draining : callable
        Tells whether the node is leaving, so that each answer ends its connection.
    on_closed : callable
        Called once with this connection when it is gone.
    on_read_refusal : callable, optional
        Takes the refusal of what could not be read as a request.
    budget : ByteBudget, optional
        Shared by the connections whose bodies it bounds.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_budget",
        "_closing",
        "_deadline_handle",
        "_fault",
        "_handler",
        "_head_bytes",
        "_held_bytes",
        "_in_head",
        "_is_draining",
        "_limits",
        "_news",
        "_on_closed",
        "_on_fault",
        "_parser",
        "_reading_since",
        "_requests",
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
        self._on_fault = on_read_refusal
        self._budget = budget or ByteBudget()
        self._held_bytes = 0
        self._parser = RequestParser()
        self._parser.head_callback = self._take_head
        self._parser.body_callback = self._take_body
        self._parser.end_callback = self._take_end
        self._requests: deque[ReceivedRequest] = deque()
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._in_head = True
        self._reading_since: float | None = None
        self._fault: Refusal | None = None
        self._news = asyncio.Event()
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
        """Begin serving."""
        self.transport = transport
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._serve())
        self._arm(self._limits().idle_timeout)

    def data_received(self, data: bytes) -> None:
        """Parse what the caller sent."""
        if self._fault is not None:
            return
        if self._in_head:
            self._head_bytes += len(data)
            if self._reading_since is None:
                self._reading_since = now()
                if not self.is_serving:
                    self._arm(self._limits().header_timeout)
        try:
            self._parser.feed(data)
        except MalformedMessageError as error:
            self._set_fault(Refusal(400, "malformed", f"send valid HTTP/1.1 ({error})"))
        if self._in_head and self._head_bytes > self._limits().header_bytes:
            self._set_fault(HEADER_TOO_LARGE)

    def eof_received(self) -> bool:
        """Take the end of a caller's requests for its leaving."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the work of a caller that left."""
        self.closed = True
        self._writable.set()
        if self._deadline_handle is not None:
            self._deadline_handle.cancel()
        if self._task is not None:
            self._task.cancel()
        self._give_back(self._held_bytes)
        self._on_closed(self)

    def pause_writing(self) -> None:
        """Hold the writer back."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let the writer go on."""
        self._writable.set()

    def write(self, data: bytes) -> None:
        """Write bytes of an answer."""
        self.response_started = True
        self.transport.write(data)

    async def drain(self) -> None:
        """Wait while the caller is slow to read."""
        await self._writable.wait()

    def connection_header(self) -> bytes:
        """Return what the answer says of the connection."""
        return b"close" if self._closing else b"keep-alive"

    def refuse(self, refusal: Refusal) -> None:
        """Answer that a request was not served, and why."""
        body = f"{refusal.kind}: {refusal.remedy}\n".encode()
        headers = [
            (b"Content-Type", b"text/plain"),
            (b"Content-Length", b"%d" % len(body)),
            (b"Connection", self.connection_header()),
        ]
        if refusal.retry_after is not None:
            headers.append((b"Retry-After", f"{refusal.retry_after:.3f}".encode()))
        reason = REASON_BY_STATUS.get(refusal.status, b"Refused")
        self.write(format_head(b"HTTP/1.1 %d %b" % (refusal.status, reason), headers) + body)

    def abort(self) -> None:
        """Break the connection off, so that an answer can't look complete."""
        self._closing = True
        self.transport.abort()

    def close_if_idle(self) -> bool:
        """Close the connection unless a request is read or answered; tell whether it was."""
        if self.is_serving or self._requests or self._reading_since is not None:
            return False
        if self.transport is None or self.transport.is_closing():
            # It was accepted in this turn of the loop and is made in the next, or is gone in it.
            return False
        self.transport.close()
        return True

    async def _serve(self) -> None:
        while not self.closed:
            while not self._requests:
                if self._fault is not None:
                    await self._answer_fault(self._fault)
                    return
                self._news.clear()
                await self._news.wait()
            request = self._requests.popleft()
            self.is_serving, self.response_started = True, False
            self._disarm()
            if self._is_draining() or not request.head.keep_alive:
                self._closing = True
            await self._handler(self, request)
            self._give_back(len(request.body))
            self.is_serving = False
            if self._closing:
                self.transport.close()
                return
            if len(self._requests) < PIPELINE:
                self.transport.resume_reading()
            if not self._requests:
                self.idle_since = now()
                self._arm(self._limits().idle_timeout)

    async def _answer_fault(self, fault: Refusal) -> None:
        """Answer, then read on for a while: closing with unread bytes would reset the answer."""
        self._closing = True
        self._on_fault(fault)
        self.refuse(fault)
        self.transport.write_eof()
        await asyncio.sleep(LINGER)
        self.transport.close()

    def _set_fault(self, fault: Refusal) -> None:
        self._fault = fault
        self._give_back(self._body_bytes)
        self._body, self._body_bytes = [], 0
        self._news.set()

    def _give_back(self, size: int) -> None:
        size = min(size, self._held_bytes)
        self._held_bytes -= size
        self._budget.release(size)

    def _take_head(self) -> None:
        head = self._parser.head
        assert head is not None
        limits = self._limits()
        self._in_head = False
        self._body, self._body_bytes = [], 0
        if not self.is_serving:
            self._arm(limits.idle_timeout)
        lengths = head.values(b"content-length")
        size = sum(len(name) + len(value) + HEADER_OVERHEAD for name, value in head.headers)
        if size + len(head.request_target) > limits.header_bytes:
            self._set_fault(HEADER_TOO_LARGE)
        elif lengths and int(lengths[0]) > limits.body_bytes:
            self._set_fault(BODY_TOO_LARGE)
        elif any(value.lower() == b"100-continue" for value in head.values(b"expect")):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _take_body(self, data: bytes) -> None:
        if self._fault is not None:
            return
        if self._body_bytes + len(data) > self._limits().body_bytes:
            self._set_fault(BODY_TOO_LARGE)
            return
        if not self._budget.reserve(len(data)):
            self._set_fault(MEMORY_FULL)
            return
        self._body_bytes += len(data)
        self._held_bytes += len(data)
        self._body.append(data)

    def _take_end(self) -> None:
        if self._fault is not None:
            return
        head = self._parser.head
        assert head is not None
        self._requests.append(ReceivedRequest(head, b"".join(self._body), now()))
        self._body, self._body_bytes, self._head_bytes = [], 0, 0
        self._in_head, self._reading_since = True, None
        if len(self._requests) >= PIPELINE:
            self.transport.pause_reading()
        self._news.set()

    def _arm(self, seconds: float) -> None:
        self._disarm()
        loop = asyncio.get_running_loop()
        self._deadline_handle = loop.call_later(seconds, self._expire)

    def _disarm(self) -> None:
        if self._deadline_handle is not None:
            self._deadline_handle.cancel()
            self._deadline_handle = None

    def _expire(self) -> None:
        if self.is_serving or self._requests:
            return
        if self._reading_since is None:
            self.transport.close()
        else:
            self._set_fault(SLOW_REQUEST)
