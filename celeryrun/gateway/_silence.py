"""Wait for a target's response, and search for another target while it is silent."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from celeryrun.kernel import now

__all__ = ["SilenceWatch", "SuccessorFoundError"]

T = TypeVar("T")


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
    """

    __slots__ = (
        "_discard_successor",
        "_find_successor",
        "_progress_at",
        "_search",
        "_timeout",
    )

    def __init__(
        self,
        timeout: float | None,
        find_successor: Callable[[], Awaitable[bool]],
        discard_successor: Callable[[], None],
    ) -> None:
        self._timeout = timeout
        self._find_successor = find_successor
        self._discard_successor = discard_successor
        self._progress_at = now()
        self._search: asyncio.Future[bool] | None = None

    def record_progress(self) -> None:
        """Note that the target goes on."""
        self._progress_at = now()
        if self._search is not None:
            self._search.cancel()
            self._search = None
            self._discard_successor()

    async def wait(self, read: Callable[[], Awaitable[T]]) -> T:
        """Return the result of a read that may be cancelled and repeated.

        Raises
        ------
        SuccessorFoundError
            If the target is silent and another one is ready.
        """
        if self._timeout is None:
            return await read()
        if self._search is None:
            try:
                async with asyncio.timeout(self._progress_at + self._timeout - now()):
                    return await read()
            except TimeoutError:
                self._search = asyncio.ensure_future(self._find_successor())
        reading = asyncio.ensure_future(read())
        try:
            await asyncio.wait((reading, self._search), return_when=asyncio.FIRST_COMPLETED)
            if not reading.done() and self._search.result():
                raise SuccessorFoundError
            return await reading
        finally:
            reading.cancel()

    def close(self) -> None:
        """End the search; a successor that it has found stays."""
        if self._search is not None and not self._search.done():
            self._search.cancel()
