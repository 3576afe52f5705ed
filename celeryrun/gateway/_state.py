"""One request on its way, and what its caller is told when it gets no target."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from celeryrun.catalog import Pool
from celeryrun.exception import Refusal
from celeryrun.gateway._admission import Admitted
from celeryrun.platform import CallerRequest
from celeryrun.scheduling import Denial, SlotRequest

__all__ = [
    "OUT_OF_TIME",
    "REJECTED_BY_TARGET",
    "TIMED_OUT",
    "UNKNOWN",
    "UNREACHABLE_TARGETS",
    "RequestState",
    "build_ask",
    "fingerprint",
    "patience_for",
    "refusal_of",
]

HTTP_UNAVAILABLE = 503
STATUS_BY_DENIAL = {"quota": 429}
REMEDY_BY_DENIAL = {
    "quota": "send less; the workspace's quota is used up",
    "overload": "send it again later; no target would have answered in time",
    "suspect": "do not send it again; it took its targets down",
    "no-target": "send it again later; the pool has no target",
    "retry-budget": "send it again later; its target rejected it",
}


LEAST_PATIENCE = 0.25  # s for a first byte before a repeatable request is sent elsewhere
PATIENCE_FACTOR = 5.0  # times the predicted time to the first byte
STREAM_PATIENCE = 1.2  # s without an event after which a resumable stream goes on elsewhere
PATIENCE_MARGIN = 0.1  # s of a caller's patience that ways and late timers may take
ASK_OR_LOOK = "find out whether it ran before you send it again"
UNKNOWN = Refusal(502, "unknown", ASK_OR_LOOK)
TIMED_OUT = Refusal(504, "timeout", ASK_OR_LOOK)
# Seconds to come back after: a queue moves on in tenths, an unreachable target is left out for 0.5.
OUT_OF_TIME = Refusal(503, "overload", REMEDY_BY_DENIAL["overload"], 0.2)
REJECTED_BY_TARGET = Refusal(503, "rejected", "send it again later", 0.2)
UNREACHABLE_TARGETS = Refusal(503, "unreachable", "send it again later", 0.5)


@dataclass(slots=True)
class RequestState:
    """One request on its way.

    Parameters
    ----------
    until : float
        When it must have its final answer.
    sent : int
        Targets that it was sent to.
    avoid : list of str
        Targets that it must not get again.
    """

    request: CallerRequest
    admitted: Admitted
    pool: Pool
    arrived: float
    until: float
    fingerprint: int
    sent: int = 0
    unsent: int = 0
    charged: bool = False
    avoid: list[str] = field(default_factory=list)
    last_event: bytes | None = None


def refusal_of(denial: Denial) -> Refusal:
    """Return what a caller is told of a denial."""
    return Refusal(
        STATUS_BY_DENIAL.get(denial.kind, HTTP_UNAVAILABLE),
        denial.kind,
        REMEDY_BY_DENIAL[denial.kind],
        denial.retry_after or None,
    )


def fingerprint(request: CallerRequest, admitted: Admitted) -> int:
    """Return a hash that a request shares with itself when it is sent again."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (
        request.head.method,
        request.head.target,
        admitted.workspace.name.encode(),
        request.body,
    ):
        digest.update(part)
        digest.update(b"\0")
    return int.from_bytes(digest.digest(), "big") >> 1


def build_ask(state: RequestState, time: float) -> SlotRequest:
    """Return what the scheduler is asked for a request at a time."""
    request, admitted = state.request, state.admitted
    workspace, route = admitted.workspace, admitted.route
    elapsed, left = time - state.arrived, state.until - time
    events = 0.0
    if state.pool.engine:
        events = max(1.0, request.expected_output / state.pool.tokens_per_event)
    return SlotRequest(
        id=0,
        pool=state.pool.name,
        tier=admitted.tier,
        rank=route.tier,
        workspace=workspace.name,
        prompt_tokens=max(1, request.prompt_tokens),
        expected_events=events,
        objective=route.objective - elapsed,
        patience=min(route.patience - elapsed - PATIENCE_MARGIN, left),
        deadline=left,
        max_pause=route.max_pause,
        fingerprint=state.fingerprint,
        charge=_charge(state),
        rate=workspace.tokens_per_second,
        burst=workspace.burst,
        configuration_version=admitted.version,
        retry=state.sent > 0,
        excluded_targets=tuple(state.avoid),
    )


def _charge(state: RequestState) -> float:
    """Return what a request counts against its workspace's quota, 0 once it was counted."""
    workspace, request = state.admitted.workspace, state.request
    if workspace.tokens_per_second <= 0 or state.charged:
        return 0.0
    if not workspace.counts_tokens:
        return 1.0
    if not request.sized:
        return float(workspace.plain_tokens)
    return float(request.prompt_tokens + request.output_tokens)


def patience_for(state: RequestState, expected: float) -> float | None:
    """Return how long a target may be silent, or None where only the deadline counts.

    Parameters
    ----------
    expected : float
        Seconds that its first byte should take.
    """
    route = state.admitted.route
    if not route.kind.repeatable or state.sent >= route.max_attempts:
        return None
    least = STREAM_PATIENCE if route.kind.stream else LEAST_PATIENCE
    return max(least, PATIENCE_FACTOR * expected)
