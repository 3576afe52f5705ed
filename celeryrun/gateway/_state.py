"""State of a request in progress, its slot request, and refusals sent to its caller."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field, replace

from celeryrun.catalog import Pool
from celeryrun.continuity import hash_attempt
from celeryrun.exception import Refusal
from celeryrun.gateway._admission import Admission
from celeryrun.hedging import may_hedge
from celeryrun.platform import CallerRequest
from celeryrun.scheduling import Denial, SlotRequest

__all__ = [
    "OUTCOME_UNKNOWN",
    "OUT_OF_TIME",
    "REJECTED_BY_TARGET",
    "TIMED_OUT",
    "UNREACHABLE_TARGETS",
    "RequestState",
    "build_slot_request",
    "expect_remaining",
    "expected_events",
    "fingerprint",
    "refusal_for_denial",
    "silence_timeout",
]

HTTP_SERVICE_UNAVAILABLE = 503
STATUS_BY_DENIAL = {"quota": 429}
REMEDY_BY_DENIAL = {
    "quota": "send less; the workspace's quota is used up",
    "overload": "send it again later; no target would have answered in time",
    "suspect": "do not send it again; it took its targets down",
    "no-target": "send it again later; the pool has no target",
    "retry-budget": "send it again later; its target rejected it",
    "stream-version": "send it again later; it is not known which version began the stream",
}


RESPONSE_MARGIN = 0.004  # s before a request's deadline at which it is answered
MIN_SILENCE_TIMEOUT = 0.25  # s before a repeatable request is sent to another target
SILENCE_TIMEOUT_FACTOR = 5.0  # multiple of the predicted time to the first byte
MIN_STREAM_SILENCE_TIMEOUT = 1.2  # s without an event before a resumable stream changes target
PATIENCE_MARGIN = 0.1  # s of a caller's patience reserved for the network and late timers
TAIL_SHARE = 0.25  # of the events so far, expected to follow once a stream is longer than expected
MAX_MISDIRECTIONS = 3  # of a request that do not count as attempts
MAX_LOGGED_PARTS = 8  # parts of a prompt in a log line
OUTCOME_UNKNOWN_REMEDY = "find out whether it ran before you send it again"
OUTCOME_UNKNOWN = Refusal(502, "unknown", OUTCOME_UNKNOWN_REMEDY)
TIMED_OUT = Refusal(504, "timeout", OUTCOME_UNKNOWN_REMEDY)
# Retry-After values are in seconds: a queue advances within tenths of a second, and an
# unreachable target is skipped for 0.5 s.
OUT_OF_TIME = Refusal(503, "overload", REMEDY_BY_DENIAL["overload"], 0.2)
REJECTED_BY_TARGET = Refusal(503, "rejected", "send it again later", 0.2)
UNREACHABLE_TARGETS = Refusal(503, "unreachable", "send it again later", 0.5)


@dataclass(slots=True)
class RequestState:
    """Progress of one admitted request.

    Parameters
    ----------
    arrived_at : float
        Time at which the request was read, in seconds.
    respond_by : float
        Time by which the caller must have the final response, in seconds.
    attempts : int
        Number of targets that the request was sent to.
    failed_connects : int
        Number of targets that could not be reached.
    misdirections : int
        Number of targets in whose place another server responded.
    charged : bool
        Whether the request was charged to its workspace's quota.
    excluded_targets : list of str
        Ids of targets that must not be granted again.
    paused_targets : set of str
        Ids of paused targets whose grants were returned; one more grant excludes them.
    last_event : bytes or None
        Id of the last event sent to the caller, from which another target continues the stream.
    last_event_at : float or None
        Time at which it was sent, in seconds.
    events : int
        Number of events that the caller had then.
    stream : int
        Key of the stream, 0 if it can't be resumed or its first attempt is not known.
    version : str
        Version to which the stream is bound, empty while it is not, or not known.
    is_bound : bool
        Whether the response has brought an event, so that its version is certain.
    is_hedge : bool
        Whether this is the copy with which a hedge gets its slot.
    """

    request: CallerRequest
    admission: Admission
    pool: Pool
    arrived_at: float
    respond_by: float
    fingerprint: int
    attempts: int = 0
    failed_connects: int = 0
    misdirections: int = 0
    charged: bool = False
    excluded_targets: list[str] = field(default_factory=list)
    paused_targets: set[str] = field(default_factory=set)
    last_event: bytes | None = None
    last_event_at: float | None = None
    events: int = 0
    stream: int = 0
    version: str = ""
    is_bound: bool = False
    is_hedge: bool = False

    @classmethod
    def from_admission(
        cls, request: CallerRequest, admission: Admission, pool: Pool, arrived_at: float
    ) -> RequestState:
        """Return the state of a request that was admitted just now."""
        route = admission.route
        stream = 0
        if route.kind.resumable and (request.resumed_id or not request.last_event_id):
            stream = hash_attempt(request.resumed_id or request.id)
        return cls(
            request,
            admission,
            pool,
            arrived_at,
            arrived_at + min(request.deadline, route.timeout) - RESPONSE_MARGIN,
            fingerprint(request, admission),
            stream=stream,
        )

    def for_hedge(self, target: str) -> RequestState:
        """Return a copy that gets a slot of another target than the one that works on it."""
        return replace(
            self,
            is_hedge=True,
            excluded_targets=[*self.excluded_targets, target],
            paused_targets=set(self.paused_targets),
        )

    def may_be_sent_again(self) -> bool:
        """Return whether the request may be sent to another target after the last attempt.

        An attempt that met another server than its target does not count, unless there are many.
        """
        uncounted = min(self.misdirections, MAX_MISDIRECTIONS)
        return self.attempts - uncounted < self.admission.route.max_attempts

    def for_relocation(self, target: str) -> RequestState:
        """Return a copy that gets a slot of another target than the one that makes its stream."""
        return replace(
            self,
            excluded_targets=[*self.excluded_targets, target],
            paused_targets=set(self.paused_targets),
        )

    @property
    def is_resumed(self) -> bool:
        """Whether the caller takes up a stream of which it has events."""
        has_events = self.request.last_event_id or self.request.resumed_id
        return self.admission.route.kind.resumable and bool(has_events)

    @property
    def expected_size(self) -> float:
        """Expected length of the response, at least 1."""
        return max(1.0, expected_events(self))

    @property
    def logged_parts(self) -> list[str] | None:
        """Ids of the first shared parts of the prompt, as logged; None if it has none."""
        parts = self.request.shared_prompt_parts[:MAX_LOGGED_PARTS]
        return [part.decode("latin-1") for part in parts] or None


def refusal_for_denial(denial: Denial) -> Refusal:
    """Return the refusal sent to the caller for a denial."""
    return Refusal(
        STATUS_BY_DENIAL.get(denial.kind, HTTP_SERVICE_UNAVAILABLE),
        denial.kind,
        REMEDY_BY_DENIAL[denial.kind],
        denial.retry_after or None,
    )


def fingerprint(request: CallerRequest, admission: Admission) -> int:
    """Return a hash of method, target, workspace and body that is the same for every retry."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (
        request.head.method,
        request.head.request_target,
        admission.workspace.name.encode(),
        request.body,
    ):
        digest.update(part)
        digest.update(b"\0")
    return int.from_bytes(digest.digest(), "big") >> 1


def expected_events(state: RequestState) -> float:
    """Return the number of events that an engine is expected to send, 0 of another target."""
    if not state.pool.engine:
        return 0.0
    return max(1.0, state.request.expected_output_tokens / state.pool.tokens_per_event)


def build_slot_request(
    state: RequestState, time: float, respond_by: float, probed_parts: tuple[int, ...] = ()
) -> SlotRequest:
    """Build a request's slot request, whose limits count from ``time``.

    Parameters
    ----------
    respond_by : float
        Time by which the response must be whole, in seconds.
    probed_parts : tuple of int
        Parts of its prompt that are on probation.
    """
    request, admission = state.request, state.admission
    workspace, route = admission.workspace, admission.route
    remaining = respond_by - time
    if state.last_event_at is None:
        elapsed, objective = time - state.arrived_at, route.objective
    else:
        # The caller of a begun stream waits for the next event.
        elapsed, objective = time - state.last_event_at, route.max_pause or route.objective
    return SlotRequest(
        id=0,
        pool=state.pool.name,
        tier=admission.tier,
        rank=route.tier,
        workspace=workspace.name,
        prompt_tokens=max(1, request.prompt_tokens),
        expected_events=_expect_further_events(state),
        objective=objective - elapsed,
        patience=min(route.patience - elapsed - PATIENCE_MARGIN, remaining),
        deadline=remaining,
        max_pause=route.max_pause,
        fingerprint=state.fingerprint,
        charge=_quota_charge(state),
        rate=workspace.quota_rate,
        burst=workspace.burst,
        configuration_version=admission.version,
        retry=state.attempts > 0,
        excluded_targets=tuple(state.excluded_targets),
        probed_parts=probed_parts,
        stream=state.stream,
        resumed=state.is_resumed,
        version=state.version,
        hedge=state.is_hedge,
        route=route.name if may_hedge(route.kind, 1, route.max_attempts) else "",
    )


def _expect_further_events(state: RequestState) -> float:
    """Return the number of events that a stream is expected to have beyond those sent."""
    expected = expected_events(state)
    return max(1.0, expect_remaining(expected, state.events)) if state.events else expected


def expect_remaining(expected: float, events: int) -> float:
    """Return the number of events that a stream is expected to have left.

    Examples
    --------
    >>> expect_remaining(100.0, 40), expect_remaining(100.0, 200)
    (60.0, 50.0)
    """
    return max(expected - events, TAIL_SHARE * events)


def _quota_charge(state: RequestState) -> float:
    """Return the request's cost against its workspace's quota, 0 if already charged."""
    workspace, request = state.admission.workspace, state.request
    if workspace.quota_rate <= 0 or state.charged:
        return 0.0
    if not workspace.counts_tokens:
        return 1.0
    if not request.has_token_counts:
        return float(workspace.plain_tokens)
    return float(request.prompt_tokens + request.output_tokens)


def silence_timeout(state: RequestState, expected_first_byte: float) -> float | None:
    """Return the seconds that a target may be silent, or None for no limit but the deadline.

    Parameters
    ----------
    expected_first_byte : float
        Predicted seconds to the first byte.
    """
    route = state.admission.route
    if not route.kind.repeatable or state.attempts >= route.max_attempts:
        return None
    min_timeout = MIN_STREAM_SILENCE_TIMEOUT if route.kind.stream else MIN_SILENCE_TIMEOUT
    return max(min_timeout, SILENCE_TIMEOUT_FACTOR * expected_first_byte)
