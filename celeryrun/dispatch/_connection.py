"""Connections to targets, a new one for each request.

A pooled connection may have been closed unnoticed, and a request lost on it has an unknown outcome.
If a new connection cannot be opened, the request is certainly not dispatched.
"""

from __future__ import annotations

import email.message
import http.client
import re
import socket
import time
from collections.abc import Mapping
from contextlib import suppress
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from celeryrun.dispatch._results import NotDispatched
from celeryrun.settings import Address

__all__ = ["CONNECTION_ERRORS", "TargetConnection", "connect", "is_timeout", "refuses_connections"]

CONNECT_TIMEOUT = 1.0  # s
PROBE_TIMEOUT = 0.2  # s
PROBE_INTERVAL = 0.05  # s
PROBE_COUNT = 2
HEAD_ENDS = (b"\r\n\r\n", b"\n\n", b"\n\r\n")  # `http.client` accepts bare line feeds
MAX_HEAD_END_BYTES = 3  # of an end that is received in two parts
TIMEOUT_ERRORS = (TimeoutError, urllib3.exceptions.TimeoutError)

LENGTH = re.compile(r"[0-9]+[ \t]*")
STATUSES = range(100, 600)

CONNECTION_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)


class _TargetSocket(socket.socket):
    """Socket with a deadline for all operations and a timeout for each read.

    The end of the connection before that of a response's head is an error, since `http.client`
    takes it for the end of the head.
    """

    __slots__ = ("deadline", "head_ended", "last_bytes", "read_timeout")

    deadline: float
    head_ended: bool
    last_bytes: bytes
    read_timeout: float

    def recv_into(self, buffer: Any, *arguments: Any) -> int:
        """Read into a buffer."""
        self.settimeout(min(self.read_timeout, self._remaining()))
        count = super().recv_into(buffer, *arguments)
        if not self.head_ended:
            received = self.last_bytes + bytes(buffer[:count])
            self.head_ended = any(end in received for end in HEAD_ENDS)
            self.last_bytes = received[-MAX_HEAD_END_BYTES:]
            if not count and not self.head_ended:
                raise ConnectionResetError("the response ends inside its head")
        return count

    def sendall(self, *arguments: Any) -> None:
        """Send a whole buffer."""
        self.settimeout(self._remaining())
        super().sendall(*arguments)

    def _remaining(self) -> float:
        remaining = self.deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("the deadline has passed")
        return remaining


class _CheckedResponse(http.client.HTTPResponse):
    """Response whose head is an error where `http.client` passes over what is wrong in it."""

    __slots__ = ()

    def begin(self) -> None:
        """Read the head.

        Raises
        ------
        http.client.HTTPException
            If the head is malformed, or does not tell how long the body is.
        """
        super().begin()
        if self.status not in STATUSES:
            raise http.client.HTTPException(f"the response has the status {self.status}")
        if self.msg.defects:
            # What follows the malformed line does not count as part of the head.
            raise http.client.HTTPException(f"malformed head: {self.msg.defects[0]!r}")
        if not _has_known_framing(self.msg):
            raise http.client.HTTPException("the length of the response is unknown")


def _has_known_framing(headers: email.message.Message) -> bool:
    """Return whether a body has chunks alone, or at most a length that is a number."""
    codings = headers.get_all("Transfer-Encoding", [])
    lengths = headers.get_all("Content-Length", [])
    if codings:
        return not lengths and [coding.strip().lower() for coding in codings] == ["chunked"]
    return all(LENGTH.fullmatch(length) for length in lengths) and len(lengths) <= 1


class TargetConnection:
    """Connection that carries one request.

    Parameters
    ----------
    sock : socket
        Connected to the target.
    address : Address
        Address of the target.
    """

    __slots__ = ("_http", "_response", "_sock")

    def __init__(self, sock: _TargetSocket, address: Address) -> None:
        self._sock = sock
        self._http = HTTPConnection(address.host, address.port)
        self._http.auto_open = 0
        self._http.response_class = _CheckedResponse
        self._http.sock = sock
        self._response: urllib3.BaseHTTPResponse | None = None

    def set_read_timeout(self, seconds: float) -> None:
        """Set the timeout of a single read."""
        self._sock.read_timeout = seconds

    def send_request(
        self, method: str, path: str, body: bytes | None, headers: Mapping[str, str]
    ) -> urllib3.BaseHTTPResponse:
        """Send the request and read the head of the response.

        Raises
        ------
        urllib3.exceptions.HTTPError, http.client.HTTPException, OSError
            If no response head arrives; the request may have run.
        """
        all_headers = {**headers, "Connection": "close"}
        self._http.request(
            method,
            path,
            body=body,
            headers=all_headers,
            preload_content=False,
            decode_content=False,
        )
        self._response = self._http.getresponse()
        return self._response

    def abort(self) -> None:
        """Shut the socket down, which ends blocked reads and writes; callable from any thread."""
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        if self._response is not None:
            self._response.close()
        self._http.close()
        self._sock.close()


def connect(address: str, deadline: float) -> TargetConnection | NotDispatched:
    """Open a connection to a target.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    deadline : float
        Monotonic time in seconds at which all reads and writes on the connection time out.
    """
    parsed = Address.from_text(address)
    timeout = min(CONNECT_TIMEOUT, deadline - time.monotonic())
    if timeout <= 0:
        return NotDispatched("the deadline has passed")
    # urllib3 would resolve the IP address through getaddrinfo for each connection.
    sock = _TargetSocket(socket.AF_INET, socket.SOCK_STREAM)
    sock.deadline = deadline
    sock.read_timeout = float("inf")
    sock.head_ended = False
    sock.last_bytes = b""
    sock.settimeout(timeout)
    try:
        sock.connect((parsed.host, parsed.port))
    except OSError as error:
        sock.close()
        refused = isinstance(error, ConnectionRefusedError)
        return NotDispatched(f"no connection ({type(error).__name__})", connection_refused=refused)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return TargetConnection(sock, parsed)


def is_timeout(error: Exception) -> bool:
    """Return whether a request failed by a timeout rather than a broken connection."""
    cause = error.__context__ if isinstance(error, urllib3.exceptions.ProtocolError) else error
    return isinstance(error, TIMEOUT_ERRORS) or isinstance(cause, TIMEOUT_ERRORS)


def refuses_connections(address: str) -> bool:
    """Return whether a target refuses connections, as it does after its process has ended."""
    for _ in range(PROBE_COUNT):
        probe = connect(address, time.monotonic() + PROBE_TIMEOUT)
        if isinstance(probe, NotDispatched):
            if probe.connection_refused:
                return True
        else:
            probe.close()
        time.sleep(PROBE_INTERVAL)
    return False
