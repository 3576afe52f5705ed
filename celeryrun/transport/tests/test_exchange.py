"""Responses of targets: second ones, bytes that are none, and bytes without end."""

import asyncio
import socket
import struct
import threading
import time
import tracemalloc

import pytest

from celeryrun.transport import (
    TargetFailedError,
    accepts_connections,
    is_kept,
    open_exchange,
)
from celeryrun.transport._exchange import MAX_FRAMING_BYTES
from standins.site import run

FIRST = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
SECOND = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\n\r\n"
ENDLESS_BYTES = 16 * 1024 * 1024
MAX_GROWTH = 2 * 1024 * 1024  # bytes of memory for one exchange


async def exchange_with(*parts, endless=b"", pause=0.0, abort=False):
    """Return the body that is read from a target that sends these parts, and the bytes it sent."""
    sent = 0

    async def serve(reader, writer):
        nonlocal sent
        await reader.read(100)
        try:
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(pause)
            while endless and sent < ENDLESS_BYTES:
                writer.write(endless)
                sent += len(endless)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        if abort:
            linger = struct.pack("ii", 1, 0)  # closing sends a reset
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        exchange = await open_exchange("127.0.0.1", server.sockets[0].getsockname()[1], 1.0)
        try:
            await exchange.send(b"GET / HTTP/1.1\r\n\r\n")
            async with asyncio.timeout(10):
                await exchange.read_head()
                body = b""
                while data := await exchange.read_body():
                    body += data
            return body
        finally:
            exchange.close()
    finally:
        server.close()


def test_second_response_in_the_same_segment_is_not_part_of_the_body():
    run(check_body(b"first", FIRST + SECOND))
    run(check_body(b"first", FIRST + FIRST))


async def check_body(expected, *parts, **options):
    assert await exchange_with(*parts, **options) == expected


@pytest.mark.parametrize("extra", [SECOND, b"\x00garbage", CHUNKED + b"6\r\nsecond\r\n0\r\n\r\n"])
@pytest.mark.parametrize("complete", [FIRST, CHUNKED + b"5\r\nfirst\r\n0\r\n\r\n"])
def test_second_response_is_ignored_wherever_the_segments_end(complete, extra):
    data = complete + extra

    async def scenario():
        for end in range(len(complete), len(data), 7):
            assert await exchange_with(data[:end], data[end:]) == b"first"

    run(scenario())


def test_body_that_ends_with_its_connection():
    run(check_body(b"first", UNTIL_CLOSE, b"fir", b"st", pause=0.02))


def test_body_whose_connection_is_reset_is_incomplete():
    async def scenario():
        with pytest.raises(TargetFailedError):
            await exchange_with(UNTIL_CLOSE, b"fir", pause=0.05, abort=True)

    run(scenario())


@pytest.mark.parametrize(
    ("parts", "endless"),
    [
        ((b"HTTP/1.1 200 OK\r\nX: ",), b"x" * 4096),
        ((b"HTTP/1.1 200 OK\r\n",), b"X: y\r\n" * 512),
        ((), b"HTTP/1.1 102 Processing\r\n\r\n" * 128),
        ((CHUNKED, b"5;x="), b"x" * 4096),
        ((CHUNKED, b"5\r\nfirst\r\n0\r\n"), b"X: y\r\n" * 512),
    ],
    ids=["header value", "headers", "interim responses", "chunk extension", "trailers"],
)
def test_framing_without_end_fails_within_bounded_memory(parts, endless):
    async def scenario():
        tracemalloc.start()
        try:
            with pytest.raises(TargetFailedError) as failure:
                await exchange_with(*parts, endless=endless)
            assert failure.value.kind == "malformed"
            assert tracemalloc.get_traced_memory()[1] < MAX_GROWTH
        finally:
            tracemalloc.stop()

    run(scenario())


@pytest.mark.parametrize("closes_at_once", [True, False])
def test_target_that_closes_a_new_connection_at_once_does_not_accept(closes_at_once):
    async def serve(reader, writer):
        if not closes_at_once:
            await reader.read(1)
        writer.close()

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        assert await accepts_connections("127.0.0.1", port, 1.0) is not closes_at_once
        server.close()
        assert not await accepts_connections("127.0.0.1", port, 1.0)

    run(scenario())


def test_many_small_chunks_are_not_mistaken_for_framing_without_end():
    chunks = b"1\r\nx\r\n" * MAX_FRAMING_BYTES
    run(check_body(b"x" * MAX_FRAMING_BYTES, CHUNKED, chunks, b"0\r\n\r\n"))


@pytest.mark.parametrize(
    ("host", "port"), [("a" * 300, 80), ("a..b", 80), ("127.0.0.1", 99_999), ("127.0.0.1\0", 80)]
)
def test_address_that_no_system_call_takes_is_refused(host, port):
    with pytest.raises(TargetFailedError, match="refused"):
        asyncio.run(open_exchange(host, port, 1.0))


@pytest.mark.parametrize("start", [b"\x00", b"{", b"HTTP/2", b"RTSP/1.0 200", b"http/1.1"])
def test_response_that_begins_with_no_version_is_malformed_before_its_line_ends(start):
    async def scenario():
        with pytest.raises(TargetFailedError, match="malformed"):
            await exchange_with(start, pause=30.0)

    run(scenario())


def test_response_in_segments_of_one_byte():
    interim = b"\r\nHTTP/1.1 103 Early\r\nLink: a \r\n\r\n"
    data = interim + b"HTTP/1.1 200\r\nTransfer-Encoding: chunked\t\r\n\r\n5\r\nfirst\r\n0\r\n\r\n"
    run(check_body(b"first", *(bytes([byte]) for byte in data), pause=0.001))


def test_connection_that_ended_while_the_event_loop_stood_still_does_not_count_as_kept():
    listener = socket.create_server(("127.0.0.1", 0))

    def close_after_a_moment():
        connection, _ = listener.accept()
        time.sleep(0.02)
        connection.close()

    async def scenario():
        exchange = await open_exchange("127.0.0.1", listener.getsockname()[1], 1.0)
        asyncio.get_running_loop().call_later(0.005, time.sleep, 0.1)
        assert not await is_kept(exchange)

    thread = threading.Thread(target=close_after_a_moment)
    thread.start()
    run(scenario())
    thread.join()
    listener.close()
