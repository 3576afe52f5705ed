"""Follower of a store topic that tracks the freshness of its data."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Callable, Iterator

from celeryrun.gateway._events import EventLog
from celeryrun.gateway._intervals import max_retry_delay
from celeryrun.history import Accepted, Ignored, Position, TopicCursor
from celeryrun.kernel import now
from celeryrun.platform import KeyedPage, Store, StoreUnavailableError

__all__ = ["MAX_REASON_CHARS", "TopicFollower", "isolated"]

INITIAL_RETRY_DELAY = 0.1  # s after the first failed call
MAX_MISSED_CONFIRMATIONS = 3.5  # heartbeats without a confirmation before a node reads by itself
MAX_FEED_DELAY = 0.2  # s for which the snapshot of a new era may come from another node
HURRY_INTERVAL = 0.1  # s between two reads that are made at once
CONFIRMATION_MARGIN = 0.15  # s by which another node's confirmation may be late
MAX_REASON_CHARS = 200  # of a logged error


@contextlib.contextmanager
def isolated(events: EventLog, topic: str, key: str) -> Iterator[None]:
    """Log an error in applying one record, so that the other records are applied."""
    try:
        yield
    except Exception as error:
        events.emit("record-failed", topic=topic, key=key, why=repr(error)[:MAX_REASON_CHARS])


class TopicFollower:
    """Follower of one topic, which reads it or receives its pages from another node.

    Parameters
    ----------
    max_wait : float
        Seconds that the store may hold a read.
    read_delay : float
        Seconds between two reads; records written within them are read together.
    apply : callable
        Called with each page.
    initial_delay : float
        Seconds after the first read, in which another node usually begins to read for this one.

    Attributes
    ----------
    topic : str
        Name of the topic.
    confirmed_at : float
        Start of the last read that showed the data to be the newest, -inf before the first.
    formerly_confirmed_at : float
        Its value before the page that is being applied, or was last.
    recovered_at : float
        Time of the store's first reply after its last outage, or of the first records after it was
        restored from a copy, -inf before both.
    count_readers : callable
        Returns how many nodes retry during an outage of the store.
    on_page : callable
        Called with the start and the page of each read by this node that had news; the start of a
        snapshot is None.
    """

    __slots__ = (
        "_apply",
        "_events",
        "_suspended_until",
        "_store_lost",
        "_read_delay",
        "_cursor",
        "_long_read",
        "_confirmed",
        "_hurried_at",
        "_is_hurried",
        "_hurry",
        "_initial_delay",
        "_store",
        "_task",
        "_max_wait",
        "_resumed",
        "count_readers",
        "on_page",
        "confirmed_at",
        "formerly_confirmed_at",
        "recovered_at",
        "topic",
    )

    def __init__(
        self,
        store: Store,
        events: EventLog,
        topic: str,
        max_wait: float,
        read_delay: float,
        apply: Callable[[KeyedPage], None],
        initial_delay: float = 0.0,
    ) -> None:
        self._store = store
        self._events = events
        self.topic = topic
        self._max_wait = max_wait
        self._read_delay = read_delay
        self._apply = apply
        self._initial_delay = initial_delay
        self._cursor = TopicCursor()
        self._long_read: asyncio.Future[KeyedPage | None] | None = None
        self._store_lost = False
        self._suspended_until = float("-inf")
        self._confirmed = asyncio.Event()
        self._resumed = asyncio.Event()
        self._hurry = asyncio.Event()
        self._hurried_at = float("-inf")
        self._is_hurried = False
        self._task: asyncio.Task[None] | None = None
        self.confirmed_at = float("-inf")
        self.formerly_confirmed_at = float("-inf")
        self.recovered_at = float("-inf")
        self.count_readers: Callable[[], int] = lambda: 1
        self.on_page: Callable[[Position | None, KeyedPage], None] = lambda start, page: None

    def start(self) -> None:
        """Start following the topic."""
        self._store.era_watchers.append(self.advance_era)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop following the topic."""
        if self._task is not None:
            self._task.cancel()

    def age(self) -> float:
        """Return the greatest possible age of the data, in seconds."""
        return now() - self.confirmed_at

    @property
    def position(self) -> Position | None:
        """Position after the last record applied, None before the first read."""
        return self._cursor.position

    def advance_era(self, era: int) -> None:
        """Note a later era of the store; a read that began in an earlier one is abandoned."""
        if not self._cursor.advance_era(era):
            return
        if self._long_read is not None:
            self._long_read.cancel()
        self._suspended_until = min(self._suspended_until, now() + MAX_FEED_DELAY)
        self._resumed.set()

    def apply_page(self, start: Position | None, page: KeyedPage) -> None:
        """Apply a page that another node read, if it follows what this node has applied."""
        former = self._cursor.position
        self.formerly_confirmed_at = self.confirmed_at
        self._apply_accepted(self._decide(start, page), former, page)

    def confirm_fresh(self, read_began: float, end: Position, heartbeat_interval: float) -> None:
        """Apply another node's confirmation that ``end`` was the end of the topic.

        While confirmations come, this node does not read the topic.

        Parameters
        ----------
        read_began : float
            Earliest start of the other node's read, by this node's clock.
        heartbeat_interval : float
            Seconds between two confirmations.
        """
        if not self._cursor.covers(end):
            return
        self.confirmed_at = max(self.confirmed_at, read_began)
        self._confirmed.set()
        # The next confirmation is due within two read waits, a read delay and a heartbeat.
        due = (
            self.confirmed_at
            + 2 * self._max_wait
            + self._read_delay
            + heartbeat_interval
            + CONFIRMATION_MARGIN
        )
        self._suspended_until = min(
            due, now() + max(MAX_MISSED_CONFIRMATIONS * heartbeat_interval, self._max_wait)
        )

    def hurry(self) -> None:
        """Read the topic at once and without a wait, for a decision that needs the newest data."""
        if self._store_lost or now() - self._hurried_at < HURRY_INTERVAL:
            return
        self._hurried_at = now()
        self._is_hurried = True
        self._hurry.set()
        self.resume_reading()
        if self._long_read is not None:
            self._long_read.cancel()

    def resume_reading(self) -> None:
        """Resume reading the topic, as the other node has lost the store."""
        self._suspended_until = float("-inf")
        self._resumed.set()

    @property
    def is_store_lost(self) -> bool:
        """Whether the last call to the store failed."""
        return self._store_lost

    def freshness(self) -> tuple[float, int, int]:
        """Return the age of the data, -1 during an outage of the store, its era and its end."""
        position = self.position or Position(0, 0)
        return -1.0 if self._store_lost else self.age(), position.era, position.offset

    async def wait_fresh(self, max_age: float, timeout: float) -> bool:
        """Wait until the data is at most ``max_age`` seconds old; return whether it is."""
        try:
            async with asyncio.timeout(timeout):
                while self.age() > max_age:
                    self._confirmed.clear()
                    await self._confirmed.wait()
        except TimeoutError:
            return False
        return True

    async def _run(self) -> None:
        retry_delay = INITIAL_RETRY_DELAY
        while True:
            while (remaining := self._suspended_until - now()) > 0:
                self._resumed.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(remaining):
                        await self._resumed.wait()
            try:
                await self._read_page()
            except StoreUnavailableError as error:
                self._on_store_lost(str(error))
                await asyncio.sleep(retry_delay * random.uniform(0.5, 1.0))
                retry_delay = min(max_retry_delay(self.count_readers()), 2 * retry_delay)
                continue
            except Exception as error:
                # No page may stop the follower; it reads the whole topic again.
                reason = repr(error)[:MAX_REASON_CHARS]
                self._events.emit("store-unreadable", topic=self.topic, why=reason)
                self._cursor.lose_history()
                await asyncio.sleep(max_retry_delay(1))
                continue
            retry_delay = INITIAL_RETRY_DELAY
            if self._read_delay and not self._is_hurried:
                self._hurry.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self._read_delay):
                        await self._hurry.wait()

    async def _read_page(self) -> None:
        began = now()
        start = self._cursor.next_read
        if start is None:
            page = await self._store.read_snapshot(self.topic)
            self._suspended_until = max(self._suspended_until, now() + self._initial_delay)
        else:
            changes = await self._read_changes(start)
            if changes is None:
                return
            page = changes
        if self._store_lost:
            self._store_lost = False
            self.recovered_at = now()
            self._events.emit("store-regained", topic=self.topic, age=self.age())
        former, decision = self._cursor.position, self._decide(start, page)
        # Whoever is told of the page may ask whether the topic has been read to its end.
        self.formerly_confirmed_at = self.confirmed_at
        if page.at_end and self._cursor.covers(page.end):
            self.confirmed_at = max(self.confirmed_at, began)
            self._confirmed.set()
        self._apply_accepted(decision, former, page)
        if isinstance(decision, Accepted) and page.records:
            self.on_page(start, page)

    async def _read_changes(self, start: Position) -> KeyedPage | None:
        """Read the changes from a position on; return None if a snapshot must be read instead."""
        wait = 0.0 if self._is_hurried else self._max_wait
        self._is_hurried = False
        self._long_read = asyncio.ensure_future(self._store.read(self.topic, start, wait))
        try:
            page = await self._long_read
        except asyncio.CancelledError:
            if self._task is None or self._task.cancelling():
                raise
            return None
        finally:
            self._long_read = None
        if page is None:
            self._events.emit(
                "store-history-lost", topic=self.topic, offset=start.offset, era=start.era
            )
            self._cursor.lose_history(start)
        return page

    def _decide(self, start: Position | None, page: KeyedPage) -> Accepted | Ignored:
        if start is None:
            return self._cursor.accept_snapshot(page.end)
        return self._cursor.accept_changes(start, page.end)

    def _apply_accepted(
        self, decision: Accepted | Ignored, former: Position | None, page: KeyedPage
    ) -> None:
        """Apply a page of the store or of another node; ``former`` is the position before it."""
        match decision:
            case Accepted(restored=True):
                self.recovered_at = now()
                self._events.emit(
                    "topic-restored",
                    topic=self.topic,
                    era=page.end.era,
                    offset=page.end.offset,
                    former_era=former.era if former is not None else None,
                    former_offset=former.offset if former is not None else None,
                )
                self._apply(dataclasses.replace(page, restored=True))
            case Accepted():
                self._apply(page)
            case Ignored():
                pass

    def _on_store_lost(self, reason: str) -> None:
        if not self._store_lost:
            self._store_lost = True
            self._events.emit("store-lost", topic=self.topic, why=reason, age=self.age())
