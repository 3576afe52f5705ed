"""Calls of plain applications."""

from __future__ import annotations

from collections.abc import Mapping

from celeryrun.dispatch._answer import is_leaving, read_answer
from celeryrun.dispatch._connection import (
    BROKEN,
    TargetConnection,
    connect,
    is_silence,
    nothing_listens,
)
from celeryrun.dispatch._results import Answer, NotDispatched, Unknown

__all__ = ["call_application"]


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
    connection = connect(address, deadline)
    if isinstance(connection, NotDispatched):
        return connection
    try:
        return _call(connection, method, path, body, headers)
    except BROKEN as error:
        died = not is_silence(error) and nothing_listens(address)
        return Unknown(f"the target gave no whole answer ({type(error).__name__})", died)
    finally:
        connection.close()


def _call(
    connection: TargetConnection, method: str, path: str, body: bytes, headers: Mapping[str, str]
) -> Answer | NotDispatched | Unknown:
    response = connection.exchange(method, path, body or None, headers)
    request_id = headers["Request-Id"]
    named = response.headers.get("Request-Id", request_id)
    if is_leaving(response) and named == request_id:
        return NotDispatched("the target is leaving", leaving=True)
    return read_answer(response, request_id, method)
