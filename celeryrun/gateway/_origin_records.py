"""Origins of streams in the store, for nodes that start after all others have ended."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable, Iterable

import msgspec

from celeryrun.gateway._events import EventLog
from celeryrun.gateway._links import OriginReport
from celeryrun.gateway._topic_follower import MAX_REASON_CHARS
from celeryrun.kernel import Kernel, now
from celeryrun.platform import STREAMS_TOPIC, Store, StoreUnavailableError

__all__ = ["OriginRecords"]

WRITE_INTERVAL = 1.0  # s between writes, each of which is priced
READ_INTERVAL = 2.0  # s between reads for streams of unknown origin
KEYS = 32  # keys used in turn, one for each second; a stream is rarely taken up again later
MAX_RECORD_BYTES = 200_000  # of one write; the store takes records of 256 KiB


class OriginRecords:
    """Service that keeps the origins of streams in the store while several versions may serve.

    Only the scheduler that most nodes use writes, and only then; with a single version, the origin
    of every stream is known. A node reads the records when it lacks the origin of a stream.

    Attributes
    ----------
    is_needed : callable
        Returns whether this node is to write.
    all_reports : callable
        Returns reports of all known origins, which are written when that begins.
    on_report : callable
        Called with each report that was read.
    """

    __slots__ = (
        "_events",
        "_read_at",
        "_read_task",
        "_store",
        "_task",
        "_unwritten",
        "_writes_news",
        "all_reports",
        "is_needed",
        "on_report",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._store: Store = kernel.find("store")
        self._events: EventLog = kernel.find("events")
        self._unwritten: defaultdict[str, list[tuple[int, int]]] = defaultdict(list)
        self._writes_news = False
        self._task: asyncio.Task[None] | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._read_at = float("-inf")
        self.is_needed: Callable[[], bool] = lambda: False
        self.all_reports: Callable[[], Iterable[OriginReport]] = tuple
        self.on_report: Callable[[OriginReport], object] = lambda report: None

    def start(self) -> None:
        """Start writing while it is needed."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop; the records stay for the next process."""
        for task in (self._task, self._read_task):
            if task is not None:
                task.cancel()

    def add(self, report: OriginReport) -> None:
        """Note new origins for the next write."""
        if self._writes_news:
            entries = zip(report.streams, report.lifetimes, strict=False)
            self._unwritten[report.version] += entries

    def refresh(self) -> None:
        """Read the records, unless that was done a moment ago."""
        if now() - self._read_at < READ_INTERVAL:
            return
        self._read_at = now()
        self._read_task = asyncio.get_running_loop().create_task(self._read())

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(WRITE_INTERVAL)
            if not self.is_needed():
                self._writes_news = False
                self._unwritten.clear()
                continue
            reports = self._take_news() if self._writes_news else list(self.all_reports())
            self._writes_news = True
            try:
                await self._write(reports)
            except StoreUnavailableError as error:
                # The next write has all origins.
                self._writes_news = False
                self._events.emit("origins-not-stored", why=str(error))

    def _take_news(self) -> list[OriginReport]:
        reports = [
            OriginReport(version, *zip(*entries, strict=True))
            for version, entries in self._unwritten.items()
        ]
        self._unwritten.clear()
        return reports

    async def _write(self, reports: list[OriginReport]) -> None:
        value = msgspec.msgpack.encode(reports)
        if not reports or len(value) > MAX_RECORD_BYTES:
            return
        # The time of day only spreads the records over the keys.
        await self._store.put(STREAMS_TOPIC, str(int(time.time()) % KEYS), value)

    async def _read(self) -> None:
        try:
            page = await self._store.read_snapshot(STREAMS_TOPIC)
        except StoreUnavailableError as error:
            self._events.emit("origins-not-read", why=str(error))
            return
        for record in page.records:
            try:
                reports = msgspec.msgpack.decode(record.value or b"", type=list[OriginReport])
            except (msgspec.MsgspecError, RecursionError) as error:
                reason = str(error)[:MAX_REASON_CHARS]
                self._events.emit("origins-unreadable", key=record.key, why=reason)
                continue
            for report in reports:
                self.on_report(report)
