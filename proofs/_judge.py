"""Compares the callers' record with the targets' own."""

from __future__ import annotations

import json
from collections import Counter

from proofs._callers import DEADLINE, Sent
from proofs._threads import expected_text
from standins.fleet import Fleet

__all__ = ["count_outcomes", "judge"]

HANG_TOLERANCE = 3.0  # s past the deadline


def judge(fleet: Fleet, sent: list[Sent]) -> list[str]:
    """Return every violation found.

    Parameters
    ----------
    fleet : Fleet
        Its targets' records outlive the targets.
    sent : list of Sent
        Requests with all their tries.
    """
    targets = [vm["name"] for vm in fleet.vms if vm["role"] == "target"]
    received: Counter[str] = Counter()
    for name in targets:
        for line in fleet.recorded_requests(name):
            received[read_marker(line)] += 1
    violations = []
    for item in sent:
        count = received[item.marker]
        violations += judge_dispatches(item, count)
        violations += judge_answers(item, count)
    return violations


def read_marker(line: dict[str, str]) -> str:
    """Return the marker of a request as a target recorded it."""
    if "prompt" in line:
        return line["prompt"].split(" ")[0]
    return line["path"].split("/")[-1]


def judge_dispatches(item: Sent, count: int) -> list[str]:
    """Check how often a request reached a target.

    An idempotent request may reach a target once for each try whose outcome its caller does not
    know; a booking once at all.
    """
    unknown = sum(attempt.outcome in ("broken", "unknown") for attempt in item.attempts[:-1])
    allowed = 1 if item.key else 1 + unknown
    if count > allowed:
        outcomes = [attempt.outcome for attempt in item.attempts]
        return [f"{item.kind} {item.marker} dispatched {count} times; outcomes {outcomes}"]
    return []


def judge_answers(item: Sent, count: int) -> list[str]:
    """Check every answer against what was asked and what the targets received."""
    violations = []
    for attempt in item.attempts:
        name = f"{item.kind} {item.marker} on {attempt.node}"
        if attempt.elapsed > DEADLINE + HANG_TOLERANCE:
            violations.append(f"{name} hung for {attempt.elapsed:.1f} s")
        if attempt.outcome == "missing":
            violations.append(f"{name} got status {attempt.status} without an outcome")
        if attempt.outcome in ("complete", "stream"):
            if count == 0:
                violations.append(f"{name} answered, but no target received it")
            if not is_right(item, attempt.body):
                violations.append(f"{name} got a wrong answer {attempt.body[:200]!r}")
    if all(attempt.outcome == "not-run" for attempt in item.attempts) and count:
        violations.append(f"{item.kind} {item.marker} was told not run, but was dispatched")
    if item.key and any(attempt.outcome == "not-run" for attempt in item.attempts[-1:]) and count:
        violations.append(f"booking {item.marker} was told not run last, but was dispatched")
    return violations


def is_right(item: Sent, body: bytes) -> bool:
    """Tell whether a body is the whole answer to a request."""
    match item.kind:
        case "lookup" | "booking":
            content = json.loads(body)
            return content["path"].endswith(item.marker) and content["for"] != "another"
        case "draft":
            return bool(json.loads(body)["text"] == expected(item))
    events = body.decode().strip().split("\n\n")
    end = json.loads(events[-1].partition("data: ")[2])
    texts = [json.loads(event.removeprefix("data: "))["text"] for event in events[:-1]]
    whole = "".join(texts) == expected(item)
    return whole if end["outcome"] == "complete" else expected(item).startswith("".join(texts))


def expected(item: Sent) -> str:
    """Return the whole text of a draft."""
    return expected_text(f"{item.marker} A season contract", item.tokens)


def count_outcomes(sent: list[Sent]) -> Counter[str]:
    """Count the tries by kind and outcome."""
    return Counter(f"{item.kind} {attempt.outcome}" for item in sent for attempt in item.attempts)
