"""Runner as a process of its own, whose answers have no length and end with their connection.

It registers with the store, writes its entry again with each heartbeat, and reports that it is
draining once it reads a line from its standard input. It then serves for the drain time and as
long as it has requests in progress, and exits.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import struct
import sys
import time

from standins.store import HOST, listen

__all__ = ["PIECES", "whole_body"]

PIECES = 20
PIECE_INTERVAL = 0.2  # s
HEARTBEAT = 1.2  # s
DRAIN_TIME = 2.0  # s
LINGER = 1.5  # s beyond the drain time


def whole_body(attempt_id: str, is_stream: bool) -> bytes:
    """Return the whole answer to a request."""
    return b"".join(_format_piece(attempt_id, is_stream, number) for number in range(PIECES))


def _format_piece(attempt_id: str, is_stream: bool, number: int) -> bytes:
    text = f"{attempt_id} piece {number + 1} of {PIECES}\n"
    return (f"id: {number + 1}\ndata: {text}\n" if is_stream else text).encode()


class Runner:
    """One runner, which serves a request for each connection."""

    def __init__(self, id: str, service: str, store: int) -> None:
        self._id = id
        self._service = service
        self._store = store
        self._port = 0
        self._sequence = 0
        self._state = "ready"
        self._running = 0
        self._born = int(time.time() * 1000)

    async def run(self) -> None:
        """Serve until a line on standard input, and then as long as a draining runner does."""
        _, self._port = await listen(self._serve)
        beats = asyncio.create_task(self._write_heartbeats())
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        if not await reader.readline():
            return
        self._state = "draining"
        await self._register()
        print("draining", flush=True)
        await asyncio.sleep(DRAIN_TIME + LINGER)
        while self._running:
            await asyncio.sleep(0.05)
        beats.cancel()
        await self._write(b"")

    async def _write_heartbeats(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                await self._register()
            await asyncio.sleep(HEARTBEAT)

    async def _register(self) -> None:
        self._sequence += 1
        entry = {
            "service": self._service,
            "address": f"{HOST}:{self._port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": self._state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        await self._write(json.dumps(entry).encode())

    async def _write(self, value: bytes) -> None:
        """Append a value, or the removal of the entry, to the store and wait for its answer."""
        record = bytes([len(self._id)]) + self._id.encode() + value
        body = struct.pack(">I", len(record)) + record
        reader, writer = await asyncio.open_connection(HOST, self._store)
        writer.write(
            b"POST /celeryrun/log-append?topic=keyed.servers&part=0 HTTP/1.1\r\nHost: store\r\n"
            b"Connection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        await reader.read()
        writer.close()

    async def _serve(self, connection, request) -> None:
        headers = dict(request.head.headers)
        if headers.get(b"celeryrun-expect-instance") != self._id.encode():
            connection.write(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
            return
        attempt_id = headers[b"celeryrun-attempt-id"].decode()
        is_stream = request.head.request_target.startswith(b"/drafts/")
        content_type = b"text/event-stream" if is_stream else b"text/plain"
        print(f"runs {attempt_id}", flush=True)
        self._running += 1
        try:
            connection.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: %b\r\nConnection: close\r\n"
                b"Celeryrun-Attempt-Id: %b\r\nCeleryrun-Response-Seal: seal-%b\r\n\r\n"
                % (content_type, attempt_id.encode(), self._id.encode())
            )
            for number in range(PIECES):
                connection.write(_format_piece(attempt_id, is_stream, number))
                await asyncio.sleep(PIECE_INTERVAL)
            print(f"ended {attempt_id}", flush=True)
            connection.transport.close()
        finally:
            self._running -= 1


if __name__ == "__main__":
    asyncio.run(Runner(sys.argv[1], sys.argv[2], int(sys.argv[3])).run())
