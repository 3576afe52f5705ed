"""HTTP messages: incremental parsers for requests and answers, and framing of what is written."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import httptools

__all__ = [
    "LAST_CHUNK",
    "MalformedMessageError",
    "RequestHead",
    "RequestParser",
    "ResponseHead",
    "ResponseParser",
    "end_to_end_headers",
    "format_chunk",
    "format_head",
]

Headers = list[tuple[bytes, bytes]]

LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = 100
FIRST_FINAL_STATUS = 200
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


class MalformedMessageError(Exception):
    """Bytes are no HTTP message, or one that could be read in two ways; close the connection."""


@dataclass(slots=True)
class RequestHead:
    """Start line and headers of a request.

    Parameters
    ----------
    target : bytes
        Path and query as sent.
    headers : list of (bytes, bytes)
        In order; names in lower case.
    """

    method: bytes
    request_target: bytes
    headers: Headers
    keep_alive: bool = True

    def values(self, name: bytes) -> list[bytes]:
        """Return all values of a header."""
        return [value for known, value in self.headers if known == name]


@dataclass(slots=True)
class ResponseHead:
    """Start line and headers of an answer.

    Parameters
    ----------
    content_length : int or None
        Announced bytes of the body, None where it is chunked or ends with the connection.
    chunked : bool
        Whether the body has its own end.
    """

    status: int
    reason: bytes
    headers: Headers
    content_length: int | None = None
    chunked: bool = False

    def value(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


def _find(headers: Headers, name: bytes) -> bytes:
    return b",".join(value for known, value in headers if known == name)


def end_to_end_headers(headers: Headers, keep: Callable[[bytes], bool]) -> Headers:
    """Return the headers that are passed on.

    Parameters
    ----------
    keep : callable
        Tells of a name that ``Connection`` lists whether it is passed on all the same.

    Examples
    --------
    >>> end_to_end_headers([(b"a", b"1"), (b"b", b"2"), (b"connection", b"B")], lambda name: False)
    [(b'a', b'1')]
    """
    listed = {name.strip().lower() for name in _find(headers, b"connection").split(b",")}
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and (name not in listed or keep(name))
    ]


def format_head(start: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the bytes of a start line and headers.

    Examples
    --------
    >>> format_head(b"HTTP/1.1 200 OK", [(b"a", b"1")])
    b'HTTP/1.1 200 OK\\r\\na: 1\\r\\n\\r\\n'
    """
    lines = [start, *(name + b": " + value for name, value in headers), b"", b""]
    return b"\r\n".join(lines)


def format_chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body.

    Examples
    --------
    >>> format_chunk(b"abc")
    b'3\\r\\nabc\\r\\n'
    """
    return b"%x\r\n%b\r\n" % (len(data), data)


class _Parser:
    """What both directions share: headers in order, and body parts as they come.

    Attributes
    ----------
    head_callback, body_callback, end_callback : callable
        Called for each message.
    """

    __slots__ = ("_headers", "_parser", "body_callback", "end_callback", "head_callback")

    def __init__(self, parser: Callable[[object], Any]) -> None:
        self._headers: Headers = []
        self.head_callback: Callable[[], None] = lambda: None
        self.body_callback: Callable[[bytes], None] = lambda data: None
        self.end_callback: Callable[[], None] = lambda: None
        self._parser = parser(self)

    def feed(self, data: bytes) -> None:
        """Take bytes.

        Raises
        ------
        MalformedMessageError
            If they are no message.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise MalformedMessageError("upgrade is not supported") from error
        except httptools.HttpParserError as error:
            raise MalformedMessageError(str(error)) from error

    def on_message_begin(self) -> None:
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))

    def on_body(self, data: bytes) -> None:
        self.body_callback(data)

    def on_message_complete(self) -> None:
        self.end_callback()


class RequestParser(_Parser):
    """Parses the requests of one connection."""

    __slots__ = ("_target", "head")

    def __init__(self) -> None:
        super().__init__(httptools.HttpRequestParser)
        self._target = b""
        self.head: RequestHead | None = None

    def on_message_begin(self) -> None:
        """Forget the request before."""
        super().on_message_begin()
        self._target = b""
        self.head = None

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url

    def on_headers_complete(self) -> None:
        """Build the head."""
        keep_alive = self._parser.should_keep_alive()
        method = self._parser.get_method()
        self.head = RequestHead(method, self._target, self._headers, keep_alive)
        self.head_callback()


class ResponseParser(_Parser):
    """Parses the one answer of a connection to a target."""

    __slots__ = ("_interim", "_reason", "head")

    def __init__(self) -> None:
        super().__init__(httptools.HttpResponseParser)
        self._interim = False
        self._reason = b""
        self.head: ResponseHead | None = None

    def on_message_begin(self) -> None:
        """Forget an interim answer."""
        super().on_message_begin()
        self._reason = b""

    def on_status(self, reason: bytes) -> None:
        """Take the reason phrase."""
        self._reason += reason

    def on_headers_complete(self) -> None:
        """Build the head of a final answer."""
        status = self._parser.get_status_code()
        self._interim = CONTINUE <= status < FIRST_FINAL_STATUS
        if self._interim or self.head is not None:
            return
        chunked = b"chunked" in _find(self._headers, b"transfer-encoding").lower()
        length = _find(self._headers, b"content-length")
        self.head = ResponseHead(
            status,
            self._reason,
            self._headers,
            int(length) if length.isdigit() and not chunked else None,
            chunked,
        )
        self.head_callback()

    def on_message_complete(self) -> None:
        """Tell of the end of a final answer."""
        if not self._interim:
            self.end_callback()
