"""Unreadable responses of the log."""

import base64

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrun.exception import LogUnavailableError
from celeryrun.streams import LogClient
from celeryrun.streams._log import Response

VALID_PAGE = msgspec.json.encode(
    {
        "first": 0,
        "end": 1,
        "now": 2.0,
        "records": [{"offset": 0, "written": 1.0, "body": base64.b64encode(b"x").decode()}],
    }
)


class FixedResponseClient(LogClient):
    """Client that gets the same response to every call."""

    def __init__(self, data):
        super().__init__("http://127.0.0.1:1", 1.0)
        self.data = data

    def _call(self, method, path, body, timeout):
        return Response(200, self.data)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=200))
def test_random_response_is_rejected(data):
    with pytest.raises(LogUnavailableError):
        FixedResponseClient(data).read("claims", 0)
    with pytest.raises(LogUnavailableError):
        FixedResponseClient(data).append("claims", b"x")


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.integers(0, len(VALID_PAGE) - 1), st.integers(0, 255))
def test_truncated_or_altered_response_is_read_or_rejected(position, byte):
    with pytest.raises(LogUnavailableError):
        FixedResponseClient(VALID_PAGE[:position]).read("claims", 0)
    try:
        FixedResponseClient(
            VALID_PAGE[:position] + bytes([byte]) + VALID_PAGE[position + 1 :]
        ).read("claims", 0)
    except LogUnavailableError:
        pass


@pytest.mark.parametrize("data", [b"[" * 100_000, b'{"odd":' + b"[" * 100_000])
def test_nested_response_is_rejected(data):
    with pytest.raises(LogUnavailableError):
        FixedResponseClient(data + b"]" * 100_000).read("claims", 0)


class FixedEraHttp:
    """HTTP pool whose responses name the same era."""

    def __init__(self, era):
        self.headers = {"Store-Era": era}
        self.status = 200

    def request(self, *arguments, **options):
        return self


@pytest.mark.parametrize("era", ["\u00b2", "9" * 5000, "-1", "1e3", ""])
def test_unreadable_era_is_rejected(era):
    client = LogClient("http://127.0.0.1:1", 1.0)
    client._http = FixedEraHttp(era)
    with pytest.raises(LogUnavailableError, match="unreadable era"):
        client.read("claims", 0)
