"""Stand-in metadata store that speaks the published protocol of a log with keyed topics.

Faults: ``down`` (connections are reset), ``silent`` (no answer), ``busy`` (503), ``lose`` (a count
of calls that are executed and not answered).
"""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from celeryrun.catalog import CallerLimits
from celeryrun.transport import CallerConnection, ReceivedRequest, format_head

__all__ = ["StoreStandIn", "Topic", "listen", "send_response"]

HOST = "127.0.0.1"
PAGE = 500  # records of one page


@dataclass
class Topic:
    """Records of the one partition of a topic."""

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)

    @property
    def end(self) -> int:
        """Offset that the next record will get."""
        return self.first + len(self.records)


async def listen(
    handler: Any, connections: set[CallerConnection] | None = None, port: int = 0
) -> tuple[asyncio.Server, int]:
    """Serve HTTP on a loopback port, a free one by default, with a handler of whole requests.

    Parameters
    ----------
    connections : set of CallerConnection, optional
        Holds those that are open.
    """
    loop = asyncio.get_running_loop()
    held = set() if connections is None else connections

    def connect() -> CallerConnection:
        connection = CallerConnection(
            handler, lambda: CallerLimits(idle_timeout=60.0), lambda: False, held.discard
        )
        held.add(connection)
        return connection

    server = await loop.create_server(connect, HOST, port)
    return server, server.sockets[0].getsockname()[1]


def send_response(
    connection: CallerConnection, status: int, body: bytes, head_only: bool = False, **headers: str
) -> None:
    """Write a whole answer, or only its head as to a HEAD request."""
    fields = [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]
    fields.append((b"Content-Length", b"%d" % len(body)))
    connection.write(format_head(b"HTTP/1.1 %d Answer" % status, fields))
    if not head_only:
        connection.write(body)


class StoreStandIn:
    """The store.

    Attributes
    ----------
    faults : set of str
        Those in force.
    calls : list of str
        Paths called.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.changed = asyncio.Event()
        self.faults: set[str] = set()
        self.lost_responses = 0
        self.calls: list[str] = []
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin serving."""
        self._server, self.port = await listen(self._serve)

    def stop(self) -> None:
        """End."""
        if self._server is not None:
            self._server.close()

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write a keyed record as the operator or a runner does; None drops the key."""
        body = b"" if value is None else value if isinstance(value, bytes) else _json(value)
        self.append(topic, bytes([len(key)]) + key.encode() + body)

    def append(self, topic: str, record: bytes) -> int:
        """Append a record and return its offset."""
        known = self.topics.setdefault(topic, Topic())
        known.records.append(record)
        if topic.startswith("keyed.") and record and len(record) > record[0]:
            end = 1 + record[0]
            key = record[1:end].decode()
            known.newest.pop(key, None)
            if record[end:]:
                known.newest[key] = (record[end:], known.end - 1)
        self.changed.set()
        self.changed = asyncio.Event()
        return known.end - 1

    def drop_history(self, topic: str) -> None:
        """Drop the history of a topic; the newest records stay."""
        known = self.topics[topic]
        known.first += len(known.records)
        known.records.clear()

    async def _serve(self, connection: CallerConnection, request: ReceivedRequest) -> None:
        url = urlsplit(request.head.request_target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.calls.append(url.path)
        if "down" in self.faults:
            connection.abort()
            return
        if "silent" in self.faults:
            await asyncio.sleep(3600)
        if "busy" in self.faults:
            send_response(connection, 503, b"{}")
            return
        status, body = await self._answer(url.path, query, request.body)
        if self.lost_responses > 0:
            self.lost_responses -= 1
            connection.abort()
            return
        send_response(connection, status, body)

    async def _answer(self, path: str, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        name = query.get("topic", "")
        topic = self.topics.setdefault(name, Topic())
        match path:
            case "/celeryrun/log-append":
                first = topic.end
                for record in _split(body):
                    self.append(name, record)
                return 200, _json({"offset": first, "end": topic.end})
            case "/celeryrun/log-newest":
                return 200, self._newest(topic, query.get("after", ""))
            case "/celeryrun/log-read":
                return await self._read(topic, query)
        return 404, b"{}"

    def _newest(self, topic: Topic, after: str) -> bytes:
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][0]).decode(),
                "offset": topic.newest[key][1],
            }
            for key in keys[:PAGE]
        ]
        return _json({"items": items, "morePages": len(keys) > PAGE, "end": topic.end})

    async def _read(self, topic: Topic, query: dict[str, str]) -> tuple[int, bytes]:
        start = int(query["from"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("waitMs", "0")) / 1000
        while start >= topic.end and loop.time() < until:
            try:
                async with asyncio.timeout(until - loop.time()):
                    await self.changed.wait()
            except TimeoutError:
                break
        if start < topic.first:
            return 410, _json({"first": topic.first})
        records = topic.records[start - topic.first :]
        raw = b"".join(struct.pack(">I", len(record)) + record for record in records)
        return 200, struct.pack(">QQ", topic.end, topic.first) + raw


def _split(body: bytes) -> list[bytes]:
    records = []
    while body:
        (length,) = struct.unpack_from(">I", body)
        records.append(body[4 : 4 + length])
        body = body[4 + length :]
    return records


def _json(value: Any) -> bytes:
    return json.dumps(value).encode()
