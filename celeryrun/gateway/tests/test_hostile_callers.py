"""Crowds of hostile callers at a gateway process with little memory.

The process lives, stays within the memory and the descriptors that its settings give it, and
answers an ordinary request while the crowd is there and afterwards.
"""

import pytest

from celeryrun.gateway.tests.hostile_callers import (
    BODY_BYTES,
    CROWD,
    DESCRIPTORS,
    HEADER_BYTES,
    MEMORY,
    Form,
    LargeAnswerRunner,
    gateway_process,
    head,
)
from standins.site import run

LINE = b"a:\r\n"
ODD_LINE = b"~:\t\r\n"
LINES = (HEADER_BYTES - 400) // len(LINE)
ODD_LINES = (HEADER_BYTES - 400) // len(ODD_LINE)
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
TINY_CHUNK = b"2\r\nab\r\n"
TINY_CHUNKS = BODY_BYTES // 16
TRAILER = b"t:\r\n"
NO_BODY = b"Content-Length: 0\r\n\r\n"
LENGTH = f"Content-Length: {BODY_BYTES}\r\n\r\n"
LARGE_CHUNK = b"%x\r\n%b\r\n" % (65_536, b"a" * 65_536)
LARGE_CHUNKS = BODY_BYTES // 65_536 - 1
SMALL_REQUEST = b"GET /calls/a HTTP/1.1\r\nHost: site.example\r\n\r\n"

PROMPT_PARTS = "".join(f"{number:x}," for number in range(3500))

FORMS = {
    "short-lines-open": Form(head(), ((LINE * LINES, 1),), callers=2 * CROWD),
    "short-lines-ended": Form(head(), ((LINE * LINES + NO_BODY, 1),), callers=2 * CROWD),
    "odd-lines-open": Form(head(), ((ODD_LINE * ODD_LINES, 1),), callers=2 * CROWD),
    "odd-lines-ended": Form(head(), ((ODD_LINE * ODD_LINES + NO_BODY, 1),), callers=2 * CROWD),
    "lines-byte-by-byte": Form(head(), ((LINE[:3], 1), (LINE, 40)), pause=0.01),
    "trailers-fast": Form(
        head(CHUNKED) + b"2\r\nab\r\n0\r\n", ((TRAILER * 16_384, 16),), callers=20
    ),
    "trailers-slow": Form(head(CHUNKED) + b"2\r\nab\r\n0\r\n", ((TRAILER * 512, 30),), pause=0.05),
    "tiny-chunks-open": Form(head(CHUNKED), ((TINY_CHUNK * TINY_CHUNKS, 1),)),
    "tiny-chunks-whole": Form(head(CHUNKED), ((TINY_CHUNK * TINY_CHUNKS + b"0\r\n\r\n", 1),)),
    "tiny-pieces-open": Form(head(LENGTH), ((b"ab", 200),), pause=0.005),
    "large-bodies-whole": Form(head(LENGTH), ((b"a" * BODY_BYTES, 1),)),
    "large-bodies-served": Form(
        head(LENGTH, "/calls/a"), ((b"a" * BODY_BYTES, 1),), callers=2 * CROWD
    ),
    "large-bodies-open": Form(head(LENGTH), ((b"a" * (BODY_BYTES - 1), 1),)),
    "large-chunks-open": Form(head(CHUNKED), ((LARGE_CHUNK, LARGE_CHUNKS),)),
    "pipelined-heads": Form(SMALL_REQUEST, ((SMALL_REQUEST * 5000, 1),)),
    "continue-without-body": Form(head("Expect: 100-continue\r\n" + LENGTH)),
    "no-bytes": Form(b"", callers=2 * CROWD),
    "garbage": Form(b"\x16\x03\x01\x02\x00\x01\x00" + bytes(range(256)) * 64),
    "long-target": Form(b"GET /" + b"a" * (1 << 20)),
    "readiness-lines": Form(
        b"GET /celeryrun/readiness HTTP/1.1\r\n",
        ((LINE * LINES, 1),),
        listener="ready",
        callers=2 * CROWD,
    ),
    "readiness-bodies": Form(
        b"POST /celeryrun/readiness HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n",
        ((b"a" * 999_999, 1),),
        listener="ready",
        callers=2 * CROWD,
    ),
    "metrics-trailers": Form(
        b"POST /metrics HTTP/1.1\r\n" + CHUNKED.encode() + b"0\r\n",
        ((TRAILER * 16_384, 16),),
        listener="metrics",
        callers=20,
    ),
    "metrics-connections": Form(b"GET /metrics HTTP/1.1\r\n", listener="metrics", callers=900),
    "caller-connections": Form(b"GET ", callers=900),
    "trailer-line-open": Form(head(CHUNKED) + b"0\r\nt:", ((b"a" * 65_536, 40),), callers=20),
    "prompt-parts": Form(
        head(f"celeryrun-prompt-prefix: {PROMPT_PARTS}\r\nContent-Length: 0\r\n\r\n"),
        callers=2 * CROWD,
    ),
    "continue-unread": Form(
        b"",
        ((head("Expect: 100-continue\r\nContent-Length: 0\r\n\r\n", "/none") * 40, 20),),
        reads=False,
    ),
}
UNREAD = Form(
    b"",
    ((head("Content-Length: 0\r\n\r\n", "/calls/a"), 60),),
    reads=False,
    callers=30,
)


@pytest.mark.parametrize("name", FORMS)
def test_crowd_leaves_the_process_within_its_memory(name, tmp_path):
    """Such callers made a process keep up to 8 GB, of which its limits counted a few MB."""

    async def scenario():
        async with gateway_process(tmp_path / "node.ini") as gateway:
            await check_crowd(gateway, FORMS[name])

    run(scenario())


def test_unread_answers_leave_the_process_within_its_memory(tmp_path):
    """Answers to pipelined requests piled up behind a caller that read none of them."""

    async def scenario():
        apps = [LargeAnswerRunner, LargeAnswerRunner]
        async with gateway_process(tmp_path / "node.ini", apps=apps) as gateway:
            await check_crowd(gateway, UNREAD)

    run(scenario())


async def check_crowd(gateway, form):
    """Send a crowd, and check what holds while it is there and when it has gone."""
    await gateway.send_crowd(form)
    await gateway.send_until_answered()
    gateway.close_crowd()
    await gateway.send_until_answered()
    assert gateway.is_alive
    peak = gateway.peak_memory()
    print(f"peak {peak >> 20} MiB, {gateway.peak_descriptors} descriptors")
    assert peak <= MEMORY
    assert gateway.peak_descriptors <= DESCRIPTORS


def test_single_request_of_the_largest_size_is_served_in_calm(tmp_path):
    async def scenario():
        async with gateway_process(tmp_path / "node.ini") as gateway:
            await gateway.send_until_answered(body=b"a" * BODY_BYTES)
            assert gateway.peak_memory() <= MEMORY

    run(scenario())
