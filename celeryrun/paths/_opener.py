"""Connections to targets, direct or carried by another node."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from celeryrun.kernel import now
from celeryrun.paths._frames import CONNECTED, UNREACHABLE, FrameReader, format_frame
from celeryrun.paths._table import PathTable
from celeryrun.settings import Address
from celeryrun.transport import Exchange, TargetFailedError, open_exchange

__all__ = ["PathLostError", "PathOpener", "Peer"]

CONNECT_TIMEOUT = 0.4  # s; targets are milliseconds away, and a lost packet costs a second
HEAD_START = 0.1  # s for a direct connection, many round trips, before another node is asked
ASK_TIMEOUT = 0.4  # s for the answer of another node, which connects meanwhile
ASK_INTERVAL = 0.05  # s without an answer after which a further node is asked
MAX_ASKED = 3  # nodes asked for one connection; some of them may have lost their paths too
AVOID_TIME = 1.0  # s for which a node that did not help is asked last
READ_BYTES = 16_384  # that one carried connection may bring in a turn of the event loop
_READ_BUFFER = bytearray(READ_BYTES)


class PathLostError(Exception):
    """No connection was made, and this node can't tell whether the target is down."""


@dataclass(frozen=True, slots=True)
class Peer:
    """Another node that may carry connections."""

    name: str
    address: Address
    zone: str


class PathOpener:
    """Opens connections to targets.

    Parameters
    ----------
    zone : str
        Availability zone of this node.
    find_peers : callable
        Returns the other nodes.
    encode_request : callable
        Returns the first message to another node, which asks it to carry to a target.
    on_change : callable
        Called with a target and whether the direct path to it is lost, when that changes.
    on_carried : callable
        Called with a target and the name of the node that carries a connection to it.

    Attributes
    ----------
    table : PathTable
        Lost paths.
    """

    __slots__ = (
        "_avoid_until_by_peer",
        "_encode_request",
        "_find_peers",
        "_on_carried",
        "_on_change",
        "_tasks",
        "_zone",
        "table",
    )

    def __init__(
        self,
        zone: str,
        find_peers: Callable[[], Iterable[Peer]],
        encode_request: Callable[[str], bytes],
        on_change: Callable[[str, bool], None],
        on_carried: Callable[[str, str], None],
    ) -> None:
        self._zone = zone
        self._find_peers = find_peers
        self._encode_request = encode_request
        self._on_change = on_change
        self._on_carried = on_carried
        self._avoid_until_by_peer: dict[str, float] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self.table = PathTable()

    async def open(self, target: str, address: Address) -> Exchange:
        """Connect to a target, by way of another node if that is quicker.

        Raises
        ------
        TargetFailedError
            With kind ``refused``, if other nodes do not reach the target either, or if there is
            no sign that this node has lost its paths; no bytes were sent.
        PathLostError
            If it may be this node alone that does not reach it; no bytes were sent.
        """
        if self.table.is_lost(target) and not self.table.take_retry(target, now()):
            carried = self._start(self.open_carried(target))
            try:
                return await asyncio.shield(carried)
            except PathLostError:
                # No other node helps, so the direct path is all that is left.
                direct = self._start_direct(target, address)
                return await self._await_connection(target, direct, carried)
            except asyncio.CancelledError:
                _discard(carried)
                raise
        direct = self._start_direct(target, address)
        head_start = 0.0 if self.table.is_lost(target) else HEAD_START
        try:
            await asyncio.wait({direct}, timeout=head_start)
        except asyncio.CancelledError:
            _discard(direct)
            raise
        if direct.done() and direct.exception() is None:
            return direct.result()
        return await self._await_connection(target, direct, self._start(self.open_carried(target)))

    def _start_direct(self, target: str, address: Address) -> asyncio.Task[Exchange]:
        return self._start(self._open_direct(target, address))

    async def _open_direct(self, target: str, address: Address) -> Exchange:
        exchange = await open_exchange(address.host, address.port, CONNECT_TIMEOUT)
        if self.table.record_direct(target, now()):
            self._on_change(target, False)
        return exchange

    def _record_lost(self, target: str) -> None:
        if self.table.record_lost(target, now()):
            self._on_change(target, True)

    async def _await_connection(
        self, target: str, direct: asyncio.Task[Exchange], carried: asyncio.Task[Exchange]
    ) -> Exchange:
        """Return the first connection that is made, a direct one if both are."""
        pending = {direct, carried}
        try:
            while pending:
                _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                if _has_result(direct):
                    _discard(carried)
                    return direct.result()
                if _has_result(carried):
                    # A direct connection that comes late shows that the path is not lost.
                    direct.add_done_callback(lambda task: self._end_direct(target, task))
                    return carried.result()
        except asyncio.CancelledError:
            _discard(direct)
            _discard(carried)
            raise
        error = carried.exception()
        if isinstance(error, TargetFailedError) or self.table.has_lost_other(target):
            assert error is not None
            raise error
        raise TargetFailedError("refused")

    def _end_direct(self, target: str, task: asyncio.Task[Exchange]) -> None:
        if task.cancelled():
            return
        if task.exception() is None:
            task.result().close()
        else:
            self._record_lost(target)

    async def open_carried(self, target: str) -> Exchange:
        """Connect to a target by way of another node.

        Raises
        ------
        TargetFailedError
            If the nodes that were asked do not reach the target.
        PathLostError
            If none was asked, or none has tried.
        """
        peers = self._choose_peers()
        asked: list[asyncio.Task[Exchange]] = []
        try:
            while peers or any(not task.done() for task in asked):
                if peers:
                    asked.append(self._start(self._ask(peers.pop(0), target)))
                pending = [task for task in asked if not task.done()]
                await asyncio.wait(
                    pending,
                    timeout=ASK_INTERVAL if peers else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in asked:
                    if _has_result(task):
                        asked.remove(task)
                        return task.result()
        finally:
            for task in asked:
                _discard(task)
        if any(isinstance(task.exception(), TargetFailedError) for task in asked):
            raise TargetFailedError("refused")
        raise PathLostError

    def _choose_peers(self) -> list[Peer]:
        """Return the nodes to ask: one of this availability zone, and others from elsewhere.

        A whole zone may have lost its paths.
        """
        time = now()
        avoid_until = self._avoid_until_by_peer
        peers = list(self._find_peers())
        random.shuffle(peers)
        peers.sort(
            key=lambda peer: (avoid_until.get(peer.name, 0.0) > time, peer.zone != self._zone)
        )
        near = peers[:1]
        far = [peer for peer in peers[1:] if peer.zone != self._zone]
        rest = [peer for peer in peers[1:] if peer.zone == self._zone]
        return [*near, *far, *rest][:MAX_ASKED]

    async def _ask(self, peer: Peer, target: str) -> Exchange:
        """Ask another node to connect to a target."""
        loop = asyncio.get_running_loop()
        exchange = Exchange()
        try:
            async with asyncio.timeout(ASK_TIMEOUT):
                _, client = await loop.create_connection(
                    lambda: CarriedClient(exchange, self._encode_request(target)),
                    peer.address.host,
                    peer.address.port,
                )
                try:
                    answer = await client.answer
                except asyncio.CancelledError:
                    client.transport.abort()
                    raise
        except (OSError, TimeoutError, ValueError, OverflowError):
            answer = b""
        if answer == CONNECTED:
            self._avoid_until_by_peer.pop(peer.name, None)
            self._on_carried(target, peer.name)
            return exchange
        self._avoid_until_by_peer[peer.name] = now() + AVOID_TIME
        raise TargetFailedError("refused") if answer == UNREACHABLE else PathLostError

    def _start(self, opening: Any) -> asyncio.Task[Exchange]:
        task = asyncio.get_running_loop().create_task(opening)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Marks the exception as seen, as the loser of two attempts has no other reader.
            task.exception()


def _has_result(task: asyncio.Task[Any]) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


def _discard(task: asyncio.Task[Exchange]) -> None:
    """Cancel an attempt to connect, or close the connection that it has made."""
    if not task.cancel() and _has_result(task):
        task.result().close()


class CarriedClient(asyncio.BufferedProtocol):
    """Connection to the node that carries an exchange with a target.

    Attributes
    ----------
    answer : asyncio.Future
        Answer of the node; empty if it closes the connection instead.
    """

    def __init__(self, exchange: Exchange, request: bytes) -> None:
        self._exchange = exchange
        self._request = request
        self._frames = FrameReader()
        self._has_ended = False
        self.answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask the node to carry."""
        self.transport = transport
        self.transport.write(self._request)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take the answer, and pass on what the target sends."""
        data = bytes(memoryview(_READ_BUFFER)[:nbytes])
        if not self.answer.done():
            answer, data = data[:1], data[1:]
            if answer == CONNECTED:
                self._exchange.connection_made(CarriedTransport(self.transport))
            self.answer.set_result(answer)
        if self._exchange is None or self.answer.cancelled() or self.answer.result() != CONNECTED:
            return
        try:
            for part in self._frames.feed(data):
                self._pass_on(part)
        except ValueError:
            self.transport.abort()

    def _pass_on(self, part: bytes) -> None:
        if part:
            memoryview(self._exchange.get_buffer(len(part)))[: len(part)] = part
            self._exchange.buffer_updated(len(part))
            return
        self._has_ended = True
        if not self._exchange.eof_received():
            self.transport.abort()

    def eof_received(self) -> bool:
        """Close the connection; without a final frame the exchange was cut."""
        return False

    def pause_writing(self) -> None:
        """Suspend the exchange's ``send``."""
        self._exchange.pause_writing()

    def resume_writing(self) -> None:
        """Resume it."""
        self._exchange.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange, or the wait for an answer."""
        if not self.answer.done():
            self.answer.set_result(b"")
        elif not self.answer.cancelled() and self.answer.result() == CONNECTED:
            self._exchange.connection_lost(exc)


class CarriedTransport(asyncio.Transport):
    """Transport of an exchange whose bytes pass in frames."""

    __slots__ = ("_transport",)

    def __init__(self, transport: Any) -> None:
        self._transport = transport

    def write(self, data: Any) -> None:
        """Send bytes to the target."""
        if data:
            self._transport.write(format_frame(bytes(data)))

    def get_write_buffer_size(self) -> int:
        """Return the number of unsent bytes."""
        return int(self._transport.get_write_buffer_size())

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return what is known of the connection to the other node."""
        return self._transport.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Return whether the connection is closed or about to be."""
        return bool(self._transport.is_closing())

    def pause_reading(self) -> None:
        """Read no more until `resume_reading`."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        self._transport.resume_reading()

    def abort(self) -> None:
        """Close the connection, upon which the other node closes that to the target."""
        self._transport.abort()
