"""Connections to targets, a fresh one for each exchange.

A pooled connection may be dead without saying so, and a request lost on it has an unknown outcome.
A fresh one that can't be opened is certainly no dispatch.
"""

from __future__ import annotations

from collections.abc import Mapping

import urllib3
from urllib3.connection import HTTPConnection

from celeryrun.dispatch._results import NotDispatched
from celeryrun.settings import Address

__all__ = ["connect", "exchange"]

CONNECT_TIMEOUT = 1.0  # s


def connect(address: str, timeout: float) -> HTTPConnection | NotDispatched:
    """Open a connection to a target.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    timeout : float
        Seconds for each later read.
    """
    parsed = Address.from_text(address)
    connection = HTTPConnection(
        parsed.host, parsed.port, timeout=min(CONNECT_TIMEOUT, max(0.001, timeout))
    )
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        connection.close()
        return NotDispatched(f"connection refused ({type(error).__name__})")
    connection.sock.settimeout(max(0.001, timeout))
    connection.timeout = max(0.001, timeout)
    return connection


def exchange(
    connection: HTTPConnection,
    method: str,
    path: str,
    body: bytes | None,
    headers: Mapping[str, str],
) -> urllib3.BaseHTTPResponse:
    """Send one request and read the head of its answer.

    Raises
    ------
    urllib3.exceptions.HTTPError, OSError
        If the head did not come; the request may have run.
    """
    all_headers = {**headers, "Connection": "close"}
    connection.request(method, path, body=body, headers=all_headers, preload_content=False)
    return connection.getresponse()
