"""Engine streams that break, repeat or mix up events, or time out."""

import json
import threading
import time

import pytest

from celeryrun.dispatch import ApplicationResponse, EngineStream, Token, UnknownOutcome, Usage
from celeryrun.dispatch import _engine as engine
from celeryrun.tests.builders import build_events, build_response
from standins.scripted import STAY_SILENT, ScriptedTarget

TOKENS = [Token(0, "0"), Token(1, "1"), Token(2, "2")]
COMPLETE_STREAM = [*TOKENS, Usage(1, 0, 3)]


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    monkeypatch.setattr(engine, "EVENT_TIMEOUT", 0.2)
    monkeypatch.setattr(engine, "HEAD_TIMEOUT", 0.2)
    monkeypatch.setattr(engine, "RESUME_DELAY", 0.01)


def stream_from(target, timeout=10.0):
    return EngineStream(target.address, "s", "prompt", 3, time.monotonic() + timeout)


def complete_stream(*indexes):
    return build_events("s", *indexes, end=3)


def test_limit_of_a_stream_counts_bytes_rather_than_characters(monkeypatch):
    monkeypatch.setattr(engine, "MAX_RESPONSE_BYTES", 10)
    event = json.dumps({"id": "s", "index": 0, "text": "\u00f1" * 6}).encode()
    with ScriptedTarget([build_events("s") + b"data: " + event + b"\n\n", STAY_SILENT]) as target:
        outcome = list(stream_from(target).events())[-1]
    assert isinstance(outcome, UnknownOutcome) and "larger than 10 bytes" in outcome.reason


BROKEN_SCRIPTS = {
    "ends early": [build_events("s", 0, 1)],
    "cut in an event": [build_events("s", 0)[:-9]],
    "event of another stream": [build_events("s", 0), build_events("another", 1, head=False)],
    "skipped event": [build_events("s", 0, 2, end=3)],
    "duplicates": [build_events("s", 0, 0, 1, 1)],
    "malformed event": [build_events("s", 0), b"data: {]\n\n"],
    "oversized event": [build_events("s", 0), b"data: " + b"x" * 200_000],
    "no head": [],
    "timeout before the head": [STAY_SILENT],
    "timeout in the stream": [build_events("s", 0), STAY_SILENT],
}


@pytest.mark.parametrize("case", BROKEN_SCRIPTS)
def test_broken_stream_is_resumed_without_lost_or_repeated_tokens(case):
    remainder = [complete_stream(0, 1, 2)]
    with ScriptedTarget(BROKEN_SCRIPTS[case], remainder) as target:
        assert list(stream_from(target).events()) == COMPLETE_STREAM
        methods = [request.split(b" ")[0] for request in target.requests]
        assert methods == [b"POST", b"GET"]


def test_slow_engine_is_resumed_beyond_the_event_timeout():
    no_tokens = [build_events("s"), STAY_SILENT]
    with ScriptedTarget(*[no_tokens] * 4, [complete_stream(0, 1, 2)]) as target:
        stream = stream_from(target)
        assert list(stream.events()) == COMPLETE_STREAM
        assert stream.resume_count == 4


def test_error_response_of_the_engine_ends_the_stream():
    error_response = build_response(b"too long", status="400 Bad Request")
    with ScriptedTarget([error_response]) as target:
        assert list(stream_from(target).events()) == [ApplicationResponse(400, (), b"too long")]
        assert len(target.requests) == 1


def test_engine_that_lost_the_stream_has_crashed():
    not_found = build_response(b"", status="404 Not Found")
    with ScriptedTarget([build_events("s", 0)], [not_found]) as target:
        *tokens, end = stream_from(target).events()
    assert tokens == TOKENS[:1]
    assert isinstance(end, UnknownOutcome) and end.target_crashed


def test_engine_that_never_received_the_stream_has_not_crashed():
    with ScriptedTarget([STAY_SILENT], [build_response(b"", status="404 Not Found")]) as target:
        (end,) = stream_from(target).events()
    assert isinstance(end, UnknownOutcome) and not end.target_crashed


def test_stream_ends_after_too_many_failures():
    with ScriptedTarget([build_events("s", 0)]) as target:
        *_, end = stream_from(target).events()
    assert isinstance(end, UnknownOutcome) and not end.target_crashed


def test_stream_without_events_ends_at_its_deadline():
    with ScriptedTarget([build_events("s", 0), STAY_SILENT]) as target:
        started = time.monotonic()
        *_, end = stream_from(target, timeout=0.5).events()
        assert isinstance(end, UnknownOutcome)
        assert time.monotonic() - started < 5


def test_abort_ends_a_wait_for_events():
    with ScriptedTarget([build_events("s", 0), STAY_SILENT]) as target:
        stream = stream_from(target, timeout=60.0)
        threading.Timer(0.1, stream.abort).start()
        *_, end = stream.events()
        assert isinstance(end, UnknownOutcome)
        assert len(target.requests) == 1


@pytest.mark.parametrize(
    "script",
    [
        [build_response(b"", "Request-Id: another", "Target-Leaving: 1", status=503)],
        [b"HTTP/1.1 503 Leaving\r\nRequest-Id: s\r\nTarget-Leaving: 1\r\n"],
        [b"HTTP/1.1 500 Failed\r\nRequest-Id: s\r\nContent-Length: 0\r\n"],
        [b"HTTP/1.1 200 OK\r\nRequest-Id: s\r\nContent-Le"],
    ],
    ids=["earlier refusal", "refusal cut in its head", "error cut in its head", "cut head"],
)
def test_refusal_of_another_request_or_cut_head_is_no_response(script):
    remainder = [complete_stream(0, 1, 2)]
    with ScriptedTarget(script, remainder) as target:
        assert list(stream_from(target).events())[-1] in (
            Usage(1, 0, 3),
            UnknownOutcome("the target answered another request"),
        )


@pytest.mark.parametrize(
    "failure",
    [
        build_response(b"failed", "Request-Id: s", status=500),
        build_response(b"", "Request-Id: s", "Target-Leaving: 1", status=503),
        b"HTTP/1.1 200 OK\r\nRequest-Id: s\r\nContent-Le",
    ],
    ids=["error", "refusal", "cut head"],
)
def test_error_response_to_a_resumption_adds_nothing_to_the_stream(failure):
    with ScriptedTarget([build_events("s", 0)], [failure], [complete_stream(1, 2)]) as target:
        assert list(stream_from(target).events()) == COMPLETE_STREAM
