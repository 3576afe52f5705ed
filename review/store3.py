"""Store stand-in with a second listener, behind which the paths between nodes lead over proxies."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any

from celeryrun.transport import CallerConnection, ReceivedRequest
from standins.store import StoreStandIn, listen

__all__ = ["StoreBehindProxies"]


class StoreBehindProxies(StoreStandIn):
    """Store with one more listener, whose node gets the addresses of proxies before the others."""

    def __init__(self) -> None:
        super().__init__()
        self.port_by_peer_port: dict[int, int] = {}
        self.connections: set[CallerConnection] = set()
        self.other_port = 0
        self._other: asyncio.Server | None = None

    async def start(self) -> None:
        """Open both listeners."""
        await super().start()
        self._other, self.other_port = await listen(self._serve_other, self.connections)

    async def heal(self) -> None:
        """Open the second listener again."""
        self._other, _ = await listen(self._serve_other, self.connections, self.other_port)

    def cut(self) -> None:
        """Cut the path of the node behind the second listener."""
        assert self._other is not None
        self._other.close()
        for connection in list(self.connections):
            connection.abort()

    async def _serve_other(self, connection: CallerConnection, request: ReceivedRequest) -> None:
        await self._serve(_Rewriting(connection, self._rewrite), request)  # type: ignore[arg-type]

    def _rewrite(self, data: bytes) -> bytes:
        """Replace addresses by others of the same length."""
        if data.startswith(b'{"items"'):
            page = json.loads(data)
            for item in page["items"]:
                value = self._rewrite(base64.b64decode(item["value"]))
                item["value"] = base64.b64encode(value).decode()
            return json.dumps(page).encode()
        for peer, proxy in self.port_by_peer_port.items():
            data = data.replace(b":%d" % peer, b":%d" % proxy)
        return data


class _Rewriting:
    """Connection whose responses are rewritten."""

    def __init__(self, connection: CallerConnection, rewrite: Any) -> None:
        self._connection, self._rewrite = connection, rewrite

    def write(self, data: bytes) -> None:
        self._connection.write(self._rewrite(data))

    def abort(self) -> None:
        self._connection.abort()
