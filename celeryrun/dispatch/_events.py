"""Server-sent events of an engine's token stream."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
import urllib3

from celeryrun.exception import CeleryrunError

__all__ = ["Event", "MalformedStreamError", "read_events"]

EVENT_PREFIX = b"data: "
MAX_EVENT_BYTES = 65_536


class MalformedStreamError(CeleryrunError):
    """An engine's stream is malformed; resume it after the last valid event."""


class Event(msgspec.Struct):
    """A token, or the end of the stream with its token usage.

    Parameters
    ----------
    id : str
        Stream id.
    index : int
        Position of the token; in the last event, the number of tokens.
    done : bool
        Whether this event ends the stream.
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
    """Yield the events of a response until the connection ends.

    Raises
    ------
    MalformedStreamError
        If an event is too long or cannot be decoded.
    """
    buffer = b""
    while chunk := response.read1():
        *lines, buffer = (buffer + chunk).split(b"\n")
        if len(buffer) > MAX_EVENT_BYTES:
            raise MalformedStreamError(f"an event is longer than {MAX_EVENT_BYTES} bytes; resume")
        for line in lines:
            if line.startswith(EVENT_PREFIX):
                yield _decode(line.removeprefix(EVENT_PREFIX))


def _decode(data: bytes) -> Event:
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise MalformedStreamError(f"an event can't be read ({error}); resume") from error
