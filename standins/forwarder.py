"""TCP forwarder that can silently discard the traffic of its open connections."""

from __future__ import annotations

import socket
import threading
from contextlib import suppress

__all__ = ["Forwarder"]

RECEIVE_BYTES = 65_536


class Forwarder:
    """Forwards TCP connections from a loopback port to one target.

    Parameters
    ----------
    port : int
        Port of the target on the loopback address.

    Attributes
    ----------
    connection_count : int
        Number of accepted connections.
    """

    def __init__(self, port: int) -> None:
        self.target = ("127.0.0.1", port)
        self.generation = 0
        self.connection_count = 0
        self.sockets: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def blackhole_open_connections(self) -> None:
        """Discard all further bytes of the connections that are open now; new ones work."""
        self.generation += 1

    def close(self) -> None:
        """Close the listener and all connections."""
        for endpoint in (self.listener, *self.sockets):
            with suppress(OSError):
                endpoint.shutdown(socket.SHUT_RDWR)
            endpoint.close()

    def accept_connections(self) -> None:
        """Accept connections until closed."""
        while True:
            try:
                downstream, _ = self.listener.accept()
                upstream = socket.create_connection(self.target)
            except OSError:
                return
            self.connection_count += 1
            self.sockets += [downstream, upstream]
            for ends in ((downstream, upstream), (upstream, downstream)):
                arguments = (*ends, self.generation)
                threading.Thread(target=self.forward_bytes, args=arguments, daemon=True).start()

    def forward_bytes(self, source: socket.socket, sink: socket.socket, generation: int) -> None:
        """Forward bytes in one direction."""
        with suppress(OSError):
            while data := source.recv(RECEIVE_BYTES):
                if generation == self.generation:
                    sink.sendall(data)
            if generation == self.generation:
                sink.shutdown(socket.SHUT_RDWR)
