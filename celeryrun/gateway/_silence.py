"""Wait for a target's response, and search for another target while it is silent."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import logbook

from celeryrun.kernel import now

__all__ = ["SilenceWatch", "SuccessorFoundError"]

T = TypeVar("T")
log = logbook.Logger("silence")


class SuccessorFoundError(Exception):
    """Another target is ready to take the request of a silent one."""


class SilenceWatch:
    """Waits for one target; a silent one stays in use until another takes the request.

    Parameters
    ----------
    timeout : float or None
        Seconds without progress after which another target is searched for, None for never.
    find_successor : callable
        Coroutine function that returns True once another target is ready to take the request,
        and False if none may.
    discard_successor : callable
        Called when the target goes on, in case that a successor was found.
    reserve_goes_on : callable, optional
        Coroutine function that returns whether an earlier, silent target goes on with its
        response; that one is as good as a successor.
    hedge : callable, optional
        Coroutine function that returns whether another target that works on the request has its
        response; that one is as good as a successor.
    discard_hedge : callable, optional
        Called when the response of the target is passed on, so that no hedge may follow.
    relocate : callable, optional
        Called as the target goes on; returns a search for a faster one if that is due. What it
        finds takes the request although the target is not silent.
    """

    __slots__ = (
        "_discard_hedge",
        "_discard_successor",
        "_find_successor",
        "_hedge",
        "_progress_at",
        "_relocate",
        "_relocation",
        "_reserve",
        "_search",
        "_timeout",
    )

    def __init__(
        self,
        timeout: float | None,
        find_successor: Callable[[], Awaitable[bool]],
        discard_successor: Callable[[], None],
        reserve_goes_on: Callable[[], Awaitable[bool]] | None = None,
        hedge: Callable[[], Awaitable[bool]] | None = None,
        discard_hedge: Callable[[], None] = lambda: None,
        relocate: Callable[[], Awaitable[bool] | None] = lambda: None,
    ) -> None:
        self._timeout = timeout
        self._find_successor = find_successor
        self._discard_successor = discard_successor
        self._progress_at = now()
        self._search: asyncio.Future[bool] | None = None
        self._reserve: asyncio.Future[bool] | None = None
        if reserve_goes_on is not None:
            self._reserve = _start(reserve_goes_on())
        self._hedge = None if hedge is None else _start(hedge())
        self._discard_hedge = discard_hedge
        self._relocate = relocate
        self._relocation: asyncio.Future[bool] | None = None

    def end_reserve(self) -> None:
        """Note that the earlier target is no longer an alternative, even if it has gone on."""
        if self._reserve is not None:
            self._reserve.cancel()
            self._reserve = None

    def end_hedge(self) -> None:
        """Note that the response is passed on, so that no other may take its place."""
        if self._hedge is not None:
            self._hedge.cancel()
            self._hedge = None
            self._discard_hedge()

    def record_progress(self) -> None:
        """Note that the target goes on."""
        self._progress_at = now()
        self.end_reserve()
        if self._search is not None:
            self._search.cancel()
            self._search = None
            self._discard_successor()
        if self._relocation is not None and self._relocation.done():
            if _is_found(self._relocation):
                return
            self._relocation = None
        if self._relocation is None and (search := self._relocate()) is not None:
            self._relocation = _start(search)

    async def wait(self, read: Callable[[], Awaitable[T]]) -> T:
        """Return the result of a read that may be cancelled and repeated.

        Raises
        ------
        SuccessorFoundError
            If another target is to take the request.
        """
        if not self._searches():
            if self._timeout is None:
                return await read()
            try:
                async with asyncio.timeout(self._progress_at + self._timeout - now()):
                    return await read()
            except TimeoutError:
                pass
        if self._has_found():
            # It was found together with bytes that were no progress.
            raise SuccessorFoundError
        reading = asyncio.ensure_future(read())
        try:
            # What arrived while the event loop was blocked is read before it counts as silence.
            await asyncio.sleep(0)
            while not reading.done():
                await self._wait_for_change(reading)
            return await reading
        finally:
            reading.cancel()

    async def _wait_for_change(self, reading: asyncio.Future[T]) -> None:
        """Wait until a read is done; start the search for a successor when it is due."""
        if self._is_search_due():
            self._search = _start(self._find_successor())
        awaited: list[asyncio.Future[Any]] = [reading]
        awaited += [search for search in self._searches() if not search.done()]
        await asyncio.wait(
            awaited,
            timeout=self._time_to_search(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not reading.done() and self._has_found():
            raise SuccessorFoundError

    def _searches(self) -> list[asyncio.Future[bool]]:
        searches = (self._reserve, self._search, self._hedge, self._relocation)
        return [search for search in searches if search is not None]

    def _has_found(self) -> bool:
        """Return whether another target is ready, or the one in reserve goes on."""
        return any(map(_is_found, self._searches()))

    def _time_to_search(self) -> float | None:
        """Return the seconds until the search may start, None if it need not."""
        is_reserve_open = self._reserve is not None and not self._reserve.done()
        if self._timeout is None or self._search is not None or is_reserve_open:
            return None
        return max(0.0, self._progress_at + self._timeout - now())

    def _is_search_due(self) -> bool:
        return self._time_to_search() == 0.0

    def close(self) -> None:
        """End the wait for alternatives; a successor that was found stays."""
        for search in self._searches():
            search.cancel()


def _start(search: Awaitable[bool]) -> asyncio.Future[bool]:
    """Start a search; one that fails is logged and has found nothing."""
    future = asyncio.ensure_future(search)
    future.add_done_callback(_log_failure)
    return future


def _log_failure(future: asyncio.Future[bool]) -> None:
    if not future.cancelled() and future.exception() is not None:
        log.error("the search for another target failed: {!r}", future.exception())


def _is_found(future: asyncio.Future[bool]) -> bool:
    """Return whether a search has found something."""
    has_result = future.done() and not future.cancelled() and future.exception() is None
    return has_result and future.result()
