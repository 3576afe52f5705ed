"""Target that plays a given script of bytes and pauses on each connection."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Sequence
from contextlib import suppress

__all__ = ["STAY_SILENT", "ScriptedTarget", "trickle"]

STAY_SILENT = object()  # stay silent from here on
RECEIVE_BYTES = 65_536

Step = bytes | float | object


def trickle(data: bytes, pause: float) -> list[Step]:
    """Return steps that send one byte at a time."""
    steps: list[Step] = []
    for number in data:
        steps += [bytes([number]), pause]
    return steps


class ScriptedTarget:
    """Plays one script a connection, the last one again for all later connections.

    Parameters
    ----------
    scripts : sequence of sequences
        Bytes are sent, numbers are pauses in seconds, `STAY_SILENT` is silence; then the
        connection ends.

    Attributes
    ----------
    requests : list of bytes
        What was received, by connection.
    """

    def __init__(self, *scripts: Sequence[Step]) -> None:
        self.scripts = scripts
        self.requests: list[bytes] = []
        self.closed = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.run, daemon=True).start()

    def __enter__(self) -> ScriptedTarget:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """End, so that connections are refused."""
        self.closed.set()
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def run(self) -> None:
        """Take connections until closed."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            number = len(self.requests)
            self.requests.append(b"")
            script = self.scripts[min(number, len(self.scripts) - 1)]
            threading.Thread(
                target=self.play, args=(connection, number, script), daemon=True
            ).start()

    def play(self, connection: socket.socket, number: int, script: Sequence[Step]) -> None:
        """Read one request and play a script."""
        with connection:
            self.requests[number] = read_request(connection)
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
    """Read head and body of one request."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(RECEIVE_BYTES)
        if not part:
            return data
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    lines = [
        line.split(b":")[1] for line in head.lower().split(b"\r\n") if b"content-length" in line
    ]
    while lines and len(body) < int(lines[0]):
        body += connection.recv(RECEIVE_BYTES)
    return head + b"\r\n\r\n" + body
