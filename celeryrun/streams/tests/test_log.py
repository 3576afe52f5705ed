"""Answers of the log that can't be read."""

import base64

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrun.exception import LogUnavailableError
from celeryrun.streams import LogClient
from celeryrun.streams._log import Response

WHOLE = msgspec.json.encode(
    {
        "first": 0,
        "end": 1,
        "now": 2.0,
        "records": [{"offset": 0, "written": 1.0, "body": base64.b64encode(b"x").decode()}],
    }
)


class Scripted(LogClient):
    """Client of a log that gives one answer."""

    def __init__(self, data):
        super().__init__("http://127.0.0.1:1", 1.0)
        self.data = data

    def _call(self, method, path, body, timeout):
        return Response(200, self.data)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=200))
def test_random_answer_is_no_page(data):
    with pytest.raises(LogUnavailableError):
        Scripted(data).read("claims", 0)
    with pytest.raises(LogUnavailableError):
        Scripted(data).append("claims", b"x")


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.integers(0, len(WHOLE) - 1), st.integers(0, 255))
def test_cut_or_altered_answer_is_read_or_refused(place, byte):
    with pytest.raises(LogUnavailableError):
        Scripted(WHOLE[:place]).read("claims", 0)
    try:
        Scripted(WHOLE[:place] + bytes([byte]) + WHOLE[place + 1 :]).read("claims", 0)
    except LogUnavailableError:
        pass
