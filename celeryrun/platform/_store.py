"""Client of the platform's metadata store, a log with keyed topics."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from collections.abc import Callable
from typing import Annotated, Any
from urllib.parse import quote

import msgspec

from celeryrun.exception import CeleryrunError
from celeryrun.history import KeyedPage, KeyedRecord, Position
from celeryrun.platform._names import STORE_ERA
from celeryrun.settings import Address, GatewaySettings
from celeryrun.transport import Exchange, TargetFailedError, open_exchange

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TOPIC",
    "FLEET_TOPIC",
    "NODES_TOPIC",
    "STREAMS_TOPIC",
    "TARGETS_TOPIC",
    "Store",
    "StoreUnavailableError",
]

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
TARGETS_TOPIC = "keyed.servers"
NODES_TOPIC = "keyed.status"
# The system's own topics, unlike those above.
STREAMS_TOPIC = "keyed.streams"
FLEET_TOPIC = "keyed.fleet"

CONNECT_TIMEOUT = 0.5  # s, enough for several round trips and one lost packet
RESPONSE_TIMEOUT = 0.6  # s on top of the wait of a call; the store responds within milliseconds
MAX_READ_KB = 1024  # the store's upper limit for one read
MAX_OFFSET = 2**63 - 1
MAX_ERA_DIGITS = 18  # that any signed 64-bit number holds
MAX_KEY_CHARS = 255
END_AND_FIRST_OFFSET = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")
HTTP_OK = 200
HTTP_GONE = 410


class StoreUnavailableError(CeleryrunError):
    """A call got no usable response; the store may have executed it nevertheless."""


class _SnapshotItem(msgspec.Struct, rename="camel"):
    key: str
    value: str


class _SnapshotPage(msgspec.Struct, rename="camel"):
    items: list[Any]
    end: Annotated[int, msgspec.Meta(ge=0, le=MAX_OFFSET)]
    more_pages: bool = False


class Store:
    """Service that calls the store, with one connection per call.

    Parameters
    ----------
    address : Address
        Host and port of the store.

    Attributes
    ----------
    era : int
        Number of times that the store was restored from a copy, as far as this process knows; it
        may begin at any value. 0 before the first response, and if the store sends none.
    era_watchers : list of callable
        Called with each later era.
    """

    __slots__ = ("address", "era", "era_watchers")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.era = 0
        self.era_watchers: list[Callable[[int], None]] = []

    def start(self) -> None:
        """Do nothing, as no task runs between calls."""

    def stop(self) -> None:
        """Do nothing, as no connection is open between calls."""

    def apply(self, settings: GatewaySettings) -> None:
        """Use the store address of changed settings from the next call on."""
        self.address = settings.store.address

    def advance_era(self, era: int) -> None:
        """Note an era that the store or another node has named; an earlier one is ignored."""
        if era > self.era:
            self.era = era
            for watcher in self.era_watchers:
                watcher(era)

    async def read_snapshot(self, topic: str) -> KeyedPage:
        """Read the latest record of every key of a topic.

        Raises
        ------
        StoreUnavailableError
            If a call gets no usable response, or the store is restored between two pages.
        """
        records: list[KeyedRecord] = []
        end: Position | None = None
        after_key = ""
        while True:
            path = f"/celeryrun/log-newest?topic={topic}&part=0"
            path += f"&after={quote(after_key, safe='')}" if after_key else ""
            status, era, body = await self._call("GET", path)
            if status != HTTP_OK:
                raise StoreUnavailableError(
                    f"read of {topic} failed with status {status}; wait for the store to recover"
                )
            page, items = _decode_snapshot_page(body)
            records += [KeyedRecord(item.key, _decode_snapshot_value(item)) for item in items]
            end = Position(era, page.end) if end is None else end
            if era != end.era:
                raise StoreUnavailableError(
                    f"the store was restored during a read of {topic}; read it again"
                )
            if not page.more_pages or not page.items:
                return KeyedPage(tuple(records), end, is_snapshot=True, at_end=True)
            if not items or items[-1].key <= after_key:
                raise StoreUnavailableError(
                    f"no page of {topic} follows key {after_key[:MAX_KEY_CHARS]!r}; wait for the "
                    "store to recover"
                )
            after_key = items[-1].key

    async def read(self, topic: str, start: Position, wait: float) -> KeyedPage | None:
        """Read the records from a position on; return None if the store no longer has all of them.

        Parameters
        ----------
        start : Position
            Of an earlier era than that of the page if the store was restored meanwhile; the
            records of the page then do not follow those before ``start``.
        wait : float
            Seconds that the store may delay the response until there are new records.

        Raises
        ------
        StoreUnavailableError
            If the call gets no usable response.
        """
        path = f"/celeryrun/log-read?topic={topic}&part=0&from={start.offset}&maxKb={MAX_READ_KB}"
        status, era, body = await self._call("GET", f"{path}&waitMs={int(wait * 1000)}", wait=wait)
        if status == HTTP_GONE:
            return None
        if status != HTTP_OK:
            raise StoreUnavailableError(
                f"read of {topic} failed with status {status}; wait for the store to recover"
            )
        if len(body) < END_AND_FIRST_OFFSET.size:
            raise StoreUnavailableError(
                f"read of {topic} returned {len(body)} bytes, less than its two offsets; wait for "
                "the store to recover"
            )
        end, _ = END_AND_FIRST_OFFSET.unpack_from(body)
        raw_records = list(_split_records(body, END_AND_FIRST_OFFSET.size))
        if not raw_records and len(body) > END_AND_FIRST_OFFSET.size:
            raise StoreUnavailableError(
                f"read of {topic} returned no whole record; wait for the store to recover"
            )
        records = tuple(filter(None, map(_decode_keyed_record, raw_records)))
        next_read = Position(era, start.offset + len(raw_records))
        return KeyedPage(records, next_read, is_snapshot=False, at_end=next_read.offset >= end)

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a new value of a key; return the era, whose end the value may not survive.

        Raises
        ------
        StoreUnavailableError
            If the call gets no usable response; the value may have been appended nevertheless.
        """
        content = bytes([len(key.encode())]) + key.encode() + value
        body = RECORD_LENGTH.pack(len(content)) + content
        status, era, _ = await self._call(
            "POST", f"/celeryrun/log-append?topic={topic}&part=0", body
        )
        if status != HTTP_OK:
            raise StoreUnavailableError(
                f"append to {topic} failed with status {status}; wait for the store to recover"
            )
        return era

    async def _call(
        self, method: str, path: str, body: bytes = b"", wait: float = 0.0
    ) -> tuple[int, int, bytes]:
        request_head = f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n"
        if method == "POST":
            request_head += f"Content-Length: {len(body)}\r\n"
        request_head += "Connection: close\r\n\r\n"
        exchange: Exchange | None = None
        try:
            exchange = await open_exchange(self.address.host, self.address.port, CONNECT_TIMEOUT)
            async with asyncio.timeout(wait + RESPONSE_TIMEOUT):
                await exchange.send(request_head.encode() + body)
                head = await exchange.read_head()
                parts = []
                while part := await exchange.read_body():
                    parts.append(part)
        except (TargetFailedError, TimeoutError) as error:
            reason = str(error) or "timeout"
            raise StoreUnavailableError(
                f"no response to {path.split('?')[0]} ({reason}); wait for the store to recover"
            ) from error
        finally:
            if exchange is not None:
                exchange.close()
        era = _decode_era(head.value(STORE_ERA))
        if era < self.era:
            raise StoreUnavailableError(
                f"response of era {era}, and the store has been restored in era {self.era}; wait "
                "for the store to recover"
            )
        self.advance_era(era)
        return head.status, era, b"".join(parts)


def _decode_era(value: bytes | None) -> int:
    """Return the era of a response, 0 if the store does not send any."""
    if value is None:
        return 0
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        raise StoreUnavailableError(
            f"store returned an unreadable era ({value[:20]!r}); wait for the store to recover"
        )
    return int(value)


def _decode_snapshot_page(body: bytes) -> tuple[_SnapshotPage, list[_SnapshotItem]]:
    """Return a page, and those of its items whose key is text; no other names anything of use."""
    try:
        # Unlike msgspec, the decoder of the standard library takes keys that are not UTF-8.
        page = msgspec.convert(json.loads(body), _SnapshotPage)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise StoreUnavailableError(
            f"store returned an unreadable page ({error}); wait for the store to recover"
        ) from error
    items = []
    for raw_item in page.items:
        try:
            item = msgspec.convert(raw_item, _SnapshotItem)
            item.key.encode()
        except (msgspec.ValidationError, UnicodeEncodeError):
            continue
        items.append(item)
    return page, items


def _decode_snapshot_value(item: _SnapshotItem) -> bytes | None:
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        # None would mean a deleted key; this value makes the decoder of the record report an error.
        return b"\xff"


def _split_records(body: bytes, offset: int) -> list[bytes]:
    """Return the complete records; the next call reads a truncated last one again."""
    records = []
    while offset + RECORD_LENGTH.size <= len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, offset)
        offset += RECORD_LENGTH.size
        if offset + length > len(body):
            break
        records.append(body[offset : offset + length])
        offset += length
    return records


def _decode_keyed_record(record: bytes) -> KeyedRecord | None:
    """Return the key and value of a record, or None if it has no complete key."""
    if not record or len(record) < 1 + record[0]:
        return None
    end = 1 + record[0]
    key = record[1:end].decode("utf-8", "replace")
    return KeyedRecord(key, record[end:] or None)
