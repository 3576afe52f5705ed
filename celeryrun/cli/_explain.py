"""Subcommand that collects the log events of one request from the logs of many nodes."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import Any

import click
import msgspec

from celeryrun.exception import NoResponseError

__all__ = ["decode_event", "explain", "explain_request"]

OMITTED_KEYS = frozenset({"time", "node", "event", "request"})


def explain_request(lines: Iterable[str], request: str) -> list[str]:
    """Return the log events of a request as text, in order of time.

    Parameters
    ----------
    lines : iterable of str
        Log lines of any nodes, in any order; text before the JSON object of a line is ignored.
    request : str
        Id of the request.

    Examples
    --------
    >>> line = 'n1 {"time":"t2","node":"b","event":"answered","request":"x","status":200}'
    >>> explain_request([line], "x")
    ['t2 b answered status=200']
    """
    events = []
    for line in lines:
        event = decode_event(line)
        if event is not None and event.get("request") == request:
            fields = " ".join(
                f"{name}={value}"
                for name, value in event.items()
                if name not in OMITTED_KEYS and value is not None
            )
            head = f"{event.get('time')} {event.get('node')} {event.get('event')}"
            events.append(f"{head} {fields}".rstrip())
    # Events of one millisecond stay in the order in which they were logged.
    return sorted(events, key=lambda line: line.partition(" ")[0])


def decode_event(line: str) -> dict[str, Any] | None:
    """Return the log event in a line, or None if there is none."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        event = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        # The line is truncated or comes from another program.
        return None
    return event if isinstance(event, dict) else None


@click.command()
@click.argument("request")
def explain(request: str) -> None:
    """Print the log events of REQUEST in order of time; standard input holds logs of nodes."""
    lines = explain_request(sys.stdin, request)
    if not lines:
        raise NoResponseError(f"no log line has request id {request!r}; give the logs of all nodes")
    for line in lines:
        click.echo(line)
