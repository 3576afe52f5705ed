"""Stand-in metadata store that speaks the published protocol of a log with keyed topics.

Faults: ``down`` (connections are reset), ``silent`` (no response) and ``busy`` (503); besides, the
store can be restored from a copy.
"""

from __future__ import annotations

import asyncio
import base64
import copy
import json
import struct
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from celeryrun.catalog import CallerLimits
from celeryrun.transport import CallerConnection, ReceivedRequest, format_head

__all__ = ["StoreStandIn", "Topic", "listen", "send_response"]

HOST = "127.0.0.1"
PAGE_SIZE = 500  # records of one page


@dataclass
class Topic:
    """Topic with one partition."""

    records: list[bytes] = field(default_factory=list)
    first_offset: int = 0
    latest_by_key: dict[str, tuple[bytes, int]] = field(default_factory=dict)

    @property
    def end_offset(self) -> int:
        """Offset of the next record."""
        return self.first_offset + len(self.records)


async def listen(
    handler: Any, connections: set[CallerConnection] | None = None, port: int = 0
) -> tuple[asyncio.Server, int]:
    """Start an HTTP server on the loopback address; return it and its port.

    Parameters
    ----------
    handler : callable
        Coroutine function called with each connection and complete request.
    connections : set of CallerConnection, optional
        Set that holds the open connections.
    port : int
        0 for a free port.
    """
    loop = asyncio.get_running_loop()
    open_connections = set() if connections is None else connections

    def create_connection() -> CallerConnection:
        connection = CallerConnection(
            handler,
            lambda: CallerLimits(idle_timeout=60.0),
            lambda: False,
            open_connections.discard,
        )
        open_connections.add(connection)
        return connection

    server = await loop.create_server(create_connection, HOST, port)
    return server, server.sockets[0].getsockname()[1]


def send_response(
    connection: CallerConnection, status: int, body: bytes, head_only: bool = False, **headers: str
) -> None:
    """Write a response, or only its head for a HEAD request."""
    fields = [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]
    fields.append((b"Content-Length", b"%d" % len(body)))
    connection.write(format_head(b"HTTP/1.1 %d Answer" % status, fields))
    if not head_only:
        connection.write(body)


class StoreStandIn:
    """Metadata store with keyed topics.

    Attributes
    ----------
    faults : set of str
        Active faults.
    busy_topics : set of str
        Topics whose calls are answered 503, as if their partition were away.
    lost_responses : int
        Number of further calls that are executed but get no response.
    called_paths : list of str
        Path of each call received.
    era : int
        Sent with each response; rises with each restored copy.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.appended = asyncio.Event()
        self.faults: set[str] = set()
        self.busy_topics: set[str] = set()
        self.lost_responses = 0
        self.called_paths: list[str] = []
        self.era = 1
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start serving on a free port."""
        self._server, self.port = await listen(self._serve)

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def put(self, topic: str, key: str, value: Any) -> None:
        """Append a keyed record as operators and runners do; None deletes the key."""
        body = b"" if value is None else value if isinstance(value, bytes) else _json(value)
        self.append(topic, bytes([len(key.encode())]) + key.encode() + body)

    def append(self, topic: str, record: bytes) -> int:
        """Append a record and return its offset."""
        topic_log = self.topics.setdefault(topic, Topic())
        topic_log.records.append(record)
        if topic.startswith("keyed.") and record and len(record) > record[0]:
            end = 1 + record[0]
            key = record[1:end].decode(errors="surrogateescape")
            topic_log.latest_by_key.pop(key, None)
            if record[end:]:
                topic_log.latest_by_key[key] = (record[end:], topic_log.end_offset - 1)
        self.appended.set()
        self.appended = asyncio.Event()
        return topic_log.end_offset - 1

    def drop_history(self, topic: str) -> None:
        """Drop the records of a topic; the latest value of each key stays."""
        topic_log = self.topics[topic]
        topic_log.first_offset += len(topic_log.records)
        topic_log.records.clear()

    def take_copy(self) -> dict[str, Topic]:
        """Return a copy of all topics, from which ``restore`` continues."""
        return copy.deepcopy(self.topics)

    def restore(self, topics: dict[str, Topic]) -> None:
        """Go back to a copy, and lose all that was appended since it was taken."""
        self.topics = copy.deepcopy(topics)
        self.era += 1
        self.appended.set()
        self.appended = asyncio.Event()

    async def _serve(self, connection: CallerConnection, request: ReceivedRequest) -> None:
        url = urlsplit(request.head.request_target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.called_paths.append(url.path)
        if "down" in self.faults:
            connection.abort()
            return
        if "silent" in self.faults:
            await asyncio.sleep(3600)
        if "busy" in self.faults or query.get("topic") in self.busy_topics:
            send_response(connection, 503, b"{}", Store_Era=str(self.era))
            return
        era = self.era
        status, body = await self._handle_call(url.path, query, request.body)
        if self.lost_responses > 0:
            self.lost_responses -= 1
            connection.abort()
            return
        if era != self.era:
            # The read waited in a process of the store that is gone.
            connection.abort()
            return
        send_response(connection, status, body, Store_Era=str(era))

    async def _handle_call(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        name = query.get("topic", "")
        topic = self.topics.setdefault(name, Topic())
        match path:
            case "/celeryrun/log-append":
                first_offset = topic.end_offset
                for record in _split(body):
                    self.append(name, record)
                return 200, _json({"offset": first_offset, "end": topic.end_offset})
            case "/celeryrun/log-newest":
                return 200, self._read_latest(topic, query.get("after", ""))
            case "/celeryrun/log-read":
                return await self._read_records(topic, query)
        return 404, b"{}"

    def _read_latest(self, topic: Topic, after: str) -> bytes:
        keys = sorted(key for key in topic.latest_by_key if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.latest_by_key[key][0]).decode(),
                "offset": topic.latest_by_key[key][1],
            }
            for key in keys[:PAGE_SIZE]
        ]
        return _json({"items": items, "morePages": len(keys) > PAGE_SIZE, "end": topic.end_offset})

    async def _read_records(self, topic: Topic, query: dict[str, str]) -> tuple[int, bytes]:
        start = int(query["from"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query.get("waitMs", "0")) / 1000
        while start == topic.end_offset and loop.time() < deadline:
            try:
                async with asyncio.timeout(deadline - loop.time()):
                    await self.appended.wait()
            except TimeoutError:
                break
        if not topic.first_offset <= start <= topic.end_offset:
            return 410, _json({"first": topic.first_offset})
        records = topic.records[start - topic.first_offset :]
        raw = b"".join(struct.pack(">I", len(record)) + record for record in records)
        return 200, struct.pack(">QQ", topic.end_offset, topic.first_offset) + raw


def _split(body: bytes) -> list[bytes]:
    records = []
    while body:
        (length,) = struct.unpack_from(">I", body)
        records.append(body[4 : 4 + length])
        body = body[4 + length :]
    return records


def _json(value: Any) -> bytes:
    return json.dumps(value).encode()
