"""Decoding of random and altered envelopes."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrun.wire import ConfigurationState, Envelope, Sealer
from celeryrun.wire._envelope import ForeignMessageError

SEALER = Sealer("0123456789abcdef")


def build_envelope(body):
    return Envelope("a", "127.0.0.1:1", "b", 1, 2, 3, 4, ConfigurationState(body))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=512))
def test_random_bytes_are_rejected(data):
    with pytest.raises(ForeignMessageError):
        SEALER.open(data)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=512))
def test_signed_random_bytes_are_rejected(data):
    with pytest.raises(ForeignMessageError):
        SEALER.open(SEALER._mac(data) + data)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=64), st.data())
def test_altered_or_truncated_message_is_rejected(body, data):
    sealed = SEALER.seal(build_envelope(body))
    assert SEALER.open(sealed) == build_envelope(body)
    position = data.draw(st.integers(0, len(sealed) - 1))
    mask = data.draw(st.integers(1, 255))
    altered = sealed[:position] + bytes([sealed[position] ^ mask]) + sealed[position + 1 :]
    with pytest.raises(ForeignMessageError):
        SEALER.open(altered)
    with pytest.raises(ForeignMessageError):
        SEALER.open(sealed[:position])
