"""Structured logs: one JSON object a line."""

from __future__ import annotations

import sys
from contextlib import AbstractContextManager
from typing import Any, TextIO

import logbook
import msgspec

__all__ = ["json_handler", "request_context"]

LEVEL_BY_NAME = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}


def json_handler(node: str, level: str, stream: TextIO = sys.stderr) -> logbook.Handler:
    """Return a handler that writes JSON lines.

    Parameters
    ----------
    node : str
        Name of this node, written on each line.
    level : str
        Least level: ``debug``, ``info``, ``warning`` or ``error``.
    stream : file
        Where to write.
    """
    handler = logbook.StreamHandler(stream, level=LEVEL_BY_NAME[level])
    handler.formatter = lambda record, _: _format(node, record)
    return handler


def request_context(request_id: str, workspace: str) -> AbstractContextManager[Any]:
    """Put a request's id and workspace on every line logged inside the context."""

    def inject(record: logbook.LogRecord) -> None:
        record.extra["request_id"] = request_id
        record.extra["workspace"] = workspace

    return logbook.Processor(inject).threadbound()


def _format(node: str, record: logbook.LogRecord) -> str:
    line = {
        "time": record.time.isoformat() + "Z",
        "level": record.level_name.lower(),
        "node": node,
        "from": record.channel,
        "message": record.message,
        **{key: str(value) for key, value in record.extra.items()},
    }
    if record.formatted_exception:
        line["exception"] = record.formatted_exception
    return msgspec.json.encode(line).decode()
