"""HTTP server that stops without cutting a request."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from celeryrun.observe import LoggedServer

__all__ = ["Server"]

POLL_PERIOD = 0.05  # s
READ_PATIENCE = 2  # s for a connection on which no whole request has come


class Server(LoggedServer):
    """Server with a fixed number of threads that drains before it stops.

    Attributes
    ----------
    draining : bool
        Whether callers are told to close their connection with each answer.
    """

    draining = False

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether a connection may be kept open after an answer."""
        return not self.draining and bool(super().can_add_keepalive_connection)

    def finish(self, is_idle: Callable[[], bool]) -> None:
        """Stop accepting, answer everything that was accepted, and stop.

        Parameters
        ----------
        is_idle : callable
            Tells whether no request is being answered.
        """
        self.draining = True
        self._close_listener()
        self._wait_for_workers(is_idle)
        self.ready = False
        manager: Any = self._connections  # type: ignore[attr-defined]
        manager.stop()
        while self._take_readable(manager):
            self._wait_for_workers(is_idle)
        self._close_kept(manager)
        self._wait_for_workers(is_idle)
        self.ready = True
        self.shutdown_timeout = READ_PATIENCE
        self.socket: Any = None
        self.stop()

    def _close_listener(self) -> None:
        # Closing the listener resets what the kernel has accepted and nobody has taken.
        manager: Any = self._connections  # type: ignore[attr-defined]
        listener = self.socket
        manager._selector.unregister(listener.fileno())
        listener.setblocking(False)
        while (connection := manager._from_server_socket(listener)) is not None:
            self.process_conn(connection)
        listener.close()

    def _take_readable(self, manager: Any) -> int:
        """Serve kept connections on which a request came meanwhile; returns how many."""
        taken = 0
        for fd, connection in list(manager._selector.select(timeout=0)):
            if connection is not self:
                manager._selector.unregister(fd)
                self.process_conn(connection)
                taken += 1
        return taken

    def _close_kept(self, manager: Any) -> None:
        """Close the kept connections at once: waiting first would leave requests unread."""
        for fd, connection in list(manager._selector.connections):
            if connection is not self:
                manager._selector.unregister(fd)
                connection.close()

    def _wait_for_workers(self, is_idle: Callable[[], bool]) -> None:
        """Wait until every worker is idle, or only reads a connection that stays empty."""
        since = time.monotonic()
        while True:
            if not is_idle() or self.requests.qsize:
                since = time.monotonic()
            elif self.requests.idle >= self.requests.min:
                return
            elif time.monotonic() - since > READ_PATIENCE:
                return
            time.sleep(POLL_PERIOD)
