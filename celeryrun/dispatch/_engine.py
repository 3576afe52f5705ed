"""Streams of model engines: one dispatch, resumed when its connection fails."""

from __future__ import annotations

import threading
import time
from collections.abc import Generator, Iterator
from dataclasses import dataclass

import msgspec
import urllib3

from celeryrun.dispatch._connection import CONNECTION_ERRORS, TargetConnection, connect, is_silence
from celeryrun.dispatch._events import Event, MalformedStreamError, read_events
from celeryrun.dispatch._response import MAX_ANSWER_BYTES, is_leaving, read_response
from celeryrun.dispatch._results import (
    ApplicationResponse,
    NotDispatched,
    Token,
    UnknownOutcome,
    Usage,
)

__all__ = ["EngineStream", "cancel_stream"]

GENERATE_PATH = "/v1/generate"
HEAD_SILENCE = 5.0  # s until a dispatch without a head is asked for on a new connection
SILENCE = 2.0  # s between two events before the stream is resumed
MAX_SILENCE = 16.0  # s, reached by doubling while a live engine has nothing to say
RESUME_PAUSE = 0.1  # s, doubled after each failure
MAX_FAILURES = 5  # resumes in a row without a new token
CANCEL_TIMEOUT = 1.0  # s
HTTP_OK = 200
HTTP_NOT_FOUND = 404


class _Body(msgspec.Struct):
    stream_id: str
    prompt: str
    max_tokens: int


@dataclass(frozen=True, slots=True)
class _Broken:
    """Sentinel: this connection gives no more; another may.

    Parameters
    ----------
    silent : bool
        Whether it was opened and then nothing came.
    connection_refused : bool
        Whether nothing listens at the engine's address.
    """

    reason: str
    silent: bool = False
    connection_refused: bool = False


_End = Usage | ApplicationResponse | NotDispatched | UnknownOutcome
_Part = Generator[Token, None, _End | _Broken]


class EngineStream:
    """One dispatch to an engine.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the target.
    stream_id : str
        Names the stream at the engine, for resuming and cancelling.
    prompt : str
        Text.
    max_tokens : int
        Bound on the answer.
    deadline : float
        Monotonic time in seconds.

    Attributes
    ----------
    time_to_first_token : float
        Seconds to the first event, negative while there is none.
    resumes : int
        How often it was resumed.

    Notes
    -----
    A silent connection and an engine that is long over a prompt look alike. So after a silence the
    stream is resumed on a new connection, and as long as the engine takes that one, the silence
    allowed doubles and nothing is held against the engine.
    """

    __slots__ = (
        "_aborted",
        "_address",
        "_body",
        "_connection",
        "_deadline",
        "_failures",
        "_next",
        "_reached",
        "_silence",
        "_size",
        "_started",
        "time_to_first_token",
        "resumes",
        "stream_id",
    )

    def __init__(
        self, address: str, stream_id: str, prompt: str, max_tokens: int, deadline: float
    ) -> None:
        self.stream_id = stream_id
        self.time_to_first_token = -1.0
        self.resumes = 0
        self._aborted = threading.Event()
        self._address = address
        self._body = msgspec.json.encode(_Body(stream_id, prompt, max_tokens))
        self._connection: TargetConnection | None = None
        self._deadline = deadline
        self._failures = 0
        self._next = 0
        self._reached = False
        self._silence = SILENCE
        self._size = 0
        self._started = 0.0

    @property
    def token_count(self) -> int:
        """Tokens that have come."""
        return self._next

    def events(
        self,
    ) -> Iterator[Token | Usage | ApplicationResponse | NotDispatched | UnknownOutcome]:
        """Dispatch, and yield each token once and in order.

        Yields
        ------
        Token or Usage or ApplicationResponse or NotDispatched or UnknownOutcome
            Every item but the last is a `Token`. A `Usage` marks a complete answer; an
            `ApplicationResponse` is the engine's own error response.
        """
        self._started = time.monotonic()
        end = yield from self._read("POST", GENERATE_PATH, HEAD_SILENCE)
        while isinstance(end, _Broken):
            if not self._may_resume(end):
                yield UnknownOutcome(end.reason, target_crashed=end.connection_refused)
                return
            end = yield from self._resume()
        yield end

    def abort(self) -> None:
        """Stop waiting for the engine, from any thread."""
        self._aborted.set()
        connection = self._connection
        if connection is not None:
            connection.abort()

    def _may_resume(self, broken: _Broken) -> bool:
        if broken.silent:
            self._silence = min(MAX_SILENCE, self._silence * 2)
        else:
            self._failures += 1
        if self._failures > MAX_FAILURES:
            return False
        pause = 0.0 if broken.silent else RESUME_PAUSE * 2**self._failures
        remaining = self._deadline - time.monotonic()
        return remaining > pause and not self._aborted.wait(pause)

    def _resume(self) -> _Part:
        self.resumes += 1
        path = f"/v1/streams/{self.stream_id}?from={self._next}"
        end = yield from self._read("GET", path, self._silence)
        if isinstance(end, NotDispatched):
            return _Broken(end.reason, connection_refused=end.connection_refused)
        return end

    def _read(self, method: str, path: str, head_silence: float) -> _Part:
        connection = connect(self._address, self._deadline)
        if isinstance(connection, NotDispatched):
            return connection
        self._connection = connection
        try:
            if self._aborted.is_set():
                return UnknownOutcome("the wait was ended")
            connection.set_silence(head_silence)
            response = self._exchange(connection, method, path)
            if response.status != HTTP_OK:
                return self._refused(response, method)
            self._reached = True
            connection.set_silence(self._silence)
            return (yield from self._tokens(response))
        except CONNECTION_ERRORS as error:
            silent = is_silence(error)
            self._reached = self._reached or not silent
            return _Broken(f"the stream broke off ({type(error).__name__})", silent)
        except MalformedStreamError as error:
            return _Broken(str(error))
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

    def _refused(
        self, response: urllib3.BaseHTTPResponse, method: str
    ) -> ApplicationResponse | NotDispatched | UnknownOutcome | _Broken:
        if method == "POST":
            if is_leaving(response):
                return NotDispatched("the target is leaving", leaving=True)
            return read_response(response, self.stream_id, method)
        if response.status == HTTP_NOT_FOUND:
            # An engine that never got the request does not know the stream either.
            reason = "the engine does not know the stream"
            return UnknownOutcome(reason, target_crashed=self._reached)
        return _Broken(f"the engine answered status {response.status}")

    def _tokens(self, response: urllib3.BaseHTTPResponse) -> _Part:
        for event in read_events(response):
            if time.monotonic() > self._deadline:
                return UnknownOutcome("the answer was not whole before the deadline")
            if event.id != self.stream_id or event.index > self._next:
                return _Broken("the engine sent an event of another stream or left one out")
            if event.index < self._next:
                continue
            if event.done:
                return Usage(event.prompt_tokens, event.cached_tokens, event.completion_tokens)
            token = self._accept(event)
            if self._size > MAX_ANSWER_BYTES:
                return UnknownOutcome(f"the answer is larger than {MAX_ANSWER_BYTES} bytes")
            yield token
        return _Broken("the stream ended early")

    def _accept(self, event: Event) -> Token:
        if self.time_to_first_token < 0:
            self.time_to_first_token = time.monotonic() - self._started
        self._next += 1
        self._failures = 0
        self._silence = SILENCE
        self._size += len(event.text)
        return Token(event.index, event.text)


def cancel_stream(address: str, stream_id: str) -> bool:
    """Ask an engine to stop a stream; return whether it said that it did."""
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
