"""Streams of engines that break, cross, repeat and fall silent."""

import threading
import time

import pytest

from celeryrun.dispatch import ApplicationResponse, EngineStream, Token, UnknownOutcome, Usage
from celeryrun.dispatch import _engine as engine
from celeryrun.tests.builders import build_answer, build_events
from standins.scripted import HOLD, ScriptedTarget

TOKENS = [Token(0, "0"), Token(1, "1"), Token(2, "2")]
WHOLE = [*TOKENS, Usage(1, 0, 3)]


@pytest.fixture(autouse=True)
def short_silence(monkeypatch):
    monkeypatch.setattr(engine, "SILENCE", 0.2)
    monkeypatch.setattr(engine, "HEAD_SILENCE", 0.2)
    monkeypatch.setattr(engine, "RESUME_PAUSE", 0.01)


def stream_from(target, patience=10.0):
    return EngineStream(target.address, "s", "prompt", 3, time.monotonic() + patience)


def whole(*indexes):
    return build_events("s", *indexes, end=3)


BREAKS = {
    "ends early": [build_events("s", 0, 1)],
    "cut in an event": [build_events("s", 0)[:-9]],
    "crossed": [build_events("s", 0), build_events("another", 1, head=False)],
    "gap": [build_events("s", 0, 2, end=3)],
    "duplicates": [build_events("s", 0, 0, 1, 1)],
    "unreadable": [build_events("s", 0), b"data: {]\n\n"],
    "endless event": [build_events("s", 0), b"data: " + b"x" * 200_000],
    "no head": [],
    "silent before the head": [HOLD],
    "silent in the stream": [build_events("s", 0), HOLD],
}


@pytest.mark.parametrize("case", BREAKS)
def test_broken_stream_is_resumed_and_no_token_is_lost_or_repeated(case):
    rest = [whole(0, 1, 2)]
    with ScriptedTarget(BREAKS[case], rest) as target:
        assert list(stream_from(target).events()) == WHOLE
        methods = [request.split(b" ")[0] for request in target.requests]
        assert methods == [b"POST", b"GET"]


def test_engine_that_thinks_long_is_waited_for():
    quiet = [build_events("s"), HOLD]
    with ScriptedTarget(*[quiet] * 4, [whole(0, 1, 2)]) as target:
        stream = stream_from(target)
        assert list(stream.events()) == WHOLE
        assert stream.resumes == 4


def test_refusal_of_the_engine_is_its_answer():
    refused = build_answer(b"too long", status="400 Bad Request")
    with ScriptedTarget([refused]) as target:
        assert list(stream_from(target).events()) == [ApplicationResponse(400, (), b"too long")]
        assert len(target.requests) == 1


def test_engine_that_lost_the_stream_has_died():
    forgotten = build_answer(b"", status="404 Not Found")
    with ScriptedTarget([build_events("s", 0)], [forgotten]) as target:
        *tokens, end = stream_from(target).events()
    assert tokens == TOKENS[:1]
    assert isinstance(end, UnknownOutcome) and end.target_crashed


def test_engine_that_never_knew_the_stream_has_not_died():
    with ScriptedTarget([HOLD], [build_answer(b"", status="404 Not Found")]) as target:
        (end,) = stream_from(target).events()
    assert isinstance(end, UnknownOutcome) and not end.target_crashed


def test_stream_that_breaks_for_ever_is_given_up():
    with ScriptedTarget([build_events("s", 0)]) as target:
        *_, end = stream_from(target).events()
    assert isinstance(end, UnknownOutcome) and not end.target_crashed


def test_silent_stream_ends_at_its_deadline():
    with ScriptedTarget([build_events("s", 0), HOLD]) as target:
        started = time.monotonic()
        *_, end = stream_from(target, patience=0.5).events()
        assert isinstance(end, UnknownOutcome)
        assert time.monotonic() - started < 5


def test_abort_ends_a_silent_wait():
    with ScriptedTarget([build_events("s", 0), HOLD]) as target:
        stream = stream_from(target, patience=60.0)
        threading.Timer(0.1, stream.abort).start()
        *_, end = stream.events()
        assert isinstance(end, UnknownOutcome)
        assert len(target.requests) == 1
