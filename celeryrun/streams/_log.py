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

PAGE_RECORDS = 500
CHUNK_BYTES = 64 * 1024
HTTP_OK = 200
HTTP_TOO_MANY = 429

Answer = TypeVar("Answer", bound=msgspec.Struct)


class TooManyAppendsError(CeleryrunError):
    """The log's append rate is exceeded; the append did not take place."""


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
    """Records read at once.

    Parameters
    ----------
    first : int
        Oldest offset that the log still keeps.
    end : int
        Offset that the next append will get.
    now : float
        The platform's clock, in seconds since the epoch.
    records : tuple of Record
        In order of offset.
    """

    first: int
    end: int
    now: float
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Response:
    """One whole answer of the platform."""

    status: int
    data: bytes


class _WireRecord(msgspec.Struct):
    offset: int
    written: float
    body: str


class _WirePage(msgspec.Struct):
    first: int
    end: int
    now: float
    records: list[_WireRecord]


class _WireAppended(msgspec.Struct):
    offset: int


class LogClient:
    """Appends to and reads from the platform's log.

    Parameters
    ----------
    url : str
        Base URL of the service.
    timeout : float
        Seconds to wait for an answer.
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
            If no answer came; the record may have been appended all the same.
        TooManyAppendsError
            If the log refused it for its rate; the record was not appended.
        """
        response = self._call("POST", f"/v1/streams/{stream}/records", body, self._timeout)
        if response.status == HTTP_TOO_MANY:
            raise TooManyAppendsError("the log's append rate is exceeded; append again later")
        if response.status != HTTP_OK:
            raise LogUnavailableError(f"append answered status {response.status}", True)
        return self._decode(response.data, _WireAppended).offset

    def read(self, stream: str, start: int, wait: float = 0.0) -> Page:
        """Read records from an offset on.

        Parameters
        ----------
        stream : str
            Name of the stream.
        start : int
            First offset wanted; older than retention, the oldest kept is returned.
        wait : float
            Seconds that the platform may hold the call while there is nothing new.

        Raises
        ------
        LogUnavailableError
            If no whole answer came.
        """
        path = f"/v1/streams/{stream}/records?start={start}&max={PAGE_RECORDS}&wait={wait}"
        response = self._call("GET", path, None, self._timeout + wait)
        if response.status != HTTP_OK:
            raise LogUnavailableError(f"read answered status {response.status}", False)
        page = self._decode(response.data, _WirePage)
        try:
            records = tuple(
                Record(record.offset, record.written, base64.b64decode(record.body, validate=True))
                for record in page.records
            )
        except ValueError as error:
            raise LogUnavailableError(f"unreadable answer ({error})", False) from error
        return Page(page.first, page.end, page.now, records)

    def _call(self, method: str, path: str, body: bytes | None, timeout: float) -> Response:
        until = time.monotonic() + timeout
        try:
            response: Any = self._http.request(
                method, self._url + path, body=body, timeout=timeout, preload_content=False
            )
            return Response(response.status, _read_all(response, until))
        except urllib3.exceptions.HTTPError as error:
            effect = not isinstance(error, urllib3.exceptions.NewConnectionError)
            raise LogUnavailableError(f"no answer ({type(error).__name__})", effect) from error

    def _decode(self, data: bytes, answer_type: type[Answer]) -> Answer:
        try:
            return msgspec.json.decode(data, type=answer_type)
        except msgspec.MsgspecError as error:
            raise LogUnavailableError(f"unreadable answer ({error})", True) from error


def _read_all(response: Any, until: float) -> bytes:
    # The socket's timeout begins anew with each byte; a slow answer must end all the same.
    chunks = []
    while chunk := response.read1(CHUNK_BYTES):
        chunks.append(chunk)
        if time.monotonic() > until:
            response.close()
            raise urllib3.exceptions.TimeoutError("the answer came too slowly")
    response.release_conn()
    return b"".join(chunks)
