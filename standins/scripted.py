"""Target that sends a scripted sequence of bytes and pauses on each connection."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Sequence
from contextlib import suppress

__all__ = ["STAY_SILENT", "ScriptedTarget", "trickle"]

STAY_SILENT = object()  # step of a script: send nothing more and keep the connection open
RECEIVE_BYTES = 65_536

Step = bytes | float | object


def trickle(data: bytes, pause: float) -> list[Step]:
    """Return steps that send one byte at a time, each followed by a pause in seconds."""
    steps: list[Step] = []
    for byte in data:
        steps += [bytes([byte]), pause]
    return steps


class ScriptedTarget:
    """Plays one script per connection; the last script repeats for later connections.

    Parameters
    ----------
    scripts : sequence of sequences
        Steps of each script: bytes to send, floats as pauses in seconds, or `STAY_SILENT`. The
        connection is closed after the last step.

    Attributes
    ----------
    requests : list of bytes
        Request received on each connection, in the order of the connections.
    """

    def __init__(self, *scripts: Sequence[Step]) -> None:
        self.scripts = scripts
        self.requests: list[bytes] = []
        self.closed = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def __enter__(self) -> ScriptedTarget:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Stop listening, so that new connections are refused."""
        self.closed.set()
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def accept_connections(self) -> None:
        """Accept connections until closed."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            index = len(self.requests)
            self.requests.append(b"")
            script = self.scripts[min(index, len(self.scripts) - 1)]
            threading.Thread(
                target=self.play_script, args=(connection, index, script), daemon=True
            ).start()

    def play_script(self, connection: socket.socket, index: int, script: Sequence[Step]) -> None:
        """Read one request and play a script."""
        with connection:
            self.requests[index] = read_request(connection)
            for step in script:
                if isinstance(step, bytes):
                    try:
                        connection.sendall(step)
                    except OSError:
                        return
                elif isinstance(step, float):
                    time.sleep(step)
                else:
                    self.closed.wait()


def read_request(connection: socket.socket) -> bytes:
    """Read the head and the body of one request."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = connection.recv(RECEIVE_BYTES)
        if not chunk:
            return data
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    content_lengths = [
        line.split(b":")[1] for line in head.lower().split(b"\r\n") if b"content-length" in line
    ]
    while content_lengths and len(body) < int(content_lengths[0]):
        body += connection.recv(RECEIVE_BYTES)
    return head + b"\r\n\r\n" + body
