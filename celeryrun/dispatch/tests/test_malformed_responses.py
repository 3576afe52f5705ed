"""Responses of targets to `celeryrun node` that are none in HTTP/1.1, or of unknown length."""

import time

import pytest

from celeryrun.dispatch import ApplicationResponse, UnknownOutcome, call_application
from standins.scripted import ScriptedTarget

ID = b"Request-Id: r-1\r\n"
START = b"HTTP/1.1 200 OK\r\n"
CHUNKS = b"5\r\nfresh\r\n0\r\n\r\n"


def call(response):
    """Return the result of a call whose target sends this response and closes."""
    with ScriptedTarget([response]) as target:
        deadline = time.monotonic() + 5.0
        return call_application(target.address, "POST", "/a", b"", {"Request-Id": "r-1"}, deadline)


@pytest.mark.parametrize(
    "response",
    [
        *(
            b"HTTP/1.1 %b OK\r\n" % status + ID + b"Content-Length: 5\r\n\r\nfresh"
            for status in (b"000", b"099", b"600", b"999")
        ),
        b"HTTP/2.0 200 OK\r\n" + ID + b"Content-Length: 5\r\n\r\nfresh",
        START + ID + b"Content-Length: 9x\r\n\r\nfresh",
        START + ID + b"Content-Length: 0_9\r\n\r\nfresh",
        START + ID + b"Transfer-Encoding: xchunked\r\n\r\nfresh",
        START + ID + b"Transfer-Encoding: gzip, chunked\r\n\r\n" + CHUNKS,
        START + b"Bad Name: a\r\nRequest-Id: another\r\nContent-Length: 5\r\n\r\nfresh",
        START + b"Content-Length: 5\r\nBad\x01Name: a\r\nRequest-Id: another\r\n\r\nfresh",
        START + b"Content-Length: 5\r\nBad Name: a\r\nRequest-Id: another\r\n\r\nfresh",
    ],
)
def test_malformed_response_is_an_unknown_outcome(response):
    """Bodies were taken for whole, and lines behind a malformed one, as the id, for none."""
    result = call(response)
    assert isinstance(result, UnknownOutcome), result


@pytest.mark.parametrize(
    "response",
    [
        START + ID + b"Content-Length: 5 \t\r\n\r\nfresh",
        START + ID + b"Transfer-Encoding: chunked\t\r\n\r\n" + CHUNKS,
        START + b"!#$%&'*+-.^_`|~: a\r\n" + ID + b"Transfer-Encoding: Chunked\r\n\r\n" + CHUNKS,
        b"HTTP/1.1 200\r\n" + ID + b"Content-Length: 5\r\n\r\nfresh",
    ],
)
def test_sound_response_of_unusual_form_is_whole(response):
    assert call(response) == ApplicationResponse(200, (), b"fresh")
