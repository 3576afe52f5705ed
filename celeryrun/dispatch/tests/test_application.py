"""Calls to applications that send malformed, truncated, late or no responses."""

import time
from contextlib import suppress

import pytest

from celeryrun.dispatch import ApplicationResponse, NotDispatched, UnknownOutcome, call_application
from celeryrun.tests.builders import build_response
from standins.scripted import STAY_SILENT, ScriptedTarget, read_request, trickle

COMPLETE_RESPONSE = build_response(b"fresh", "Request-Id: r-1", "ETag: e", "Server: secret")


def call(target, method="GET", timeout=5.0):
    deadline = time.monotonic() + timeout
    return call_application(target.address, method, "/a", b"", {"Request-Id": "r-1"}, deadline)


def test_complete_response_has_only_the_forwarded_headers():
    with ScriptedTarget([COMPLETE_RESPONSE]) as target:
        assert call(target) == ApplicationResponse(200, (("ETag", "e"),), b"fresh")
        assert target.requests[0].startswith(b"GET /a HTTP/1.1\r\n")


@pytest.mark.parametrize(
    "script",
    [
        [COMPLETE_RESPONSE[:-1]],
        [COMPLETE_RESPONSE[:20]],
        [],
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfresh\r\n"],
        [b"HTTP/1.1 200 OK\r\n\r\nno length"],
        [b"HTTP/1.1 103 Early Hints\r\n\r\n", COMPLETE_RESPONSE],
        [b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n", STAY_SILENT],
        [build_response(b"fresh", "Request-Id: another")],
        [b"\x00\xff garbage\r\n\r\n"],
        [b"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 0\r\n"],
        [b"HTTP/1.1 204 No Content\r\nRequest-Id: r-1\r\nX: "],
        [b"HTTP/1.1 503 Leaving\r\nRequest-Id: r-1\r\nTarget-Leaving: 1\r\n"],
        [build_response(b"", "Request-Id: another", "Target-Leaving: 1", status=503)],
        [b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 200],
    ],
    ids=[
        "short body",
        "short head",
        "no response",
        "no final chunk",
        "no length",
        "interim",
        "too large",
        "another request id",
        "garbage",
        "head cut before its end",
        "head cut in a field",
        "refusal cut in its head",
        "earlier refusal",
        "too many headers",
    ],
)
def test_incomplete_response_is_an_unknown_outcome_and_not_retried(script):
    with ScriptedTarget(script) as target:
        result = call(target)
        assert isinstance(result, UnknownOutcome) and not result.target_crashed
        received = [request for request in target.requests if request]
        assert len(received) == 1


@pytest.mark.parametrize(
    "script",
    [
        [STAY_SILENT],
        trickle(COMPLETE_RESPONSE, 0.05),
        [COMPLETE_RESPONSE[:-5], *trickle(b"fresh", 0.2)],
        [b"HTTP/1.1 1", STAY_SILENT],
    ],
    ids=["silent", "slow head", "slow body", "half of a head"],
)
def test_call_ends_at_its_deadline(script):
    with ScriptedTarget(script) as target:
        started = time.monotonic()
        assert isinstance(call(target, timeout=0.3), UnknownOutcome)
        assert time.monotonic() - started < 5


class EndlessTarget(ScriptedTarget):
    """Sends the first step of its script, and then the second until the caller closes."""

    def play_script(self, connection, index, script):
        first, repeated = script
        with connection:
            self.requests[index] = read_request(connection)
            with suppress(OSError):
                connection.sendall(first)
                while not self.closed.is_set():
                    connection.sendall(repeated * 64)


@pytest.mark.parametrize(
    ("first", "repeated"),
    [
        (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 64),
        (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", b"x" * 64),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"10\r\n" + b"x" * 16 + b"\r\n"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X: y\r\n"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 64),
    ],
    ids=["header", "headers", "interim", "chunk extension", "chunks", "trailers", "until close"],
)
def test_response_without_end_is_an_unknown_outcome_by_the_deadline(first, repeated):
    with EndlessTarget([first, repeated]) as target:
        started = time.monotonic()
        assert isinstance(call(target, timeout=1.0), UnknownOutcome)
        assert time.monotonic() - started < 5


@pytest.mark.parametrize(
    ("method", "head"),
    [
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n"),
        ("GET", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"),
        ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"),
    ],
)
def test_response_without_a_body_is_complete(method, head):
    with ScriptedTarget([head]) as target:
        result = call(target, method)
        assert result.body == b"" and not result.has_body


def test_call_is_not_dispatched_to_a_leaving_or_closed_target():
    leaving = build_response(b"", "Target-Leaving: 1", status="503 Unavailable")
    with ScriptedTarget([leaving]) as target:
        assert call(target) == NotDispatched("the target is leaving", leaving=True)
    result = call(target)
    assert isinstance(result, NotDispatched) and result.connection_refused


class CrashingTarget(ScriptedTarget):
    def play_script(self, connection, index, script):
        self.close()
        connection.close()


def test_crash_during_a_call_is_distinguished_from_a_broken_connection():
    with CrashingTarget([]) as target:
        result = call(target)
    assert isinstance(result, UnknownOutcome) and result.target_crashed
