"""Links from some gateways to the runners that can be cut, and their view of the store."""

from __future__ import annotations

import asyncio
import base64
import json
import socket
import struct
from contextlib import suppress
from typing import Any

from standins.store import HOST, StoreStandIn

__all__ = ["CUTS", "CuttableLink", "StoreView"]

CUTS = ("hang", "refuse", "reset", "refuse-new")
RECEIVE_BYTES = 65_536
SERVERS_TOPIC = "keyed.servers"


class CuttableLink:
    """Forwards connections to a port until it is cut.

    Parameters
    ----------
    port : int
        Port of a runner on the loopback address.

    Attributes
    ----------
    port : int
        Port that stands for it.
    """

    def __init__(self, port: int) -> None:
        self._target = port
        self._server: asyncio.Server | None = None
        self._full: list[socket.socket] = []
        self._open: set[asyncio.StreamWriter] = set()
        self._passes = asyncio.Event()
        self._passes.set()
        self.port = 0

    async def start(self) -> None:
        """Forward from the port, a free one at first."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, reuse_address=True, backlog=100
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self, how: str) -> None:
        """Cut the link: connects hang, are refused, or only new ones are, or all are reset."""
        assert self._server is not None
        self._server.close()
        if how == "hang":
            self._passes.clear()
            self._fill_backlog()
        if how == "reset":
            for writer in list(self._open):
                writer.transport.abort()

    async def mend(self) -> None:
        """Forward again, on open connections too."""
        for sock in self._full:
            sock.close()
        self._full.clear()
        self._passes.set()
        await self.start()

    def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for sock in self._full:
            sock.close()
        for writer in list(self._open):
            writer.transport.abort()

    def _fill_backlog(self) -> None:
        """Listen without accepting, and leave no room, so that the system drops further SYNs."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, self.port))
        listener.listen(0)
        self._full.append(listener)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self._full.append(filler)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(HOST, self._target)
        except OSError:
            writer.transport.abort()
            return
        self._open |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward(reader, target_writer), self._forward(target_reader, writer)
            )
        finally:
            for each in (writer, target_writer):
                self._open.discard(each)
                each.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while data := await reader.read(RECEIVE_BYTES):
                await self._passes.wait()
                writer.write(data)
                await writer.drain()
        with suppress(OSError):
            writer.write_eof()


class StoreView(StoreStandIn):
    """The same store at another port, which names other ports for the runners."""

    def __init__(self, store: StoreStandIn, port_by_runner_port: dict[int, int]) -> None:
        super().__init__()
        self._store = store
        self._port_by_runner_port = port_by_runner_port
        self.topics = store.topics

    async def _handle_call(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        status, data = await self._store._handle_call(path, query, body)
        if query.get("topic") == SERVERS_TOPIC and status == 200:
            if path.endswith("log-newest"):
                page = json.loads(data)
                for item in page["items"]:
                    value = base64.b64decode(item["value"])
                    item["value"] = base64.b64encode(self._replace_port(value)).decode()
                data = json.dumps(page).encode()
            elif path.endswith("log-read"):
                data = self._rewrite_records(data)
        return status, data

    def _rewrite_records(self, data: bytes) -> bytes:
        rewritten, rest = data[:16], data[16:]
        while rest:
            (length,) = struct.unpack_from(">I", rest)
            record, rest = rest[4 : 4 + length], rest[4 + length :]
            end = 1 + record[0]
            record = record[:end] + self._replace_port(record[end:])
            rewritten += struct.pack(">I", len(record)) + record
        return rewritten

    def _replace_port(self, value: bytes) -> bytes:
        if not value:
            return value
        entry: dict[str, Any] = json.loads(value)
        host, _, port = entry["address"].rpartition(":")
        entry["address"] = f"{host}:{self._port_by_runner_port.get(int(port), port)}"
        return json.dumps(entry).encode()
