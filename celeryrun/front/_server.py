"""HTTP server that stops without interrupting a request."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any

import cheroot.wsgi
import logbook

from celeryrun.transport import ignore_new_connections

__all__ = ["Server"]

log = logbook.Logger("http")

POLL_INTERVAL = 0.05  # s
READ_TIMEOUT = 2  # s for a complete request to arrive on an open connection


class Server(cheroot.wsgi.Server):
    """HTTP server with a fixed number of threads that drains before it stops.

    Attributes
    ----------
    draining : bool
        Whether each response asks the caller to close its connection.
    """

    draining = False

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether a connection may stay open after a response."""
        return not self.draining and bool(super().can_add_keepalive_connection)

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log an error message of the server as a warning."""
        exc_info = sys.exc_info() if traceback else None
        log.warning("{}", str(msg).strip(), exc_info=exc_info)

    def finish(self, is_idle: Callable[[], bool]) -> None:
        """Stop accepting connections, answer all accepted requests, then stop.

        Parameters
        ----------
        is_idle : callable
            Returns whether no request is in progress.
        """
        self.draining = True
        self._close_listener()
        self._wait_for_workers(is_idle)
        self.ready = False
        manager: Any = self._connections  # type: ignore[attr-defined]
        manager.stop()
        while self._process_readable(manager):
            self._wait_for_workers(is_idle)
        self._close_idle_connections(manager)
        self._wait_for_workers(is_idle)
        self.ready = True
        self.shutdown_timeout = READ_TIMEOUT
        self.socket: Any = None
        self.stop()

    def _close_listener(self) -> None:
        manager: Any = self._connections  # type: ignore[attr-defined]
        listener = self.socket
        manager._selector.unregister(listener.fileno())
        ignore_new_connections(listener)
        listener.setblocking(False)
        while (connection := manager._from_server_socket(listener)) is not None:
            self.process_conn(connection)
        listener.close()

    def _process_readable(self, manager: Any) -> int:
        """Process open connections with a pending request; return their number."""
        processed = 0
        for fd, connection in list(manager._selector.select(timeout=0)):
            if connection is not self:
                manager._selector.unregister(fd)
                self.process_conn(connection)
                processed += 1
        return processed

    def _close_idle_connections(self, manager: Any) -> None:
        """Close all open connections; a request that arrived during a wait would stay unread."""
        for fd, connection in list(manager._selector.connections):
            if connection is not self:
                manager._selector.unregister(fd)
                connection.close()

    def _wait_for_workers(self, is_idle: Callable[[], bool]) -> None:
        """Wait until each worker is idle or only waits for a request on an open connection."""
        busy_until = time.monotonic()
        while True:
            if not is_idle() or self.requests.qsize:
                busy_until = time.monotonic()
            elif self.requests.idle >= self.requests.min:
                return
            elif time.monotonic() - busy_until > READ_TIMEOUT:
                return
            time.sleep(POLL_INTERVAL)
