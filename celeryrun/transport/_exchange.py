"""One request and its answer on a connection to a target."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

from celeryrun.transport._message import MalformedMessageError, ResponseHead, ResponseParser

__all__ = ["Exchange", "TargetFailedError", "accepts_connections", "open_exchange"]

READ_AHEAD = 65_536  # bytes of an answer held while the caller is slow


class TargetFailedError(Exception):
    """An exchange ended without a whole answer.

    Parameters
    ----------
    kind : str
        ``refused`` (no connection, so nothing was sent), ``reset``, ``closed`` or ``malformed``.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        super().__init__(f"target {kind}")


class Exchange(asyncio.Protocol):
    """Connection to a target that carries one request.

    Attributes
    ----------
    head : ResponseHead or None
        Of the answer, once it has come.
    complete : bool
        Whether the whole answer has come.
    """

    __slots__ = (
        "_chunks",
        "_failure",
        "_held",
        "_news",
        "_parser",
        "_transport",
        "_writable",
        "complete",
        "head",
    )

    def __init__(self) -> None:
        self._parser = ResponseParser()
        self._parser.head_callback = self._take_head
        self._parser.body_callback = self._take_body
        self._parser.end_callback = self._take_end
        self._chunks: deque[bytes] = deque()
        self._held = 0
        self._failure: TargetFailedError | None = None
        self._news = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._transport: Any = None
        self.head: ResponseHead | None = None
        self.complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse; what follows a whole answer belongs to no request and is dropped."""
        if self.complete:
            return
        if self._failure is not None:
            return
        try:
            self._parser.feed(data)
        except MalformedMessageError:
            if not self.complete:
                self._fail("malformed")

    def eof_received(self) -> bool:
        """End an answer that has no length of its own."""
        head = self.head
        if (
            head is not None
            and not head.chunked
            and head.content_length is None
            and not self.complete
        ):
            self._take_end()
        self._fail("closed")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake whoever waits."""
        self._writable.set()
        self._fail("reset" if exc else "closed")

    def pause_writing(self) -> None:
        """Hold the sender back."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let the sender go on."""
        self._writable.set()

    async def send(self, data: bytes) -> None:
        """Write a request and wait until the connection has room for more."""
        self._transport.write(data)
        await self._writable.wait()

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the answer.

        Raises
        ------
        TargetFailedError
            If the connection ended first.
        """
        while self.head is None:
            await self._wait()
        return self.head

    async def read_body(self) -> bytes:
        """Wait for more of the body; empty at its end.

        Raises
        ------
        TargetFailedError
            If the connection ended before the answer did.
        """
        while not self._chunks:
            if self.complete:
                return b""
            await self._wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._held = 0
        if not self._transport.is_closing():
            self._transport.resume_reading()
        return data

    def close(self) -> None:
        """Drop the connection at once; a target stops the work of a request whose caller left."""
        if self._transport is not None:
            self._transport.abort()

    async def _wait(self) -> None:
        if self._failure is not None:
            raise self._failure
        self._news.clear()
        await self._news.wait()

    def _take_head(self) -> None:
        self.head = self._parser.head
        self._news.set()

    def _take_body(self, data: bytes) -> None:
        self._chunks.append(data)
        self._held += len(data)
        if self._held > READ_AHEAD and not self._transport.is_closing():
            self._transport.pause_reading()
        self._news.set()

    def _take_end(self) -> None:
        self.complete = True
        self._news.set()

    def _fail(self, kind: str) -> None:
        if self._failure is None and not self.complete:
            self._failure = TargetFailedError(kind)
        self._news.set()


async def open_exchange(host: str, port: int, timeout: float) -> Exchange:
    """Connect to a target.

    Parameters
    ----------
    timeout : float
        Seconds to wait for the connection.

    Raises
    ------
    TargetFailedError
        Of kind ``refused``: nothing was sent.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, exchange = await loop.create_connection(Exchange, host, port)
    except (OSError, TimeoutError) as error:
        raise TargetFailedError("refused") from error
    return exchange


async def accepts_connections(host: str, port: int, timeout: float) -> bool:
    """Tell whether a target takes a connection within some seconds."""
    try:
        exchange = await open_exchange(host, port, timeout)
    except TargetFailedError:
        return False
    exchange.close()
    return True
