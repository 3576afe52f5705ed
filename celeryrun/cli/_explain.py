"""Subcommand that tells the story of one request from the lines of many nodes."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import Any

import click
import msgspec

from celeryrun.exception import NoAnswerError

__all__ = ["explain", "story"]

HIDDEN = frozenset({"time", "node", "event", "request"})


def story(lines: Iterable[str], request: str) -> list[str]:
    """Return the lines about a request, in order of time, each as one sentence.

    Parameters
    ----------
    lines : iterable of str
        Of any nodes, in any order; what precedes the JSON object of a line is passed over.

    Examples
    --------
    >>> story(['n1 {"time":"t2","node":"b","event":"answered","request":"x","status":200}'], "x")
    ['t2 b answered status=200']
    """
    found = []
    for line in lines:
        event = _decode(line)
        if event is not None and event.get("request") == request:
            fields = " ".join(
                f"{name}={value}"
                for name, value in event.items()
                if name not in HIDDEN and value is not None
            )
            head = f"{event.get('time')} {event.get('node')} {event.get('event')}"
            found.append(f"{head} {fields}".rstrip())
    return sorted(found)


def _decode(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        event = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        # A line of another program, or one that was cut.
        return None
    return event if isinstance(event, dict) else None


@click.command()
@click.argument("request")
def explain(request: str) -> None:
    """Tell the story of REQUEST from the log lines of any nodes on standard input."""
    lines = story(sys.stdin, request)
    if not lines:
        raise NoAnswerError(f"no line about {request!r}; give the logs of all nodes")
    for line in lines:
        click.echo(line)
