"""Writes a target's answer to the caller, whole and unchanged, or holds it back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from celeryrun.catalog import Route
from celeryrun.gateway._stream import EventSplitter
from celeryrun.kernel import now
from celeryrun.platform import CallerRequest, TargetResponse, read_response, response_headers
from celeryrun.transport import (
    LAST_CHUNK,
    CallerConnection,
    Exchange,
    ResponseHead,
    TargetFailedError,
    format_chunk,
    format_head,
)

__all__ = ["Answering", "Broken", "Finished", "Rejected"]

HELD_BYTES = 262_144  # an answer up to this size is read whole before it is passed on
FIRST_FAILURE = 500
UNPROMISED = frozenset({408, 421, 429, 503})  # statuses by which a caller takes it as not run


@dataclass(frozen=True, slots=True)
class Finished:
    """A whole answer.

    Parameters
    ----------
    failed : bool
        Whether it tells of a failure of the target.
    held : bool
        Whether it was not passed on yet.
    """

    status: int
    failed: bool
    held: bool


@dataclass(frozen=True, slots=True)
class Rejected:
    """The target states that it did not run the request."""

    status: int


@dataclass(frozen=True, slots=True)
class Broken:
    """No whole answer; the request may have run."""

    kind: str


class Answering:
    """Answer of one request, by one target or several in turn.

    Attributes
    ----------
    events : int
        Of a stream, passed on so far.
    last_id : bytes
        Of the last event passed on.
    longest_pause : float
        Seconds between two events, at most.
    rejected_only : bool
        Whether every target so far stated that it did not run the request.
    """

    __slots__ = (
        "_connection",
        "_held",
        "_last_event",
        "_request",
        "_route",
        "_splitter",
        "events",
        "first_byte",
        "longest_pause",
        "rejected_only",
        "status",
    )

    def __init__(self, connection: CallerConnection, request: CallerRequest, route: Route) -> None:
        self._connection = connection
        self._request = request
        self._route = route
        self._splitter = EventSplitter()
        self._held: bytes | None = None
        self._last_event = 0.0
        self.events = 0
        self.longest_pause = 0.0
        self.first_byte: float | None = None
        self.rejected_only = True
        self.status = 0

    @property
    def last_id(self) -> bytes:
        """Return the id of the last event passed on."""
        return self._splitter.last_id

    def first_after(self, arrived: float) -> float | None:
        """Return the seconds from the request's arrival to the answer's first byte."""
        return None if self.first_byte is None else round(self.first_byte - arrived, 4)

    def can_go_on(self) -> bool:
        """Tell whether another target may take over what was passed on so far."""
        return not self._connection.response_started or self._route.kind.resumable

    def release(self) -> bool:
        """Pass on an answer that was held back; tell whether there was one."""
        if self._held is None:
            return False
        self._connection.write(self._held)
        self._held = None
        return True

    async def take(
        self, exchange: Exchange, on_first: Callable[[], None], patience: float | None
    ) -> Finished | Broken | Rejected:
        """Read a target's answer and pass it on.

        Parameters
        ----------
        on_first : callable
            Called when the answer begins.
        patience : float or None
            Seconds for which the target may be silent, None without limit.
        """
        try:
            async with asyncio.timeout(patience):
                head = await exchange.read_head()
            answer = read_response(head, self._request)
            if answer.not_run:
                return Rejected(head.status)
            self.rejected_only = False
            if not answer.matches_request or answer.has_content_encoding:
                return Broken("malformed")
            if head.status < FIRST_FAILURE and not answer.sealed:
                return Broken("unsealed")
            if self._route.kind.stream and head.status == 200:
                return await self._relay_stream(exchange, head, on_first, patience)
            return await self._relay_whole(exchange, answer, on_first, patience)
        except TargetFailedError as error:
            self.rejected_only = False
            return Broken(error.kind)
        except TimeoutError:
            self.rejected_only = False
            return Broken("silent")

    async def _relay_whole(
        self,
        exchange: Exchange,
        answer: TargetResponse,
        on_first: Callable[[], None],
        patience: float | None,
    ) -> Finished | Broken:
        head = answer.head
        body = b""
        has_body = self._request.head.method != b"HEAD"
        while has_body and (part := await self._read(exchange, patience)):
            if not body:
                on_first()
                self._note_first()
            body += part
            if len(body) > HELD_BYTES:
                return await self._relay_large(exchange, head, body)
        if head.status in UNPROMISED:
            # Without the target's own statement the caller must not take it as not run.
            return Broken("unpromised")
        failed = head.status >= FIRST_FAILURE
        self.status = head.status
        headers = [*response_headers(head), *self._connection_headers()]
        length = len(body) if has_body else head.content_length
        if length is not None:
            headers.append((b"Content-Length", b"%d" % length))
        self._held = format_head(_start_line(head), headers) + body
        return Finished(head.status, failed, held=failed)

    async def _relay_large(
        self, exchange: Exchange, head: ResponseHead, body: bytes
    ) -> Finished | Broken:
        self._begin_chunked(head)
        while body:
            self._connection.write(format_chunk(body))
            await self._connection.drain()
            body = await exchange.read_body()
        self._connection.write(LAST_CHUNK)
        return Finished(head.status, head.status >= FIRST_FAILURE, held=False)

    async def _relay_stream(
        self,
        exchange: Exchange,
        head: ResponseHead,
        on_first: Callable[[], None],
        patience: float | None,
    ) -> Finished | Broken:
        self._splitter.drop_rest()
        first = True
        while True:
            part = await self._read(exchange, patience)
            if not part:
                break
            whole = self._splitter.feed(part)
            if not whole:
                continue
            if first:
                on_first()
                self._note_first()
                first = False
            if not self._connection.response_started:
                self._begin_chunked(head)
            self._connection.write(format_chunk(whole))
            self._note_event()
            await self._connection.drain()
        if self._splitter.has_rest():
            rest = self._splitter.drop_rest()
            if self._route.kind.resumable:
                return Broken("cut")
            if not self._connection.response_started:
                self._begin_chunked(head)
            self._connection.write(format_chunk(rest))
        if not self._connection.response_started:
            self._begin_chunked(head)
        self._connection.write(LAST_CHUNK)
        return Finished(head.status, False, held=False)

    def _note_event(self) -> None:
        time = now()
        if self.events:
            self.longest_pause = max(self.longest_pause, time - self._last_event)
        self._last_event = time
        self.events = self._splitter.count

    def _note_first(self) -> None:
        if self.first_byte is None:
            self.first_byte = now()

    async def _read(self, exchange: Exchange, patience: float | None) -> bytes:
        async with asyncio.timeout(patience):
            return await exchange.read_body()

    def _begin_chunked(self, head: ResponseHead) -> None:
        # An earlier target's failure must not follow what the caller gets now.
        self._held = None
        self.status = head.status
        headers = [
            *response_headers(head),
            *self._connection_headers(),
            (b"Transfer-Encoding", b"chunked"),
        ]
        self._connection.write(format_head(_start_line(head), headers))

    def _connection_headers(self) -> list[tuple[bytes, bytes]]:
        return [(b"Connection", self._connection.connection_header())]


def _start_line(head: ResponseHead) -> bytes:
    return b"HTTP/1.1 %d %b" % (head.status, head.reason)
