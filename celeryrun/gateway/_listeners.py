"""Listeners for callers, readiness checks and metrics."""

from __future__ import annotations

import asyncio
from collections import deque

from celeryrun.catalog import CallerLimits
from celeryrun.exception import Refusal
from celeryrun.gateway._caller_memory import open_budget
from celeryrun.gateway._discovery import Discovery
from celeryrun.gateway._listen import listen
from celeryrun.gateway._metrics import GatewayMetrics
from celeryrun.gateway._relay import Relay
from celeryrun.gateway._request_log import RequestLog
from celeryrun.kernel import Kernel, now
from celeryrun.platform import READY_PATH
from celeryrun.settings import GatewaySettings
from celeryrun.transport import (
    ByteBudget,
    CallerConnection,
    ReceivedRequest,
    RequestHandler,
    has_unaccepted,
    ignore_new_connections,
)

__all__ = ["CallerListener", "PageListener"]

READY_AGE_FRACTION = 0.8  # of revocation_lag; with an older configuration all keys are soon refused
MAX_ACCEPT_DELAY = 0.5  # s for which a closing listener still accepts connections
MIN_IDLE_TIME = 0.2  # s; a caller that has just connected is about to send its request
ACCEPT_POLL_INTERVAL = 0.002  # s
RESERVED_DESCRIPTORS = 200  # for files, and for connections to the store and between nodes
DESCRIPTORS_PER_CALLER = 2  # a caller's connection and the one to its target
MIN_REFUSED_CONNECTIONS = 32  # kept beyond the limit until each is told that the node is full
SEARCH_PAUSE = 0.02  # s between two looks at all connections, each of which takes milliseconds
PAGE_LIMITS = CallerLimits(body_bytes=1024)
PAGE_MEMORY = 1 << 20  # bytes that the connections to one page may keep
MAX_PAGE_CONNECTIONS = 32  # to one page
NODE_FULL = Refusal(503, "node-full", "send it again; this node has too many connections", 0.5)
NOT_FOUND = Refusal(404, "no-page", "ask for a page that is served here")


class CallerListener:
    """Service that accepts callers' connections.

    Attributes
    ----------
    draining : bool
        Whether the node is shutting down.
    """

    __slots__ = (
        "_budget",
        "_discovery",
        "_request_log",
        "_max_connections",
        "_next_search_at",
        "_relay",
        "_server",
        "_settings",
        "_unfinished",
        "connections",
        "draining",
    )

    def __init__(self, kernel: Kernel, settings: GatewaySettings) -> None:
        self._relay: Relay = kernel.find("relay")
        self._discovery: Discovery = kernel.find("discovery")
        self._request_log: RequestLog = kernel.find("request-log")
        self._settings = settings
        node = settings.node
        self._budget = open_budget(node.memory)
        self._max_connections = max(
            1, (node.descriptors - RESERVED_DESCRIPTORS) // DESCRIPTORS_PER_CALLER
        )
        self._next_search_at = 0.0
        self._unfinished: deque[CallerConnection] = deque()
        self._server: asyncio.Server | None = None
        self.connections: set[CallerConnection] = set()
        self.draining = False

    def start(self) -> None:
        """Do nothing; ``listen`` opens the listener."""

    async def listen(self) -> None:
        """Start accepting callers."""
        address = self._settings.node.caller_address
        self._server = await listen(address, "caller_address", self._connect)

    def stop(self) -> None:
        """Stop accepting callers and abort the open connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    async def close(self) -> None:
        """Stop accepting callers, after those whose connections wait to be accepted."""
        if self._server is None:
            return
        for listener in self._server.sockets:
            ignore_new_connections(listener)
        deadline = now() + MAX_ACCEPT_DELAY
        while any(map(has_unaccepted, self._server.sockets)) and now() < deadline:
            await asyncio.sleep(ACCEPT_POLL_INTERVAL)
        self._server.close()

    def close_idle(self) -> None:
        """Close the connections that have had no request in progress for a moment."""
        latest = now() - MIN_IDLE_TIME
        for connection in list(self.connections):
            if connection.idle_since <= latest:
                connection.close_if_idle()

    def refuse_unread(self, refusal: Refusal) -> None:
        """Refuse the requests that are still being received."""
        for connection in list(self.connections):
            connection.refuse_unread(refusal)

    @property
    def active(self) -> int:
        """Number of requests in progress."""
        return sum(1 for connection in self.connections if connection.is_serving)

    def _connect(self) -> CallerConnection:
        is_full = len(self.connections) >= self._max_connections and not self._close_one()
        connection = CallerConnection(
            self._refuse_full if is_full else self._relay.serve,
            self._limits,
            lambda: self.draining or is_full,
            self.connections.discard,
            self._log_unreadable,
            self._budget,
            self._request_log.log_dropped,
        )
        if is_full and not self._has_descriptors():
            connection.drop()
            return connection
        self.connections.add(connection)
        return connection

    def _has_descriptors(self) -> bool:
        """Return whether one more connection fits, if only to be told that the node is full."""
        kept = len(self.connections)
        if kept < self._max_connections + MIN_REFUSED_CONNECTIONS:
            return True
        return kept + self.active < self._settings.node.descriptors - RESERVED_DESCRIPTORS

    def _close_one(self) -> bool:
        """Close a connection to make room for another; return whether there is one to close.

        It is one that is idle, else one whose caller has long read no response, else the one that
        has been reading a request without an end for the longest time.
        """
        time = now()
        if time >= self._next_search_at:
            longest_first = sorted(self.connections, key=lambda connection: connection.idle_since)
            if any(connection.close_if_idle() for connection in longest_first):
                return True
            if any(connection.drop_if_unread() for connection in longest_first):
                return True
            self._unfinished = self._find_unfinished(time)
            self._next_search_at = time + SEARCH_PAUSE
        while self._unfinished:
            connection = self._unfinished.popleft()
            if connection.reading_time(time):
                connection.drop()
                self.connections.discard(connection)
                return True
        return False

    def _find_unfinished(self, time: float) -> deque[CallerConnection]:
        """Return the connections that have long been reading one request, the longest first."""
        age_by_connection = {
            connection: age
            for connection in self.connections
            if (age := connection.reading_time(time))
        }
        longest_first = sorted(age_by_connection, key=age_by_connection.__getitem__, reverse=True)
        return deque(longest_first)

    async def _refuse_full(self, connection: CallerConnection, _: ReceivedRequest) -> None:
        self._log_unreadable(NODE_FULL)
        connection.refuse(NODE_FULL)

    def _log_unreadable(self, refusal: Refusal) -> None:
        self._request_log.log_unreadable(refusal, "connection")

    def _limits(self) -> CallerLimits:
        catalog = self._discovery.catalog
        return catalog.limits if catalog is not None else CallerLimits()


class PageConnections:
    """Connections to one page; a new one takes the place of an idle one, or else of the oldest."""

    __slots__ = ("_budget", "_connections", "_handler")

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        self._budget = ByteBudget(PAGE_MEMORY)
        self._connections: dict[CallerConnection, None] = {}

    def connect(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        is_full = len(self._connections) >= MAX_PAGE_CONNECTIONS
        if is_full and not any(other.close_if_idle() for other in self._connections):
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.drop()
        connection = CallerConnection(
            self._handler,
            lambda: PAGE_LIMITS,
            lambda: False,
            lambda closed: self._connections.pop(closed, None),
            budget=self._budget,
        )
        self._connections[connection] = None
        return connection


class PageListener:
    """Service that serves readiness and metrics, each on its own address."""

    __slots__ = ("_callers", "_metrics", "_discovery", "_servers", "_settings")

    def __init__(self, kernel: Kernel, settings: GatewaySettings) -> None:
        self._callers: CallerListener = kernel.find("callers")
        self._metrics: GatewayMetrics = kernel.find("metrics")
        self._discovery: Discovery = kernel.find("discovery")
        self._settings = settings
        self._servers: list[asyncio.Server] = []

    def start(self) -> None:
        """Do nothing; ``listen`` opens the listener."""

    async def listen(self) -> None:
        """Start listening on both addresses."""
        node = self._settings.node
        for key in ("readiness_address", "metrics_address"):
            connect = PageConnections(self._serve).connect
            self._servers.append(await listen(getattr(node, key), key, connect))

    def stop(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    def apply(self, settings: GatewaySettings) -> None:
        """Apply reloaded settings."""
        self._settings = settings

    def is_ready(self) -> bool:
        """Return whether the node can serve requests now."""
        limit = READY_AGE_FRACTION * self._settings.bounds.revocation_lag
        is_current = self._discovery.is_loaded() and self._discovery.configuration_age() < limit
        return is_current and not self._callers.draining

    async def _serve(self, connection: CallerConnection, request: ReceivedRequest) -> None:
        path = request.head.request_target.decode("latin-1").partition("?")[0]
        match path:
            case _ if path == READY_PATH:
                ready = self.is_ready()
                _respond(connection, 200 if ready else 503, b"ready\n" if ready else b"not ready\n")
            case "/metrics":
                _respond(connection, 200, self._metrics.render())
            case _:
                connection.refuse(NOT_FOUND)


def _respond(connection: CallerConnection, status: int, body: bytes) -> None:
    reason = b"OK" if status == 200 else b"Service Unavailable"
    headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
    connection.respond(b"HTTP/1.1 %d %b" % (status, reason), headers, body)
