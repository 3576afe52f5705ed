"""Calls of plain applications."""

from __future__ import annotations

import http.client
import time
from collections.abc import Mapping

import urllib3

from celeryrun.dispatch._connection import connect, exchange
from celeryrun.dispatch._results import Answer, NotDispatched, Unknown

__all__ = ["call_application"]

MAX_ANSWER_BYTES = 8 * 1024 * 1024
LEAVING_HEADER = "Target-Leaving"
READ_BYTES = 65_536


def call_application(
    address: str,
    method: str,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
    deadline: float,
) -> Answer | NotDispatched | Unknown:
    """Send one call, once, and return its whole answer.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the target.
    headers : mapping
        Must hold ``Request-Id``; an answer that names another id is not delivered.
    deadline : float
        Monotonic time in seconds.
    """
    connection = connect(address, deadline - time.monotonic())
    if isinstance(connection, NotDispatched):
        return connection
    try:
        response = exchange(connection, method, path, body or None, headers)
        return _read_answer(response, headers["Request-Id"], deadline)
    except (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError) as error:
        return Unknown(f"the target gave no whole answer ({type(error).__name__})")
    finally:
        connection.close()


def _read_answer(
    response: urllib3.BaseHTTPResponse, request_id: str, deadline: float
) -> Answer | NotDispatched | Unknown:
    parts = []
    size = 0
    for part in response.stream(READ_BYTES):
        parts.append(part)
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            return Unknown(f"the answer is larger than {MAX_ANSWER_BYTES} bytes")
        if time.monotonic() > deadline:
            return Unknown("the answer was not whole before the deadline")
    if response.headers.get("Request-Id", request_id) != request_id:
        return Unknown("the target answered another request")
    if response.status == 503 and response.headers.get(LEAVING_HEADER):
        return NotDispatched("the target is leaving", leaving=True)
    content_type = response.headers.get("Content-Type", "application/octet-stream")
    return Answer(response.status, content_type, b"".join(parts))
