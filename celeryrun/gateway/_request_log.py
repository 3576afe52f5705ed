"""Log events and refusal counters of requests."""

from __future__ import annotations

from celeryrun.exception import Refusal
from celeryrun.gateway._discovery import Discovery
from celeryrun.gateway._events import EventLog
from celeryrun.gateway._metrics import GatewayMetrics
from celeryrun.gateway._state import RequestState
from celeryrun.kernel import Kernel, now
from celeryrun.platform import CallerRequest

__all__ = ["RequestLog"]


class RequestLog:
    """Service that logs decisions on requests."""

    __slots__ = ("_discovery", "_events", "_metrics")

    def __init__(self, kernel: Kernel) -> None:
        self._discovery: Discovery = kernel.find("discovery")
        self._events: EventLog = kernel.find("events")
        self._metrics: GatewayMetrics = kernel.find("metrics")

    def start(self) -> None:
        """Do nothing; the service has no task."""

    def stop(self) -> None:
        """Do nothing; the service has nothing to close."""

    def emit(self, state: RequestState, event: str, **fields: object) -> None:
        """Log an event of an admitted request."""
        self._events.emit(
            event,
            request=state.request.id.decode("latin-1"),
            route=state.admission.route.name,
            pool=state.pool.name,
            workspace=state.admission.workspace.name,
            **fields,
        )

    def log_refusal(
        self, request: CallerRequest, refusal: Refusal, by: str, state: RequestState | None = None
    ) -> None:
        """Log and count a refusal.

        Parameters
        ----------
        by : str
            Component that refused the request.
        state : RequestState, optional
            State of the request, if it was admitted.
        """
        fields: dict[str, object] = {}
        if state is not None:
            fields = {
                "route": state.admission.route.name,
                "workspace": state.admission.workspace.name,
                "waited": round(now() - state.arrived_at, 4),
                "prompt": state.request.prompt_tokens,
                "length": round(state.expected_size, 1),
                "fingerprint": state.fingerprint,
                "parts": state.logged_parts,
            }
        self._events.emit(
            "refused",
            request=request.id.decode("latin-1"),
            status=refusal.status,
            kind=refusal.kind,
            by=by,
            retry_after=refusal.retry_after,
            configuration_age=round(self._discovery.configuration_age(), 3),
            **fields,
        )
        self._metrics.refusals.labels(refusal.kind).inc()

    def log_unreadable(self, refusal: Refusal, by: str) -> None:
        """Log and count the refusal of unreadable input, which has no request id."""
        why = refusal.remedy
        self._events.emit("refused", status=refusal.status, kind=refusal.kind, by=by, why=why)
        self._metrics.refusals.labels(refusal.kind).inc()

    def log_dropped(self) -> None:
        """Log and count a connection that was closed to make room for others."""
        self._events.emit("dropped", by="connection", why="room for other callers")
        self._metrics.aborts.labels("dropped").inc()
