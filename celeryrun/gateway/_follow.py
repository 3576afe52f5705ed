"""Follows a topic of the store, and knows how old what it holds may be."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from celeryrun.gateway._events import EventLog
from celeryrun.gateway._pace import longest_pause
from celeryrun.kernel import now
from celeryrun.platform import KeyedPage, Store, StoreUnavailableError

__all__ = ["Follower"]

FIRST_PAUSE = 0.1  # s after a failed call
FED_BEATS = 3.5  # heartbeats without a proof after which a node reads by itself
FED_MARGIN = 0.15  # s by which another node's proof may be late before this node reads


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
    rest : float
        Seconds after the first read in which another node mostly begins to read for this one.

    Attributes
    ----------
    proved : float
        When the read began that showed what is held to be the newest; -inf before the first.
    returned : float
        When the store last answered after it had not.
    fleet : callable
        Returns how many nodes try the store while it does not answer.
    on_page : callable
        Takes the offset before, and each page that this node read.
    """

    __slots__ = (
        "_apply",
        "_events",
        "_fed_until",
        "_lost",
        "_pause",
        "_position",
        "_proofs",
        "_rest",
        "_store",
        "_task",
        "_topic",
        "_wait",
        "_woken",
        "fleet",
        "on_page",
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
        rest: float = 0.0,
    ) -> None:
        self._store = store
        self._events = events
        self._topic = topic
        self._wait = wait
        self._pause = pause
        self._apply = apply
        self._rest = rest
        self._position: int | None = None
        self._lost = False
        self._fed_until = float("-inf")
        self._proofs = asyncio.Event()
        self._woken = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.proved = float("-inf")
        self.returned = float("-inf")
        self.fleet: Callable[[], int] = lambda: 1
        self.on_page: Callable[[int, KeyedPage], None] = lambda start, page: None

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

    @property
    def position(self) -> int:
        """Offset of the first record that is not held, -1 before the first."""
        return -1 if self._position is None else self._position

    def feed(self, start: int, page: KeyedPage) -> None:
        """Take what another node read from an offset on, unless something before it is missing."""
        if self._position is not None and start <= self._position < page.next_offset:
            self._position = page.next_offset
            self._apply(page)

    def prove(self, when: float, position: int, beat: float) -> None:
        """Take another node's proof that nothing stood behind an offset at a time.

        While such proofs come, this node does not read by itself.

        Parameters
        ----------
        when : float
            Time, by this node's clock, before which the proof did not begin.
        beat : float
            Seconds between two proofs.
        """
        if self.position < position:
            return
        self.proved = max(self.proved, when)
        self._proofs.set()
        # The other node's next proof is due within two waits, a pause and a heartbeat.
        due = self.proved + 2 * self._wait + self._pause + beat + FED_MARGIN
        self._fed_until = min(due, now() + max(FED_BEATS * beat, self._wait))

    def resume_reading(self) -> None:
        """Read by itself again, as the other node has lost the store."""
        self._fed_until = float("-inf")
        self._woken.set()

    def proof(self) -> tuple[float, int]:
        """Return the age of what is held and the offset up to which it is; age -1 for no proof."""
        return (-1.0 if self._lost else self.age()), self.position

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
            while (rest := self._fed_until - now()) > 0:
                self._woken.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(rest):
                        await self._woken.wait()
            try:
                await self._step()
            except StoreUnavailableError as error:
                self._note_lost(str(error))
                await asyncio.sleep(pause * random.uniform(0.5, 1.0))
                pause = min(longest_pause(self.fleet()), 2 * pause)
                continue
            except Exception as error:
                # Whatever a page holds, the node must go on following; it reads all of it anew.
                self._events.emit("store-unreadable", topic=self._topic, why=repr(error))
                self._position = None
                await asyncio.sleep(longest_pause(1))
                continue
            pause = FIRST_PAUSE
            if self._pause:
                await asyncio.sleep(self._pause)

    async def _step(self) -> None:
        began = now()
        start = self._position
        if start is None:
            page = await self._store.read_snapshot(self._topic)
            self._fed_until = max(self._fed_until, now() + self._rest)
        else:
            following = await self._store.read(self._topic, start, self._wait)
            if following is None:
                self._events.emit("store-history-lost", topic=self._topic, offset=start)
                self._position = None
                return
            page = following
        # Another node may have told what stands behind this page meanwhile.
        self._position = max(self.position, page.next_offset)
        if self._lost:
            self._lost = False
            self.returned = now()
            self._events.emit("store-regained", topic=self._topic, age=self.age())
        if page.at_end:
            self.proved = max(self.proved, began)
            self._proofs.set()
        self._apply(page)
        if start is not None and page.records:
            self.on_page(start, page)

    def _note_lost(self, reason: str) -> None:
        if not self._lost:
            self._lost = True
            self._events.emit("store-lost", topic=self._topic, why=reason, age=self.age())
