"""Loopback TCP proxy that can delay, reset or block its connections."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

__all__ = ["Proxy"]

HOST = "127.0.0.1"
CHUNK_SIZE = 65536  # bytes of one read
POLL_INTERVAL = 0.05  # s between two checks of a blocked direction


class Proxy:
    """Forwards connections to one loopback port.

    Attributes
    ----------
    delay : float
        Delay of each chunk, in seconds.
    blocked_directions : set of str
        Directions in which no bytes pass: ``up``, from the client, and ``down``, to the client.
    """

    def __init__(self, port: int) -> None:
        self.target_port = port
        self.port = 0
        self.delay = 0.0
        self.blocked_directions: set[str] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and abort every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Abort every connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: Any, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        upstream_writer: asyncio.StreamWriter | None = None
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(HOST, self.target_port)
            self._writers.add(upstream_writer)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._forward(reader, upstream_writer, "up"))
                tasks.create_task(self._forward(upstream_reader, writer, "down"))
        except (OSError, ExceptionGroup):
            # Failures of either connection are part of the simulated faults.
            pass
        finally:
            for open_writer in (writer, upstream_writer):
                if open_writer is not None:
                    self._writers.discard(open_writer)
                    open_writer.transport.abort()

    async def _forward(self, reader: Any, writer: asyncio.StreamWriter, direction: str) -> None:
        while data := await reader.read(CHUNK_SIZE):
            if self.delay:
                await asyncio.sleep(self.delay)
            while direction in self.blocked_directions:
                await asyncio.sleep(POLL_INTERVAL)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
