"""Lengths of callers' bodies: any digits, any size."""

import io

import pytest

from celeryrun.front._request import _read_body


def read_body(length, data=b"abc"):
    return _read_body({"CONTENT_LENGTH": length, "wsgi.input": io.BytesIO(data)}, 100)


@pytest.mark.parametrize(
    ("length", "kind"),
    [
        ("\u00b2", "bad-length"),
        ("-1", "bad-length"),
        ("1e2", "bad-length"),
        ("9" * 5000, "body-too-large"),
        ("101", "body-too-large"),
        ("4", "short-body"),
    ],
)
def test_odd_length_is_refused(length, kind):
    assert read_body(length).kind == kind


def test_body_of_its_length_is_read():
    assert read_body("3") == b"abc"
