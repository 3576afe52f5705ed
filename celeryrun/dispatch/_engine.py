"""Token streams of model engines, dispatched once and resumed after a connection failure."""

from __future__ import annotations

import threading
import time
from collections.abc import Generator, Iterator
from dataclasses import dataclass

import msgspec
import urllib3

from celeryrun.dispatch._connection import CONNECTION_ERRORS, TargetConnection, connect, is_timeout
from celeryrun.dispatch._events import Event, MalformedStreamError, read_events
from celeryrun.dispatch._response import MAX_RESPONSE_BYTES, is_leaving, read_response
from celeryrun.dispatch._results import (
    ApplicationResponse,
    NotDispatched,
    Token,
    UnknownOutcome,
    Usage,
)

__all__ = ["EngineStream", "cancel_stream"]

GENERATE_PATH = "/v1/generate"
HEAD_TIMEOUT = 5.0  # s; after it, a dispatch without a response head is resumed
EVENT_TIMEOUT = 2.0  # s; after it, a stream without a new event is resumed
MAX_EVENT_TIMEOUT = 16.0  # s; the event timeout doubles while a reachable engine sends nothing
RESUME_DELAY = 0.1  # s; doubles with each failure
MAX_FAILURES = 5  # in a row, without a new token
CANCEL_TIMEOUT = 1.0  # s
HTTP_OK = 200
HTTP_NOT_FOUND = 404


class _GenerateBody(msgspec.Struct):
    stream_id: str
    prompt: str
    max_tokens: int


@dataclass(frozen=True, slots=True)
class _StreamBroken:
    """Sentinel: the connection failed; a new one may continue the stream.

    Parameters
    ----------
    timed_out : bool
        Whether the connection was open and a read timed out.
    connection_refused : bool
        Whether the engine's address refused the connection.
    """

    reason: str
    timed_out: bool = False
    connection_refused: bool = False


_StreamEnd = Usage | ApplicationResponse | NotDispatched | UnknownOutcome
_TokenGenerator = Generator[Token, None, _StreamEnd | _StreamBroken]


class EngineStream:
    """Token stream of one dispatch to an engine.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the target.
    stream_id : str
        Id of the stream at the engine, for resuming and cancelling it.
    prompt : str
    max_tokens : int
        Limit on the generated tokens.
    deadline : float
        Monotonic time in seconds.

    Attributes
    ----------
    time_to_first_token : float
        Seconds from the dispatch to the first token; negative before it.
    resume_count : int

    Notes
    -----
    A stalled connection and an engine that is slow to process a prompt look alike. After a timeout
    the stream is resumed on a new connection. As long as the engine accepts it, the event timeout
    doubles and the timeout does not count as a failure.
    """

    __slots__ = (
        "_aborted",
        "_address",
        "_body",
        "_connection",
        "_deadline",
        "_event_timeout",
        "_failures",
        "_next_index",
        "_started_at",
        "_text_bytes",
        "_was_reached",
        "resume_count",
        "stream_id",
        "time_to_first_token",
    )

    def __init__(
        self, address: str, stream_id: str, prompt: str, max_tokens: int, deadline: float
    ) -> None:
        self.stream_id = stream_id
        self.time_to_first_token = -1.0
        self.resume_count = 0
        self._aborted = threading.Event()
        self._address = address
        self._body = msgspec.json.encode(_GenerateBody(stream_id, prompt, max_tokens))
        self._connection: TargetConnection | None = None
        self._deadline = deadline
        self._failures = 0
        self._next_index = 0
        self._was_reached = False
        self._event_timeout = EVENT_TIMEOUT
        self._text_bytes = 0
        self._started_at = 0.0

    @property
    def token_count(self) -> int:
        """Number of tokens received."""
        return self._next_index

    def events(
        self,
    ) -> Iterator[Token | Usage | ApplicationResponse | NotDispatched | UnknownOutcome]:
        """Dispatch the request and yield each token once and in order.

        Yields
        ------
        Token or Usage or ApplicationResponse or NotDispatched or UnknownOutcome
            Every item but the last is a `Token`. A `Usage` marks a complete stream; an
            `ApplicationResponse` is the engine's own error response.
        """
        self._started_at = time.monotonic()
        end = yield from self._read("POST", GENERATE_PATH, HEAD_TIMEOUT)
        while isinstance(end, _StreamBroken):
            if not self._may_resume(end):
                yield UnknownOutcome(end.reason, target_crashed=end.connection_refused)
                return
            end = yield from self._resume()
        yield end

    def abort(self) -> None:
        """End the wait for the engine; callable from any thread."""
        self._aborted.set()
        connection = self._connection
        if connection is not None:
            connection.abort()

    def _may_resume(self, failure: _StreamBroken) -> bool:
        if failure.timed_out:
            self._event_timeout = min(MAX_EVENT_TIMEOUT, self._event_timeout * 2)
        else:
            self._failures += 1
        if self._failures > MAX_FAILURES:
            return False
        delay = 0.0 if failure.timed_out else RESUME_DELAY * 2**self._failures
        remaining = self._deadline - time.monotonic()
        return remaining > delay and not self._aborted.wait(delay)

    def _resume(self) -> _TokenGenerator:
        self.resume_count += 1
        path = f"/v1/streams/{self.stream_id}?from={self._next_index}"
        end = yield from self._read("GET", path, self._event_timeout)
        if isinstance(end, NotDispatched):
            return _StreamBroken(end.reason, connection_refused=end.connection_refused)
        return end

    def _read(self, method: str, path: str, head_timeout: float) -> _TokenGenerator:
        connection = connect(self._address, self._deadline)
        if isinstance(connection, NotDispatched):
            return connection
        self._connection = connection
        try:
            if self._aborted.is_set():
                return UnknownOutcome("the wait was ended")
            connection.set_read_timeout(head_timeout)
            response = self._exchange(connection, method, path)
            if response.status != HTTP_OK:
                return self._end_from_error_response(response, method)
            self._was_reached = True
            connection.set_read_timeout(self._event_timeout)
            return (yield from self._read_tokens(response))
        except CONNECTION_ERRORS as error:
            timed_out = is_timeout(error)
            self._was_reached = self._was_reached or not timed_out
            return _StreamBroken(f"the stream broke off ({type(error).__name__})", timed_out)
        except MalformedStreamError as error:
            return _StreamBroken(str(error))
        finally:
            self._connection = None
            connection.close()

    def _exchange(
        self, connection: TargetConnection, method: str, path: str
    ) -> urllib3.BaseHTTPResponse:
        headers = {"Request-Id": self.stream_id, "Content-Type": "application/json"}
        return connection.send_request(
            method, path, self._body if method == "POST" else None, headers
        )

    def _end_from_error_response(
        self, response: urllib3.BaseHTTPResponse, method: str
    ) -> ApplicationResponse | NotDispatched | UnknownOutcome | _StreamBroken:
        if method == "POST":
            if is_leaving(response, self.stream_id):
                return NotDispatched("the target is leaving", leaving=True)
            return read_response(response, self.stream_id, method)
        if response.status == HTTP_NOT_FOUND:
            # An engine that never received the request does not know the stream either, so a 404
            # shows a crash only if the engine was reached before.
            reason = "the engine does not know the stream"
            return UnknownOutcome(reason, target_crashed=self._was_reached)
        return _StreamBroken(f"the engine answered status {response.status}")

    def _read_tokens(self, response: urllib3.BaseHTTPResponse) -> _TokenGenerator:
        for event in read_events(response):
            if time.monotonic() > self._deadline:
                return UnknownOutcome("the answer was not whole before the deadline")
            if event.id != self.stream_id or event.index > self._next_index:
                return _StreamBroken("the engine sent an event of another stream or left one out")
            if event.index < self._next_index:
                continue
            if event.done:
                return Usage(event.prompt_tokens, event.cached_tokens, event.completion_tokens)
            token = self._accept_token(event)
            if self._text_bytes > MAX_RESPONSE_BYTES:
                return UnknownOutcome(f"the answer is larger than {MAX_RESPONSE_BYTES} bytes")
            yield token
        return _StreamBroken("the stream ended early")

    def _accept_token(self, event: Event) -> Token:
        if self.time_to_first_token < 0:
            self.time_to_first_token = time.monotonic() - self._started_at
        self._next_index += 1
        self._failures = 0
        self._event_timeout = EVENT_TIMEOUT
        self._text_bytes += len(event.text.encode())
        return Token(event.index, event.text)


def cancel_stream(address: str, stream_id: str) -> bool:
    """Cancel a stream at an engine; return whether the engine confirmed it."""
    connection = connect(address, time.monotonic() + CANCEL_TIMEOUT)
    if isinstance(connection, NotDispatched):
        return False
    try:
        path = f"/v1/streams/{stream_id}"
        return connection.send_request("DELETE", path, None, {}).status == HTTP_OK
    except CONNECTION_ERRORS:
        return False
    finally:
        connection.close()
