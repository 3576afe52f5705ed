"""Watching for callers that hang up while their thread waits."""

from __future__ import annotations

import select
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

__all__ = ["DisconnectWatcher"]

POLL_PERIOD = 0.1  # s
HANGUP_EVENTS = select.POLLHUP | select.POLLERR | select.POLLRDHUP | select.POLLNVAL


class DisconnectWatcher:
    """Service that polls the sockets of waiting callers."""

    __slots__ = ("_callback_by_fd", "_lock", "_stopped")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._callback_by_fd: dict[int, Callable[[], None]] = {}

    def start(self) -> None:
        """Begin polling."""
        threading.Thread(target=self._run, name="hangups", daemon=True).start()

    def stop(self) -> None:
        """End polling."""
        self._stopped.set()

    @contextmanager
    def watching(
        self, connection: socket.socket | None, callback: Callable[[], None]
    ) -> Iterator[None]:
        """Call back once if the peer hangs up inside the context."""
        if connection is None:
            yield
            return
        fd = connection.fileno()
        with self._lock:
            self._callback_by_fd[fd] = callback
        try:
            yield
        finally:
            with self._lock:
                self._callback_by_fd.pop(fd, None)

    def _run(self) -> None:
        while not self._stopped.wait(POLL_PERIOD):
            for callback in self._gone():
                callback()

    def _gone(self) -> list[Callable[[], None]]:
        poller = select.poll()
        with self._lock:
            for fd in self._callback_by_fd:
                poller.register(fd, HANGUP_EVENTS)
            gone = [fd for fd, event in poller.poll(0) if event & HANGUP_EVENTS]
            return [self._callback_by_fd.pop(fd) for fd in gone]
