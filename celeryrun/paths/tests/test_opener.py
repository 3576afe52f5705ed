"""Connections that another node carries: whole, cut, refused and bounded."""

import asyncio
import socket
import struct

import pytest

from celeryrun.paths import PathLostError
from celeryrun.paths._carrier import MAX_BUFFERED_BYTES
from celeryrun.paths.tests.links import Links
from celeryrun.transport import TargetFailedError

REQUEST = b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
LARGE = 64 * 1024 * 1024  # bytes, more than all buffers on the way hold


def responder(*parts, ends="close"):
    """Return a target that sends parts and closes, resets or keeps its connection."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        for part in parts:
            writer.write(part)
            await writer.drain()
        if ends == "close":
            writer.close()
        elif ends == "reset":
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.close()
        else:
            await asyncio.sleep(30)

    return serve


async def read_all(exchange):
    parts = []
    while part := await exchange.read_body():
        parts.append(part)
    return b"".join(parts)


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 20))


def test_response_that_its_connection_ends_is_whole_by_way_of_another_node():
    async def scenario():
        async with Links(responder(HEAD, b"abc" * 50_000)) as links:
            exchange = await links.open()
            await exchange.send(REQUEST)
            assert (await exchange.read_head()).status == 200
            assert await read_all(exchange) == b"abc" * 50_000
            assert exchange.ended_by_close and links.carried_by == ["n0"]
            exchange.close()

    run(scenario())


@pytest.mark.parametrize("cut", ["target resets", "node dies"])
def test_response_that_is_cut_on_the_way_is_not_whole(cut):
    async def scenario():
        ends = "reset" if cut == "target resets" else "keep"
        async with Links(responder(HEAD, b"half", ends=ends)) as links:
            exchange = await links.open()
            await exchange.send(REQUEST)
            await exchange.read_head()
            assert await exchange.read_body() == b"half"
            if cut == "node dies":
                links.carriers[0].close()
            with pytest.raises(TargetFailedError):
                await exchange.read_body()

    run(scenario())


def test_target_learns_that_the_node_has_closed_its_exchange():
    left = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        try:
            await reader.read(1)
        except ConnectionError:
            pass
        left.set()

    async def scenario():
        async with Links(serve) as links:
            exchange = await links.open()
            await exchange.send(REQUEST)
            await asyncio.sleep(0.05)
            exchange.close()
            await asyncio.wait_for(left.wait(), 0.5)
            assert not links.carriers[0].active

    run(scenario())


def test_carrying_node_keeps_little_of_a_response_that_is_read_slowly():
    sent = 0

    async def serve(reader, writer):
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD)
        for _ in range(LARGE // 65_536):
            writer.write(b"x" * 65_536)
            await writer.drain()
            sent += 65_536
        writer.close()

    async def scenario():
        async with Links(serve) as links:
            exchange = await links.open()
            await exchange.send(REQUEST)
            await exchange.read_head()
            await asyncio.sleep(0.5)
            (carried,) = links.carriers[0]._carried
            kept = carried.node.transport.get_write_buffer_size()
            assert kept <= MAX_BUFFERED_BYTES + 300_000  # one read of the event loop
            assert sent < LARGE
            assert len(await read_all(exchange)) == LARGE
            exchange.close()

    run(scenario())


def test_target_that_nobody_reaches_is_unreachable_and_no_path_is_lost():
    async def scenario():
        async with Links(responder(HEAD), nodes=2, is_up=False) as links:
            with pytest.raises(TargetFailedError):
                await links.open()
            assert not links.changes

    run(scenario())


def test_target_counts_as_unreachable_without_other_nodes_unless_other_paths_are_lost():
    async def scenario():
        async with Links(responder(HEAD), nodes=0) as links:
            with pytest.raises(TargetFailedError):
                await links.open()
            links.opener.table.record_lost("another", 0.0)
            with pytest.raises(PathLostError):
                await links.open()

    run(scenario())


def test_node_that_declines_is_passed_over():
    async def scenario():
        async with Links(responder(HEAD, b"abc"), nodes=3) as links:
            links.carriers[0].is_stopping = links.carriers[1].is_stopping = True
            exchange = await links.open()
            await exchange.send(REQUEST)
            await exchange.read_head()
            assert await read_all(exchange) == b"abc"
            assert links.carried_by == ["n2"]
            exchange.close()

    run(scenario())


def test_direct_path_is_used_again_at_once_when_it_is_back():
    async def scenario():
        async with Links(responder(HEAD)) as links:
            (await links.open()).close()
            await asyncio.sleep(0)
            assert links.opener.table.is_lost("t")
            links.opener.table._lost_by_target["t"].retry_at = 0.0
            (await links.open(direct=True)).close()
            assert not links.opener.table.is_lost("t")
            assert links.changes == [("t", True), ("t", False)]
            links.carried_by.clear()
            (await links.open(direct=True)).close()
            assert not links.carried_by

    run(scenario())
