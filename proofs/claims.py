"""Bookings retried through random nodes while nodes and the log fail.

The checks run outside the nodes: they compare the outcomes that callers received with the
executions that the applications recorded. Run ``python -m proofs.claims --seed N --seconds S``.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import signal
import sys
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import urllib3

from celeryrun.claims._key import new_idempotency_key
from standins.fleet import Fleet, FleetConfig

__all__ = ["Attempt", "Execution", "find_violations", "main"]

RETENTION = 40.0  # s of the log; a key can be used for half of it
CALLER_THREADS = 16
CLIENT_TIMEOUT = 3.0  # s after which a caller tries another node
LATE_RETRY_DELAY = (0.5, 50.0)  # s, range of the delay of one further retry
UNKNOWN_OUTCOME_STATUS = 502  # another node's claim holds the key; refusals have other statuses
BOOKING_DURATION = 0.15  # s, service time of an application
WORKSPACES = ("bookings", "routes")
FAULTS = ("kill", "kill", "pause", "pause", "outage", "lose", "lose", "slow", "late", "short")
FAULT_THREADS = 3


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to send a booking, as its caller saw it.

    Parameters
    ----------
    outcome : str
        ``complete``, ``not-run``, ``unknown``, or ``silent`` if the response was incomplete.
    sent_at, ended_at : float
        Seconds since the epoch.
    """

    workspace: str
    key: str
    content: int
    node: str
    outcome: str
    status: int
    body: bytes
    sent_at: float
    ended_at: float

    @property
    def path(self) -> str:
        """Path of the request at the application."""
        return booking_path(self.workspace, self.content)


@dataclass(frozen=True, slots=True)
class Execution:
    """One execution of a booking in an application's record."""

    key: str
    path: str
    request_id: str
    time: float


def booking_path(workspace: str, content: int) -> str:
    """Return the path of a booking; its query names the workspace and the content."""
    return f"/bookings?of={workspace}&content={content}"


class RunState:
    """State shared by the callers and the faults of one run.

    Nodes and stand-ins in ``faulted`` have a fault in progress.
    """

    def __init__(self, fleet: Fleet, seed: int, seconds: float) -> None:
        self.fleet = fleet
        self.seed = seed
        self.end_time = time.monotonic() + seconds
        self.lock = threading.Lock()
        self.attempts: list[Attempt] = []
        self.counts: Counter[str] = Counter()
        self.faulted: set[str] = set()

    def is_running(self) -> bool:
        """Return whether callers and faults continue."""
        return time.monotonic() < self.end_time

    def send(self, node: str, workspace: str, key: str, content: int) -> Attempt:
        """Send a booking once and record the attempt."""
        path = "/warehouse" + booking_path(workspace, content)
        sent_at = time.time()
        outcome, status, body = "silent", 0, b""
        try:
            response = self.fleet.request(
                node, workspace, "POST", path, {}, timeout=CLIENT_TIMEOUT, Idempotency_Key=key
            )
            outcome, status = response.headers["Celeryrun-Outcome"], response.status
            body = response.data
        except urllib3.exceptions.HTTPError:
            pass
        attempt = Attempt(
            workspace, key, content, node, outcome, status, body, sent_at, time.time()
        )
        with self.lock:
            self.attempts.append(attempt)
            self.counts[f"outcome {outcome}"] += 1
        return attempt


def run_caller(state: RunState, rng: random.Random) -> None:
    """Send bookings until the run ends, and retry each once more after a random delay."""
    late_retries: list[tuple[float, str, str]] = []
    while state.is_running():
        workspace = rng.choice(WORKSPACES)
        key = new_idempotency_key(time.time(), rng.getrandbits(74))
        book_with_retries(state, rng, workspace, key)
        heapq.heappush(late_retries, (time.monotonic() + draw_delay(rng), workspace, key))
        while late_retries and late_retries[0][0] < time.monotonic():
            _, late_workspace, late_key = heapq.heappop(late_retries)
            state.counts["late retries"] += 1
            state.send(rng.choice(state.fleet.nodes), late_workspace, late_key, 0)
        time.sleep(rng.uniform(0, 0.1))


def draw_delay(rng: random.Random) -> float:
    """Draw a delay from a log-uniform distribution."""
    low, high = LATE_RETRY_DELAY
    return low * (high / low) ** rng.random()


def book_with_retries(state: RunState, rng: random.Random, workspace: str, key: str) -> None:
    """Send one booking until it is complete or its attempts run out.

    Some attempts go to two nodes at once. Some keys are also used with another workspace or with
    other content.
    """
    nodes = state.fleet.nodes
    if rng.random() < 0.1:
        other = next(name for name in WORKSPACES if name != workspace)
        state.counts["same key, another workspace"] += 1
        state.send(rng.choice(nodes), other, key, 0)
    for _ in range(rng.randint(2, 6)):
        chosen_nodes = rng.sample(nodes, 2 if rng.random() < 0.3 else 1)
        outcomes: list[str] = []
        threads = [
            threading.Thread(target=send_and_collect, args=(state, node, workspace, key, outcomes))
            for node in chosen_nodes
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if "complete" in outcomes:
            break
        time.sleep(rng.uniform(0, 1.0))
    if rng.random() < 0.1:
        state.counts["same key, other content"] += 1
        state.send(rng.choice(nodes), workspace, key, 1)


def send_and_collect(
    state: RunState, node: str, workspace: str, key: str, outcomes: list[str]
) -> None:
    """Send a booking and append its outcome to `outcomes`."""
    outcomes.append(state.send(node, workspace, key, 0).outcome)


def inject_faults(state: RunState, rng: random.Random) -> None:
    """Inject one fault after another; several such threads run at once."""
    while state.is_running():
        inject_fault(state, rng, rng.choice(FAULTS))
        time.sleep(rng.uniform(0.1, 1.0))


def inject_long_pauses(state: RunState, rng: random.Random) -> None:
    """Pause one node after another for longer than the log's retention."""
    while state.is_running():
        inject_fault(state, rng, "long pause")
        wait_random(state, rng, 5.0, 10.0)


def inject_fault(state: RunState, rng: random.Random, fault: str) -> None:
    """Inject a fault into a random victim without one."""
    victims = VICTIMS_BY_FAULT.get(fault, tuple(state.fleet.nodes))
    with state.lock:
        available = [victim for victim in victims if victim not in state.faulted]
        if not available:
            return
        victim = rng.choice(available)
        state.faulted.add(victim)
        state.counts[f"fault {fault}"] += 1
    ACTION_BY_FAULT[fault](state, rng, victim)
    with state.lock:
        state.faulted.discard(victim)


def wait_random(state: RunState, rng: random.Random, low: float, high: float) -> None:
    """Sleep for a random time, but not beyond the end of the run."""
    time.sleep(max(0.0, min(rng.uniform(low, high), state.end_time - time.monotonic())))


def kill(state: RunState, rng: random.Random, node: str) -> None:
    """Kill a node, and restart it after a random delay."""
    state.fleet.send_signal(node)
    wait_random(state, rng, 0.0, 4.0)
    state.fleet.restart(node)


def pause(state: RunState, rng: random.Random, node: str) -> None:
    """Pause a node with SIGSTOP for a random time."""
    state.fleet.send_signal(node, signal.SIGSTOP)
    wait_random(state, rng, 0.2, 7.0)
    state.fleet.send_signal(node, signal.SIGCONT)


def long_pause(state: RunState, rng: random.Random, node: str) -> None:
    """Pause a node with SIGSTOP for longer than the log's retention."""
    state.fleet.send_signal(node, signal.SIGSTOP)
    wait_random(state, rng, RETENTION, RETENTION * 1.3)
    state.fleet.send_signal(node, signal.SIGCONT)


def set_faults_temporarily(
    state: RunState, rng: random.Random, victim: str, max_duration: float, **faults: Any
) -> None:
    """Set faults of a stand-in, and clear them after a random time."""
    state.fleet.set_faults(victim, **faults)
    wait_random(state, rng, 0.3, max_duration)
    state.fleet.set_faults(victim, **dict.fromkeys(faults, 0))


def lose_responses(state: RunState, rng: random.Random, victim: str) -> None:
    """Make the platform apply some requests and drop their responses."""
    set_faults_temporarily(state, rng, victim, 3.0, lose_answers=rng.randint(1, 30))


def slow_platform(state: RunState, rng: random.Random, victim: str) -> None:
    """Delay the platform's responses, some beyond the timeouts of its clients."""
    set_faults_temporarily(state, rng, victim, 6.0, slow=rng.choice((0.1, 0.5, 1.5, 2.5)))


def stop_platform(state: RunState, rng: random.Random, victim: str) -> None:
    """Make the platform unavailable."""
    set_faults_temporarily(state, rng, victim, 8.0, outage=True)


def delay_responses(state: RunState, rng: random.Random, victim: str) -> None:
    """Make an application delay its responses after the execution."""
    set_faults_temporarily(state, rng, victim, 4.0, late=rng.uniform(0.2, 2.0))


def truncate_responses(state: RunState, rng: random.Random, victim: str) -> None:
    """Make an application truncate some responses."""
    set_faults_temporarily(state, rng, victim, 2.0, short_answers=rng.randint(1, 5))


APPLICATIONS = ("application-0", "application-1")
VICTIMS_BY_FAULT = {
    "outage": ("platform",),
    "lose": ("platform",),
    "slow": ("platform",),
    "late": APPLICATIONS,
    "short": APPLICATIONS,
}
ACTION_BY_FAULT: dict[str, Callable[[RunState, random.Random, str], None]] = {
    "kill": kill,
    "pause": pause,
    "long pause": long_pause,
    "outage": stop_platform,
    "lose": lose_responses,
    "slow": slow_platform,
    "late": delay_responses,
    "short": truncate_responses,
}


def find_violations(attempts: list[Attempt], executions: list[Execution]) -> list[str]:
    """Compare the outcomes that callers received with the recorded executions.

    Parameters
    ----------
    attempts : list of Attempt
        Attempts of all callers.
    executions : list of Execution
        Records of all applications.

    Returns
    -------
    list of str
        One text for each violation.

    Examples
    --------
    >>> attempt = Attempt("a", "k", 0, "node-0", "not-run", 503, b"", 1.0, 2.0)
    >>> find_violations([attempt], [])
    []
    >>> find_violations([attempt], [Execution("k", attempt.path, "id", 1.5)])
    ['k /bookings?of=a&content=0: executed at 1.5, but all attempts so far had the outcome not-run']
    """
    violations = []
    executions_by_booking: dict[tuple[str, str], list[Execution]] = defaultdict(list)
    contents_by_key: dict[tuple[str, str], set[str]] = defaultdict(set)
    attempts_by_booking: dict[tuple[str, str], list[Attempt]] = defaultdict(list)
    for execution in executions:
        executions_by_booking[execution.key, execution.path].append(execution)
        contents_by_key[execution.key, execution.path.partition("&")[0]].add(execution.path)
    for attempt in attempts:
        attempts_by_booking[attempt.key, attempt.path].append(attempt)
    for (key, path), booking_executions in executions_by_booking.items():
        if len(booking_executions) > 1:
            violations.append(f"{key} {path}: executed {len(booking_executions)} times")
    for (key, path_prefix), paths in contents_by_key.items():
        if len(paths) > 1:
            violations.append(f"{key} {path_prefix}: executed with {len(paths)} contents")
    for (key, path), booking_attempts in attempts_by_booking.items():
        for line in check_booking(booking_attempts, executions_by_booking.get((key, path), [])):
            violations.append(f"{key} {path}: {line}")
    return violations


def check_booking(
    booking_attempts: list[Attempt], booking_executions: list[Execution]
) -> list[str]:
    """Return the violations of one booking."""
    lines = []
    for execution in booking_executions:
        earlier = [attempt for attempt in booking_attempts if attempt.sent_at <= execution.time]
        if all(attempt.outcome == "not-run" for attempt in earlier):
            lines.append(
                f"executed at {execution.time}, but all attempts so far had the outcome not-run"
            )
        for attempt in booking_attempts:
            if attempt.outcome == "not-run" and execution.time < attempt.sent_at:
                delay = attempt.sent_at - execution.time
                source = f"{attempt.node} with {attempt.status} {attempt.body.decode()}"
                lines.append(f"outcome not-run from {source}, {delay:.3f} s after its execution")
    for attempt in booking_attempts:
        if attempt.outcome == "complete" and not matches_execution(attempt, booking_executions):
            lines.append(f"outcome complete from {attempt.node}, but no execution is recorded")
    return lines


def matches_execution(attempt: Attempt, booking_executions: list[Execution]) -> bool:
    """Return whether a complete response belongs to a recorded execution."""
    content = json.loads(attempt.body)
    is_own_path = content["path"] == attempt.path
    return is_own_path and any(
        content["for"] == execution.request_id for execution in booking_executions
    )


def clear_faults(state: RunState) -> None:
    """Clear all faults, restart the exited nodes, and wait until all nodes are ready."""
    for name in ("platform", *APPLICATIONS):
        state.fleet.set_faults(name, outage=False, slow=0, lose_answers=0, late=0, short_answers=0)
    for name in state.fleet.nodes:
        if state.fleet.process_by_name[name].poll() is not None:
            state.fleet.restart(name)
    state.fleet.wait_ready()


def retry_incomplete(state: RunState) -> None:
    """Retry every booking that is not complete through all nodes, if its key can still be used."""
    complete = {(a.workspace, a.key) for a in state.attempts if a.outcome == "complete"}
    sent_at_by_booking = {(a.workspace, a.key): a.sent_at for a in state.attempts if a.content == 0}
    for (workspace, key), sent_at in sent_at_by_booking.items():
        if (workspace, key) not in complete and sent_at > time.time() - RETENTION / 2:
            for node in state.fleet.nodes:
                state.counts["retries without faults"] += 1
                state.send(node, workspace, key, 0)


def count_blocked_keys(state: RunState, executions: list[Execution]) -> int:
    """Count the keys that cannot be booked although they were never executed.

    A node that crashes between a claim and its dispatch, or while the release of a claim is in
    flight, leaves such a key.
    """
    executed = {(execution.key, execution.path) for execution in executions}
    last_attempts = {(a.key, a.path): a for a in state.attempts if a.content == 0}
    return sum(
        attempt.outcome == "unknown" and attempt.status == UNKNOWN_OUTCOME_STATUS
        for booking, attempt in last_attempts.items()
        if booking not in executed
    )


def find_node_errors(fleet: Fleet) -> list[str]:
    """Return the invariant violations and tracebacks in the nodes' logs."""
    lines = []
    for name in fleet.nodes:
        for line in (fleet.folder / f"{name}.log").read_text(errors="replace").splitlines():
            if "violated" in line or '"Traceback' in line:
                lines.append(f"{name}: {line}")
    return lines


def run(seed: int, seconds: float, nodes: int) -> int:
    """Run the fleet under faults, print the counts, and return the number of violations."""
    config = FleetConfig(nodes=nodes, engines=0, retention=RETENTION, threads=60)
    config.application_seconds = BOOKING_DURATION
    with Fleet(config) as fleet:
        state = RunState(fleet, seed, seconds)
        tasks = [(run_caller, f"{seed}/caller/{number}") for number in range(CALLER_THREADS)]
        tasks += [(inject_faults, f"{seed}/faults/{number}") for number in range(FAULT_THREADS)]
        tasks.append((inject_long_pauses, f"{seed}/long"))
        threads = [
            threading.Thread(target=task, args=(state, random.Random(name)), daemon=True)
            for task, name in tasks
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        clear_faults(state)
        retry_incomplete(state)
        executions = [
            Execution(item["key"], item["path"], item["request_id"], item["time"])
            for name in APPLICATIONS
            for item in fleet.call_standin("GET", name, "/record")["runs"]
            if item["key"]
        ]
        violations = find_violations(state.attempts, executions) + find_node_errors(fleet)
    state.counts["keys never executed, unknown without faults"] = count_blocked_keys(
        state, executions
    )
    state.counts["attempts"] = len(state.attempts)
    state.counts["keys"] = len({(a.workspace, a.key) for a in state.attempts})
    state.counts["executions"] = len(executions)
    print(f"seed {seed}, {seconds:g} s, {nodes} nodes")
    for name, count in sorted(state.counts.items()):
        print(f"  {name}: {count}")
    for line in violations:
        print(f"VIOLATION {line}")
    print(f"violations: {len(violations)}")
    return len(violations)


def main() -> None:
    """Run with the options of the command line, and exit with 1 on any violation."""
    parser = argparse.ArgumentParser(description="long run of bookings and claims under faults")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--nodes", type=int, default=4)
    options = parser.parse_args()
    sys.exit(1 if run(options.seed, options.seconds, options.nodes) else 0)


if __name__ == "__main__":
    main()
