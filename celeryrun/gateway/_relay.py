"""RequestState of one request: admitted, placed, sent, answered."""

from __future__ import annotations

import asyncio

from celeryrun.catalog import Target
from celeryrun.exception import Refusal
from celeryrun.gateway._admission import (
    Admitted,
    Freshness,
    admit,
    choose_pool,
    still_allowed,
)
from celeryrun.gateway._answering import Answering, Broken, Finished, Rejected
from celeryrun.gateway._client import SchedulerClient
from celeryrun.gateway._discovery import Discovery
from celeryrun.gateway._metrics import GatewayMetrics
from celeryrun.gateway._request_log import RequestLog
from celeryrun.gateway._state import (
    OUT_OF_TIME,
    REJECTED_BY_TARGET,
    TIMED_OUT,
    UNKNOWN,
    UNREACHABLE_TARGETS,
    RequestState,
    build_ask,
    fingerprint,
    patience_for,
    refusal_of,
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

CONNECT_TIMEOUT = 0.4  # s; targets are some milliseconds away, a lost packet costs a second
PROBE_TIMEOUT = 0.25  # s in which a target that is up accepts a connection
KEY_MARGIN = 0.4  # s of the revocation lag that the way to a target and a late timer may take
FRESH_PATIENCE = 0.3  # s for which a request waits for a newer configuration before it is refused
MAX_UNSENT = 4  # targets in a row that could not be reached
ANSWER_MARGIN = 0.004  # s before its time is up at which a request is answered


class Relay:
    """Service that serves one request after the other of each connection."""

    __slots__ = ("_scheduler", "_log", "_metrics", "_discovery", "_settings")

    def __init__(self, kernel: Kernel, settings: GatewaySettings) -> None:
        self._discovery: Discovery = kernel.find("discovery")
        self._scheduler: SchedulerClient = kernel.find("scheduler-client")
        self._log: RequestLog = kernel.find("request-log")
        self._metrics: GatewayMetrics = kernel.find("metrics")
        self._settings = settings

    def start(self) -> None:
        """Nothing runs."""

    def stop(self) -> None:
        """Nothing is held."""

    def apply(self, settings: GatewaySettings) -> None:
        """Use changed settings."""
        self._settings = settings

    async def serve(self, connection: CallerConnection, received: ReceivedRequest) -> None:
        """Answer one request; cancelled when its caller leaves."""
        request = read_request(received.head, received.body)
        if isinstance(request, str):
            refusal = Refusal(400, "malformed", request)
            self._log.unread(refusal, "admission")
            connection.refuse(refusal)
            return
        admitted = await self._admit(request)
        if isinstance(admitted, Refusal):
            self._log.refused(request, admitted, "admission")
            connection.refuse(admitted)
            return
        pool = self._discovery.pool(choose_pool(admitted.route))
        route = admitted.route
        state = RequestState(
            request,
            admitted,
            pool,
            received.arrived,
            received.arrived + min(request.deadline, route.timeout) - ANSWER_MARGIN,
            fingerprint(request, admitted),
        )
        await self._serve_in_time(connection, state)

    async def _serve_in_time(self, connection: CallerConnection, state: RequestState) -> None:
        answering = Answering(connection, state.request, state.admitted.route)
        try:
            async with asyncio.timeout(state.until - now()):
                await self._run(connection, state, answering)
        except TimeoutError:
            self._end_late(connection, state, answering)
        except asyncio.CancelledError:
            self._log.emit(state, "caller-left", sent=state.sent)
            raise
        finally:
            self._metrics.observe(state.admitted, state.arrived, answering)

    async def _admit(self, request: CallerRequest) -> Admitted | Refusal:
        freshness = self._freshness()
        found = admit(self._discovery.catalog, request.host, request.path, request.key, freshness)
        if isinstance(found, Refusal) and found.status == 503:
            patience = min(FRESH_PATIENCE, request.deadline / 4)
            if await self._discovery.configuration.wait_fresh(freshness.denial_limit, patience):
                freshness = self._freshness()
                catalog = self._discovery.catalog
                found = admit(catalog, request.host, request.path, request.key, freshness)
        return found

    def _freshness(self) -> Freshness:
        bounds = self._settings.bounds
        return Freshness(
            self._discovery.configuration.age(),
            bounds.revocation_lag - KEY_MARGIN,
            bounds.configuration_lag,
        )

    async def _run(
        self, connection: CallerConnection, state: RequestState, answering: Answering
    ) -> None:
        """Send a request to one target after the other until it has its answer."""
        while True:
            reply = await self._place(state)
            if isinstance(reply, Denial):
                self._deny(connection, state, answering, reply)
                return
            target = self._discovery.targets_by_id.get(reply.target)
            refusal = self._check(state)
            if refusal is not None or target is None or not target.ready:
                self._scheduler.done(reply, UNUSED)
                state.avoid.append(reply.target)
                if refusal is not None:
                    self._refuse_waiting(connection, state, answering, refusal)
                    return
                continue
            if await self._try(connection, state, answering, reply, target):
                return

    def _refuse_waiting(
        self,
        connection: CallerConnection,
        state: RequestState,
        answering: Answering,
        refusal: Refusal,
    ) -> None:
        """Refuse a request that was allowed when it came, unless it was sent meanwhile."""
        if state.sent:
            self._fail(connection, state, answering)
        else:
            self._refuse(connection, state, refusal, "dispatch")

    async def _place(self, state: RequestState) -> Grant | Denial:
        reply = await self._scheduler.place(build_ask(state, now()))
        if isinstance(reply, Grant):
            state.charged = True
            self._log.emit(
                state,
                "placed",
                target=reply.target,
                tier=state.admitted.tier,
                prompt=state.request.prompt_tokens,
                fingerprint=state.fingerprint,
                waited=round(now() - state.arrived, 4),
                expected=round(reply.expected_first_byte, 4),
                sent=state.sent,
            )
        return reply

    def _check(self, state: RequestState) -> Refusal | None:
        catalog = self._discovery.catalog
        assert catalog is not None
        return still_allowed(catalog, state.admitted, state.request.key, self._freshness())

    async def _try(
        self,
        connection: CallerConnection,
        state: RequestState,
        answering: Answering,
        grant: Grant,
        target: Target,
    ) -> bool:
        """Send a request to one target; tell whether it has its final answer."""
        began = now()
        outcome = CANCELLED
        exchange: Exchange | None = None
        try:
            try:
                exchange = await open_exchange(target.host, target.port, CONNECT_TIMEOUT)
            except TargetFailedError:
                outcome = UNREACHABLE
                return self._note_unsent(connection, state, answering, target)
            state.sent += 1
            await exchange.send(
                format_request(
                    state.request,
                    target.id,
                    state.admitted.workspace.name or None,
                    state.until - now(),
                    state.last_event,
                )
            )
            result = await answering.take(
                exchange,
                on_first=lambda: self._scheduler.first(grant, now() - began),
                patience=patience_for(state, grant.expected_first_byte),
            )
            outcome = await self._judge(state, result, target)
            return self._conclude(connection, state, answering, result, target)
        finally:
            if exchange is not None:
                exchange.close()
            self._scheduler.done(grant, outcome, now() - began, answering.events)

    async def _judge(
        self, state: RequestState, result: Finished | Broken | Rejected, target: Target
    ) -> str:
        """Return what the scheduler is told of a try."""
        match result:
            case Finished(failed=failed):
                return FAILED if failed else COMPLETE
            case Rejected():
                return REJECTED
            case Broken(kind="reset" | "closed") if not await accepts_connections(
                target.host, target.port, PROBE_TIMEOUT
            ):
                self._log.emit(state, "target-down", target=target.id)
                return CRASHED
        return FAILED

    def _conclude(
        self,
        connection: CallerConnection,
        state: RequestState,
        answering: Answering,
        result: Finished | Broken | Rejected,
        target: Target,
    ) -> bool:
        route = state.admitted.route
        may_repeat = state.sent < route.max_attempts
        state.avoid.append(target.id)
        match result:
            case Finished(status=status, held=held):
                if held and may_repeat and route.kind.repeatable:
                    self._log.emit(state, "sent-again", status=status, target=target.id)
                    return False
                answering.release()
                self._log.emit(
                    state,
                    "answered",
                    status=status,
                    target=target.id,
                    first=answering.first_after(state.arrived),
                    seconds=round(now() - state.arrived, 4),
                    events=answering.events,
                    pause=round(answering.longest_pause, 3),
                )
                return True
            case Rejected(status=status):
                if may_repeat and not connection.started:
                    self._log.emit(state, "rejected", status=status, target=target.id)
                    return False
                if connection.started:
                    connection.abort()
                else:
                    self._refuse(connection, state, REJECTED_BY_TARGET, "target")
                return True
        self._log.emit(
            state,
            "broken-off",
            why=result.kind,
            target=target.id,
            events=answering.events,
            seconds=now() - state.arrived,
        )
        if may_repeat and route.kind.repeatable and answering.can_go_on():
            if answering.events:
                state.last_event = answering.last_id
            return False
        self._fail(connection, state, answering)
        return True

    def _fail(
        self, connection: CallerConnection, state: RequestState, answering: Answering
    ) -> None:
        """Pass on a failure that was held back, or tell that the outcome is not known."""
        if answering.release():
            return
        if connection.started:
            connection.abort()
            return
        self._refuse(connection, state, UNKNOWN, "target")

    def _deny(
        self,
        connection: CallerConnection,
        state: RequestState,
        answering: Answering,
        denial: Denial,
    ) -> None:
        if answering.release():
            return
        if connection.started:
            connection.abort()
            return
        if state.sent and not answering.rejected_only:
            self._fail(connection, state, answering)
            return
        refusal = refusal_of(denial)
        self._refuse(connection, state, refusal, "scheduler")

    def _note_unsent(
        self,
        connection: CallerConnection,
        state: RequestState,
        answering: Answering,
        target: Target,
    ) -> bool:
        self._log.emit(state, "unreachable", target=target.id)
        state.avoid.append(target.id)
        state.unsent += 1
        if state.unsent < MAX_UNSENT:
            return False
        if state.sent or connection.started:
            self._fail(connection, state, answering)
        else:
            self._refuse(connection, state, UNREACHABLE_TARGETS, "target")
        return True

    def _end_late(
        self, connection: CallerConnection, state: RequestState, answering: Answering
    ) -> None:
        self._log.emit(state, "timed-out", sent=state.sent, seconds=now() - state.arrived)
        if answering.release():
            return
        if connection.started:
            connection.abort()
        elif state.sent:
            self._refuse(connection, state, TIMED_OUT, "timeout")
        else:
            self._refuse(connection, state, OUT_OF_TIME, "timeout")

    def _refuse(
        self, connection: CallerConnection, state: RequestState, refusal: Refusal, by: str
    ) -> None:
        self._log.refused(state.request, refusal, by, state)
        connection.refuse(refusal)
