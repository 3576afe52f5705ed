"""Checks of the guarantees to callers and targets, from what both recorded."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from standins.runner import RecordedRequest

__all__ = [
    "STABILITY_WINDOW",
    "DrainPeriod",
    "FaultPeriod",
    "SentRequest",
    "Violation",
    "check_crashing_part",
    "check_drains",
    "check_limits",
    "check_requests",
]

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
FAULT_WINDOW = 4.0  # s after a fault in which requests may be lost, as documented for operators
DRAIN_LAG = 2.5  # s: the drain lag of the settings and the delay from this process to the node
STABILITY_WINDOW = 3.0  # s after which nodes must know of a crash or a limit
KNOWN_AFTER_CRASHES = 5
MAX_LATER_REQUESTS = 3
LIMIT_WINDOW = 4.0  # s
REVOCATION_LAG = 5.0  # s, the revocation lag of the settings


@dataclass
class SentRequest:
    """Request of a caller and its result.

    Parameters
    ----------
    sent_at, ended_at : float
        Times at which the whole request was sent, and its response or connection ended.
    complete : bool
        Whether the whole response was received.
    parse_error : str
        Error of the HTTP parser for a malformed response, or empty.
    """

    attempt_id: str
    path: str
    key: str
    node: str
    sent_at: float
    body: bytes = b""
    ended_at: float = 0.0
    status: int = 0
    complete: bool = False
    response_body: bytes = b""
    event_ids: list[int] = field(default_factory=list)
    parse_error: str = ""
    parts: tuple[str, ...] = ()


@dataclass(frozen=True)
class FaultPeriod:
    """Period of a fault; an empty `node` stands for all nodes."""

    kind: str
    start: float
    end: float
    node: str = ""

    def affects(self, node: str, start: float, end: float) -> bool:
        """Return whether the fault affects a node in a period or shortly before it."""
        return self.node in ("", node) and self.start <= end and start - FAULT_WINDOW <= self.end


@dataclass(frozen=True)
class DrainPeriod:
    """Period in which a target is registered as draining or removed."""

    target: str
    start: float
    end: float


@dataclass(frozen=True)
class Violation:
    """Violated guarantee."""

    guarantee: str
    attempt_id: str
    text: str


def check_requests(
    sent_requests: Iterable[SentRequest],
    recorded_by_target: dict[str, list[RecordedRequest]],
    unplanned_faults: list[FaultPeriod],
    workspace_by_key: dict[str, str],
    revoked_at: dict[str, float],
    events: int,
) -> list[Violation]:
    """Return the violations of guarantees to callers and targets.

    Parameters
    ----------
    unplanned_faults : list of FaultPeriod
        Faults during which a node may lose its requests.
    revoked_at : dict
        Time at which each revoked key was removed.
    events : int
        Events of a whole stream.
    """
    violations: list[Violation] = []
    recorded_by_attempt_id: dict[str, list[tuple[str, RecordedRequest]]] = defaultdict(list)
    for target, recorded_requests in recorded_by_target.items():
        for recorded in recorded_requests:
            recorded_by_attempt_id[recorded.attempt_id].append((target, recorded))
    sent_by_attempt_id = {request.attempt_id: request for request in sent_requests}
    for request in sent_by_attempt_id.values():
        deliveries = recorded_by_attempt_id.get(request.attempt_id, [])
        executions = [(target, recorded) for target, recorded in deliveries if recorded.executed]
        violations += _check_executions(
            request, deliveries, executions, workspace_by_key, revoked_at
        )
        violations += _check_response(request, executions, events)
        if request.status == 0 and not any(
            fault.affects(request.node, request.sent_at, request.ended_at)
            for fault in unplanned_faults
        ):
            violations.append(
                Violation("lost", request.attempt_id, f"no response from {request.node}")
            )
    return violations


def check_drains(
    drain_periods: list[DrainPeriod],
    recorded_by_target: dict[str, list[RecordedRequest]],
    unplanned_faults: list[FaultPeriod],
) -> list[Violation]:
    """Return a violation for each request executed after the drain lag of its target."""
    violations = []
    for drain_period in drain_periods:
        for recorded in recorded_by_target[drain_period.target]:
            lateness = recorded.arrived_at - drain_period.start - DRAIN_LAG
            affected = any(
                fault.affects(fault.node, drain_period.start, recorded.arrived_at)
                for fault in unplanned_faults
            )
            if (
                recorded.executed
                and lateness > 0
                and recorded.arrived_at < drain_period.end
                and not affected
            ):
                text = f"{drain_period.target} executed it {lateness:.2f} s after the drain lag"
                violations.append(Violation("drain", recorded.attempt_id, text))
    return violations


def check_crashing_part(
    part: str,
    crashes: list[float],
    mended_at: float,
    recorded_by_target: dict[str, list[RecordedRequest]],
    unplanned_faults: list[FaultPeriod],
) -> list[Violation]:
    """Return a violation if targets still receive a part of prompts that has crashed five.

    Parameters
    ----------
    mended_at : float
        Time from which on the part crashes no target any more.
    """
    if len(crashes) < KNOWN_AFTER_CRASHES:
        return []
    known_at = sorted(crashes)[KNOWN_AFTER_CRASHES - 1] + STABILITY_WINDOW
    later = [
        recorded.attempt_id
        for recorded_requests in recorded_by_target.values()
        for recorded in recorded_requests
        if part in recorded.shared_parts
        and known_at < recorded.arrived_at < mended_at
        and not _is_disturbed(recorded.arrived_at, unplanned_faults)
    ]
    if len(later) <= MAX_LATER_REQUESTS:
        return []
    return [Violation("crashing-part", later[-1], f"{len(later)} requests after {len(crashes)}")]


def check_limits(
    limit_periods: list[tuple[FaultPeriod, float]],
    recorded_by_target: dict[str, list[RecordedRequest]],
    unplanned_faults: list[FaultPeriod],
) -> list[Violation]:
    """Return a violation for each target that received more than the limit that it named."""
    violations = []
    for period, rate in limit_periods:
        times = [
            recorded.arrived_at
            for recorded in recorded_by_target[period.node]
            if period.start + STABILITY_WINDOW < recorded.arrived_at < period.end
            and not _is_disturbed(recorded.arrived_at, unplanned_faults)
        ]
        most = max((sum(t <= u < t + LIMIT_WINDOW for u in times) for t in times), default=0)
        if most > 1.5 * rate * LIMIT_WINDOW + 5:
            text = (
                f"{period.node} received {most} requests in {LIMIT_WINDOW} s at {rate:g} a second"
            )
            violations.append(Violation("limit", "", text))
    return violations


def _is_disturbed(time: float, unplanned_faults: list[FaultPeriod]) -> bool:
    """Return whether a node was killed or paused shortly before."""
    return any(
        fault.start <= time <= fault.end + STABILITY_WINDOW
        for fault in unplanned_faults
        if fault.kind in ("kill", "kill-all", "pause")
    )


def _check_executions(
    request: SentRequest,
    deliveries: list[tuple[str, RecordedRequest]],
    executions: list[tuple[str, RecordedRequest]],
    workspace_by_key: dict[str, str],
    revoked_at: dict[str, float],
) -> Iterable[Violation]:
    is_single_attempt = request.path.startswith("/bookings/") or request.path.startswith("/drafts/")
    if is_single_attempt and len(executions) > 1:
        yield Violation(
            "twice", request.attempt_id, f"executed on {[target for target, _ in executions]}"
        )
    if len(deliveries) > (1 if is_single_attempt else 2):
        yield Violation("attempts", request.attempt_id, f"sent to {len(deliveries)} targets")
    if is_single_attempt and executions and request.status in NOT_EXECUTED_STATUSES:
        yield Violation("refused", request.attempt_id, f"executed despite status {request.status}")
    for target, recorded in executions:
        if recorded.request_target.decode() != request.path or recorded.body != request.body:
            yield Violation(
                "changed", request.attempt_id, f"{target} received {recorded.request_target!r}"
            )
        if recorded.headers.get(b"celeryrun-tenant", b"").decode() != workspace_by_key[request.key]:
            yield Violation("workspace", request.attempt_id, f"{target} received another workspace")
        if b"authorization" in recorded.headers:
            yield Violation("key", request.attempt_id, f"{target} received the API key")
        if request.sent_at > revoked_at.get(request.key, float("inf")) + REVOCATION_LAG:
            yield Violation(
                "revoked", request.attempt_id, f"{target} executed it with a revoked key"
            )


def _check_response(
    request: SentRequest, executions: list[tuple[str, RecordedRequest]], events: int
) -> Iterable[Violation]:
    if request.parse_error:
        yield Violation("malformed", request.attempt_id, request.parse_error)
    if request.status != 200:
        return
    if request.path.startswith(("/drafts/", "/chats/")):
        if request.event_ids != list(range(1, len(request.event_ids) + 1)):
            yield Violation("order", request.attempt_id, f"events {request.event_ids}")
        if request.complete and len(request.event_ids) != events:
            yield Violation(
                "cut", request.attempt_id, f"complete with {len(request.event_ids)} events"
            )
    elif request.complete:
        expected_bodies = {f"{target}:{request.attempt_id}".encode() for target, _ in executions}
        if request.response_body not in expected_bodies:
            yield Violation("mixed", request.attempt_id, f"received {request.response_body[:60]!r}")
