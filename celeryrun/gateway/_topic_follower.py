"""Follower of a store topic that tracks the freshness of its data."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from celeryrun.gateway._events import EventLog
from celeryrun.gateway._intervals import max_retry_delay
from celeryrun.kernel import now
from celeryrun.platform import KeyedPage, Store, StoreUnavailableError

__all__ = ["TopicFollower"]

INITIAL_RETRY_DELAY = 0.1  # s after the first failed call
MAX_MISSED_CONFIRMATIONS = 3.5  # heartbeats without a confirmation before a node reads by itself
CONFIRMATION_MARGIN = 0.15  # s by which another node's confirmation may be late


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
    era : int
        Era of the store from which the last page of its own was read, 0 before the first.
    confirmed_at : float
        Start of the last read that showed the data to be the newest, -inf before the first.
    recovered_at : float
        Time of the store's first reply after its last outage, -inf before the first.
    count_readers : callable
        Returns how many nodes retry during an outage of the store.
    on_page : callable
        Called with the start offset and the page of each read by this node.
    """

    __slots__ = (
        "_apply",
        "_events",
        "_suspended_until",
        "_store_lost",
        "_read_delay",
        "_position",
        "_confirmed",
        "_initial_delay",
        "_store",
        "_task",
        "_max_wait",
        "_resumed",
        "count_readers",
        "era",
        "on_page",
        "confirmed_at",
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
        self.era = 0
        self._max_wait = max_wait
        self._read_delay = read_delay
        self._apply = apply
        self._initial_delay = initial_delay
        self._position: int | None = None
        self._store_lost = False
        self._suspended_until = float("-inf")
        self._confirmed = asyncio.Event()
        self._resumed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.confirmed_at = float("-inf")
        self.recovered_at = float("-inf")
        self.count_readers: Callable[[], int] = lambda: 1
        self.on_page: Callable[[int, KeyedPage], None] = lambda start, page: None

    def start(self) -> None:
        """Start following the topic."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop following the topic."""
        if self._task is not None:
            self._task.cancel()

    def age(self) -> float:
        """Return the greatest possible age of the data, in seconds."""
        return now() - self.confirmed_at

    @property
    def position(self) -> int:
        """Offset of the next record to read, -1 before the first read."""
        return -1 if self._position is None else self._position

    def apply_page(self, start: int, page: KeyedPage) -> None:
        """Apply a page that another node read, unless records before it are missing."""
        if self._position is not None and start <= self._position < page.next_offset:
            self._position = page.next_offset
            self._apply(page)

    def confirm_fresh(self, read_began: float, position: int, heartbeat_interval: float) -> None:
        """Apply another node's confirmation that ``position`` was the end of the topic.

        While confirmations come, this node does not read the topic.

        Parameters
        ----------
        read_began : float
            Earliest start of the other node's read, by this node's clock.
        heartbeat_interval : float
            Seconds between two confirmations.
        """
        if self.position < position:
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

    def resume_reading(self) -> None:
        """Resume reading the topic, as the other node has lost the store."""
        self._suspended_until = float("-inf")
        self._resumed.set()

    def freshness(self) -> tuple[float, int]:
        """Return the age of the data, -1 during an outage of the store, and its end offset."""
        return (-1.0 if self._store_lost else self.age()), self.position

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
                self._events.emit("store-unreadable", topic=self.topic, why=repr(error))
                self._position = None
                await asyncio.sleep(max_retry_delay(1))
                continue
            retry_delay = INITIAL_RETRY_DELAY
            if self._read_delay:
                await asyncio.sleep(self._read_delay)

    async def _read_page(self) -> None:
        began = now()
        start = self._position
        if start is None:
            page = await self._store.read_snapshot(self.topic)
            self._suspended_until = max(self._suspended_until, now() + self._initial_delay)
        else:
            changes = await self._store.read(self.topic, start, self._max_wait)
            if changes is None:
                self._events.emit(
                    "store-history-lost", topic=self.topic, offset=start, era=self._store.era
                )
                self._position = None
                return
            page = changes
        # A page from another node may have advanced the position meanwhile.
        self._position = max(self.position, page.next_offset)
        self.era = page.era
        if self._store_lost:
            self._store_lost = False
            self.recovered_at = now()
            self._events.emit("store-regained", topic=self.topic, age=self.age())
        if page.at_end:
            self.confirmed_at = max(self.confirmed_at, began)
            self._confirmed.set()
        self._apply(page)
        if start is not None and page.records:
            self.on_page(start, page)

    def _on_store_lost(self, reason: str) -> None:
        if not self._store_lost:
            self._store_lost = True
            self._events.emit("store-lost", topic=self.topic, why=reason, age=self.age())
