"""Relay of a target's response to the caller, whole and unchanged."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from celeryrun.catalog import Route
from celeryrun.gateway._attempt import Attempt
from celeryrun.gateway._silence import SilenceWatch, SuccessorFoundError
from celeryrun.gateway._state import RequestState
from celeryrun.gateway._stream import EventSplitter, EventTooLargeError
from celeryrun.gateway._stream_origins import RecordedOrigin
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

__all__ = [
    "MAX_HELD_BYTES",
    "Broken",
    "Finished",
    "Rejected",
    "ResponseRelay",
    "Result",
    "Silent",
    "find_fault",
]

MAX_HELD_BYTES = 262_144  # bytes; a response up to this size is read whole before it is sent
MIN_FAILURE_STATUS = 500
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})  # callers conclude: request was not run


@dataclass(frozen=True, slots=True)
class Finished:
    """A complete response.

    Parameters
    ----------
    failed : bool
        Whether its status reports a failure of the target.
    is_held : bool
        Whether it was not sent to the caller yet.
    """

    status: int
    failed: bool
    is_held: bool


@dataclass(frozen=True, slots=True)
class Rejected:
    """The target states that it did not run the request."""

    status: int


@dataclass(frozen=True, slots=True)
class Broken:
    """No complete response; the request may have run."""

    kind: str


@dataclass(frozen=True, slots=True)
class Silent:
    """No complete response yet; another target is ready to take the request."""


Result = Finished | Broken | Rejected


class ResponseRelay:
    """Response to one request, by one target or several in turn.

    Attributes
    ----------
    all_rejected : bool
        Whether every target so far stated that it did not run the request.
    events : int
        Number of stream events sent to the caller.
    first_byte : float or None
        Time of the first byte from a target, in seconds.
    last_id : bytes
        Id of the last event sent to the caller.
    longest_pause : float
        Longest time between two events, in seconds.
    status : int
        HTTP status of the response, 0 before there is one.
    """

    __slots__ = (
        "_connection",
        "_held_response",
        "_is_chunked",
        "_last_event_at",
        "_request",
        "_route",
        "_splitter",
        "_unconfirmed_response",
        "events",
        "first_byte",
        "longest_pause",
        "all_rejected",
        "status",
    )

    def __init__(self, connection: CallerConnection, request: CallerRequest, route: Route) -> None:
        self._connection = connection
        self._request = request
        self._route = route
        self._splitter = EventSplitter()
        self._held_response: bytes | None = None
        self._unconfirmed_response: bytes | None = None
        self._is_chunked = False
        self._last_event_at = 0.0
        self.events = 0
        self.longest_pause = 0.0
        self.first_byte: float | None = None
        self.all_rejected = True
        self.status = 0

    @property
    def last_event_at(self) -> float | None:
        """Return the time at which the last event was sent to the caller."""
        return self._last_event_at if self.events else None

    @property
    def last_id(self) -> bytes:
        """Return the id of the last event sent to the caller."""
        return self._splitter.last_id

    def seconds_to_first_byte(self, arrived_at: float) -> float | None:
        """Return the seconds from the request's arrival to the response's first byte."""
        return None if self.first_byte is None else round(self.first_byte - arrived_at, 4)

    def can_continue(self) -> bool:
        """Return whether another target may continue the response."""
        if not self._connection.response_started:
            return True
        # Without an id, a target would start the stream again.
        return self._route.kind.resumable and (bool(self.last_id) or not self._splitter.line_count)

    def record_progress(self, state: RequestState) -> None:
        """Note how much of a stream its caller has, for the target that continues it."""
        if self.events:
            state.last_event = self.last_id
            state.last_event_at = self.last_event_at
            state.events = self.events

    def send_held(self) -> bool:
        """Send the response that is held back; return whether there was one."""
        if self._held_response is None:
            return False
        self._connection.write(self._held_response)
        self._held_response = None
        return True

    async def relay(
        self,
        attempt: Attempt,
        silence: SilenceWatch,
        on_accepted: Callable[[], None],
        on_event: Callable[[], RecordedOrigin | None],
        has_survived: Callable[[], Awaitable[bool]],
        on_statements: Callable[[TargetResponse], None],
    ) -> Result | Silent:
        """Read a target's response and send it to the caller, or hold it back.

        Parameters
        ----------
        silence : SilenceWatch
            Waits for the target. Bytes that complete no event do not end the silence of a stream.
        on_accepted : callable
            Called when the target has begun a response to the request.
        on_event : callable
            Called before each event of a stream is passed on; returns the origin to report.
        has_survived : callable
            Returns whether the target is still up and has not reset the connection. A response that
            only the end of its connection delimits may have been cut otherwise.
        on_statements : callable
            Called with a response to the request, for what its target says of itself.
        """
        exchange = attempt.exchange

        def accept() -> None:
            # The target in reserve may have gone on in the same turn of the event loop.
            on_accepted()
            silence.end_reserve()
            if is_stream:
                silence.end_hedge()

        is_stream = False
        self._unconfirmed_response = None
        try:
            head = await silence.wait(exchange.read_head)
            response = read_response(head, self._request)
            if response.matches_request or response.not_run:
                on_statements(response)
            fault = find_fault(response)
            self.all_rejected &= isinstance(fault, Rejected)
            if fault is not None:
                return fault
            has_body = self._request.head.method != b"HEAD"
            is_stream = self._route.kind.stream and head.status == 200 and has_body
            if is_stream:
                body = self._relay_stream(attempt, head, silence, accept, on_event)
            elif self._connection.response_started:
                # Only further events can follow those that the caller has.
                return Broken("malformed")
            else:
                if head.status < MIN_FAILURE_STATUS:
                    accept()
                body = self._relay_buffered(attempt, response, silence)
            result = await body
            if isinstance(result, Broken):
                return result
            if exchange.ended_by_close and not await has_survived():
                return Broken("closed")
            if self._unconfirmed_response is not None:
                # Only now; the request's time may end while it is not known to be whole.
                self._held_response = self._unconfirmed_response
            self._end_response()
            return result
        except TargetFailedError as error:
            self.all_rejected = False
            return Broken(error.kind)
        except EventTooLargeError:
            return Broken("malformed")
        except SuccessorFoundError:
            self.all_rejected = False
            return Silent()
        finally:
            silence.close()

    async def _relay_buffered(
        self, attempt: Attempt, response: TargetResponse, silence: SilenceWatch
    ) -> Finished | Broken:
        head = response.head
        exchange = attempt.exchange
        has_body = self._request.head.method != b"HEAD"
        while has_body and (chunk := await silence.wait(exchange.read_body)):
            silence.record_progress()
            attempt.report_first_byte()
            self._record_first_byte()
            attempt.received += chunk
            if len(attempt.received) > MAX_HELD_BYTES:
                silence.end_hedge()
                return await self._relay_chunked(exchange, head, attempt.received)
        body = attempt.received
        if head.status in NOT_RUN_STATUSES:
            # The target did not state that the request was not run; the caller must not assume so.
            return Broken("unpromised")
        failed = head.status >= MIN_FAILURE_STATUS
        self.status = head.status
        headers = [*response_headers(head), *self._connection_headers()]
        length = len(body) if has_body else head.content_length
        if length is not None:
            headers.append((b"Content-Length", b"%d" % length))
        self._unconfirmed_response = format_head(_start_line(head), headers) + body
        return Finished(head.status, failed, is_held=failed)

    async def _relay_chunked(
        self, exchange: Exchange, head: ResponseHead, body: bytes
    ) -> Finished | Broken:
        self._start_chunked_response(head)
        while body:
            self._connection.write(format_chunk(body))
            await self._connection.drain()
            body = await exchange.read_body()
        return Finished(head.status, head.status >= MIN_FAILURE_STATUS, is_held=False)

    async def _relay_stream(
        self,
        attempt: Attempt,
        head: ResponseHead,
        silence: SilenceWatch,
        on_accepted: Callable[[], None],
        on_event: Callable[[], RecordedOrigin | None],
    ) -> Finished | Broken:
        self._splitter.restore_partial(b"")
        line_count = self._splitter.line_count
        received, attempt.received = attempt.received, b""
        try:
            while chunk := received or await silence.wait(attempt.exchange.read_body):
                received = b""
                earlier = self._splitter.count
                whole_events = self._splitter.feed(chunk)
                attempt.count_events(self._splitter.count - earlier)
                if not whole_events:
                    continue
                attempt.exchange.count_pieces(whole_events.count(b"\n"))
                on_accepted()
                # Comments bring nothing that another version must not continue.
                attempt.report_first_byte(on_event() if self._splitter.line_count else None)
                self._record_first_byte()
                if not self._connection.response_started:
                    self._start_chunked_response(head)
                self._connection.write(format_chunk(whole_events))
                self._record_event()
                began = now()
                await self._connection.drain()
                attempt.stall = now() - began
                if self._splitter.line_count > line_count:
                    line_count = self._splitter.line_count
                    silence.record_progress()
        finally:
            attempt.received = self._splitter.partial
        if self._splitter.has_partial():
            return Broken("cut")
        on_accepted()
        if not self._connection.response_started:
            self._start_chunked_response(head)
        return Finished(head.status, False, is_held=False)

    def _end_response(self) -> None:
        """End the chunked response, if there is one."""
        if self._is_chunked and self._held_response is None:
            self._connection.write(LAST_CHUNK)

    def _record_event(self) -> None:
        time = now()
        if self.events:
            self.longest_pause = max(self.longest_pause, time - self._last_event_at)
        self._last_event_at = time
        self.events = self._splitter.count

    def _record_first_byte(self) -> None:
        if self.first_byte is None:
            self.first_byte = now()

    def _start_chunked_response(self, head: ResponseHead) -> None:
        self._is_chunked = True
        # An earlier target's held failure must not follow this response.
        self._held_response = None
        self.status = head.status
        headers = [
            *response_headers(head),
            *self._connection_headers(),
            (b"Transfer-Encoding", b"chunked"),
        ]
        self._connection.write(format_head(_start_line(head), headers))

    def _connection_headers(self) -> list[tuple[bytes, bytes]]:
        return [(b"Connection", self._connection.connection_header())]


def find_fault(response: TargetResponse) -> Broken | Rejected | None:
    """Return why a response whose head has come can't be passed on, None if it can."""
    if response.not_run:
        return Rejected(response.head.status)
    if not response.matches_request or response.has_content_encoding:
        return Broken("malformed")
    if response.head.status < MIN_FAILURE_STATUS and not response.sealed:
        return Broken("unsealed")
    return None


def _start_line(head: ResponseHead) -> bytes:
    return b"HTTP/1.1 %d %b" % (head.status, head.reason)
