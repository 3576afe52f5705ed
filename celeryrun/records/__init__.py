"""Strict decoding of records, addresses and numbers that other processes write."""

from celeryrun.records._address import parse_address
from celeryrun.records._json import UnreadableRecordError, decode_json
from celeryrun.records._numbers import parse_count, parse_number
from celeryrun.records._ranges import (
    HeaderText,
    Milliseconds,
    Rate,
    Sequence,
    Slots,
    Small,
    Weight,
    Whole,
)

__all__ = [
    "HeaderText",
    "Milliseconds",
    "Rate",
    "Sequence",
    "Slots",
    "Small",
    "UnreadableRecordError",
    "Weight",
    "Whole",
    "decode_json",
    "parse_address",
    "parse_count",
    "parse_number",
]
