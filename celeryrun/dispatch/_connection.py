"""Connections to targets, a fresh one for each exchange.

A pooled connection may be dead without saying so, and a request lost on it has an unknown outcome.
A fresh one that can't be opened is certainly no dispatch.
"""

from __future__ import annotations

import http.client
import socket
import time
from collections.abc import Mapping
from contextlib import suppress
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from celeryrun.dispatch._results import NotDispatched
from celeryrun.settings import Address

__all__ = ["CONNECTION_ERRORS", "TargetConnection", "connect", "is_silence", "nothing_listens"]

CONNECT_TIMEOUT = 1.0  # s
PROBE_TIMEOUT = 0.2  # s
PROBE_PAUSE = 0.05  # s
PROBES = 2
SILENT = (TimeoutError, urllib3.exceptions.TimeoutError)

CONNECTION_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)


class _TargetSocket(socket.socket):
    """Socket whose every wait ends at a deadline, and each read after a time of silence."""

    __slots__ = ("deadline", "silence")

    deadline: float
    silence: float

    def recv_into(self, *arguments: Any) -> int:
        """Read some bytes."""
        self.settimeout(min(self.silence, self._remaining()))
        return super().recv_into(*arguments)

    def sendall(self, *arguments: Any) -> None:
        """Send all bytes."""
        self.settimeout(self._remaining())
        super().sendall(*arguments)

    def _remaining(self) -> float:
        remaining = self.deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("the deadline has passed")
        return remaining


class TargetConnection:
    """One connection, for one request.

    Parameters
    ----------
    sock : socket
        Connected to the target.
    address : Address
        The target's address.
    """

    __slots__ = ("_http", "_response", "_sock")

    def __init__(self, sock: _TargetSocket, address: Address) -> None:
        self._sock = sock
        self._http = HTTPConnection(address.host, address.port)
        self._http.auto_open = 0
        self._http.sock = sock
        self._response: urllib3.BaseHTTPResponse | None = None

    def set_silence(self, seconds: float) -> None:
        """Bound the time that one read may wait."""
        self._sock.silence = seconds

    def send_request(
        self, method: str, path: str, body: bytes | None, headers: Mapping[str, str]
    ) -> urllib3.BaseHTTPResponse:
        """Send one request and read the head of its answer.

        Raises
        ------
        urllib3.exceptions.HTTPError, http.client.HTTPException, OSError
            If the head did not come; the request may have run.
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
        """End every wait on this connection, from any thread."""
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; it is never used again."""
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
        Monotonic time in seconds at which every wait on the connection ends.
    """
    parsed = Address.from_text(address)
    patience = min(CONNECT_TIMEOUT, deadline - time.monotonic())
    if patience <= 0:
        return NotDispatched("the deadline has passed")
    # By hand, since the library would look the IP number up by name at each call.
    sock = _TargetSocket(socket.AF_INET, socket.SOCK_STREAM)
    sock.deadline = deadline
    sock.silence = float("inf")
    sock.settimeout(patience)
    try:
        sock.connect((parsed.host, parsed.port))
    except OSError as error:
        sock.close()
        refused = isinstance(error, ConnectionRefusedError)
        return NotDispatched(f"no connection ({type(error).__name__})", connection_refused=refused)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return TargetConnection(sock, parsed)


def is_silence(error: Exception) -> bool:
    """Tell whether an exchange failed because nothing came, rather than by a broken connection."""
    reason = error.__context__ if isinstance(error, urllib3.exceptions.ProtocolError) else error
    return isinstance(error, SILENT) or isinstance(reason, SILENT)


def nothing_listens(address: str) -> bool:
    """Tell whether a target refuses connections, as it does when its process has died."""
    for _ in range(PROBES):
        probe = connect(address, time.monotonic() + PROBE_TIMEOUT)
        if isinstance(probe, NotDispatched):
            if probe.connection_refused:
                return True
        else:
            probe.close()
        time.sleep(PROBE_PAUSE)
    return False
