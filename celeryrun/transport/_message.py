"""Incremental parsers of HTTP requests and responses, and formatting of heads and chunks."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import dropwhile
from typing import Any

import httptools

from celeryrun.records import parse_number

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

HEADER_OBJECT_BYTES = 200  # that Python keeps for a header besides its name and value
LIST_ITEM_BYTES = 100  # that Python keeps for an item of a header whose value is read as a list
TRAILER_OVERHEAD = 4  # bytes per trailer for ": " and CRLF
OPTIONAL_SPACE = b" \t"  # around a value, and no part of it; the parser beneath keeps what follows
DELAY = re.compile(rb"[0-9]+(\.[0-9]+)?")  # Retry-After in seconds, with fractions
LAST_CHUNK = b"0\r\n\r\n"
MAX_QUOTED_BYTES = 60  # of a line that an error message repeats
RESPONSE_START = b"HTTP/1."
# Version, status and reason phrase, of RFC 9112, section 4.
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}( [\t\x20-\x7e\x80-\xff]*)?")
MIN_INTERIM_STATUS = 100
MIN_FINAL_STATUS = 200
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
    """The input is invalid or ambiguous as HTTP; the connection must be closed."""


@dataclass(slots=True)
class RequestHead:
    """Request line and headers of a request.

    Parameters
    ----------
    target : bytes
        Path and query as received, not decoded.
    headers : list of (bytes, bytes)
        Names, in lower case, and values in the order received.
    keep_alive : bool
        Whether the connection may carry another request.
    """

    method: bytes
    request_target: bytes
    headers: Headers
    keep_alive: bool = True

    def values(self, name: bytes) -> list[bytes]:
        """Return all values of a header, given its name in lower case."""
        return [value for key, value in self.headers if key == name]

    def number(self, name: bytes) -> float | None:
        """Return the first value of a header as a number; None if it is none in [0, inf)."""
        return parse_number(b"".join(self.values(name)[:1]))

    def bearer_token(self) -> str | None:
        """Return the token of the ``Authorization`` header, None without one."""
        scheme, _, token = b"".join(self.values(b"authorization")).partition(b" ")
        if scheme.lower() != b"bearer":
            return None
        return token.strip().decode("latin-1") or None


@dataclass(slots=True)
class ResponseHead:
    """Status line and headers of a response.

    Parameters
    ----------
    content_length : int or None
        Value of ``Content-Length`` in bytes, None if the body is chunked or ends with the
        connection.
    chunked : bool
        Whether the body uses the chunked transfer coding.
    """

    status: int
    reason: bytes
    headers: Headers
    content_length: int | None = None
    chunked: bool = False

    def values(self, name: bytes) -> list[bytes]:
        """Return all values of a header, given its name in lower case."""
        return [value for key, value in self.headers if key == name]

    def number(self, name: bytes) -> float | None:
        """Return the first value of a header as a number; None if it is none in [0, inf)."""
        return parse_number(b"".join(self.values(name)[:1]))

    def retry_after(self) -> float | None:
        """Return the longest ``Retry-After`` in seconds, None if there is no decimal number."""
        delays = [float(value) for value in self.values(b"retry-after") if DELAY.fullmatch(value)]
        return max(delays, default=None)

    def value(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given its name in lower case, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


def _joined_values(headers: Headers, name: bytes) -> bytes:
    return b",".join(value for key, value in headers if key == name)


def end_to_end_headers(headers: Headers, keep: Callable[[bytes], bool]) -> Headers:
    """Return the headers that a proxy forwards, without the hop-by-hop ones.

    Parameters
    ----------
    keep : callable
        Returns whether a header is forwarded even if ``Connection`` lists its name.

    Examples
    --------
    >>> end_to_end_headers([(b"a", b"1"), (b"b", b"2"), (b"connection", b"B")], lambda name: False)
    [(b'a', b'1')]
    """
    listed = {name.strip().lower() for name in _joined_values(headers, b"connection").split(b",")}
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and (name not in listed or keep(name))
    ]


def format_head(start: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the encoded start line and headers.

    Examples
    --------
    >>> format_head(b"HTTP/1.1 200 OK", [(b"a", b"1")])
    b'HTTP/1.1 200 OK\\r\\na: 1\\r\\n\\r\\n'
    """
    lines = [start, *(name + b": " + value for name, value in headers), b"", b""]
    return b"\r\n".join(lines)


def format_chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked body.

    Examples
    --------
    >>> format_chunk(b"abc")
    b'3\\r\\nabc\\r\\n'
    """
    return b"%x\r\n%b\r\n" % (len(data), data)


class _Parser:
    """Base of both parsers: collects headers in order and passes body data on as it arrives.

    Attributes
    ----------
    head_callback, body_callback, end_callback : callable
        Called at the end of the head, with each part of the body, and at the end of the message.
    """

    __slots__ = ("_headers", "_parser", "body_callback", "end_callback", "head_callback")

    def __init__(self, parser: Callable[[object], Any]) -> None:
        self._headers: Headers = []
        self.head_callback: Callable[[], None] = lambda: None
        self.body_callback: Callable[[bytes], None] = lambda data: None
        self.end_callback: Callable[[], None] = lambda: None
        self._parser = parser(self)

    def feed(self, data: bytes | memoryview) -> None:
        """Parse received bytes.

        Raises
        ------
        MalformedMessageError
            If the bytes are not valid HTTP or request an upgrade.
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
        self._headers.append((name.lower(), value.strip(OPTIONAL_SPACE)))

    def on_body(self, data: bytes) -> None:
        self.body_callback(data)

    def on_message_complete(self) -> None:
        self.end_callback()


class RequestParser(_Parser):
    """Parser of the successive requests of one connection.

    An offered upgrade to another protocol is ignored, as a server may, and so are trailers.

    Attributes
    ----------
    begin_callback : callable
        Called at the beginning of a request.
    head : RequestHead or None
        Head of the current request, None until it is received.
    kept_bytes : int
        Bytes that the whole lines of the current head take, objects included.
    trailer_bytes : int
        Bytes of the current request's trailers, which are not kept.
    """

    __slots__ = (
        "_request_target",
        "_upgrade_offer",
        "begin_callback",
        "head",
        "kept_bytes",
        "trailer_bytes",
    )

    def __init__(self) -> None:
        super().__init__(httptools.HttpRequestParser)
        self._request_target = b""
        self._upgrade_offer: bytes | None = None
        self.begin_callback: Callable[[], None] = lambda: None
        self.head: RequestHead | None = None
        self.kept_bytes = 0
        self.trailer_bytes = 0

    def feed(self, data: bytes | memoryview) -> None:
        """Parse received bytes.

        Raises
        ------
        MalformedMessageError
            If the bytes are not valid HTTP or ask for a tunnel.
        """
        rest = data
        try:
            while True:
                try:
                    self._parser.feed_data(rest)
                    return
                except httptools.HttpParserUpgrade as error:
                    # The parser takes the rest for another protocol.
                    rest = memoryview(rest)[error.args[0] :]
                    self._parse_without_offer()
        except httptools.HttpParserError as error:
            raise MalformedMessageError(str(error)) from error

    def on_message_begin(self) -> None:
        """Reset the state left by the previous request."""
        super().on_message_begin()
        self._request_target = b""
        self.head = None
        self.kept_bytes = self.trailer_bytes = 0
        self.begin_callback()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header of the head, and count a trailer."""
        value = value.strip(OPTIONAL_SPACE)
        size = len(name) + len(value)
        if self.head is None:
            self._headers.append((name.lower(), value))
            items = value.count(b",")
            self.kept_bytes += size + HEADER_OBJECT_BYTES + LIST_ITEM_BYTES * items
        else:
            self.trailer_bytes += size + TRAILER_OVERHEAD

    def release_head(self) -> None:
        """Forget the head of a request that has ended."""
        self._headers, self._request_target = [], b""
        self.head = None

    def drop(self) -> None:
        """Forget the current request; nothing may be fed any more."""
        self.release_head()
        self._upgrade_offer = None
        self._parser = None

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the request target."""
        self._request_target += url

    def on_headers_complete(self) -> None:
        """Build the request head and report it."""
        method = self._parser.get_method()
        if self._parser.should_upgrade():
            self._upgrade_offer = self._format_without_upgrade(method)
            return
        keep_alive = self._parser.should_keep_alive()
        self.head = RequestHead(method, self._request_target, self._headers, keep_alive)
        self.head_callback()

    def on_message_complete(self) -> None:
        """Report the end of a request, unless its head is to be parsed again."""
        if self._upgrade_offer is None:
            super().on_message_complete()

    def _parse_without_offer(self) -> None:
        """Parse the head of a request that offers an upgrade again, as if it offered none."""
        head, self._upgrade_offer = self._upgrade_offer, None
        if head is None or head.startswith(b"CONNECT "):
            raise MalformedMessageError("a tunnel is not supported")
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(head)

    def _format_without_upgrade(self, method: bytes) -> bytes:
        version = self._parser.get_http_version().encode()
        headers = []
        for name, value in self._headers:
            if name == b"connection":
                options = [option.strip() for option in value.split(b",")]
                value = b", ".join(option for option in options if option.lower() != b"upgrade")
            if name != b"upgrade":
                headers.append((name, value))
        return format_head(b"%b %b HTTP/%b" % (method, self._request_target, version), headers)


class ResponseParser(_Parser):
    """Parser of a single response, after any interim (1xx) ones.

    Heads are passed to the parser beneath line by line, as it reads two things too loosely: it
    takes any status of three digits, other protocols and control characters in a status line, and
    it takes a transfer coding with a tab behind it for another one.
    """

    __slots__ = ("_is_interim", "_is_start_due", "_line", "_reason", "head")

    def __init__(self) -> None:
        super().__init__(httptools.HttpResponseParser)
        self._is_interim = False
        self._line = bytearray()
        self._is_start_due = True
        self._reason = b""
        self.head: ResponseHead | None = None

    def feed(self, data: bytes | memoryview) -> None:
        """Parse received bytes.

        Raises
        ------
        MalformedMessageError
            If the bytes are not valid HTTP, request an upgrade or have a body in a transfer coding
            other than ``chunked``.
        """
        if self.head is not None:
            super().feed(data)
            return
        searched = len(self._line)
        self._line += data
        while self.head is None:
            end = self._line.find(b"\n", searched) + 1
            if not end:
                self._check_start()
                return
            self._feed_line(bytes(self._line[:end]))
            del self._line[:end]
            searched = 0
        if self._line:
            super().feed(bytes(self._line))
            self._line.clear()

    def _check_start(self) -> None:
        """Check the first bytes of a status line, which may never end."""
        start = self._line.lstrip(b"\r")[: len(RESPONSE_START)]
        if self._is_start_due and not RESPONSE_START.startswith(start):
            raise MalformedMessageError("the response does not begin with its version")

    def _feed_line(self, line: bytes) -> None:
        """Parse a line of a head; empty ones may precede a status line."""
        line = _without_trailing_space(line)
        content = line.rstrip(b"\r\n")
        if content and self._is_start_due and not STATUS_LINE.fullmatch(content):
            raise MalformedMessageError(f"not a status line: {content[:MAX_QUOTED_BYTES]!r}")
        self._is_start_due = not content
        super().feed(line)

    def on_message_begin(self) -> None:
        """Reset the state left by an interim response."""
        super().on_message_begin()
        self._reason = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; trailers, which follow the body, are dropped."""
        if self.head is None:
            super().on_header(name, value)

    def on_status(self, reason: bytes) -> None:
        """Append a fragment of the reason phrase."""
        self._reason += reason

    def on_headers_complete(self) -> None:
        """Build and report the head of the final response."""
        status = self._parser.get_status_code()
        self._is_interim = MIN_INTERIM_STATUS <= status < MIN_FINAL_STATUS
        if self._is_interim or self.head is not None:
            return
        codings = _transfer_codings(self._headers)
        length = _joined_values(self._headers, b"content-length")
        if (length and not length.isdigit()) or codings not in ([], [b"chunked"]):
            raise MalformedMessageError("the length of the body is unknown")
        self.head = ResponseHead(
            status,
            self._reason,
            self._headers,
            int(length) if length and not codings else None,
            bool(codings),
        )
        self.head_callback()

    def on_message_complete(self) -> None:
        """Report the end of the final response."""
        if not self._is_interim:
            self.end_callback()


def _without_trailing_space(line: bytes) -> bytes:
    """Return a line of a head without white space before its end; an empty line stays as it is.

    Examples
    --------
    >>> _without_trailing_space(b"a: 1 \\t\\r\\n")
    b'a: 1\\r\\n'
    """
    content = line.rstrip(b"\r\n")
    return content.rstrip(OPTIONAL_SPACE) + line[len(content) :] if content.strip() else line


def _transfer_codings(headers: Headers) -> list[bytes]:
    """Return the transfer codings of a body, in lower case.

    Examples
    --------
    >>> _transfer_codings([(b"transfer-encoding", b"identity, Chunked")])
    [b'chunked']
    """
    values = _joined_values(headers, b"transfer-encoding").lower().split(b",")
    codings = [value.strip(OPTIONAL_SPACE) for value in values]
    # The parser beneath decodes chunks only if the last coding in the list is `chunked`.
    return list(dropwhile(lambda coding: coding in (b"", b"identity"), codings))
