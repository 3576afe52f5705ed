"""Numbers in the heads of requests and responses: any bytes, any size."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from celeryrun.platform import read_request, read_response
from celeryrun.transport import RequestHead, ResponseHead

HEAD = [(b"host", b"site.example"), (b"celeryrun-attempt-id", b"a1")]
ODD_NUMBERS = [
    b"9" * 5000,
    b"1e999",
    b"1e300",
    b"nan",
    b"-1",
    b"inf",
    b"1_0",
    b"0x10",
    "²".encode(),
    "٨٠".encode(),
    b"",
    b" ",
]


def build_request(**numbers):
    """Return a decoded request with headers given as names with ``_`` and values."""
    headers = [(name.replace("_", "-").encode(), value) for name, value in numbers.items()]
    return read_request(RequestHead(b"POST", b"/calls/a", HEAD + headers), b"")


def build_response(limit):
    """Return a decoded response that names a limit."""
    request = build_request()
    return read_response(ResponseHead(200, b"OK", [(b"server-limit", limit)]), request)


def check_ranges(request):
    assert 0 <= request.deadline <= 1e6
    for tokens in (request.prompt_tokens, request.output_tokens, request.expected_output_tokens):
        assert 0 <= tokens <= 10**9


@given(st.binary(max_size=40) | st.sampled_from(ODD_NUMBERS), st.sampled_from(ODD_NUMBERS))
def test_any_numbers_are_decoded_within_their_ranges(first, second):
    check_ranges(
        build_request(
            celeryrun_deadline_ms=first,
            celeryrun_length_hint=second,
            celeryrun_token_usage=first + b"," + second,
        )
    )
    limit = build_response(first).rate_limit
    assert limit is None or 0 <= limit < float("inf")


@pytest.mark.parametrize(
    ("usage", "tokens"),
    [
        (b"1460, 80", (1460, 80)),
        (b"0,00000000000000000007", (0, 7)),
        (b"9" * 5000 + b",1", (10**9, 1)),
        (b"1," + b"9" * 20, (1, 10**9)),
    ],
)
def test_token_counts_are_bounded(usage, tokens):
    request = build_request(celeryrun_token_usage=usage)
    assert (request.prompt_tokens, request.output_tokens) == tokens
    assert request.has_token_counts


@pytest.mark.parametrize("usage", ["²,1".encode(), b"1_0,1", b"-1,1", b"1.5,1", b"1", b"1,2,3"])
def test_other_token_counts_are_no_counts(usage):
    assert not build_request(celeryrun_token_usage=usage).has_token_counts
