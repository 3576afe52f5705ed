"""Long seeded run of dispatch under faults, judged from outside the nodes.

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
    DEADLINE,
    POISON,
    DispatchCallers,
    Marked,
    Try,
)
from proofs._threads import expected_text
from standins.fleet import Fleet, FleetConfig

__all__ = ["main"]

CALLERS = 16
ENGINES = 4
EXIT_INVARIANT = 70
TOLERANCE = 3.0  # s past the deadline
MOST_POISONED = 3  # targets lost to one request
RESTART_AFTER = 0.7  # s
FAULTS = {
    "short answers": {"short_answers": 2, "short_streams": 3},
    "crossed answers": {"crossed_answers": 2, "crossed_streams": 2},
    "duplicate events": {"duplicate_events": 5},
    "late answers": {"late": 1.0},
    "answers on time": {"late": 0},
    "lost answers": {"lose_answers": 1},
    "silent connections": {"silent": True},
}
STOPPED = "nodes stopped by an invariant"
KILLS = ("kill a node", "kill a target")


@click.command()
@click.option("--seed", type=int, default=1)
@click.option("--seconds", type=float, default=60.0)
def main(seed: int, seconds: float) -> None:
    """Run, judge, print counts, and fail on a violation."""
    crashing = [f"--crash-on {POISON}"] * ENGINES
    with Fleet(FleetConfig(engines=ENGINES, applications=2, engine_arguments=crashing)) as fleet:
        callers = DispatchCallers(fleet, seed, CALLERS)
        callers.start()
        try:
            faults = inject(fleet, callers, random.Random(f"faults/{seed}"), seconds)
        finally:
            callers.stop()
        received = count_received(fleet)
        violations = [text for item in callers.marked for text in judge(item, received)]
        violations += ["a node stopped itself"] * faults[STOPPED]
        report(seed, callers.marked, received, faults, violations)
        print("records kept in", fleet.folder)
    sys.exit(1 if violations else 0)


def inject(
    fleet: Fleet, callers: DispatchCallers, choices: random.Random, seconds: float
) -> Counter[str]:
    """Inject faults for some seconds, and start again what died."""
    counts: Counter[str] = Counter()
    targets = [vm["name"] for vm in fleet.vms if vm["role"] == "target"]
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        time.sleep(choices.uniform(0.2, 0.8))
        name = choices.choice([*FAULTS, *FAULTS, *KILLS])
        victim = choices.choice(fleet.nodes if name == "kill a node" else targets)
        counts[name] += strike(fleet, name, victim)
        counts += revive(fleet, callers)
    time.sleep(RESTART_AFTER)
    return counts + revive(fleet, callers)


def strike(fleet: Fleet, name: str, victim: str) -> int:
    """Inject one fault; returns how many were injected."""
    if fleet.process_by_name[victim].poll() is not None:
        return 0
    if name in KILLS:
        fleet.send_signal(victim)
        fleet.process_by_name[victim].wait()
        return 1
    try:
        fleet.set_faults(victim, **FAULTS[name])
    except urllib3.exceptions.HTTPError:
        return 0
    return 1


def revive(fleet: Fleet, callers: DispatchCallers) -> Counter[str]:
    """Start what died some time ago; returns how many, and how many ended by an invariant."""
    names = [name for name, process in fleet.process_by_name.items() if process.poll() is not None]
    codes = [fleet.process_by_name[name].returncode for name in names]
    if names:
        time.sleep(RESTART_AFTER)
    for name in names:
        if name in callers.life_by_node:
            callers.life_by_node[name] += 1
        fleet.restart(name)
    return Counter({"died and restarted": len(names), STOPPED: codes.count(EXIT_INVARIANT)})


def count_received(fleet: Fleet) -> Counter[str]:
    """Count by marker what the targets received, in this and earlier lives."""
    received: Counter[str] = Counter()
    for vm in fleet.vms:
        if vm["role"] == "target":
            for line in fleet.recorded_requests(vm["name"]):
                text = line["prompt"].split(" ")[0] if "prompt" in line else line["path"]
                received[text.rpartition("/")[2]] += 1
    return received


def judge(item: Marked, received: Counter[str]) -> list[str]:
    """Return what is wrong with one request."""
    count = received[item.marker]
    name = f"{item.kind} {item.marker}"
    wrong = [text for attempt in item.tries for text in judge_try(item, attempt, count)]
    if item.kind == POISON:
        # A node that is killed over it never reports the death.
        allowed = MOST_POISONED + sum(attempt.error == "ProtocolError" for attempt in item.tries)
    else:
        # A node that was killed knows nothing of what it did, so its caller's second call is new.
        allowed = len({(attempt.node, attempt.life) for attempt in item.tries})
    if count > allowed:
        wrong.append(f"{name} was dispatched {count} times, {allowed} allowed")
    if count and all(attempt.outcome == "not-run" for attempt in item.tries):
        wrong.append(f"{name} was told not run, but was dispatched")
    return wrong


def judge_try(item: Marked, attempt: Try, count: int) -> list[str]:
    """Return what is wrong with one answer."""
    name = f"{item.kind} {item.marker} through {attempt.node}"
    wrong = []
    if attempt.seconds > DEADLINE + TOLERANCE:
        wrong.append(f"{name} took {attempt.seconds:.1f} s")
    if attempt.outcome == "missing":
        wrong.append(f"{name} has no outcome")
    if attempt.outcome in ("complete", "stream"):
        if not count:
            wrong.append(f"{name} was answered and never received")
        if not is_right(item, attempt):
            wrong.append(f"{name} got a wrong answer: {attempt.body[-200:]!r}")
    return wrong


def is_right(item: Marked, attempt: Try) -> bool:
    """Tell whether an answer is the whole one to this request."""
    text = expected_text(f"{item.marker} draft", item.tokens)
    if item.kind == "lookup":
        content = json.loads(attempt.body)
        return bool(content["path"].endswith(item.marker) and content["for"] != "another")
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
    marked: list[Marked],
    received: Counter[str],
    faults: Counter[str],
    violations: list[str],
) -> None:
    """Print what was done and found."""
    tries = [(item.kind, attempt) for item in marked for attempt in item.tries]
    print(f"seed {seed}: {len(marked)} requests, {len(tries)} calls, {received.total()} dispatches")
    outcomes = Counter(f"{kind}: {item.outcome} {item.error}".strip() for kind, item in tries)
    for name, count in sorted(outcomes.items()) + sorted(faults.items()):
        print(f"  {name}: {count}")
    poisoned = [received[item.marker] for item in marked if item.kind == POISON]
    innocents = sum(kind != POISON and item.error == "suspect" for kind, item in tries)
    print(f"  targets lost to each poisonous request: {poisoned}; innocents refused: {innocents}")
    print(f"{len(violations)} violations")
    for violation in violations[:20]:
        print("  " + violation)


if __name__ == "__main__":
    main()
