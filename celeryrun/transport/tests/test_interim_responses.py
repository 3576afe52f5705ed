"""Interim responses to callers who wait for one before they send a body."""

import asyncio

import pytest

from celeryrun.transport.tests.connections import Caller, settle

FIRST = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
HEAD = b"POST /b HTTP/1.1\r\nHost: a\r\nExpect: 100-Continue\r\nContent-Length: 3\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
FINAL = b"HTTP/1.1 204 No Content\r\n"


def test_interim_response_waits_for_the_response_under_way():
    """It was written into the middle of the response to the request before."""

    async def scenario():
        caller = Caller()
        caller.hold.clear()
        caller.feed(FIRST + HEAD)
        await settle()
        assert caller.transport.written == b""
        caller.hold.set()
        await settle()
        first, _, rest = caller.transport.written.partition(INTERIM)
        assert first.startswith(FINAL) and first.endswith(b"\r\n\r\n") and rest == b""
        caller.feed(b"abc")
        await settle()
        assert caller.requests[1][-1] == b"abc"
        caller.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("body", [b"", b"abc"])
def test_interim_response_is_sent_at_once_if_nothing_is_under_way(body):
    async def scenario():
        caller = Caller()
        caller.feed(HEAD + body)
        assert caller.transport.written == INTERIM
        caller.close()

    asyncio.run(scenario())


def test_interim_response_is_left_out_once_the_body_has_come():
    async def scenario():
        caller = Caller()
        caller.hold.clear()
        caller.feed(FIRST + HEAD)
        caller.feed(b"abc")
        caller.hold.set()
        await settle()
        assert caller.transport.written.count(FINAL) == 2
        assert INTERIM not in caller.transport.written
        caller.close()

    asyncio.run(scenario())
