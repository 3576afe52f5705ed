"""Client of the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
import struct
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from celeryrun.exception import CeleryrunError
from celeryrun.settings import Address, GatewaySettings
from celeryrun.transport import Exchange, TargetFailedError, open_exchange

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TOPIC",
    "NODES_TOPIC",
    "TARGETS_TOPIC",
    "KeyedPage",
    "KeyedRecord",
    "Store",
    "StoreUnavailableError",
]

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
TARGETS_TOPIC = "keyed.servers"
NODES_TOPIC = "keyed.status"

CONNECT_TIMEOUT = 0.5  # s, some round trips and one lost packet
ANSWER_TIMEOUT = 0.6  # s beyond what a call may wait; the store answers in some ms
READ_KB = 1024  # of one read, the most that the store gives
OFFSETS = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")
HTTP_OK = 200
HTTP_GONE = 410


class StoreUnavailableError(CeleryrunError):
    """A call has no usable answer; it may have been executed all the same."""


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The newest value of a key; None where the key was dropped."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records of a topic.

    Parameters
    ----------
    next_offset : int
        Offset from which to read on.
    is_snapshot : bool
        Whether these are the newest records of all keys rather than what has changed.
    at_end : bool
        Whether there were no further records.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    is_snapshot: bool
    at_end: bool


class _Item(msgspec.Struct, rename="camel"):
    key: str
    value: str


class _Newest(msgspec.Struct, rename="camel"):
    items: list[_Item]
    end: int
    more_pages: bool = False


class Store:
    """Service that calls the store, each time on a connection of its own.

    Parameters
    ----------
    address : Address
        Where the store is.
    """

    __slots__ = ("address", "call_count")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.call_count = 0

    def start(self) -> None:
        """Nothing runs between calls."""

    def stop(self) -> None:
        """Nothing is held between calls."""

    def apply(self, settings: GatewaySettings) -> None:
        """Use changed settings."""
        self.address = settings.store.address

    async def read_snapshot(self, topic: str) -> KeyedPage:
        """Read the newest record of each key of a topic.

        Raises
        ------
        StoreUnavailableError
            If there is no usable answer.
        """
        records: list[KeyedRecord] = []
        end: int | None = None
        after = ""
        while True:
            path = f"/celeryrun/log-newest?topic={topic}&part=0"
            path += f"&after={quote(after, safe='')}" if after else ""
            status, body = await self._call("GET", path)
            if status != HTTP_OK:
                raise StoreUnavailableError(f"reading {topic} answered {status}; wait for it")
            page = _decode_newest(body)
            records += [KeyedRecord(item.key, _decode_value(item)) for item in page.items]
            end = page.end if end is None else end
            if not page.more_pages or not page.items:
                return KeyedPage(tuple(records), end, is_snapshot=True, at_end=True)
            after = page.items[-1].key

    async def read(self, topic: str, start: int, wait: float) -> KeyedPage | None:
        """Read what was appended from an offset on, or None if that is no longer kept.

        Parameters
        ----------
        wait : float
            Seconds that the store may hold the call while there is nothing new.

        Raises
        ------
        StoreUnavailableError
            If there is no usable answer.
        """
        path = f"/celeryrun/log-read?topic={topic}&part=0&from={start}&maxKb={READ_KB}"
        status, body = await self._call("GET", f"{path}&waitMs={int(wait * 1000)}", wait=wait)
        if status == HTTP_GONE:
            return None
        if status != HTTP_OK or len(body) < OFFSETS.size:
            raise StoreUnavailableError(f"reading {topic} answered {status}; wait for it")
        end, _ = OFFSETS.unpack_from(body)
        raw = list(_split_records(body, OFFSETS.size))
        records = [record for record in map(_decode_keyed, raw) if record is not None]
        following = start + len(raw)
        return KeyedPage(tuple(records), following, is_snapshot=False, at_end=following >= end)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append the newest value of a key.

        Raises
        ------
        StoreUnavailableError
            If there is no usable answer; the value may stand there all the same.
        """
        content = bytes([len(key.encode())]) + key.encode() + value
        body = LENGTH.pack(len(content)) + content
        status, _ = await self._call("POST", f"/celeryrun/log-append?topic={topic}&part=0", body)
        if status != HTTP_OK:
            raise StoreUnavailableError(f"appending to {topic} answered {status}; wait for it")

    async def _call(
        self, method: str, path: str, body: bytes = b"", wait: float = 0.0
    ) -> tuple[int, bytes]:
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n"
        if method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        head += "Connection: close\r\n\r\n"
        self.call_count += 1
        exchange: Exchange | None = None
        try:
            exchange = await open_exchange(self.address.host, self.address.port, CONNECT_TIMEOUT)
            async with asyncio.timeout(wait + ANSWER_TIMEOUT):
                await exchange.send(head.encode() + body)
                answer = await exchange.read_head()
                parts = []
                while part := await exchange.read_body():
                    parts.append(part)
        except (TargetFailedError, TimeoutError) as error:
            raise StoreUnavailableError(f"no answer to {path.split('?')[0]} ({error})") from error
        finally:
            if exchange is not None:
                exchange.close()
        return answer.status, b"".join(parts)


def _decode_newest(body: bytes) -> _Newest:
    try:
        return msgspec.json.decode(body, type=_Newest)
    except msgspec.MsgspecError as error:
        raise StoreUnavailableError(f"unreadable page ({error}); wait for the store") from error


def _decode_value(item: _Item) -> bytes | None:
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        # Told apart from a dropped key by its content: whoever decodes it says what is wrong.
        return b"\xff"


def _split_records(body: bytes, offset: int) -> list[bytes]:
    """Return the whole records; a cut one at the end is read again by the next call."""
    records = []
    while offset + LENGTH.size <= len(body):
        (length,) = LENGTH.unpack_from(body, offset)
        offset += LENGTH.size
        if offset + length > len(body):
            break
        records.append(body[offset : offset + length])
        offset += length
    return records


def _decode_keyed(record: bytes) -> KeyedRecord | None:
    """Return a keyed record, or None for one that names no key."""
    if not record or len(record) < 1 + record[0]:
        return None
    end = 1 + record[0]
    key = record[1:end].decode("utf-8", "replace")
    return KeyedRecord(key, record[end:] or None)
