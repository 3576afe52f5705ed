"""Relay of a request: admission, slot, attempts at targets, and response."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from http import HTTPStatus

from celeryrun.catalog import Target
from celeryrun.exception import Refusal
from celeryrun.gateway._admission import (
    Admission,
    Freshness,
    admit,
    choose_pool,
    recheck_admission,
)
from celeryrun.gateway._attempt import Attempt, AttemptChain
from celeryrun.gateway._client import SchedulerClient
from celeryrun.gateway._crash_tracker import CrashTracker
from celeryrun.gateway._discovery import Discovery
from celeryrun.gateway._hedge import HedgeSteps, Hedging
from celeryrun.gateway._metrics import GatewayMetrics
from celeryrun.gateway._paths import Paths
from celeryrun.gateway._planned_stop import STOPPING, DurationHistory, PlannedStop, StopSchedule
from celeryrun.gateway._relocation import Relocation
from celeryrun.gateway._request_log import RequestLog
from celeryrun.gateway._response_relay import (
    Broken,
    Finished,
    Rejected,
    ResponseRelay,
    Result,
    Silent,
)
from celeryrun.gateway._silence import SilenceWatch
from celeryrun.gateway._state import (
    OUT_OF_TIME,
    OUTCOME_UNKNOWN,
    REJECTED_BY_TARGET,
    TIMED_OUT,
    UNREACHABLE_TARGETS,
    RequestState,
    build_slot_request,
    refusal_for_denial,
    silence_timeout,
)
from celeryrun.gateway._stream_origins import RecordedOrigin, StreamOrigins
from celeryrun.kernel import Kernel, now
from celeryrun.paths import PathLostError
from celeryrun.platform import CallerRequest, format_request, read_request
from celeryrun.scheduling import (
    BROKEN,
    COMPLETE,
    CRASHED,
    FAILED,
    MISDIRECTED,
    REJECTED,
    UNREACHABLE,
    UNUSED,
    Denial,
    Grant,
)
from celeryrun.settings import GatewaySettings
from celeryrun.transport import (
    CallerConnection,
    ReceivedRequest,
    TargetFailedError,
    accepts_connections,
)

__all__ = ["Relay"]

PROBE_TIMEOUT = 0.25  # s within which a running target accepts a connection
REVOCATION_MARGIN = 0.4  # s of revocation_lag reserved for the network and a late timer
MAX_FRESHNESS_WAIT = 0.3  # s that a request waits for a newer configuration before it is refused
MAX_OVERLAP = 0.3  # s for which a silent target stays in reserve after its successor was sent to
SEARCH_PAUSE = 0.2  # s after the first denial of a slot for a successor; doubles with each one
MAX_FAILED_CONNECTS = 4  # unreachable targets after which a request is given up
STOPPING_DENIAL = Denial(0, "stopping", 0.0)


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No connection to the target of a granted slot was made."""


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The target of a granted slot is no longer ready."""


NotOpened = Denial | Refusal | Unreachable | Withdrawn


class Relay:
    """Service that relays callers' requests to targets and refuses those it can't."""

    __slots__ = (
        "_crash_tracker",
        "_discovery",
        "_durations",
        "_hedging",
        "_metrics",
        "_origins",
        "_paths",
        "_planned_stop",
        "_request_log",
        "_scheduler_client",
        "_settings",
    )

    def __init__(self, kernel: Kernel, settings: GatewaySettings) -> None:
        self._discovery: Discovery = kernel.find("discovery")
        self._crash_tracker: CrashTracker = kernel.find("crash-tracker")
        self._scheduler_client: SchedulerClient = kernel.find("scheduler-client")
        self._paths: Paths = kernel.find("paths")
        self._origins: StreamOrigins = kernel.find("stream-origins")
        self._request_log: RequestLog = kernel.find("request-log")
        self._metrics: GatewayMetrics = kernel.find("metrics")
        self._settings = settings
        self._durations = DurationHistory()
        self._planned_stop = PlannedStop()
        self._hedging = Hedging(
            HedgeSteps(self._open_attempt, self._send, self._end_attempt, self._has_survived),
            settings,
            self._planned_stop,
            self._crash_tracker,
            self._request_log,
            self._metrics,
        )

    def start(self) -> None:
        """Do nothing; the service has no task."""

    def stop(self) -> None:
        """Do nothing; the service has nothing to close."""

    def apply(self, settings: GatewaySettings) -> None:
        """Apply reloaded settings."""
        self._settings = settings
        self._hedging.apply(settings)

    def begin_stop(self, schedule: StopSchedule) -> None:
        """Refuse from now on what can't be answered before a planned stop."""
        self._planned_stop.begin(schedule)

    def end_unanswered(self) -> None:
        """Refuse all requests whose response has not begun, as the process exits soon."""
        self._planned_stop.end_unanswered()

    async def serve(self, connection: CallerConnection, received: ReceivedRequest) -> None:
        """Serve one request; cancelled when its caller disconnects."""
        request = read_request(received.head, received.body)
        if isinstance(request, str):
            refusal = Refusal(400, "malformed", request)
            self._request_log.log_unreadable(refusal, "admission")
            connection.refuse(refusal)
            return
        admission = await self._admit(request)
        if isinstance(admission, Refusal):
            self._request_log.log_refusal(request, admission, "admission")
            connection.refuse(admission)
            return
        pool = self._discovery.find_pool(choose_pool(admission.route))
        state = RequestState.from_admission(request, admission, pool, received.arrived_at)
        await self._serve_with_timeout(connection, state)

    async def _serve_with_timeout(self, connection: CallerConnection, state: RequestState) -> None:
        response_relay = ResponseRelay(connection, state.request, state.admission.route)
        try:
            async with asyncio.timeout(state.respond_by - now()) as timeout:
                with self._planned_stop.track_request(timeout, lambda: connection.response_started):
                    await self._try_targets(connection, state, response_relay)
        except TimeoutError:
            self._on_timeout(connection, state, response_relay)
        except asyncio.CancelledError:
            self._request_log.emit(state, "caller-left", sent=state.attempts)
            raise
        finally:
            self._metrics.observe(state.admission, state.arrived_at, response_relay)

    async def _admit(self, request: CallerRequest) -> Admission | Refusal:
        freshness = self._freshness()
        decision = admit(
            self._discovery.catalog, request.host, request.path, request.api_key, freshness
        )
        if isinstance(decision, Refusal) and decision.status == 503:
            max_wait = min(MAX_FRESHNESS_WAIT, request.deadline / 4)
            if await self._discovery.configuration.wait_fresh(freshness.max_denial_age, max_wait):
                freshness = self._freshness()
                catalog = self._discovery.catalog
                decision = admit(catalog, request.host, request.path, request.api_key, freshness)
        return decision

    def _freshness(self) -> Freshness:
        bounds = self._settings.bounds
        return Freshness(
            self._discovery.configuration_age(),
            bounds.revocation_lag - REVOCATION_MARGIN,
            bounds.configuration_lag,
        )

    async def _try_targets(
        self, connection: CallerConnection, state: RequestState, response_relay: ResponseRelay
    ) -> None:
        """Send a request to targets in turn until its caller has a final response."""
        attempts = AttemptChain()
        try:
            while True:
                attempt = attempts.take_next()
                if attempt is None:
                    opened = await self._open_attempt(state)
                    if not isinstance(opened, Attempt):
                        if self._on_not_opened(connection, state, response_relay, opened):
                            return
                        continue
                    attempt = attempts.current = opened
                if not self._may_continue(state, attempt.target):
                    attempt.close(UNUSED)
                    continue
                result = await self._run_attempt(state, response_relay, attempts, attempt)
                if isinstance(result, Silent):
                    self._leave_silent_target(state, response_relay, attempts, attempt)
                    continue
                attempts.keep_reserve()
                await self._end_attempt(state, attempt, result, response_relay.events)
                if self._finish_attempt(
                    connection, state, response_relay, result, attempt.target, attempts.has_other
                ):
                    return
        finally:
            attempts.close()

    def _leave_silent_target(
        self,
        state: RequestState,
        response_relay: ResponseRelay,
        attempts: AttemptChain,
        attempt: Attempt,
    ) -> None:
        """Turn to the successor of a silent target, which stays in reserve for a moment.

        Without a successor, the target in reserve goes on, and the current one is not needed.
        """
        if attempts.hedge_won:
            self._hedging.end_loser(state, attempt, attempts)
            return
        if attempts.is_relocated and attempts.successor is not None:
            response_relay.record_progress(state)
            self._request_log.emit(
                state,
                "stream-moved",
                target=attempt.target.id,
                successor=attempts.successor.target.id,
                events=response_relay.events,
                seconds=round(now() - attempt.began, 4),
            )
            attempt.close()
            return
        if attempts.successor is None:
            self._request_log.emit(state, "silence-ended", unused=attempt.target.id)
            attempt.close()
            return
        attempt.outcome = FAILED
        response_relay.record_progress(state)
        self._request_log.emit(
            state,
            "target-silent",
            target=attempt.target.id,
            successor=attempts.successor.target.id,
            events=response_relay.events,
            seconds=round(now() - attempt.began, 4),
        )
        attempts.reserve_current(MAX_OVERLAP)

    def _on_not_opened(
        self,
        connection: CallerConnection,
        state: RequestState,
        response_relay: ResponseRelay,
        reason: NotOpened,
    ) -> bool:
        """Respond to a caller whose request can't be sent; return whether the response is final."""
        match reason:
            case Denial():
                self._on_denial(connection, state, response_relay, reason)
                return True
            case Refusal():
                if state.attempts and not response_relay.all_rejected:
                    self._fail(connection, state, response_relay)
                else:
                    by = "stop" if reason is STOPPING else "dispatch"
                    self._refuse(connection, state, reason, by)
                return True
            case Unreachable():
                return self._on_unreachable(connection, state, response_relay)
            case Withdrawn():
                return False

    async def _find_successor(
        self, state: RequestState, response_relay: ResponseRelay, attempts: AttemptChain
    ) -> bool:
        """Open an attempt at another target than a silent one; return whether one may take it."""
        assert attempts.current is not None
        max_attempts = state.admission.route.max_attempts
        if state.attempts >= max_attempts or not response_relay.can_continue():
            return False
        state.excluded_targets.append(attempts.current.target.id)
        response_relay.record_progress(state)
        pause = SEARCH_PAUSE
        while True:
            match await self._open_attempt(state):
                case Attempt() as attempt:
                    return attempts.offer_successor(attempt, state.attempts < max_attempts)
                case Refusal():
                    return False
                case Denial():
                    state.failed_connects = 0
                    await asyncio.sleep(pause)
                    pause *= 2

    async def _acquire_slot(self, state: RequestState) -> Grant | Denial:
        assessment = self._crash_tracker.assess(state.request.shared_prompt_parts)
        if assessment.refused:
            return Denial(0, "suspect", 0.0)
        respond_by = self._planned_stop.limit(state.respond_by)
        slot_request = build_slot_request(state, now(), respond_by, assessment.on_probation)
        expected_duration = self._expected_duration(state)
        if not self._planned_stop.allows(expected_duration, state.arrived_at, state.respond_by):
            return STOPPING_DENIAL
        try:
            async with asyncio.timeout(None) as timeout:
                with self._planned_stop.track_wait(timeout, expected_duration):
                    reply = await self._scheduler_client.acquire(slot_request)
        except TimeoutError:
            return STOPPING_DENIAL
        if isinstance(reply, Grant):
            state.charged = True
            if state.is_resumed and not state.version:
                state.version = reply.version
                self._log_resumption(state, reply)
            self._request_log.emit(
                state,
                "placed",
                target=reply.target,
                tier=state.admission.tier,
                prompt=state.request.prompt_tokens,
                length=round(state.expected_size, 1),
                fingerprint=state.fingerprint,
                parts=state.logged_parts,
                waited=round(now() - state.arrived_at, 4),
                expected=round(reply.expected_first_byte, 4),
                sent=state.attempts,
            )
        return reply

    def _expected_duration(self, state: RequestState) -> float:
        """Return the seconds for which a target must be left, 0 for a stream that has begun."""
        if state.last_event_at is not None:
            return 0.0
        return self._durations.expect(state.admission.route.name, state.expected_size)

    def _log_resumption(self, state: RequestState, grant: Grant) -> None:
        self._request_log.emit(
            state,
            "stream-resumed",
            resumed=state.request.resumed_id.decode("latin-1"),
            stream=f"{state.stream:016x}",
            version=grant.version,
            target=grant.target,
        )

    def _recheck(self, state: RequestState, grant: Grant) -> Refusal | None:
        """Check a request again that has waited; return None if it may still be sent."""
        expected_duration = max(self._expected_duration(state), grant.expected_first_byte)
        if not self._planned_stop.allows(expected_duration, state.arrived_at, state.respond_by):
            return STOPPING
        if self._crash_tracker.assess(state.request.shared_prompt_parts).refused:
            return refusal_for_denial(Denial(0, "suspect", 0.0))
        catalog = self._discovery.catalog
        assert catalog is not None
        return recheck_admission(catalog, state.admission, state.request.api_key, self._freshness())

    def _may_send(self, state: RequestState, target: Target) -> bool:
        """Return whether a target of a request's pool takes new requests and may continue it."""
        return (
            target.pool == state.pool.name
            and self._discovery.is_ready(target)
            and self._may_continue(state, target)
            and not self._scheduler_client.pause_left(target.run)
        )

    def _may_continue(self, state: RequestState, target: Target) -> bool:
        """Return whether a target is of the version to which a stream is bound, if it is."""
        return not state.version or target.version == state.version

    async def _open_attempt(self, state: RequestState) -> Attempt | NotOpened:
        """Acquire a slot for a request and connect to its target."""
        reply = await self._acquire_slot(state)
        if isinstance(reply, Denial):
            return reply
        target = self._discovery.targets_by_id.get(reply.target)
        outcome = UNUSED
        attempt: Attempt | None = None
        try:
            refusal = self._recheck(state, reply)
            if refusal is not None or target is None or not self._may_send(state, target):
                return self._withdraw(state, reply.target, refusal)
            began = now()
            try:
                exchange = await self._paths.open(target)
            except (TargetFailedError, PathLostError) as error:
                is_lost = isinstance(error, PathLostError)
                outcome = UNUSED if is_lost else UNREACHABLE
                self._request_log.emit(state, "unreachable", target=target.id, path_lost=is_lost)
                if self._has_other_target(state, target):
                    state.excluded_targets.append(target.id)
                state.failed_connects += 1
                return Unreachable()
            state.failed_connects = 0
            # The process may have been suspended since the checks before the connection.
            refusal = self._recheck(state, reply)
            if refusal is not None or not self._may_send(state, target):
                exchange.close()
                return self._withdraw(state, target.id, refusal)
            attempt = Attempt(self._scheduler_client, reply, target, exchange, began)
            return attempt
        finally:
            if attempt is None:
                self._scheduler_client.release(reply, outcome)

    def _has_other_target(self, state: RequestState, target: Target) -> bool:
        """Return whether a request may be sent to another target than this one."""
        return any(
            other.id != target.id and other.id not in state.excluded_targets
            for other in self._discovery.ready_targets(state.pool.name)
        )

    def _withdraw(
        self, state: RequestState, target_id: str, refusal: Refusal | None
    ) -> Withdrawn | Refusal:
        """Give up a target, or a request that is no longer allowed."""
        target = self._discovery.targets_by_id.get(target_id)
        is_paused = target is not None and self._scheduler_client.pause_left(target.run) > 0
        if target is not None and is_paused and target_id not in state.paused_targets:
            # The request may wait for the end of the pause, of which its scheduler was not told.
            state.paused_targets.add(target_id)
            self._scheduler_client.repeat_pause(target.run)
        else:
            state.excluded_targets.append(target_id)
        if refusal is not None:
            return refusal
        self._request_log.emit(state, "withdrawn", target=target_id, sent=state.attempts)
        return Withdrawn()

    async def _run_attempt(
        self,
        state: RequestState,
        response_relay: ResponseRelay,
        attempts: AttemptChain,
        attempt: Attempt,
    ) -> Result | Silent:
        """Send a request to a target, unless that was done, and relay the response."""
        if not attempt.was_sent:
            if now() >= state.respond_by:
                attempt.outcome = UNUSED
                raise TimeoutError
            await self._send(state, attempt)
        is_stream = state.admission.route.kind.stream
        silence = SilenceWatch(
            silence_timeout(state, attempt.grant.expected_first_byte),
            lambda: self._find_successor(state, response_relay, attempts),
            attempts.drop_silence_successor,
            (lambda: attempts.reserve_goes_on(is_stream)) if attempts.has_reserve else None,
            self._hedging.plan(state, attempts, attempt, response_relay),
            attempts.drop_hedge,
            self._plan_relocation(state, response_relay, attempts, attempt),
        )
        return await response_relay.relay(
            attempt,
            silence,
            on_accepted=attempts.drop_reserve,
            on_event=lambda: self._bind_stream(state, attempt.target),
            has_survived=lambda: self._has_survived(attempt),
            on_statements=attempt.report_statements,
        )

    def _plan_relocation(
        self,
        state: RequestState,
        response_relay: ResponseRelay,
        attempts: AttemptChain,
        attempt: Attempt,
    ) -> Callable[[], Awaitable[bool] | None]:
        """Return what finds a faster target for a stream that won't end in time, once it shows."""
        if not state.admission.route.kind.resumable:
            return lambda: None
        return Relocation(state, attempts, attempt, response_relay, self._open_attempt).start_if_due

    async def _send(self, state: RequestState, attempt: Attempt) -> None:
        """Send a request to the target of an attempt."""
        attempt.was_sent = True
        state.attempts += 1
        workspace = state.admission.workspace.name or None
        remaining = state.respond_by - now()
        await attempt.exchange.send(
            format_request(state.request, attempt.target.id, workspace, remaining, state.last_event)
        )

    def _bind_stream(self, state: RequestState, target: Target) -> RecordedOrigin | None:
        """Bind a stream to the version of its first event; return the origin if it is news."""
        if not state.stream or state.is_bound:
            return None
        state.is_bound = True
        state.version = target.version
        return self._origins.record_own(state.stream, target, state.request.deadline)

    async def _end_attempt(
        self, state: RequestState, attempt: Attempt, result: Result, events: int = 0
    ) -> None:
        """Report the result of an attempt, and close it."""
        outcome = await self._classify_result(state, result, attempt.target, events)
        self._report_suspects(state, attempt.target, outcome, attempt.began)
        if outcome == COMPLETE:
            route = state.admission.route.name
            self._durations.record(route, now() - attempt.began, state.expected_size)
        attempt.close(outcome)

    async def _classify_result(
        self,
        state: RequestState,
        result: Result,
        target: Target,
        events: int,
    ) -> str:
        """Return the outcome of an attempt that is reported to the scheduler."""
        match result:
            case Finished(failed=failed):
                return FAILED if failed else COMPLETE
            case Rejected(status=HTTPStatus.MISDIRECTED_REQUEST):
                return MISDIRECTED
            case Rejected():
                return REJECTED
            case Broken(kind="reset" | "closed" | "cut") if await self._has_crashed(target):
                self._request_log.emit(
                    state,
                    "target-down",
                    target=target.id,
                    fingerprint=state.fingerprint,
                    parts=state.logged_parts,
                    events=events,
                )
                self._metrics.target_crashes.inc()
                return CRASHED
            case Broken(kind="reset" | "closed" | "cut"):
                return BROKEN
        return FAILED

    async def _has_survived(self, attempt: Attempt) -> bool:
        """Return whether a target still accepts connections, and has not reset that of an attempt.

        One that leaves goes on serving. If it has ended, nothing tells a response that it completed
        before from one that its end has cut.
        """
        target = attempt.target
        # A second opinion comes late, when the target may have started again.
        if self._paths.is_lost(target):
            is_up = await self._paths.is_up_for_others(target, PROBE_TIMEOUT)
        else:
            is_up = await accepts_connections(target.host, target.port, PROBE_TIMEOUT)
        return is_up and not attempt.exchange.was_reset()

    async def _has_crashed(self, target: Target) -> bool:
        """Return whether neither this node nor others reach a target that has broken off."""
        checks = [self._paths.is_up_for_others(target, PROBE_TIMEOUT)]
        if not self._paths.is_lost(target):
            checks.append(accepts_connections(target.host, target.port, PROBE_TIMEOUT))
        for check in asyncio.as_completed(checks):
            if await check:
                return False
        return not self._paths.has_lost_other(target)

    def _report_suspects(
        self, state: RequestState, target: Target, outcome: str, began: float
    ) -> None:
        """Report what was in flight at a crash, or has completed."""
        parts = state.request.shared_prompt_parts
        if outcome == CRASHED:
            self._crash_tracker.report_crash(target, state.fingerprint, parts)
        elif outcome == COMPLETE:
            self._crash_tracker.report_completed(state.fingerprint, parts, began)

    def _finish_attempt(
        self,
        connection: CallerConnection,
        state: RequestState,
        response_relay: ResponseRelay,
        result: Result,
        target: Target,
        has_other: bool,
    ) -> bool:
        """Respond to a caller after an attempt; return whether the response is final.

        Parameters
        ----------
        has_other : bool
            Whether another target works on the request, or may still go on with its response.
        """
        route = state.admission.route
        if isinstance(result, Rejected) and result.status == HTTPStatus.MISDIRECTED_REQUEST:
            state.misdirections += 1
        may_repeat = has_other or state.may_be_sent_again()
        is_paused = self._scheduler_client.pause_left(target.run) > 0
        if not (isinstance(result, Rejected) and is_paused):
            state.excluded_targets.append(target.id)
        match result:
            case Finished(status=status, is_held=is_held):
                if is_held and may_repeat and route.kind.repeatable:
                    self._request_log.emit(state, "sent-again", status=status, target=target.id)
                    return False
                response_relay.send_held()
                self._request_log.emit(
                    state,
                    "answered",
                    status=status,
                    target=target.id,
                    first=response_relay.seconds_to_first_byte(state.arrived_at),
                    seconds=round(now() - state.arrived_at, 4),
                    events=response_relay.events,
                    pause=round(response_relay.longest_pause, 3),
                )
                return True
            case Rejected(status=status):
                if has_other or (may_repeat and response_relay.can_continue()):
                    self._request_log.emit(state, "rejected", status=status, target=target.id)
                    return False
                if connection.response_started:
                    self._abort(connection, state, response_relay, "rejected")
                elif not response_relay.all_rejected:
                    self._fail(connection, state, response_relay)
                else:
                    refusal = self._delay_past_pauses(state, REJECTED_BY_TARGET)
                    self._refuse(connection, state, refusal, "target")
                return True
        self._request_log.emit(
            state,
            "broken-off",
            why=result.kind,
            target=target.id,
            events=response_relay.events,
            seconds=now() - state.arrived_at,
        )
        if may_repeat and route.kind.repeatable and response_relay.can_continue():
            self._readmit_targets(state)
            response_relay.record_progress(state)
            return False
        self._fail(connection, state, response_relay)
        return True

    def _readmit_targets(self, state: RequestState) -> None:
        """Let a bound stream return to targets that broke it off, if no other can continue it."""
        if not state.version:
            return
        able = [
            target.id
            for target in self._discovery.ready_targets(state.pool.name)
            if target.version == state.version
        ]
        if all(id in state.excluded_targets for id in able):
            state.excluded_targets.clear()

    def _fail(
        self, connection: CallerConnection, state: RequestState, response_relay: ResponseRelay
    ) -> None:
        """Send a held failure response, or refuse because the outcome is unknown."""
        if response_relay.send_held():
            return
        if connection.response_started:
            self._abort(connection, state, response_relay, "target")
            return
        self._refuse(connection, state, OUTCOME_UNKNOWN, "target")

    def _on_denial(
        self,
        connection: CallerConnection,
        state: RequestState,
        response_relay: ResponseRelay,
        denial: Denial,
    ) -> None:
        if response_relay.send_held():
            return
        if connection.response_started:
            self._abort(connection, state, response_relay, denial.kind)
            return
        if state.attempts and not response_relay.all_rejected:
            self._fail(connection, state, response_relay)
            return
        if self._planned_stop.schedule is not None and denial.kind in ("overload", "stopping"):
            # The time until the stop was too short, which says little of other nodes.
            self._refuse(connection, state, STOPPING, "stop")
            return
        refusal = self._delay_past_pauses(state, refusal_for_denial(denial))
        self._refuse(connection, state, refusal, "scheduler")

    def _delay_past_pauses(self, state: RequestState, refusal: Refusal) -> Refusal:
        """Extend a refusal's retry delay to the first end of a pause if all targets pause."""
        targets = self._discovery.ready_targets(state.pool.name)
        wait = min(
            (self._scheduler_client.pause_left(target.run) for target in targets), default=0.0
        )
        return replace(refusal, retry_after=max(refusal.retry_after or 0.0, wait) or None)

    def _on_unreachable(
        self, connection: CallerConnection, state: RequestState, response_relay: ResponseRelay
    ) -> bool:
        if state.failed_connects < MAX_FAILED_CONNECTS:
            return False
        if state.attempts or connection.response_started:
            self._fail(connection, state, response_relay)
        else:
            self._refuse(connection, state, UNREACHABLE_TARGETS, "target")
        return True

    def _on_timeout(
        self, connection: CallerConnection, state: RequestState, response_relay: ResponseRelay
    ) -> None:
        self._request_log.emit(
            state, "timed-out", sent=state.attempts, seconds=now() - state.arrived_at
        )
        if response_relay.send_held():
            return
        if connection.response_started:
            self._abort(connection, state, response_relay, "timeout")
        elif state.attempts:
            self._refuse(connection, state, TIMED_OUT, "timeout")
        elif self._planned_stop.schedule is not None:
            self._refuse(connection, state, STOPPING, "stop")
        else:
            self._refuse(connection, state, OUT_OF_TIME, "timeout")

    def _abort(
        self,
        connection: CallerConnection,
        state: RequestState,
        response_relay: ResponseRelay,
        why: str,
    ) -> None:
        """Close the connection of a caller that has a part of its response."""
        self._request_log.emit(
            state,
            "aborted",
            why=why,
            sent=state.attempts,
            events=response_relay.events,
            seconds=round(now() - state.arrived_at, 4),
        )
        self._metrics.aborts.labels(why).inc()
        connection.abort()

    def _refuse(
        self, connection: CallerConnection, state: RequestState, refusal: Refusal, by: str
    ) -> None:
        self._request_log.log_refusal(state.request, refusal, by, state)
        connection.refuse(refusal)
