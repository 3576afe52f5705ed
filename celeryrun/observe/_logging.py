"""Structured logs with one JSON object per line."""

from __future__ import annotations

import sys
import threading
from contextlib import AbstractContextManager
from types import TracebackType
from typing import Any, TextIO

import logbook
import logbook.compat
import msgspec

__all__ = ["json_handler", "redirect_errors_to_log", "request_context"]

process_log = logbook.Logger("process")

LEVEL_BY_NAME = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}


def json_handler(node: str, level: str, stream: TextIO = sys.stderr) -> logbook.Handler:
    """Return a log handler that writes one JSON object per line.

    Parameters
    ----------
    node : str
        Name of this node, added to each line.
    level : str
        Lowest level that is logged: ``debug``, ``info``, ``warning`` or ``error``.
    stream : file
        Output stream.
    """
    handler = logbook.StreamHandler(stream, level=LEVEL_BY_NAME[level])
    handler.formatter = lambda record, _: _format(node, record)
    return handler


def redirect_errors_to_log() -> None:
    """Log uncaught exceptions, warnings and messages of the standard `logging` module."""
    sys.excepthook = _log_uncaught_exception
    threading.excepthook = lambda args: _log_uncaught_exception(
        args.exc_type, args.exc_value or args.exc_type(), args.exc_traceback
    )
    logbook.compat.redirect_logging()
    logbook.compat.redirect_warnings()


def _log_uncaught_exception(
    exception_type: type[BaseException], error: BaseException, traceback: TracebackType | None
) -> None:
    process_log.critical(
        "uncaught {}", exception_type.__name__, exc_info=(exception_type, error, traceback)
    )


def request_context(request_id: str, workspace: str) -> AbstractContextManager[Any]:
    """Add a request's id and workspace to every line logged inside the context."""

    def add_fields(record: logbook.LogRecord) -> None:
        record.extra["request_id"] = request_id
        record.extra["workspace"] = workspace

    return logbook.Processor(add_fields)


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
