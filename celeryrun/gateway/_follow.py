"""Follows a topic of the store, and knows how old what it holds may be."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from celeryrun.gateway._events import EventLog
from celeryrun.kernel import now
from celeryrun.platform import KeyedPage, Store, StoreUnavailableError

__all__ = ["Follower"]

FIRST_PAUSE = 0.1  # s after a failed call
LAST_PAUSE = 0.4  # s, so that the store's return is noticed well within a second


class Follower:
    """Keeps up with one topic.

    Parameters
    ----------
    wait : float
        Seconds for which the store may hold a read.
    pause : float
        Seconds between two reads, so that records which come one by one are read together.
    apply : callable
        Takes each page.

    Attributes
    ----------
    proved : float
        When the read began that showed what is held to be the newest; -inf before the first.
    returned : float
        When the store last answered after it had not.
    """

    __slots__ = (
        "_apply",
        "_events",
        "_lost",
        "_pause",
        "_position",
        "_proofs",
        "_store",
        "_task",
        "_topic",
        "_wait",
        "proved",
        "returned",
    )

    def __init__(
        self,
        store: Store,
        events: EventLog,
        topic: str,
        wait: float,
        pause: float,
        apply: Callable[[KeyedPage], None],
    ) -> None:
        self._store = store
        self._events = events
        self._topic = topic
        self._wait = wait
        self._pause = pause
        self._apply = apply
        self._position: int | None = None
        self._lost = False
        self._proofs = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.proved = float("-inf")
        self.returned = float("-inf")

    def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.cancel()

    def age(self) -> float:
        """Return how many seconds old what is held may be."""
        return now() - self.proved

    async def wait_fresh(self, age: float, timeout: float) -> bool:
        """Wait until what is held is younger than an age; tell whether it is."""
        try:
            async with asyncio.timeout(timeout):
                while self.age() > age:
                    self._proofs.clear()
                    await self._proofs.wait()
        except TimeoutError:
            return False
        return True

    async def _run(self) -> None:
        pause = FIRST_PAUSE
        while True:
            try:
                await self._step()
            except StoreUnavailableError as error:
                self._note_lost(str(error))
                await asyncio.sleep(pause * random.uniform(0.5, 1.0))
                pause = min(LAST_PAUSE, 2 * pause)
                continue
            pause = FIRST_PAUSE
            if self._pause:
                await asyncio.sleep(self._pause)

    async def _step(self) -> None:
        began = now()
        if self._position is None:
            page = await self._store.newest(self._topic)
        else:
            following = await self._store.read(self._topic, self._position, self._wait)
            if following is None:
                self._events.emit("store-history-lost", topic=self._topic, offset=self._position)
                self._position = None
                return
            page = following
        self._position = page.next
        if self._lost:
            self._lost = False
            self.returned = now()
            self._events.emit("store-regained", topic=self._topic, age=self.age())
        if page.at_end:
            self.proved = began
            self._proofs.set()
        self._apply(page)

    def _note_lost(self, reason: str) -> None:
        if not self._lost:
            self._lost = True
            self._events.emit("store-lost", topic=self._topic, why=reason, age=self.age())
