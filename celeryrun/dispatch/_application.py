"""Calls to plain HTTP applications."""

from __future__ import annotations

from collections.abc import Mapping

from celeryrun.dispatch._connection import (
    CONNECTION_ERRORS,
    TargetConnection,
    connect,
    is_timeout,
    refuses_connections,
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
    """Send a call once and return the complete response.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the target.
    headers : mapping
        Must contain ``Request-Id``; a response with another id is discarded.
    deadline : float
        Monotonic time in seconds.

    Returns
    -------
    ApplicationResponse or NotDispatched or UnknownOutcome
        `UnknownOutcome` if the call may have run without a complete response.
    """
    connection = connect(address, deadline)
    if isinstance(connection, NotDispatched):
        return connection
    try:
        return _call(connection, method, path, body, headers)
    except CONNECTION_ERRORS as error:
        crashed = not is_timeout(error) and refuses_connections(address)
        return UnknownOutcome(f"the target gave no whole answer ({type(error).__name__})", crashed)
    finally:
        connection.close()


def _call(
    connection: TargetConnection, method: str, path: str, body: bytes, headers: Mapping[str, str]
) -> ApplicationResponse | NotDispatched | UnknownOutcome:
    response = connection.send_request(method, path, body or None, headers)
    request_id = headers["Request-Id"]
    if is_leaving(response, request_id):
        return NotDispatched("the target is leaving", leaving=True)
    return read_response(response, request_id, method)
