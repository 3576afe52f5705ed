"""TCP forwarder that loses track of its open connections on command."""

from __future__ import annotations

import socket
import threading
from contextlib import suppress

__all__ = ["Forwarder"]

RECEIVE_BYTES = 65_536


class Forwarder:
    """Passes bytes between callers and one target.

    Parameters
    ----------
    port : int
        The target's, on loopback.

    Attributes
    ----------
    connection_count : int
        How many were opened.
    """

    def __init__(self, port: int) -> None:
        self.target = ("127.0.0.1", port)
        self.generation = 0
        self.connection_count = 0
        self.sockets: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.run, daemon=True).start()

    def blackhole_open_connections(self) -> None:
        """Lose every byte on the connections that are open now; new ones work."""
        self.generation += 1

    def close(self) -> None:
        """Close everything."""
        for item in (self.listener, *self.sockets):
            with suppress(OSError):
                item.shutdown(socket.SHUT_RDWR)
            item.close()

    def run(self) -> None:
        """Take connections until closed."""
        while True:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection(self.target)
            except OSError:
                return
            self.connection_count += 1
            self.sockets += [near, far]
            for ends in ((near, far), (far, near)):
                arguments = (*ends, self.generation)
                threading.Thread(target=self.pump, args=arguments, daemon=True).start()

    def pump(self, source: socket.socket, sink: socket.socket, generation: int) -> None:
        """Pass bytes one way."""
        with suppress(OSError):
            while data := source.recv(RECEIVE_BYTES):
                if generation == self.generation:
                    sink.sendall(data)
            if generation == self.generation:
                sink.shutdown(socket.SHUT_RDWR)
