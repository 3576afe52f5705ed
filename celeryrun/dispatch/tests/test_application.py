"""Calls of applications that answer badly."""

import time

import pytest

from celeryrun.dispatch import ApplicationResponse, NotDispatched, UnknownOutcome, call_application
from celeryrun.tests.builders import build_answer
from standins.scripted import HOLD, ScriptedTarget, trickle

WHOLE = build_answer(b"fresh", "Request-Id: r-1", "ETag: e", "Server: secret")


def call(target, method="GET", patience=5.0):
    deadline = time.monotonic() + patience
    return call_application(target.address, method, "/a", b"", {"Request-Id": "r-1"}, deadline)


def test_whole_answer_comes_with_the_headers_worth_passing_on():
    with ScriptedTarget([WHOLE]) as target:
        assert call(target) == ApplicationResponse(200, (("ETag", "e"),), b"fresh")
        assert target.requests[0].startswith(b"GET /a HTTP/1.1\r\n")


@pytest.mark.parametrize(
    "script",
    [
        [WHOLE[:-1]],
        [WHOLE[:20]],
        [],
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfresh\r\n"],
        [b"HTTP/1.1 200 OK\r\n\r\nno length"],
        [b"HTTP/1.1 103 Early Hints\r\n\r\n", WHOLE],
        [b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n", HOLD],
        [build_answer(b"fresh", "Request-Id: another")],
        [b"\x00\xff garbage\r\n\r\n"],
        [b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 200],
    ],
    ids=[
        "short body",
        "short head",
        "nothing",
        "no last chunk",
        "no length",
        "interim",
        "too large",
        "crossed",
        "garbage",
        "too many headers",
    ],
)
def test_answer_that_is_not_whole_is_not_delivered_nor_asked_for_again(script):
    with ScriptedTarget(script) as target:
        result = call(target)
        assert isinstance(result, UnknownOutcome) and not result.target_crashed
        sent = [request for request in target.requests if request]
        assert len(sent) == 1


@pytest.mark.parametrize(
    "script",
    [[HOLD], trickle(WHOLE, 0.05), [WHOLE[:-5], *trickle(b"fresh", 0.2)], [b"HTTP/1.1 1", HOLD]],
    ids=["silent", "slow head", "slow body", "half a head"],
)
def test_no_call_outlives_its_deadline(script):
    with ScriptedTarget(script) as target:
        started = time.monotonic()
        assert isinstance(call(target, patience=0.3), UnknownOutcome)
        assert time.monotonic() - started < 5


@pytest.mark.parametrize(
    ("method", "head"),
    [
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n"),
        ("GET", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"),
        ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"),
    ],
)
def test_answer_without_a_body_is_whole(method, head):
    with ScriptedTarget([head]) as target:
        result = call(target, method)
        assert result.body == b"" and not result.has_body


def test_leaving_or_dead_target_gets_no_dispatch():
    leaving = build_answer(b"", "Target-Leaving: 1", status="503 Unavailable")
    with ScriptedTarget([leaving]) as target:
        assert call(target) == NotDispatched("the target is leaving", leaving=True)
    result = call(target)
    assert isinstance(result, NotDispatched) and result.connection_refused


class DyingTarget(ScriptedTarget):
    def play(self, connection, number, script):
        self.close()
        connection.close()


def test_target_that_dies_over_a_call_is_told_from_a_broken_connection():
    with DyingTarget([]) as target:
        result = call(target)
    assert isinstance(result, UnknownOutcome) and result.target_crashed
