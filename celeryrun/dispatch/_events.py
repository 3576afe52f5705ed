"""Events of an engine's stream."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
import urllib3

from celeryrun.exception import CeleryrunError

__all__ = ["Event", "MalformedStreamError", "read_events"]

EVENT_PREFIX = b"data: "
MAX_EVENT_BYTES = 65_536


class MalformedStreamError(CeleryrunError):
    """An engine's stream can't be read; resume it from the last good event."""


class Event(msgspec.Struct):
    """One token, or the end of the answer with what it used.

    Parameters
    ----------
    id : str
        The stream.
    index : int
        Position of the token; that of the end is the count of tokens.
    """

    id: str
    index: int
    text: str = ""
    done: bool = False
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


_decoder = msgspec.json.Decoder(Event)


def read_events(response: urllib3.BaseHTTPResponse) -> Iterator[Event]:
    """Yield events until the connection ends.

    Raises
    ------
    MalformedStreamError
        If an event can't be read.
    """
    rest = b""
    while part := response.read1():
        *lines, rest = (rest + part).split(b"\n")
        if len(rest) > MAX_EVENT_BYTES:
            raise MalformedStreamError(f"an event is longer than {MAX_EVENT_BYTES} bytes; resume")
        for line in lines:
            if line.startswith(EVENT_PREFIX):
                yield _decode(line.removeprefix(EVENT_PREFIX))


def _decode(data: bytes) -> Event:
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise MalformedStreamError(f"an event can't be read ({error}); resume") from error
