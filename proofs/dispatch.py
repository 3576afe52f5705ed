"""Long, seeded run of dispatch under faults, checked from outside the nodes.

``python -m proofs.dispatch --seed 1 --seconds 60`` exits with 1 on any violation.
"""

from __future__ import annotations

import json
import random
import sys
import time
from collections import Counter

import click
import urllib3

from proofs._dispatch_callers import (
    POISON,
    REQUEST_TIMEOUT,
    Attempt,
    DispatchCallers,
    MarkedRequest,
)
from proofs._threads import expected_text
from standins.fleet import Fleet, FleetConfig

__all__ = ["main"]

CALLER_THREADS = 16
ENGINES = 4
INVARIANT_EXIT_CODE = 70
DEADLINE_TOLERANCE = 3.0  # s past the deadline that a response may take
MAX_POISON_DISPATCHES = 3  # targets that one poison request may crash
RESTART_DELAY = 0.7  # s before exited processes are restarted
FAULTS_BY_NAME = {
    "short responses": {"short_answers": 2, "short_streams": 3},
    "crossed responses": {"crossed_answers": 2, "crossed_streams": 2},
    "duplicate events": {"duplicate_events": 5},
    "late responses": {"late": 1.0},
    "responses on time": {"late": 0},
    "lost responses": {"lose_answers": 1},
    "silent connections": {"silent": True},
}
INVARIANT_EXITS = "nodes that exited by an invariant"
KILLS = ("kill a node", "kill a target")


@click.command()
@click.option("--seed", type=int, default=1)
@click.option("--seconds", type=float, default=60.0)
def main(seed: int, seconds: float) -> None:
    """Run the fleet under faults, print the counts, and exit with 1 on any violation."""
    engine_arguments = [f"--crash-on {POISON}"] * ENGINES
    with Fleet(
        FleetConfig(engines=ENGINES, applications=2, engine_arguments=engine_arguments)
    ) as fleet:
        callers = DispatchCallers(fleet, seed, CALLER_THREADS)
        callers.start()
        try:
            faults = inject_faults(fleet, callers, random.Random(f"faults/{seed}"), seconds)
        finally:
            callers.stop()
        received_by_marker = count_received(fleet)
        violations = [
            text
            for request in callers.requests
            for text in check_request(request, received_by_marker)
        ]
        violations += ["a node exited: an invariant was violated"] * faults[INVARIANT_EXITS]
        report(seed, callers.requests, received_by_marker, faults, violations)
        print("records are kept in", fleet.folder)
    sys.exit(1 if violations else 0)


def inject_faults(
    fleet: Fleet, callers: DispatchCallers, rng: random.Random, seconds: float
) -> Counter[str]:
    """Inject faults for some seconds, and restart the processes that exit."""
    counts: Counter[str] = Counter()
    targets = [vm["name"] for vm in fleet.vms if vm["role"] == "target"]
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        time.sleep(rng.uniform(0.2, 0.8))
        name = rng.choice([*FAULTS_BY_NAME, *FAULTS_BY_NAME, *KILLS])
        victim = rng.choice(fleet.nodes if name == "kill a node" else targets)
        counts[name] += inject_fault(fleet, name, victim)
        counts += restart_exited(fleet, callers)
    time.sleep(RESTART_DELAY)
    return counts + restart_exited(fleet, callers)


def inject_fault(fleet: Fleet, name: str, victim: str) -> int:
    """Inject one fault, and return 1, or 0 if the process does not run or does not respond."""
    if fleet.process_by_name[victim].poll() is not None:
        return 0
    if name in KILLS:
        fleet.send_signal(victim)
        fleet.process_by_name[victim].wait()
        return 1
    try:
        fleet.set_faults(victim, **FAULTS_BY_NAME[name])
    except urllib3.exceptions.HTTPError:
        return 0
    return 1


def restart_exited(fleet: Fleet, callers: DispatchCallers) -> Counter[str]:
    """Restart the exited processes, and count them and those that an invariant stopped."""
    names = [name for name, process in fleet.process_by_name.items() if process.poll() is not None]
    codes = [fleet.process_by_name[name].returncode for name in names]
    if names:
        time.sleep(RESTART_DELAY)
    for name in names:
        if name in callers.restarts_by_node:
            callers.restarts_by_node[name] += 1
        fleet.restart(name)
    return Counter(
        {"exited and restarted": len(names), INVARIANT_EXITS: codes.count(INVARIANT_EXIT_CODE)}
    )


def count_received(fleet: Fleet) -> Counter[str]:
    """Count the requests that the targets received, by marker, across restarts of the targets."""
    received_by_marker: Counter[str] = Counter()
    for vm in fleet.vms:
        if vm["role"] == "target":
            for entry in fleet.recorded_requests(vm["name"]):
                text = entry["prompt"].split(" ")[0] if "prompt" in entry else entry["path"]
                received_by_marker[text.rpartition("/")[2]] += 1
    return received_by_marker


def check_request(request: MarkedRequest, received_by_marker: Counter[str]) -> list[str]:
    """Return the violations of one request."""
    count = received_by_marker[request.marker]
    name = f"{request.kind} {request.marker}"
    violations = [
        text for attempt in request.attempts for text in check_attempt(request, attempt, count)
    ]
    if request.kind == POISON:
        # A node that is killed during an attempt does not report the target's crash.
        allowed = MAX_POISON_DISPATCHES + sum(
            attempt.error == "ProtocolError" for attempt in request.attempts
        )
    else:
        # A restarted node has lost its record of earlier dispatches and dispatches a retry anew.
        allowed = len({(attempt.node, attempt.restarts) for attempt in request.attempts})
    if count > allowed:
        violations.append(f"{name} was dispatched {count} times, {allowed} allowed")
    if count and all(attempt.outcome == "not-run" for attempt in request.attempts):
        violations.append(f"{name} had only not-run outcomes, but was dispatched")
    return violations


def check_attempt(request: MarkedRequest, attempt: Attempt, count: int) -> list[str]:
    """Return the violations of one attempt."""
    name = f"{request.kind} {request.marker} through {attempt.node}"
    violations = []
    if attempt.seconds > REQUEST_TIMEOUT + DEADLINE_TOLERANCE:
        violations.append(f"{name} took {attempt.seconds:.1f} s")
    if attempt.outcome == "missing":
        violations.append(f"{name} has no outcome")
    if attempt.outcome in ("complete", "stream"):
        if not count:
            violations.append(f"{name} was answered, but no target received it")
        if not is_correct(request, attempt):
            violations.append(f"{name} got a wrong response: {attempt.body[-200:]!r}")
    return violations


def is_correct(request: MarkedRequest, attempt: Attempt) -> bool:
    """Return whether the response to an attempt is correct.

    A stream that ends without the outcome ``complete`` must hold a prefix of the expected text.
    """
    text = expected_text(f"{request.marker} draft", request.tokens)
    if request.kind == "lookup":
        content = json.loads(attempt.body)
        return bool(content["path"].endswith(request.marker) and content["for"] != "another")
    if attempt.outcome == "complete":
        return bool(json.loads(attempt.body)["text"] == text)
    events = attempt.body.decode().strip().split("\n\n")
    end = json.loads(events[-1].partition("data: ")[2])
    tokens = "".join(
        json.loads(event.removeprefix("data: "))["text"] for event in events[:-1] if event
    )
    return tokens == text if end["outcome"] == "complete" else text.startswith(tokens)


def report(
    seed: int,
    requests: list[MarkedRequest],
    received_by_marker: Counter[str],
    faults: Counter[str],
    violations: list[str],
) -> None:
    """Print the counts and the violations."""
    attempts = [(request.kind, attempt) for request in requests for attempt in request.attempts]
    print(
        f"seed {seed}: {len(requests)} requests, {len(attempts)} attempts, "
        f"{received_by_marker.total()} dispatches"
    )
    outcomes = Counter(
        f"{kind}: {attempt.outcome} {attempt.error}".strip() for kind, attempt in attempts
    )
    for name, count in sorted(outcomes.items()) + sorted(faults.items()):
        print(f"  {name}: {count}")
    poison_dispatches = [
        received_by_marker[request.marker] for request in requests if request.kind == POISON
    ]
    other_suspects = sum(
        kind != POISON and attempt.error == "suspect" for kind, attempt in attempts
    )
    print(
        f"  dispatches of each poison request: {poison_dispatches}; "
        f"other requests refused as suspect: {other_suspects}"
    )
    print(f"{len(violations)} violations")
    for violation in violations[:20]:
        print("  " + violation)


if __name__ == "__main__":
    main()
