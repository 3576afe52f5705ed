"""Compares the callers' records with the targets' records."""

from __future__ import annotations

import json
from collections import Counter

from proofs._callers import REQUEST_TIMEOUT, SentRequest
from proofs._threads import expected_text
from standins.fleet import Fleet

__all__ = ["count_outcomes", "find_violations"]

DEADLINE_TOLERANCE = 3.0  # s past the deadline that a response may take


def find_violations(fleet: Fleet, requests: list[SentRequest]) -> list[str]:
    """Return the violations found in the records of all callers and targets.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose targets' records are read; they remain readable after a target has exited.
    requests : list of SentRequest
        Requests with all their attempts.
    """
    targets = [vm["name"] for vm in fleet.vms if vm["role"] == "target"]
    received_by_marker: Counter[str] = Counter()
    for name in targets:
        for entry in fleet.recorded_requests(name):
            received_by_marker[read_marker(entry)] += 1
    violations = []
    for request in requests:
        count = received_by_marker[request.marker]
        violations += check_dispatches(request, count)
        violations += check_responses(request, count)
    return violations


def read_marker(entry: dict[str, str]) -> str:
    """Return the marker of the request in an entry of a target's record."""
    if "prompt" in entry:
        return entry["prompt"].split(" ")[0]
    return entry["path"].split("/")[-1]


def check_dispatches(request: SentRequest, count: int) -> list[str]:
    """Check how often a request was dispatched.

    An idempotent request may be dispatched once, and once more for each earlier attempt whose
    outcome is unknown to the caller. A booking may be dispatched only once.
    """
    unknown = sum(attempt.outcome in ("broken", "unknown") for attempt in request.attempts[:-1])
    allowed = 1 if request.key else 1 + unknown
    if count > allowed:
        outcomes = [attempt.outcome for attempt in request.attempts]
        return [
            f"{request.kind} {request.marker} was dispatched {count} times; outcomes {outcomes}"
        ]
    return []


def check_responses(request: SentRequest, count: int) -> list[str]:
    """Check the responses to a request against its content and its number of dispatches."""
    violations = []
    for attempt in request.attempts:
        name = f"{request.kind} {request.marker} on {attempt.node}"
        if attempt.elapsed > REQUEST_TIMEOUT + DEADLINE_TOLERANCE:
            violations.append(f"{name} took {attempt.elapsed:.1f} s")
        if attempt.outcome == "missing":
            violations.append(f"{name} got status {attempt.status} without an outcome")
        if attempt.outcome in ("complete", "stream"):
            if count == 0:
                violations.append(f"{name} was answered, but no target received it")
            if not is_correct(request, attempt.body):
                violations.append(f"{name} got a wrong response {attempt.body[:200]!r}")
    if all(attempt.outcome == "not-run" for attempt in request.attempts) and count:
        violations.append(
            f"{request.kind} {request.marker} had only not-run outcomes, but was dispatched"
        )
    if (
        request.key
        and any(attempt.outcome == "not-run" for attempt in request.attempts[-1:])
        and count
    ):
        violations.append(
            f"booking {request.marker} had not-run as its last outcome, but was dispatched"
        )
    return violations


def is_correct(request: SentRequest, body: bytes) -> bool:
    """Return whether a body is a correct response to a request.

    A stream that ends without the outcome ``complete`` must hold a prefix of the expected text.
    """
    match request.kind:
        case "lookup" | "booking":
            content = json.loads(body)
            return content["path"].endswith(request.marker) and content["for"] != "another"
        case "draft":
            return bool(json.loads(body)["text"] == expected_draft(request))
    events = body.decode().strip().split("\n\n")
    end = json.loads(events[-1].partition("data: ")[2])
    texts = [json.loads(event.removeprefix("data: "))["text"] for event in events[:-1]]
    is_equal = "".join(texts) == expected_draft(request)
    return (
        is_equal
        if end["outcome"] == "complete"
        else expected_draft(request).startswith("".join(texts))
    )


def expected_draft(request: SentRequest) -> str:
    """Return the complete text that a draft must have."""
    return expected_text(f"{request.marker} A season contract", request.tokens)


def count_outcomes(requests: list[SentRequest]) -> Counter[str]:
    """Count the attempts by request kind and outcome."""
    return Counter(
        f"{request.kind} {attempt.outcome}" for request in requests for attempt in request.attempts
    )
