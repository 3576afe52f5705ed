"""Streams of model engines: one dispatch, resumed when its connection fails."""

from __future__ import annotations

import http.client
import time
from collections.abc import Iterator

import msgspec
import urllib3

from celeryrun.dispatch._application import LEAVING_HEADER
from celeryrun.dispatch._connection import connect, exchange
from celeryrun.dispatch._results import NotDispatched, Token, Unknown, Usage

__all__ = ["EngineStream", "cancel_stream"]

SILENCE_LIMIT = 2.0  # s between two events before the stream is resumed
RESUME_PAUSE = 0.1  # s
MAX_RESUMES = 8
CANCEL_TIMEOUT = 1.0  # s
EVENT_PREFIX = b"data: "


class _Event(msgspec.Struct):
    id: str
    index: int
    text: str = ""
    done: bool = False
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


class _Body(msgspec.Struct):
    stream_id: str
    prompt: str
    max_tokens: int


_decoder = msgspec.json.Decoder(_Event)


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
    first : float
        Seconds to the first event, negative while there is none.
    """

    __slots__ = ("_address", "_body", "_deadline", "_next", "_resumes", "first", "stream_id")

    def __init__(
        self, address: str, stream_id: str, prompt: str, max_tokens: int, deadline: float
    ) -> None:
        self.stream_id = stream_id
        self.first = -1.0
        self._address = address
        self._body = msgspec.json.encode(_Body(stream_id, prompt, max_tokens))
        self._deadline = deadline
        self._next = 0
        self._resumes = 0

    def events(self) -> Iterator[Token | Usage | NotDispatched | Unknown]:
        """Dispatch, and yield each token once and in order.

        Yields
        ------
        Token or Usage or NotDispatched or Unknown
            The last item is never a `Token`: a `Usage` says that the answer is whole.
        """
        started = time.monotonic()
        path, body = "/v1/generate", self._body
        while True:
            end: Usage | NotDispatched | Unknown | None = None
            for item in self._read(path, body):
                if self.first < 0 and isinstance(item, Token):
                    self.first = time.monotonic() - started
                if not isinstance(item, Token):
                    end = item
                    break
                yield item
            ends = isinstance(end, Usage) or (isinstance(end, NotDispatched) and body)
            if end is not None and ends:
                yield end
                return
            if not self._may_resume():
                yield end if isinstance(end, Unknown) else Unknown("the stream broke off")
                return
            path, body = f"/v1/streams/{self.stream_id}?from={self._next}", b""

    def _may_resume(self) -> bool:
        self._resumes += 1
        if self._resumes > MAX_RESUMES or time.monotonic() >= self._deadline:
            return False
        time.sleep(RESUME_PAUSE)
        return True

    def _read(self, path: str, body: bytes) -> Iterator[Token | Usage | NotDispatched | Unknown]:
        patience = min(self._deadline - time.monotonic(), self._patience(body))
        connection = connect(self._address, patience)
        if isinstance(connection, NotDispatched):
            yield connection
            return
        sock = connection.sock
        try:
            headers = {"Request-Id": self.stream_id, "Content-Type": "application/json"}
            method = "POST" if body else "GET"
            response = exchange(connection, method, path, body or None, headers)
            if response.status != 200:
                yield self._refused(response)
                return
            sock.settimeout(SILENCE_LIMIT)
            yield from self._parse(response)
        except (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError) as error:
            yield Unknown(f"the stream broke off ({type(error).__name__})")
        finally:
            connection.close()

    def _patience(self, body: bytes) -> float:
        return self._deadline - time.monotonic() if body else SILENCE_LIMIT

    def _refused(self, response: urllib3.BaseHTTPResponse) -> NotDispatched | Unknown:
        if response.status == 503 and response.headers.get(LEAVING_HEADER):
            return NotDispatched("the target is leaving", leaving=True)
        return Unknown(f"the engine answered status {response.status}")

    def _parse(self, response: urllib3.BaseHTTPResponse) -> Iterator[Token | Usage | Unknown]:
        for line in _lines(response):
            if time.monotonic() > self._deadline:
                yield Unknown("the answer was not whole before the deadline")
                return
            if not line.startswith(EVENT_PREFIX):
                continue
            try:
                event = _decoder.decode(line[len(EVENT_PREFIX) :])
            except msgspec.MsgspecError:
                yield Unknown("the engine sent an unreadable event")
                return
            if event.id != self.stream_id or event.index > self._next:
                yield Unknown("the engine sent an event of another stream or left one out")
                return
            if event.index < self._next:
                continue
            if event.done:
                yield Usage(event.prompt_tokens, event.cached_tokens, event.completion_tokens)
                return
            self._next += 1
            yield Token(event.index, event.text)
        yield Unknown("the stream ended early")


def _lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    rest = b""
    while True:
        part = response.read1()
        if not part:
            return
        *lines, rest = (rest + part).split(b"\n")
        yield from lines


def cancel_stream(address: str, stream_id: str) -> bool:
    """Ask an engine to stop a stream; return whether it said that it did."""
    connection = connect(address, CANCEL_TIMEOUT)
    if isinstance(connection, NotDispatched):
        return False
    try:
        path = f"/v1/streams/{stream_id}"
        return exchange(connection, "DELETE", path, None, {}).status == 200
    except (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError):
        return False
    finally:
        connection.close()
