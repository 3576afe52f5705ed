"""Second attempt at a slow request, beside the first, on another target."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from celeryrun.gateway._attempt import Attempt, AttemptChain
from celeryrun.gateway._crash_tracker import CrashTracker
from celeryrun.gateway._metrics import GatewayMetrics
from celeryrun.gateway._planned_stop import PlannedStop
from celeryrun.gateway._request_log import RequestLog
from celeryrun.gateway._response_relay import (
    MAX_HELD_BYTES,
    MIN_FAILURE_STATUS,
    NOT_RUN_STATUSES,
    Broken,
    Finished,
    Rejected,
    ResponseRelay,
    Result,
    find_fault,
)
from celeryrun.gateway._state import RequestState
from celeryrun.gateway._stream import MAX_EVENT_BYTES, has_event
from celeryrun.hedging import may_hedge
from celeryrun.kernel import now
from celeryrun.platform import read_response
from celeryrun.scheduling import LOST, UNUSED, Denial
from celeryrun.settings import GatewaySettings
from celeryrun.transport import TargetFailedError

__all__ = ["Hedge", "HedgeSteps", "Hedging"]


@dataclass(frozen=True, slots=True)
class HedgeSteps:
    """Steps of an attempt that a hedge has in common with any other.

    Parameters
    ----------
    open_attempt : callable
        Acquires a slot and connects; returns an `Attempt`, or why there is none.
    send : callable
        Sends a request on the connection of an attempt.
    end_attempt : callable
        Reports the result of an attempt and closes it.
    has_survived : callable
        Returns whether the target of an attempt is still up and has not reset the connection.
    """

    open_attempt: Callable[[RequestState], Awaitable[object]]
    send: Callable[[RequestState, Attempt], Awaitable[None]]
    end_attempt: Callable[[RequestState, Attempt, Result], Awaitable[None]]
    has_survived: Callable[[Attempt], Awaitable[bool]]


class Hedge:
    """Hedge of one request: waits for its time, then for the response of another target.

    Parameters
    ----------
    due_at : float
        Time at which the request is sent to another target, in seconds.
    may_start : callable
        Returns whether the request may still be hedged.
    """

    __slots__ = (
        "_attempts",
        "_due_at",
        "_may_start",
        "_on_denied",
        "_on_sent",
        "_response_relay",
        "_state",
        "_steps",
    )

    def __init__(
        self,
        state: RequestState,
        attempts: AttemptChain,
        response_relay: ResponseRelay,
        steps: HedgeSteps,
        due_at: float,
        may_start: Callable[[], bool],
        on_sent: Callable[[Attempt], None],
        on_denied: Callable[[object], None],
    ) -> None:
        self._state = state
        self._attempts = attempts
        self._response_relay = response_relay
        self._steps = steps
        self._due_at = due_at
        self._may_start = may_start
        self._on_sent = on_sent
        self._on_denied = on_denied

    async def run(self) -> bool:
        """Send the request to another target; return whether that one responds first.

        The attempt stays open when this is cancelled, since the first target may have failed.
        """
        attempt = self._attempts.hedge or await self._start()
        if attempt is None:
            return False
        result = await self._receive(attempt)
        if result is None:
            self._attempts.hedge_won = True
            return True
        # A refusal that states that nothing was run would be false from now on.
        self._response_relay.all_rejected &= isinstance(result, Rejected)
        await self._steps.end_attempt(self._state, attempt, result)
        self._attempts.hedge = None
        return False

    async def _start(self) -> Attempt | None:
        await asyncio.sleep(self._due_at - now())
        current = self._attempts.current
        if current is None or not self._may_start():
            return None
        attempt = await self._steps.open_attempt(self._state.for_hedge(current.target.id))
        if not isinstance(attempt, Attempt):
            self._on_denied(attempt)
            return None
        if self._attempts.successor is not None or not self._may_start():
            attempt.close(UNUSED)
            return None
        self._attempts.hedge = attempt
        self._state.excluded_targets.append(attempt.target.id)
        self._on_sent(attempt)
        await self._steps.send(self._state, attempt)
        return attempt

    async def _receive(self, attempt: Attempt) -> Result | None:
        """Wait for a response that may be passed on; return the result if it may not."""
        request = self._state.request
        exchange = attempt.exchange
        try:
            head = await exchange.read_head()
            response = read_response(head, request)
            if response.matches_request or response.not_run:
                attempt.report_statements(response)
            fault = find_fault(response)
            if fault is not None:
                return fault
            if head.status in NOT_RUN_STATUSES:
                return Broken("unpromised")
            if head.status >= MIN_FAILURE_STATUS:
                return Finished(head.status, failed=True, is_held=True)
            if request.head.method == b"HEAD":
                return None
            is_stream = self._state.admission.route.kind.stream and head.status == 200
            if not await _read_beginning(attempt, is_stream):
                return Broken("malformed")
        except TargetFailedError as error:
            return Broken(error.kind)
        return await self._find_cut(attempt)

    async def _find_cut(self, attempt: Attempt) -> Broken | None:
        """Return the result if the end of a target may have cut its response."""
        if attempt.exchange.ended_by_close and not await self._steps.has_survived(attempt):
            return Broken("closed")
        return None


async def _read_beginning(attempt: Attempt, is_stream: bool) -> bool:
    """Read the first event of a stream, or a whole body; return False if an event has no end."""
    while chunk := await attempt.exchange.read_body():
        attempt.received += chunk
        if is_stream and has_event(attempt.received):
            return True
        if len(attempt.received) > (MAX_EVENT_BYTES if is_stream else MAX_HELD_BYTES):
            return not is_stream
    return True


class Hedging:
    """Hedges of a node's requests."""

    __slots__ = (
        "_crash_tracker",
        "_metrics",
        "_planned_stop",
        "_request_log",
        "_settings",
        "_steps",
    )

    def __init__(
        self,
        steps: HedgeSteps,
        settings: GatewaySettings,
        planned_stop: PlannedStop,
        crash_tracker: CrashTracker,
        request_log: RequestLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._steps = steps
        self._settings = settings
        self._planned_stop = planned_stop
        self._crash_tracker = crash_tracker
        self._request_log = request_log
        self._metrics = metrics

    def apply(self, settings: GatewaySettings) -> None:
        """Apply reloaded settings."""
        self._settings = settings

    def plan(
        self,
        state: RequestState,
        attempts: AttemptChain,
        attempt: Attempt,
        response_relay: ResponseRelay,
    ) -> Callable[[], Awaitable[bool]] | None:
        """Return the hedge of a request that is sent to a target now, None if there is none."""
        delay = attempt.grant.hedge_delay
        if attempts.hedge is None and not (delay and self._may_hedge(state, response_relay)):
            return None
        attempts.on_hedge_lost = lambda lost: self._on_lost(state, lost)
        return Hedge(
            state,
            attempts,
            response_relay,
            self._steps,
            attempt.began + delay,
            lambda: self._may_hedge(state, response_relay),
            lambda hedge: self._on_sent(state, attempt, hedge),
            lambda reason: self._on_denied(state, reason),
        ).run

    def _may_hedge(self, state: RequestState, response_relay: ResponseRelay) -> bool:
        route = state.admission.route
        if not self._settings.hedging.extra_work or self._planned_stop.schedule is not None:
            return False
        if response_relay.status or state.is_resumed or state.last_event_at is not None:
            return False
        if not may_hedge(route.kind, state.attempts, route.max_attempts):
            return False
        assessment = self._crash_tracker.assess(state.request.shared_prompt_parts)
        return not assessment.refused and not assessment.on_probation

    def end_loser(self, state: RequestState, attempt: Attempt, attempts: AttemptChain) -> None:
        """Close the attempt whose hedge has won."""
        assert attempts.hedge is not None
        self._request_log.emit(
            state,
            "hedge-won",
            target=attempts.hedge.target.id,
            loser=attempt.target.id,
            seconds=round(now() - attempt.began, 4),
            hedge_seconds=round(now() - attempts.hedge.began, 4),
        )
        self._count("won", attempt)
        attempt.close(LOST)

    def _on_sent(self, state: RequestState, attempt: Attempt, hedge: Attempt) -> None:
        self._request_log.emit(
            state,
            "hedged",
            target=hedge.target.id,
            other=attempt.target.id,
            seconds=round(now() - attempt.began, 4),
        )
        self._metrics.hedges.labels("sent").inc()

    def _on_denied(self, state: RequestState, reason: object) -> None:
        why = reason.kind if isinstance(reason, Denial) else type(reason).__name__.lower()
        self._request_log.emit(state, "hedge-denied", why=why)
        self._metrics.hedges.labels("denied").inc()

    def _on_lost(self, state: RequestState, hedge: Attempt) -> None:
        # A stream that breaks off later may go on there.
        state.excluded_targets = [id for id in state.excluded_targets if id != hedge.target.id]
        self._request_log.emit(
            state, "hedge-lost", target=hedge.target.id, seconds=round(now() - hedge.began, 4)
        )
        self._count("lost", hedge)

    def _count(self, result: str, loser: Attempt) -> None:
        self._metrics.hedges.labels(result).inc()
        self._metrics.hedge_seconds.inc(now() - loser.began)
