"""What must hold of each request, from what callers and targets have seen."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from standins.runner import RecordedRequest

__all__ = ["Disturbance", "Leaving", "Sent", "Violation", "judge", "judge_leavings"]

PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
CALM = 4.0  # s without a fault before a request that must not be lost, the operators' window
LEAVE_LAG = 2.5  # s: the drain lag of the settings, and the way from this process to the node
REVOKE_LAG = 5.0  # s, the revocation lag of the settings


@dataclass
class Sent:
    """One request of a caller and what came of it.

    Parameters
    ----------
    at, ended : float
        When it was sent whole, and when its answer or connection ended.
    complete : bool
        Whether the answer was whole.
    malformed : str
        What was wrong with bytes that were no answer.
    """

    attempt: str
    path: str
    key: str
    node: str
    at: float
    body: bytes = b""
    ended: float = 0.0
    status: int = 0
    complete: bool = False
    answer: bytes = b""
    ids: list[int] = field(default_factory=list)
    malformed: str = ""


@dataclass(frozen=True)
class Disturbance:
    """A fault, from its begin to its end; ``node`` is empty where all are hit."""

    kind: str
    begin: float
    end: float
    node: str = ""

    def hits(self, node: str, begin: float, end: float) -> bool:
        """Tell whether a node was disturbed within some time before or during a span."""
        return self.node in ("", node) and self.begin <= end and begin - CALM <= self.end


@dataclass(frozen=True)
class Leaving:
    """A target that was said to be leaving, until it came back."""

    target: str
    at: float
    until: float


@dataclass(frozen=True)
class Violation:
    """A promise that was broken."""

    promise: str
    attempt: str
    text: str


def judge(
    sent: Iterable[Sent],
    runs_by_target: dict[str, list[RecordedRequest]],
    unplanned: list[Disturbance],
    workspace_by_key: dict[str, str],
    revoked_at: dict[str, float],
    events: int,
) -> list[Violation]:
    """Return every promise that was broken to a caller or a target.

    Parameters
    ----------
    unplanned : list of Disturbance
        Faults during which a node may lose what it holds.
    revoked_at : dict
        When each key was taken away.
    events : int
        Of a whole stream.
    """
    found: list[Violation] = []
    runs_by_attempt: dict[str, list[tuple[str, RecordedRequest]]] = defaultdict(list)
    for target, runs in runs_by_target.items():
        for run in runs:
            runs_by_attempt[run.attempt_id].append((target, run))
    sent_by_attempt = {each.attempt: each for each in sent}
    for each in sent_by_attempt.values():
        arrived = runs_by_attempt.get(each.attempt, [])
        ran = [(target, run) for target, run in arrived if run.executed]
        found += _of_runs(each, arrived, ran, workspace_by_key, revoked_at)
        found += _of_answer(each, ran, events)
        if each.status == 0 and not any(
            fault.hits(each.node, each.at, each.ended) for fault in unplanned
        ):
            found.append(Violation("lost", each.attempt, f"no answer from {each.node}"))
    return found


def judge_leavings(
    leavings: list[Leaving],
    runs_by_target: dict[str, list[RecordedRequest]],
    unplanned: list[Disturbance],
) -> list[Violation]:
    """Return what reached a target long after it was said to be leaving."""
    found = []
    for leaving in leavings:
        for run in runs_by_target[leaving.target]:
            late = run.arrived_at - leaving.at - LEAVE_LAG
            hit = any(fault.hits(fault.node, leaving.at, run.arrived_at) for fault in unplanned)
            if run.executed and late > 0 and run.arrived_at < leaving.until and not hit:
                text = f"{leaving.target} got it {late:.2f} s too late"
                found.append(Violation("drain", run.attempt_id, text))
    return found


def _of_runs(
    each: Sent,
    arrived: list[tuple[str, RecordedRequest]],
    ran: list[tuple[str, RecordedRequest]],
    workspace_by_key: dict[str, str],
    revoked_at: dict[str, float],
) -> Iterable[Violation]:
    is_booking = each.path.startswith("/bookings/") or each.path.startswith("/drafts/")
    if is_booking and len(ran) > 1:
        yield Violation("twice", each.attempt, f"ran on {[target for target, _ in ran]}")
    if len(arrived) > (1 if is_booking else 2):
        yield Violation("attempts", each.attempt, f"sent to {len(arrived)} targets")
    if is_booking and ran and each.status in PROMISES_NOT_RUN:
        yield Violation("refused", each.attempt, f"answered {each.status} and ran")
    for target, run in ran:
        if run.request_target.decode() != each.path or run.body != each.body:
            yield Violation("changed", each.attempt, f"{target} got {run.request_target!r}")
        if run.headers.get(b"celeryrun-tenant", b"").decode() != workspace_by_key[each.key]:
            yield Violation("workspace", each.attempt, f"{target} was told another workspace")
        if b"authorization" in run.headers:
            yield Violation("key", each.attempt, f"{target} got the key")
        if each.at > revoked_at.get(each.key, float("inf")) + REVOKE_LAG:
            yield Violation("revoked", each.attempt, f"{target} ran it by a removed key")


def _of_answer(
    each: Sent, ran: list[tuple[str, RecordedRequest]], events: int
) -> Iterable[Violation]:
    if each.malformed:
        yield Violation("malformed", each.attempt, each.malformed)
    if each.status != 200:
        return
    if each.path.startswith(("/drafts/", "/chats/")):
        if each.ids != list(range(1, len(each.ids) + 1)):
            yield Violation("order", each.attempt, f"events {each.ids}")
        if each.complete and len(each.ids) != events:
            yield Violation("cut", each.attempt, f"complete with {len(each.ids)} events")
    elif each.complete:
        makers = {f"{target}:{each.attempt}".encode() for target, _ in ran}
        if each.answer not in makers:
            yield Violation("mixed", each.attempt, f"got {each.answer[:60]!r}")
