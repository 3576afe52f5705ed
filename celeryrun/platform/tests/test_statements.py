"""Decoding of what a target's response says of its target."""

import pytest

from celeryrun.platform import read_request, read_response
from celeryrun.transport import RequestHead, ResponseHead


def build_request(id=b"a1"):
    headers = [(b"host", b"site.example"), (b"celeryrun-attempt-id", id)]
    return read_request(RequestHead(b"POST", b"/calls/a", headers), b"")


def build_response(*headers, status=200, id=b"a1"):
    head = ResponseHead(status, b"", [(b"celeryrun-attempt-id", id), *headers])
    return read_response(head, build_request())


@pytest.mark.parametrize(
    "values, leaving",
    [
        ([b"1"], True),
        ([b"1", b"1"], True),
        ([], False),
        ([b"0"], False),
        ([b""], False),
        ([b"true"], False),
        ([b"1.0"], False),
        ([b"1", b"0"], False),
        ([b"1" * 5000], False),
    ],
)
def test_leaving_is_stated_by_one_value_only(values, leaving):
    headers = [(b"server-leaving", value) for value in values]
    assert build_response(*headers).leaving is leaving
    assert build_response(*headers, status=503).leaving is leaving


def test_other_target_at_the_address_speaks_of_itself():
    assert not build_response((b"server-leaving", b"1"), status=421).leaving


@pytest.mark.parametrize(
    "values, pause",
    [
        ([b"3"], 3.0),
        ([b"0.05"], 0.05),
        ([b"2", b"5"], 5.0),
        ([], None),
        ([b""], None),
        ([b"-3"], None),
        ([b"nan"], None),
        ([b"inf"], None),
        ([b"1e9"], None),
        ([b"1_0"], None),
        ([b"3 s"], None),
        ([b"Sat, 05 Dec 2026 03:00:00 GMT"], None),
        ([b"9" * 5000], float("inf")),
    ],
)
def test_pause_is_a_decimal_number(values, pause):
    headers = [(b"retry-after", value) for value in values]
    refusal = (b"celeryrun-not-executed", b"1")
    assert build_response(refusal, *headers, status=503).pause == pause


def test_only_a_target_that_turns_the_request_away_pauses():
    retry_after, refusal = (b"retry-after", b"3"), (b"celeryrun-not-executed", b"1")
    assert build_response(retry_after, status=503).pause is None
    assert build_response(retry_after, refusal, status=429).pause is None
    assert build_response(retry_after, refusal, status=503, id=b"another").pause is None
    assert build_response(retry_after).pause is None
