"""Detection of callers that disconnect while their request waits or runs."""

from __future__ import annotations

import select
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

__all__ = ["DisconnectWatcher"]

POLL_INTERVAL = 0.1  # s
DISCONNECT_EVENTS = select.POLLHUP | select.POLLERR | select.POLLRDHUP | select.POLLNVAL


class DisconnectWatcher:
    """Service that polls callers' sockets for disconnects."""

    __slots__ = ("_callback_by_fd", "_lock", "_stopped")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._callback_by_fd: dict[int, Callable[[], None]] = {}

    def start(self) -> None:
        """Begin polling."""
        threading.Thread(target=self._run, name="disconnect-watcher", daemon=True).start()

    def stop(self) -> None:
        """End polling."""
        self._stopped.set()

    @contextmanager
    def watching(
        self, connection: socket.socket | None, callback: Callable[[], None]
    ) -> Iterator[None]:
        """Call a function once if the caller disconnects inside the context.

        Parameters
        ----------
        connection : socket or None
            The caller's socket; None watches nothing.
        callback : callable
            Called in the polling thread.
        """
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
        while not self._stopped.wait(POLL_INTERVAL):
            for callback in self._pop_disconnected():
                callback()

    def _pop_disconnected(self) -> list[Callable[[], None]]:
        poller = select.poll()
        with self._lock:
            for fd in self._callback_by_fd:
                poller.register(fd, DISCONNECT_EVENTS)
            disconnected = [fd for fd, event in poller.poll(0) if event & DISCONNECT_EVENTS]
            return [self._callback_by_fd.pop(fd) for fd in disconnected]
