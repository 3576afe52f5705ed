"""Calls of plain applications."""

from __future__ import annotations

from collections.abc import Mapping

from celeryrun.dispatch._connection import (
    CONNECTION_ERRORS,
    TargetConnection,
    connect,
    is_silence,
    nothing_listens,
)
from celeryrun.dispatch._response import is_leaving, read_response
from celeryrun.dispatch._results import ApplicationResponse, NotDispatched, UnknownOutcome

__all__ = ["call_application"]


def call_application(
    address: str,
    method: str,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
    deadline: float,
) -> ApplicationResponse | NotDispatched | UnknownOutcome:
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
    connection = connect(address, deadline)
    if isinstance(connection, NotDispatched):
        return connection
    try:
        return _call(connection, method, path, body, headers)
    except CONNECTION_ERRORS as error:
        died = not is_silence(error) and nothing_listens(address)
        return UnknownOutcome(f"the target gave no whole answer ({type(error).__name__})", died)
    finally:
        connection.close()


def _call(
    connection: TargetConnection, method: str, path: str, body: bytes, headers: Mapping[str, str]
) -> ApplicationResponse | NotDispatched | UnknownOutcome:
    response = connection.send_request(method, path, body or None, headers)
    request_id = headers["Request-Id"]
    named = response.headers.get("Request-Id", request_id)
    if is_leaving(response) and named == request_id:
        return NotDispatched("the target is leaving", leaving=True)
    return read_response(response, request_id, method)
