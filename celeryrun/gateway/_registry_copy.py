"""Copy of the registry of nodes in another topic, for nodes that start while it can't be read."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from celeryrun.gateway._events import EventLog
from celeryrun.gateway._members import ListedNode, Members
from celeryrun.gateway._topic_follower import MAX_REASON_CHARS
from celeryrun.kernel import Kernel, now
from celeryrun.platform import FLEET_TOPIC, Store, StoreUnavailableError

__all__ = ["RegistryCopy"]

KEY = "nodes"
WRITE_INTERVAL = 2.0  # s between comparisons with the registry; nodes that start together are one
READ_DELAY = 0.5  # s after the start at which a registry that is not read yet counts as late
POLL_INTERVAL = 0.05  # s between looks at the registry until it is read
MIN_RETRY_DELAY = 0.2  # s after the first read that brought nothing, doubled with each
MAX_RETRY_DELAY = 2.0  # s
MAX_RECORD_BYTES = 200_000  # of one write; the store takes records of 256 KiB


class RegistryCopy:
    """Service that keeps a copy of the registry, and reads it when the registry can't be read.

    The store keeps each topic apart, so that one may be away while the others serve. A node that
    starts then knows its targets, but neither the other nodes nor how many there are.

    Attributes
    ----------
    is_writer : callable
        Returns whether most nodes use this node's scheduler, which writes the copy.
    """

    __slots__ = ("_events", "_members", "_store", "_task", "_written", "is_writer")

    def __init__(self, kernel: Kernel) -> None:
        self._store: Store = kernel.find("store")
        self._events: EventLog = kernel.find("events")
        self._members: Members = kernel.find("members")
        self._written: tuple[int, bytes] | None = None
        self._task: asyncio.Task[None] | None = None
        self.is_writer: Callable[[], bool] = lambda: False

    def start(self) -> None:
        """Start waiting for the registry; then keep the copy."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop; the copy stays for the next process."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        await self._await_registry()
        while True:
            await asyncio.sleep(WRITE_INTERVAL)
            if not self.is_writer() or not self._members.is_loaded():
                # Another scheduler may write meanwhile.
                self._written = None
                continue
            try:
                await self._write_if_changed()
            except StoreUnavailableError as error:
                self._events.emit("registry-not-copied", why=str(error))

    async def _await_registry(self) -> None:
        """Wait until the registry has been read, or its copy instead."""
        due = now() + READ_DELAY
        retry_delay = MIN_RETRY_DELAY
        while not self._members.is_known():
            if now() < due and not self._members.follower.is_store_lost:
                await asyncio.sleep(POLL_INTERVAL)
                continue
            try:
                await self._read()
            except StoreUnavailableError as error:
                self._events.emit("registry-copy-not-read", why=str(error))
            if not self._members.is_known():
                await asyncio.sleep(retry_delay)
                retry_delay = min(MAX_RETRY_DELAY, 2 * retry_delay)

    async def _read(self) -> None:
        page = await self._store.read_snapshot(FLEET_TOPIC)
        for record in page.records:
            if record.key != KEY or record.value is None:
                continue
            try:
                nodes = msgspec.json.decode(record.value, type=dict[str, ListedNode])
                self._members.apply_copy(nodes)
            except (msgspec.MsgspecError, RecursionError, ValueError) as error:
                reason = str(error)[:MAX_REASON_CHARS]
                self._events.emit("registry-copy-not-read", why=reason)
                continue
            self._events.emit("registry-copy-read", nodes=len(nodes))

    async def _write_if_changed(self) -> None:
        value = msgspec.json.encode(self._members.listed_nodes(), order="sorted")
        if self._written == (self._store.era, value) or len(value) > MAX_RECORD_BYTES:
            return
        self._written = await self._store.put(FLEET_TOPIC, KEY, value), value
