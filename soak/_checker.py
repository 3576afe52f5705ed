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
    "VersionPeriod",
    "Violation",
    "check_crashing_part",
    "check_drains",
    "check_failures",
    "check_leaving",
    "check_limits",
    "check_requests",
    "check_resumed",
    "check_retry_after",
    "check_versions",
    "check_whole_responses",
]

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
FAULT_WINDOW = 4.0  # s after a fault in which requests may be lost, as documented for operators
DRAIN_LAG = 2.5  # s: the drain lag of the settings and the delay from this process to the node
STABILITY_WINDOW = 3.0  # s after which nodes must know of a crash or a limit
KNOWN_AFTER_CRASHES = 5
MAX_LATER_REQUESTS = 3
LIMIT_WINDOW = 4.0  # s
REVOCATION_LAG = 5.0  # s, the revocation lag of the settings
DEADLINE_MARGIN = 0.1  # s by which a caller's clock may start after its node's
MAX_MIXED_STREAMS = 2  # streams with events of two versions
MIN_RESUMED_STREAMS = 12  # fewer tries say nothing about their share
MIN_RESUMED_RATIO = 0.5  # of the share of new streams that begin
MIN_VERSION_TARGETS = 2  # of the version that began a stream
RETRY_AFTER_DELAY = 0.5  # s after which a node must obey a Retry-After
MAX_EARLY_REQUESTS = 2  # from one node before the end of a Retry-After


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
    deadline : float
        Seconds that the caller waits.
    target : str
        Target that sealed the response, empty without a seal.
    responded_at : float
        Time at which the head of the response was received.
    last_event_id : int
        Event after which the stream resumes, 0 for its start.
    resumes : str
        Id of the attempt that brought the stream's first event, empty for a new stream.
    events : list of tuple
        Id and version of each whole event of a stream.
    broken_by_caller : bool
        Whether the caller's connection was broken before the end of the response.
    retry_after : float
        Seconds after which a refused caller may come back, 0 if none were named.
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
    deadline: float = 2.0
    target: str = ""
    responded_at: float = 0.0
    last_event_id: int = 0
    resumes: str = ""
    events: list[tuple[int, str]] = field(default_factory=list)
    broken_by_caller: bool = False
    retry_after: float = 0.0


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
class VersionPeriod:
    """Period in which a target of a version is registered as ready."""

    target: str
    version: str
    start: float
    end: float = float("inf")


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


def check_whole_responses(
    sent_requests: Iterable[SentRequest],
    recorded_by_target: dict[str, list[RecordedRequest]],
    unplanned_faults: list[FaultPeriod],
) -> list[Violation]:
    """Return a violation for each successful response that its node broke off."""
    broken_off = _find_broken_off(recorded_by_target)
    return [
        Violation(
            "lost",
            request.attempt_id,
            f"{request.node} broke off {request.path} after"
            f" {request.ended_at - request.sent_at:.2f} s and {len(request.events)} events",
        )
        for request in sent_requests
        if request.status == 200
        and not request.complete
        and not request.parse_error
        and not request.broken_by_caller
        and request.attempt_id not in broken_off
        and request.ended_at - request.sent_at < request.deadline - DEADLINE_MARGIN
        and not any(
            fault.affects(request.node, request.sent_at, request.ended_at)
            for fault in unplanned_faults
        )
    ]


def check_failures(
    sent_requests: Iterable[SentRequest],
    recorded_by_target: dict[str, list[RecordedRequest]],
    unplanned_faults: list[FaultPeriod],
) -> list[Violation]:
    """Return a violation for each request that failed though its targets were sound."""
    broken_off = _find_broken_off(recorded_by_target)
    return [
        Violation(
            "failed",
            request.attempt_id,
            f"{request.node} responded {request.status} after"
            f" {request.ended_at - request.sent_at:.2f} s",
        )
        for request in sent_requests
        if (request.status == BAD_GATEWAY or _timed_out_early(request))
        and request.attempt_id not in broken_off
        and not any(
            fault.affects(request.node, request.sent_at, request.ended_at)
            for fault in unplanned_faults
        )
    ]


def check_versions(sent_requests: Iterable[SentRequest]) -> list[Violation]:
    """Return violations of the order and of the single version of streams over all tries."""
    violations = []
    mixed = []
    for tries in _group_by_stream(sent_requests).values():
        events = [event for request in tries for event in request.events]
        ids = [id for id, _ in events]
        if ids != list(range(1, len(ids) + 1)):
            text = f"events {ids} over {len(tries)} tries"
            violations.append(Violation("order", tries[0].attempt_id, text))
        versions = list(dict.fromkeys(version for _, version in events))
        if len(versions) > 1:
            mixed.append((tries, versions))
    if len(mixed) > MAX_MIXED_STREAMS:
        inside = sum(any(len({v for _, v in each.events}) > 1 for each in t) for t, _ in mixed)
        tries, versions = mixed[-1]
        text = (
            f"{len(mixed)} streams hold events of two versions, {inside} in one response;"
            f" the last one {versions} over {[request.attempt_id for request in tries]}"
        )
        violations.append(Violation("versions", tries[0].attempt_id, text))
    return violations


def check_resumed(
    sent_requests: Iterable[SentRequest],
    version_periods: list[VersionPeriod],
    disturbances: list[FaultPeriod],
    target_outages: list[FaultPeriod],
) -> list[Violation]:
    """Return a violation if too few streams go on that callers took up again.

    Parameters
    ----------
    disturbances : list of FaultPeriod
        Faults and restarts of nodes.
    target_outages : list of FaultPeriod
        Periods in which the target named as `node` may not serve.
    """
    streams = _group_by_stream(sent_requests).values()
    new, resumed = [], []
    for first, *later in streams:
        for request in (first, *later):
            start = request.sent_at - STABILITY_WINDOW
            if any(
                fault.node in ("", request.node)
                and fault.start <= request.ended_at
                and start <= fault.end
                for fault in disturbances
            ):
                continue
            targets_by_version: dict[str, set[str]] = defaultdict(set)
            for period in version_periods:
                if (
                    period.start <= start
                    and request.ended_at <= period.end
                    and not any(
                        outage.node == period.target
                        and outage.start <= request.ended_at
                        and start <= outage.end
                        for outage in target_outages
                    )
                ):
                    targets_by_version[period.version].add(period.target)
            if request is first:
                if any(len(each) >= MIN_VERSION_TARGETS for each in targets_by_version.values()):
                    new.append(request)
            elif len(targets_by_version[first.events[0][1]]) >= MIN_VERSION_TARGETS:
                resumed.append(request)
    if len(resumed) < MIN_RESUMED_STREAMS or not new:
        return []
    new_ratio = sum(bool(request.events) for request in new) / len(new)
    resumed_ratio = sum(bool(request.events) for request in resumed) / len(resumed)
    if resumed_ratio >= MIN_RESUMED_RATIO * new_ratio:
        return []
    text = (
        f"{resumed_ratio:.2f} of {len(resumed)} streams taken up go on,"
        f" {new_ratio:.2f} of {len(new)} new ones begin"
    )
    return [Violation("resumed", resumed[-1].attempt_id, text)]


def check_leaving(
    sent_requests: Iterable[SentRequest],
    recorded_by_target: dict[str, list[RecordedRequest]],
    node_stops: list[FaultPeriod],
) -> list[Violation]:
    """Return a violation for each node that still sends to a target that said that it leaves.

    Parameters
    ----------
    node_stops : list of FaultPeriod
        Restarts and pauses of nodes; they excuse what follows.
    """
    sent_by_attempt_id = {request.attempt_id: request for request in sent_requests}
    violations = []
    for target, recorded_requests in recorded_by_target.items():
        passed_on: dict[tuple[str, int], list[float]] = defaultdict(list)
        for recorded in recorded_requests:
            request = sent_by_attempt_id.get(recorded.attempt_id)
            if request and recorded.leaving and request.responded_at and request.target == target:
                passed_on[request.node, recorded.born].append(request.responded_at)
        late: dict[tuple[str, int], list[tuple[float, str]]] = defaultdict(list)
        for recorded in recorded_requests:
            request = sent_by_attempt_id.get(recorded.attempt_id)
            if request is None or not _is_meant_for(recorded, target):
                continue
            known = [
                time
                for time in passed_on[request.node, recorded.born]
                if time + DRAIN_LAG < request.sent_at
                and not _is_stopped(request.node, time, recorded.arrived_at, node_stops)
            ]
            if known:
                delay = request.sent_at - min(known)
                late[request.node, recorded.born].append((delay, request.attempt_id))
        for (node, _), delays in late.items():
            delay, attempt_id = max(delays)
            text = (
                f"{target} received {len(delays)} requests from {node}, the last one sent"
                f" {delay:.2f} s after it had said that it leaves"
            )
            violations.append(Violation("leaving", attempt_id, text))
    return violations


def check_retry_after(
    sent_requests: Iterable[SentRequest],
    recorded_by_target: dict[str, list[RecordedRequest]],
    node_stops: list[FaultPeriod],
) -> list[Violation]:
    """Return a violation for each node that came back too often before the end of a Retry-After.

    Parameters
    ----------
    node_stops : list of FaultPeriod
        Restarts, pauses and cuts of nodes; they excuse what follows.
    """
    sent_by_attempt_id = {request.attempt_id: request for request in sent_requests}
    violations = []
    for target, recorded_requests in recorded_by_target.items():
        by_node_and_run: dict[tuple[str, int], list[RecordedRequest]] = defaultdict(list)
        for recorded in recorded_requests:
            request = sent_by_attempt_id.get(recorded.attempt_id)
            if request is not None and _is_meant_for(recorded, target):
                by_node_and_run[request.node, recorded.born].append(recorded)
        for (node, _), requests in by_node_and_run.items():
            counts = []
            for answered in requests:
                if answered.retry_after is None:
                    continue
                start = answered.arrived_at
                early = [
                    recorded
                    for recorded in requests
                    if start + RETRY_AFTER_DELAY
                    < recorded.arrived_at
                    < start + answered.retry_after
                    and not _is_stopped(node, start, recorded.arrived_at, node_stops)
                ]
                counts.append((len(early), answered))
            count, answered = max(counts, key=lambda each: each[0], default=(0, None))
            if answered is not None and count > MAX_EARLY_REQUESTS:
                text = (
                    f"{target} received {count} requests from {node} within"
                    f" {answered.retry_after:g} s for which it wanted none"
                )
                violations.append(Violation("retry-after", answered.attempt_id, text))
    return violations


def _timed_out_early(request: SentRequest) -> bool:
    elapsed = request.ended_at - request.sent_at
    return request.status == GATEWAY_TIMEOUT and elapsed < request.deadline - DEADLINE_MARGIN


def _find_broken_off(recorded_by_target: dict[str, list[RecordedRequest]]) -> set[str]:
    """Return the attempts whose responses targets broke off."""
    return {
        recorded.attempt_id
        for recorded_requests in recorded_by_target.values()
        for recorded in recorded_requests
        if recorded.broken_off
    }


def _group_by_stream(sent_requests: Iterable[SentRequest]) -> dict[str, list[SentRequest]]:
    """Return the tries of each resumable stream, in order."""
    tries_by_stream: dict[str, list[SentRequest]] = defaultdict(list)
    for request in sorted(sent_requests, key=lambda request: request.sent_at):
        if request.path.startswith("/chats/"):
            tries_by_stream[request.resumes or request.attempt_id].append(request)
    return tries_by_stream


def _is_meant_for(recorded: RecordedRequest, target: str) -> bool:
    """Return whether a target may accept a request, rather than respond that it is another one."""
    return recorded.headers.get(b"celeryrun-expect-instance", b"") == target.encode()


def _is_stopped(node: str, start: float, end: float, node_stops: list[FaultPeriod]) -> bool:
    return any(
        stop.node in ("", node) and stop.start <= end and start <= stop.end for stop in node_stops
    )


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
        first = request.last_event_id + 1
        if request.event_ids != list(range(first, first + len(request.event_ids))):
            yield Violation("order", request.attempt_id, f"events {request.event_ids}")
        if request.complete and request.last_event_id + len(request.event_ids) != events:
            yield Violation(
                "cut", request.attempt_id, f"complete with {len(request.event_ids)} events"
            )
    elif request.complete:
        expected_bodies = {f"{target}:{request.attempt_id}".encode() for target, _ in executions}
        if request.response_body not in expected_bodies:
            yield Violation("mixed", request.attempt_id, f"received {request.response_body[:60]!r}")
