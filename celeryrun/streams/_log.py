"""Client of the platform's append-only log."""

from __future__ import annotations

import base64
import time
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec
import urllib3

from celeryrun.exception import CeleryrunError, LogUnavailableError

__all__ = ["LogClient", "Page", "Record", "TooManyAppendsError"]

MAX_PAGE_RECORDS = 500
CHUNK_BYTES = 64 * 1024
HTTP_OK = 200
ERA_HEADER = "Store-Era"
MAX_ERA_DIGITS = 18  # that any signed 64-bit number holds
HTTP_TOO_MANY_REQUESTS = 429

ResponseT = TypeVar("ResponseT", bound=msgspec.Struct)


class TooManyAppendsError(CeleryrunError):
    """The log's append rate is exceeded; the record was not appended."""


@dataclass(frozen=True, slots=True)
class Record:
    """One record of a stream.

    Parameters
    ----------
    offset : int
        Position in the stream.
    written : float
        Time of the append by the platform's clock, in seconds since the epoch.
    body : bytes
        Content.
    """

    offset: int
    written: float
    body: bytes


@dataclass(frozen=True, slots=True)
class Page:
    """Records returned by one read.

    Parameters
    ----------
    first : int
        Oldest offset that the log still keeps.
    end : int
        Offset of the next append.
    now : float
        The platform's clock, in seconds since the epoch.
    records : tuple of Record
        In order of offset.
    era : int
        Rises each time that the log is restored from a copy, after which it gives offsets out
        again; 0 if the platform names none.
    """

    first: int
    end: int
    now: float
    records: tuple[Record, ...]
    era: int = 0


@dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response of the log."""

    status: int
    data: bytes
    era: int = 0


class _RecordBody(msgspec.Struct):
    offset: int
    written: float
    body: str


class _PageBody(msgspec.Struct):
    first: int
    end: int
    now: float
    records: list[_RecordBody]


class _AppendBody(msgspec.Struct):
    offset: int


class LogClient:
    """Appends to and reads from the platform's log.

    Parameters
    ----------
    url : str
        Base URL of the service.
    timeout : float
        Limit of one call, in seconds.
    """

    __slots__ = ("_http", "_timeout", "_url")

    def __init__(self, url: str, timeout: float) -> None:
        self._url = url
        self._timeout = timeout
        self._http = urllib3.PoolManager(maxsize=4, retries=False)

    def append(self, stream: str, body: bytes) -> int:
        """Append one record.

        Returns
        -------
        int
            The record's offset.

        Raises
        ------
        LogUnavailableError
            If there is no readable response with status 200. Its ``effect_possible`` tells whether
            the record may have been appended.
        TooManyAppendsError
            If the append rate is exceeded; the record was not appended.
        """
        response = self._call("POST", f"/v1/streams/{stream}/records", body, self._timeout)
        if response.status == HTTP_TOO_MANY_REQUESTS:
            raise TooManyAppendsError("the log's append rate is exceeded; append again later")
        if response.status != HTTP_OK:
            raise LogUnavailableError(f"append returned status {response.status}", True)
        return self._decode(response.data, _AppendBody).offset

    def read(self, stream: str, start: int, wait: float = 0.0) -> Page:
        """Read records from an offset.

        Parameters
        ----------
        stream : str
            Name of the stream.
        start : int
            First offset to read; if the log no longer keeps it, the oldest record that it keeps.
        wait : float
            Seconds for which the log may delay the response while there is no record to return.

        Raises
        ------
        LogUnavailableError
            If there is no readable response with status 200.
        """
        path = f"/v1/streams/{stream}/records?start={start}&max={MAX_PAGE_RECORDS}&wait={wait}"
        response = self._call("GET", path, None, self._timeout + wait)
        if response.status != HTTP_OK:
            raise LogUnavailableError(f"read returned status {response.status}", False)
        page = self._decode(response.data, _PageBody)
        try:
            records = tuple(
                Record(record.offset, record.written, base64.b64decode(record.body, validate=True))
                for record in page.records
            )
        except ValueError as error:
            raise LogUnavailableError(f"unreadable response ({error})", False) from error
        return Page(page.first, page.end, page.now, records, response.era)

    def _call(self, method: str, path: str, body: bytes | None, timeout: float) -> Response:
        deadline = time.monotonic() + timeout
        try:
            response: Any = self._http.request(
                method, self._url + path, body=body, timeout=timeout, preload_content=False
            )
            era = response.headers.get(ERA_HEADER, "0")
            if not era.isascii() or not era.isdigit() or len(era) > MAX_ERA_DIGITS:
                raise LogUnavailableError(f"unreadable era {era[:MAX_ERA_DIGITS]!r}", True)
            return Response(response.status, _read_all(response, deadline), int(era))
        except urllib3.exceptions.HTTPError as error:
            effect_possible = not isinstance(error, urllib3.exceptions.NewConnectionError)
            raise LogUnavailableError(
                f"no answer ({type(error).__name__})", effect_possible
            ) from error

    def _decode(self, data: bytes, response_type: type[ResponseT]) -> ResponseT:
        try:
            return msgspec.json.decode(data, type=response_type)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise LogUnavailableError(f"unreadable response ({error})", True) from error


def _read_all(response: Any, deadline: float) -> bytes:
    # The socket's timeout restarts with each byte, so the deadline bounds the whole response.
    chunks = []
    while chunk := response.read1(CHUNK_BYTES):
        chunks.append(chunk)
        if time.monotonic() > deadline:
            response.close()
            raise urllib3.exceptions.TimeoutError("the response was not complete in time")
    response.release_conn()
    return b"".join(chunks)
