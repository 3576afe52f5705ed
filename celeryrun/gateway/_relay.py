"""Relay of a request: admission, slot, attempts at targets, and response."""

from __future__ import annotations

import asyncio

from celeryrun.catalog import Target
from celeryrun.exception import Refusal
from celeryrun.gateway._admission import (
    Admission,
    Freshness,
    admit,
    choose_pool,
    recheck_admission,
)
from celeryrun.gateway._client import SchedulerClient
from celeryrun.gateway._crash_tracker import CrashTracker
from celeryrun.gateway._discovery import Discovery
from celeryrun.gateway._metrics import GatewayMetrics
from celeryrun.gateway._request_log import RequestLog
from celeryrun.gateway._response_relay import Broken, Finished, Rejected, ResponseRelay
from celeryrun.gateway._state import (
    OUT_OF_TIME,
    OUTCOME_UNKNOWN,
    REJECTED_BY_TARGET,
    TIMED_OUT,
    UNREACHABLE_TARGETS,
    RequestState,
    build_slot_request,
    fingerprint,
    refusal_for_denial,
    silence_timeout,
)
from celeryrun.kernel import Kernel, now
from celeryrun.platform import CallerRequest, format_request, read_request
from celeryrun.scheduling import (
    CANCELLED,
    COMPLETE,
    CRASHED,
    FAILED,
    REJECTED,
    UNREACHABLE,
    UNUSED,
    Denial,
    Grant,
)
from celeryrun.settings import GatewaySettings
from celeryrun.transport import (
    CallerConnection,
    Exchange,
    ReceivedRequest,
    TargetFailedError,
    accepts_connections,
    open_exchange,
)

__all__ = ["Relay"]

CONNECT_TIMEOUT = 0.4  # s; targets are milliseconds away, and a lost packet costs a second
PROBE_TIMEOUT = 0.25  # s within which a running target accepts a connection
REVOCATION_MARGIN = 0.4  # s of revocation_lag reserved for the network and a late timer
MAX_FRESHNESS_WAIT = 0.3  # s that a request waits for a newer configuration before it is refused
MAX_FAILED_CONNECTS = 4  # unreachable targets after which a request is given up
RESPONSE_MARGIN = 0.004  # s before a request's deadline at which it is answered


class Relay:
    """Service that relays callers' requests to targets and refuses those it can't."""

    __slots__ = (
        "_crash_tracker",
        "_discovery",
        "_metrics",
        "_request_log",
        "_scheduler_client",
        "_settings",
    )

    def __init__(self, kernel: Kernel, settings: GatewaySettings) -> None:
        self._discovery: Discovery = kernel.find("discovery")
        self._crash_tracker: CrashTracker = kernel.find("crash-tracker")
        self._scheduler_client: SchedulerClient = kernel.find("scheduler-client")
        self._request_log: RequestLog = kernel.find("request-log")
        self._metrics: GatewayMetrics = kernel.find("metrics")
        self._settings = settings

    def start(self) -> None:
        """Do nothing; the service has no task."""

    def stop(self) -> None:
        """Do nothing; the service has nothing to close."""

    def apply(self, settings: GatewaySettings) -> None:
        """Apply reloaded settings."""
        self._settings = settings

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
        route = admission.route
        state = RequestState(
            request,
            admission,
            pool,
            received.arrived_at,
            received.arrived_at + min(request.deadline, route.timeout) - RESPONSE_MARGIN,
            fingerprint(request, admission),
        )
        await self._serve_with_timeout(connection, state)

    async def _serve_with_timeout(self, connection: CallerConnection, state: RequestState) -> None:
        response_relay = ResponseRelay(connection, state.request, state.admission.route)
        try:
            async with asyncio.timeout(state.respond_by - now()):
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
        while True:
            reply = await self._acquire_slot(state)
            if isinstance(reply, Denial):
                self._on_denial(connection, state, response_relay, reply)
                return
            target = self._discovery.targets_by_id.get(reply.target)
            refusal = self._recheck(state)
            if refusal is not None or target is None or not target.ready:
                self._scheduler_client.release(reply, UNUSED)
                if self._withdraw(connection, state, response_relay, reply.target, refusal):
                    return
                continue
            if await self._try_target(connection, state, response_relay, reply, target):
                return

    def _withdraw(
        self,
        connection: CallerConnection,
        state: RequestState,
        response_relay: ResponseRelay,
        target_id: str,
        refusal: Refusal | None,
    ) -> bool:
        """Give up a target, or a request that is refused since it is no longer allowed.

        Returns
        -------
        bool
            Whether the caller has a final response.
        """
        state.excluded_targets.append(target_id)
        if refusal is None:
            self._request_log.emit(state, "withdrawn", target=target_id, sent=state.attempts)
            return False
        if state.attempts:
            self._fail(connection, state, response_relay)
        else:
            self._refuse(connection, state, refusal, "dispatch")
        return True

    async def _acquire_slot(self, state: RequestState) -> Grant | Denial:
        assessment = self._crash_tracker.assess(state.request.shared_prompt_parts)
        if assessment.refused:
            return Denial(0, "suspect", 0.0)
        reply = await self._scheduler_client.acquire(
            build_slot_request(state, now(), assessment.on_probation)
        )
        if isinstance(reply, Grant):
            state.charged = True
            self._request_log.emit(
                state,
                "placed",
                target=reply.target,
                tier=state.admission.tier,
                prompt=state.request.prompt_tokens,
                fingerprint=state.fingerprint,
                parts=state.logged_parts,
                waited=round(now() - state.arrived_at, 4),
                expected=round(reply.expected_first_byte, 4),
                sent=state.attempts,
            )
        return reply

    def _recheck(self, state: RequestState) -> Refusal | None:
        """Check a request again that has waited; return None if it may still be sent."""
        if self._crash_tracker.assess(state.request.shared_prompt_parts).refused:
            return refusal_for_denial(Denial(0, "suspect", 0.0))
        catalog = self._discovery.catalog
        assert catalog is not None
        return recheck_admission(catalog, state.admission, state.request.api_key, self._freshness())

    def _is_ready(self, target: Target) -> bool:
        """Return whether the newest list has this run of a target as ready, at its address."""
        listed = self._discovery.targets_by_id.get(target.id)
        return (
            listed is not None
            and listed.ready
            and (listed.host, listed.port, listed.born) == (target.host, target.port, target.born)
        )

    async def _try_target(
        self,
        connection: CallerConnection,
        state: RequestState,
        response_relay: ResponseRelay,
        grant: Grant,
        target: Target,
    ) -> bool:
        """Send a request to one target; return whether its caller has a final response."""
        began = now()
        outcome = CANCELLED
        exchange: Exchange | None = None
        try:
            try:
                exchange = await open_exchange(target.host, target.port, CONNECT_TIMEOUT)
            except TargetFailedError:
                outcome = UNREACHABLE
                return self._on_unreachable(connection, state, response_relay, target)
            state.failed_connects = 0
            # The process may have been suspended since the checks before the connection.
            refusal = self._recheck(state)
            if refusal is not None or not self._is_ready(target):
                outcome = UNUSED
                return self._withdraw(connection, state, response_relay, target.id, refusal)
            if now() >= state.respond_by:
                outcome = UNUSED
                raise TimeoutError
            state.attempts += 1
            await exchange.send(
                format_request(
                    state.request,
                    target.id,
                    state.admission.workspace.name or None,
                    state.respond_by - now(),
                    state.last_event,
                )
            )
            result = await response_relay.relay(
                exchange,
                on_first_byte=lambda: self._scheduler_client.report_first_byte(
                    grant, now() - began
                ),
                silence_timeout=silence_timeout(state, grant.expected_first_byte),
                has_survived=lambda: self._has_survived(target),
                on_rate_limit=lambda rate: self._scheduler_client.report_limit(
                    target.id, rate, began
                ),
            )
            outcome = await self._classify_result(state, result, target, response_relay.events)
            self._report_suspects(state, target, outcome, began)
            return self._finish_attempt(connection, state, response_relay, result, target)
        finally:
            if exchange is not None:
                exchange.close()
            self._scheduler_client.release(grant, outcome, now() - began, response_relay.events)

    async def _classify_result(
        self,
        state: RequestState,
        result: Finished | Broken | Rejected,
        target: Target,
        events: int,
    ) -> str:
        """Return the outcome of an attempt that is reported to the scheduler."""
        match result:
            case Finished(failed=failed):
                return FAILED if failed else COMPLETE
            case Rejected():
                return REJECTED
            case Broken(kind="reset" | "closed" | "cut") if not await accepts_connections(
                target.host, target.port, PROBE_TIMEOUT
            ):
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
        return FAILED

    async def _has_survived(self, target: Target) -> bool:
        """Return whether a target still accepts connections, or was to leave anyway."""
        return not self._is_ready(target) or await accepts_connections(
            target.host, target.port, PROBE_TIMEOUT
        )

    def _report_suspects(
        self, state: RequestState, target: Target, outcome: str, began: float
    ) -> None:
        """Report what was in flight at a crash, or has completed."""
        parts = state.request.shared_prompt_parts
        if outcome == CRASHED:
            self._crash_tracker.report_crash(target.id, state.fingerprint, parts)
        elif outcome == COMPLETE:
            self._crash_tracker.report_completed(state.fingerprint, parts, began)

    def _finish_attempt(
        self,
        connection: CallerConnection,
        state: RequestState,
        response_relay: ResponseRelay,
        result: Finished | Broken | Rejected,
        target: Target,
    ) -> bool:
        route = state.admission.route
        may_repeat = state.attempts < route.max_attempts
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
                if may_repeat and not connection.response_started:
                    self._request_log.emit(state, "rejected", status=status, target=target.id)
                    return False
                if connection.response_started:
                    self._abort(connection, state, response_relay, "rejected")
                else:
                    self._refuse(connection, state, REJECTED_BY_TARGET, "target")
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
            if response_relay.events:
                state.last_event = response_relay.last_id
            return False
        self._fail(connection, state, response_relay)
        return True

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
        refusal = refusal_for_denial(denial)
        self._refuse(connection, state, refusal, "scheduler")

    def _on_unreachable(
        self,
        connection: CallerConnection,
        state: RequestState,
        response_relay: ResponseRelay,
        target: Target,
    ) -> bool:
        self._request_log.emit(state, "unreachable", target=target.id)
        state.excluded_targets.append(target.id)
        state.failed_connects += 1
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
