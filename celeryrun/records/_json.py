"""Decoding of JSON records."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from celeryrun.exception import CeleryrunError

__all__ = ["UnreadableRecordError", "decode_json"]

MAX_ERROR_CHARS = 160  # of a decoder's message

T = TypeVar("T")


class UnreadableRecordError(CeleryrunError):
    """A record does not match its published schema; its writer must correct it."""


def decode_json(body: bytes, type: type[T], name: str) -> T:
    """Decode a record.

    Parameters
    ----------
    name : str
        Subject of the error message.

    Raises
    ------
    UnreadableRecordError
        If the body is not JSON, is nested too deeply, or does not match the type.
    """
    try:
        return msgspec.json.decode(body, type=type)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        reason = str(error)[:MAX_ERROR_CHARS]
        raise UnreadableRecordError(f"{name} is not readable ({reason})") from error
