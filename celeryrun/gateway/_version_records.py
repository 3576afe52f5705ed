"""Versions that targets have had lately, as kept in the store for nodes that start anew."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections.abc import Callable

import msgspec

from celeryrun.gateway._events import EventLog
from celeryrun.gateway._members import Members
from celeryrun.gateway._topic_follower import MAX_REASON_CHARS
from celeryrun.kernel import Kernel, now
from celeryrun.platform import NODES_TOPIC, KeyedPage, Store, StoreUnavailableError

__all__ = ["PoolVersion", "VersionRecords"]

KEY_PREFIX = "version."  # of a key, followed by the hash of pool and version in hexadecimal
CHECK_INTERVAL = 1.0  # s between comparisons with the list of targets
OTHERS_DELAY = 2.0  # s after which a node that is no scheduler writes what is still missing
RETRY_DELAY = 0.5  # s after a failed write
MAX_RECORDS = 256  # pairs of pool and version; with more of them, nothing is inferred


class PoolVersion(msgspec.Struct, frozen=True):
    """Version that targets of a pool have had."""

    pool: str
    version: str

    @property
    def key(self) -> str:
        """Key of the record, the same on every node."""
        name = f"{self.pool}\0{self.version}".encode()
        return KEY_PREFIX + hashlib.blake2b(name, digest_size=8).hexdigest()


class VersionRecords:
    """Service that keeps in the store which versions may have begun a stream in progress.

    A version is recorded as soon as a target has it, and deleted once no stream that it began
    can still be taken up again. A node that starts when all others have ended so knows the
    versions that have left the list of targets.

    Attributes
    ----------
    is_scheduler : callable
        Returns whether most nodes use this node's scheduler, which writes the records.
    listed : callable
        Returns the versions of the listed targets of pools with resumable routes.
    may_have_streams : callable
        Returns whether a stream that a version began may be in progress, as far as is known.
    """

    __slots__ = (
        "_changed",
        "_events",
        "_members",
        "_missing_since",
        "_store",
        "_stored_by_key",
        "_task",
        "is_scheduler",
        "listed",
        "may_have_streams",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._store: Store = kernel.find("store")
        self._events: EventLog = kernel.find("events")
        self._members: Members = kernel.find("members")
        self._members.page_watchers.append(self._apply_page)
        self._stored_by_key: dict[str, PoolVersion] = {}
        self._missing_since: dict[PoolVersion, float] = {}
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.is_scheduler: Callable[[], bool] = lambda: False
        self.listed: Callable[[], set[PoolVersion]] = set
        self.may_have_streams: Callable[[PoolVersion], bool] = lambda version: True

    def start(self) -> None:
        """Start comparing the records with the list of targets."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop; the records stay for the next process."""
        if self._task is not None:
            self._task.cancel()

    def note_change(self) -> None:
        """Compare the records with the list of targets now."""
        self._changed.set()

    def versions_of(self, pool: str) -> set[str]:
        """Return the recorded versions of a pool, none if they may not be all."""
        if len(self._stored_by_key) > MAX_RECORDS or not self._members.is_loaded():
            return set()
        return {stored.version for stored in self._stored_by_key.values() if stored.pool == pool}

    def has_several(self) -> bool:
        """Return whether several versions of one pool may have begun streams in progress."""
        known = self.listed() | set(self._stored_by_key.values())
        return len({version.pool for version in known}) < len(known)

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL):
                    await self._changed.wait()
            self._changed.clear()
            if not self._members.is_loaded():
                continue
            try:
                await self._write_missing()
                await self._delete_obsolete()
            except StoreUnavailableError as error:
                self._events.emit("version-not-stored", why=str(error))
                await asyncio.sleep(RETRY_DELAY)

    async def _write_missing(self) -> None:
        time = now()
        missing = self.listed() - set(self._stored_by_key.values())
        self._missing_since = {
            version: self._missing_since.get(version, time) for version in missing
        }
        for version, since in self._missing_since.items():
            is_due = self.is_scheduler() or time - since >= OTHERS_DELAY
            if not is_due or len(self._stored_by_key) >= MAX_RECORDS:
                continue
            await self._store.put(NODES_TOPIC, version.key, msgspec.json.encode(version))
            self._stored_by_key[version.key] = version
            self._events.emit("version-stored", pool=version.pool, version=version.version)

    async def _delete_obsolete(self) -> None:
        if not self.is_scheduler():
            return
        for key, stored in list(self._stored_by_key.items()):
            if not self.may_have_streams(stored):
                await self._store.put(NODES_TOPIC, key, b"")
                self._stored_by_key.pop(key, None)
                self._events.emit("version-deleted", pool=stored.pool, version=stored.version)

    def _apply_page(self, page: KeyedPage) -> None:
        if page.is_snapshot:
            self._stored_by_key.clear()
        for record in page.records:
            if not record.key.startswith(KEY_PREFIX):
                continue
            self._stored_by_key.pop(record.key, None)
            if record.value is None:
                continue
            try:
                self._stored_by_key[record.key] = msgspec.json.decode(
                    record.value, type=PoolVersion
                )
            except (msgspec.MsgspecError, RecursionError) as error:
                reason = str(error)[:MAX_REASON_CHARS]
                self._events.emit("version-unreadable", key=record.key, why=reason)
        self._changed.set()
