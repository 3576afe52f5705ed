"""Move of a stream that won't end in time to a faster target."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from celeryrun.gateway._attempt import Attempt, AttemptChain
from celeryrun.gateway._response_relay import ResponseRelay
from celeryrun.gateway._state import RequestState, expect_remaining
from celeryrun.kernel import now
from celeryrun.scheduling import UNUSED

__all__ = ["Relocation"]

MIN_EVENTS = 8  # of a target before they tell its pace
RETRY_INTERVAL = 0.5  # s after a search for a faster target that has found none; doubles
MIN_TIME_LEFT = 0.5  # s, below which a move can gain little


class Relocation:
    """Decides whether the stream of an attempt moves, and finds its next target.

    Parameters
    ----------
    open_attempt : callable
        Acquires a slot and connects; returns an `Attempt`, or why there is none.
    """

    __slots__ = (
        "_attempt",
        "_attempts",
        "_next_search_at",
        "_open_attempt",
        "_pause",
        "_response_relay",
        "_state",
    )

    def __init__(
        self,
        state: RequestState,
        attempts: AttemptChain,
        attempt: Attempt,
        response_relay: ResponseRelay,
        open_attempt: Callable[[RequestState], Awaitable[object]],
    ) -> None:
        self._state = state
        self._attempts = attempts
        self._attempt = attempt
        self._response_relay = response_relay
        self._open_attempt = open_attempt
        self._next_search_at = 0.0
        self._pause = RETRY_INTERVAL

    def start_if_due(self) -> Awaitable[bool] | None:
        """Return a search for a faster target if the stream would overrun its time here."""
        time = now()
        if time < self._next_search_at or not self._overruns(time):
            return None
        if not self._state.may_be_sent_again() or not self._response_relay.can_continue():
            return None
        if self._attempts.successor is not None or self._attempts.has_other:
            return None
        return self._search()

    def _overruns(self, time: float) -> bool:
        attempt = self._attempt
        if attempt.events < MIN_EVENTS or self._state.respond_by - time < MIN_TIME_LEFT:
            return False
        seconds = attempt.last_event_at - attempt.first_event_at - attempt.stalled
        pace = max(0.0, seconds) / (attempt.events - 1)
        remaining = expect_remaining(self._state.expected_size, self._response_relay.events)
        return time + remaining * pace > self._state.respond_by

    async def _search(self) -> bool:
        """Open an attempt at another target, where the stream is expected to end in time."""
        self._next_search_at = float("inf")
        try:
            copy = self._state.for_relocation(self._attempt.target.id)
            self._response_relay.record_progress(copy)
            attempt = await self._open_attempt(copy)
            if not isinstance(attempt, Attempt):
                return False
            time_left = self._state.respond_by - now()
            if attempt.grant.duration > time_left or self._attempts.successor is not None:
                attempt.close(UNUSED)
                return False
            self._state.excluded_targets.append(self._attempt.target.id)
            self._attempts.relocate_to(attempt)
            return True
        finally:
            self._next_search_at = now() + self._pause
            self._pause *= 2
