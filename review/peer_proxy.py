"""Proxy before one gateway's peer address, and a store stand-in that hands out its address."""

from __future__ import annotations

import asyncio
import contextlib
import json

from standins.store import HOST, StoreStandIn


class PeerProxy:
    """Forwards the links of other gateways to one gateway; the open ones can fall silent."""

    def __init__(self) -> None:
        self.target = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._links: list[_Link] = []

    async def start(self) -> None:
        """Start to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop, and close all links."""
        if self._server is not None:
            self._server.close()
        for link in self._links:
            link.close()

    def silence_open_link(self, node: str) -> None:
        """Let the open link of a gateway fall silent for good, without a reset; new ones work."""
        for link in self._links:
            if node.encode() in link.beginning:
                link.is_silent = True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            upstream, up_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writer, up_writer)
        self._links.append(link)
        await asyncio.gather(link.forward(reader, up_writer), link.forward(upstream, writer))


class _Link:
    def __init__(self, near: asyncio.StreamWriter, far: asyncio.StreamWriter) -> None:
        self._near, self._far = near, far
        self.is_silent = False
        self.beginning = b""  # of what the near end has sent, with its name

    def close(self) -> None:
        for writer in (self._near, self._far):
            writer.transport.abort()

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                if writer is self._far and not self.beginning:
                    self.beginning = data[:64]
                if not self.is_silent:
                    writer.write(data)
                    await writer.drain()
        if not self.is_silent:
            self.close()


class ProxyingStore(StoreStandIn):
    """Store whose record of one gateway's peer address names the proxy before it."""

    def __init__(self) -> None:
        super().__init__()
        self.proxies: dict[str, PeerProxy] = {}

    def append(self, topic: str, record: bytes) -> int:
        """Append a record, with the proxy's address in that of a gateway behind one."""
        end = 1 + record[0] if record else 0
        name = record[1:end].decode(errors="replace").removeprefix("node.")
        if topic == "keyed.status" and name in self.proxies and record[end:]:
            proxy, value = self.proxies[name], json.loads(record[end:])
            proxy.target = int(value["address"].rpartition(":")[2])
            value["address"] = f"{HOST}:{proxy.port}"
            record = record[:end] + json.dumps(value).encode()
        return super().append(topic, record)
