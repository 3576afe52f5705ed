"""Messages between nodes: any bytes, and errors in their handlers, end at most the link."""

import struct
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from celeryrun.gateway._links import Feed, Link, NewerConfiguration
from celeryrun.platform import UnreadableRecordError, decode_catalog

DEEP_ARRAYS = b"\x91" * 100_000
DEEP_MAPS = b"\x81\xa1a" * 100_000


class TransportStub:
    """Transport that records whether it was aborted."""

    def __init__(self):
        self.aborted = False

    def abort(self):
        self.aborted = True


def build_link(on_message=lambda link, message: None):
    """Return a link with its transport and the list of links that were closed."""
    closed = []
    link = Link(on_message, closed.append)
    transport = TransportStub()
    link.connection_made(transport)
    return link, transport, closed


def frame(content):
    """Return a message with its length."""
    return struct.pack(">I", len(content)) + content


@pytest.mark.parametrize("content", [DEEP_ARRAYS, DEEP_MAPS, b"", b"\xc1", b"\x91\xa4None"])
def test_malformed_message_closes_the_link(content):
    link, transport, closed = build_link()
    link.data_received(frame(content))
    assert closed == [link] and transport.aborted


@given(st.binary(max_size=60))
def test_any_bytes_are_messages_or_close_the_link(data):
    link, _, closed = build_link()
    link.data_received(data)
    link.data_received(frame(data))
    assert closed in ([], [link])


def test_error_in_the_handler_of_a_message_closes_the_link():
    def fail(link, message):
        raise OverflowError("int too big to convert")

    link, transport, closed = build_link(fail)
    link.data_received(frame(b"\x91\xa7Leaving") * 2)
    assert closed == [link] and transport.aborted


@pytest.mark.parametrize(
    "records",
    [DEEP_ARRAYS, DEEP_MAPS, b"\x91" * 3, b"", b"\x91\x92\xa1a\x07", b"\x91\x92\xc4\x01a\xc0"],
)
def test_malformed_records_of_a_feed_raise_value_error(records):
    with pytest.raises(ValueError):
        Feed(0, 1, 0, 1, zlib.compress(records)).page  # noqa: B018


@given(st.binary(max_size=60))
def test_any_compressed_bytes_raise_value_error_or_are_records(data):
    for compressed in (data, zlib.compress(data)):
        try:
            assert all(
                record.key is not None for record in Feed(0, 1, 0, 1, compressed).page.records
            )
        except ValueError:
            pass
        try:
            decode_catalog(NewerConfiguration(compressed).record)
        except (ValueError, UnreadableRecordError):
            pass


def test_nested_configuration_of_a_peer_is_unreadable():
    message = NewerConfiguration.from_record(b"[" * 100_000 + b"]" * 100_000)
    with pytest.raises(UnreadableRecordError):
        decode_catalog(message.record)
