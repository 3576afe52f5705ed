"""Structured event log: JSON lines on standard output, bounded and non-blocking."""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter, deque
from datetime import UTC, datetime
from typing import Any

import logbook
import msgspec

__all__ = ["EventHandler", "EventLog"]

FLUSH_INTERVAL = 0.1  # s; one write carries many lines
MAX_BUFFERED_LINES = 2000  # lines, about half a megabyte, while the output is blocked
MAX_BUFFERED_BYTES = 1 << 20  # of lines, which hold what callers send
MAX_CHARS = 500  # of a value that had to be escaped
MAX_LINES_PER_KIND = 60  # lines of one event kind between flushes; the rest is only counted


class EventLog:
    """Service that writes events as JSON lines.

    Parameters
    ----------
    node : str
        Name of the node, part of each line.
    descriptor : int
        File descriptor for output, set to non-blocking; standard output by default.
    """

    __slots__ = (
        "_buffered_bytes",
        "_counts_by_event",
        "_descriptor",
        "_flush_handle",
        "_omitted_by_event",
        "_lines",
        "_loop",
        "_node",
        "_partial",
    )

    def __init__(self, node: str, descriptor: int | None = None) -> None:
        self._node = node
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._partial = b""
        self._counts_by_event: Counter[str] = Counter()
        self._omitted_by_event: Counter[str] = Counter()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._flush_handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start periodic flushing."""
        os.set_blocking(self._descriptor, False)
        self._loop = asyncio.get_running_loop()
        self._schedule_flush()

    def stop(self) -> None:
        """Write the buffered lines as far as possible without blocking."""
        self._loop = None
        if self._flush_handle is not None:
            self._flush_handle.cancel()
        self.flush()

    def emit(self, event: str, **fields: Any) -> None:
        """Buffer one line.

        Parameters
        ----------
        event : str
            Kind of the event, listed in ``docs/OPERATIONS.md``.
        **fields
            Keys and values of the line.
        """
        self._schedule_flush()
        self._counts_by_event[event] += 1
        if self._counts_by_event[event] > MAX_LINES_PER_KIND or self._is_full():
            self._omitted_by_event[event] += 1
            return
        time = datetime.now(UTC).isoformat(timespec="milliseconds")
        line = {"time": time, "node": self._node, "event": event, **fields}
        self._append(_encode(line) + b"\n")

    def _append(self, line: bytes) -> None:
        self._lines.append(line)
        self._buffered_bytes += len(line)

    def _is_full(self) -> bool:
        return len(self._lines) >= MAX_BUFFERED_LINES or self._buffered_bytes >= MAX_BUFFERED_BYTES

    def flush(self) -> None:
        """Write the buffered lines until a write would block."""
        if self._omitted_by_event and not self._is_full():
            omitted_by_event, self._omitted_by_event = self._omitted_by_event, Counter()
            self._counts_by_event.clear()
            self.emit("events-left-out", **omitted_by_event)
        self._counts_by_event.clear()
        data = self._partial + b"".join(self._lines)
        self._lines.clear()
        self._buffered_bytes = 0
        if not data:
            return
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The output is closed, so the failure can't be logged either.
            written = len(data)
        self._requeue(data[written:])

    def _requeue(self, unwritten: bytes) -> None:
        """Buffer unwritten data again; its first line may be partly written."""
        first, newline, others = unwritten.partition(b"\n")
        self._partial = first + newline
        for line in others.split(b"\n"):
            if line:
                self._append(line + b"\n")

    def _schedule_flush(self) -> None:
        """Schedule a flush unless one is due; without lines no timer wakes the process."""
        if self._loop is not None and self._flush_handle is None:
            self._flush_handle = self._loop.call_later(FLUSH_INTERVAL, self._on_flush_due)

    def _on_flush_due(self) -> None:
        self._flush_handle = None
        self.flush()
        if self._partial or self._lines or self._omitted_by_event:
            self._schedule_flush()


def _encode(line: dict[str, Any]) -> bytes:
    """Encode a line; what JSON cannot hold, such as half a surrogate pair, is escaped."""
    try:
        return msgspec.json.encode(line, enc_hook=str)
    except (ValueError, OverflowError, RecursionError):
        return msgspec.json.encode({name: ascii(value)[:MAX_CHARS] for name, value in line.items()})


class EventHandler(logbook.Handler):
    """Handler that writes log records of libraries and other packages as events."""

    def __init__(self, events: EventLog, level: int) -> None:
        super().__init__(level=level)
        self._events = events

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a log record as a ``message`` event."""
        self._events.emit(
            "message",
            level=record.level_name.lower(),
            source=record.channel,
            text=record.message,
            error=record.formatted_exception,
        )
