"""Connections of callers without a network, fed with any bytes, and what they keep."""

import asyncio
from dataclasses import dataclass, field
from sys import getsizeof

from celeryrun.catalog import CallerLimits
from celeryrun.transport import ByteBudget, CallerConnection


class RecordingTransport:
    """Transport that keeps what is written, as read or as unread."""

    def __init__(self, reads=True):
        self.written = b""
        self.unread = 0
        self.reads = reads
        self.closed = False

    def write(self, data):
        self.written += data
        self.unread += 0 if self.reads else len(data)

    def get_write_buffer_size(self):
        return self.unread

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def write_eof(self):
        pass

    def is_closing(self):
        return self.closed

    def close(self):
        self.closed = True

    abort = close


@dataclass
class Caller:
    """A connection whose requests are recorded and answered by 204."""

    budget: ByteBudget = field(default_factory=lambda: ByteBudget(1 << 30))
    limits: CallerLimits = field(default_factory=CallerLimits)
    reads: bool = True

    def __post_init__(self):
        self.requests = []
        self.dropped = False
        self.hold = asyncio.Event()
        self.hold.set()
        self.transport = RecordingTransport(self.reads)
        self.connection = CallerConnection(
            self._serve,
            lambda: self.limits,
            lambda: False,
            lambda connection: None,
            budget=self.budget,
            on_dropped=self._note_drop,
        )
        self.connection.connection_made(self.transport)

    @property
    def held(self):
        """Bytes reserved by the connection."""
        return self.connection._account.held

    def _note_drop(self):
        self.dropped = True

    async def _serve(self, connection, request):
        head = request.head
        self.requests.append(
            (head.method, head.request_target, tuple(head.headers), head.keep_alive, request.body)
        )
        await self.hold.wait()
        connection.respond(b"HTTP/1.1 204 No Content", [], b"")

    def feed(self, data):
        """Let the connection read bytes, as much at a time as it takes."""
        while data:
            buffer = memoryview(self.connection.get_buffer(-1))
            size = min(len(buffer), len(data))
            buffer[:size] = data[:size]
            self.connection.buffer_updated(size)
            data = data[size:]

    def kept(self):
        """Return the bytes of the objects that the connection keeps of requests."""
        connection = self.connection
        parser = connection._parser
        objects = [
            *connection._body.pieces,
            parser._request_target,
            *header_objects(parser._headers),
        ]
        if parser.head is not None:
            objects += header_objects(parser.head.headers)
        for request in connection._requests:
            objects += [request, request.body, request.head]
            objects += header_objects(request.head.headers)
        return sum(getsizeof(kept) for kept in {id(kept): kept for kept in objects}.values())

    def close(self):
        """Close the connection, as the caller does."""
        self.connection.connection_lost(None)


def header_objects(headers):
    """Return the objects of a list of headers."""
    return [headers, *headers, *(part for pair in headers for part in pair)]


async def settle():
    """Let the tasks of the connections go on."""
    for _ in range(20):
        await asyncio.sleep(0)
