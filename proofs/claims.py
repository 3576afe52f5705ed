"""Bookings retried through every node while nodes and the log fail.

The judge stands outside the nodes: it compares what callers were told with the applications' own
records of what they ran. Run ``python -m proofs.claims --seed N --seconds S``.
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

__all__ = ["Attempt", "Run", "judge", "main"]

RETENTION = 40.0  # s; a key's window is half of it
CALLERS = 16
TIMEOUT = 3.0  # s that a caller waits before it tries another node
LATE_RETRY = (0.5, 50.0)  # s after which a caller comes back once more
UNKNOWN_STATUS = 502  # another node's claim holds the key; refusals have a status of their own
BOOKING_SECONDS = 0.15  # that an application takes
WORKSPACES = ("bookings", "routes")
FAULTS = ("kill", "kill", "pause", "pause", "outage", "lose", "lose", "slow", "late", "short")
FAULTS_AT_ONCE = 3


@dataclass(frozen=True, slots=True)
class Attempt:
    """One sending of a booking, as its caller saw it.

    Parameters
    ----------
    outcome : str
        ``complete``, ``not-run``, ``unknown``, or ``silent`` if no whole answer came.
    sent, ended : float
        Seconds since the epoch.
    """

    workspace: str
    key: str
    content: int
    node: str
    outcome: str
    status: int
    body: bytes
    sent: float
    ended: float

    @property
    def path(self) -> str:
        """Path that the application sees."""
        return booking_path(self.workspace, self.content)


@dataclass(frozen=True, slots=True)
class Run:
    """One booking in an application's own record."""

    key: str
    path: str
    request_id: str
    time: float


def booking_path(workspace: str, content: int) -> str:
    """Return the path of a booking; its query says whose it is."""
    return f"/bookings?of={workspace}&content={content}"


class World:
    """The fleet, the callers' records, and the faults."""

    def __init__(self, fleet: Fleet, seed: int, seconds: float) -> None:
        self.fleet = fleet
        self.seed = seed
        self.until = time.monotonic() + seconds
        self.lock = threading.Lock()
        self.attempts: list[Attempt] = []
        self.counts: Counter[str] = Counter()
        self.busy: set[str] = set()

    def running(self) -> bool:
        """Tell whether faults and new bookings go on."""
        return time.monotonic() < self.until

    def send(self, node: str, workspace: str, key: str, content: int) -> Attempt:
        """Send a booking once and record what is told."""
        path = "/warehouse" + booking_path(workspace, content)
        sent = time.time()
        outcome, status, body = "silent", 0, b""
        try:
            answer = self.fleet.request(
                node, workspace, "POST", path, {}, timeout=TIMEOUT, Idempotency_Key=key
            )
            outcome, status = answer.headers["Celeryrun-Outcome"], answer.status
            body = answer.data
        except urllib3.exceptions.HTTPError:
            pass
        attempt = Attempt(workspace, key, content, node, outcome, status, body, sent, time.time())
        with self.lock:
            self.attempts.append(attempt)
            self.counts[f"told {outcome}"] += 1
        return attempt


def call(world: World, rng: random.Random) -> None:
    """Book, and retry through random nodes until complete."""
    due: list[tuple[float, str, str]] = []
    while world.running():
        workspace = rng.choice(WORKSPACES)
        key = new_idempotency_key(time.time(), rng.getrandbits(74))
        book(world, rng, workspace, key)
        heapq.heappush(due, (time.monotonic() + draw_delay(rng), workspace, key))
        while due and due[0][0] < time.monotonic():
            _, old_workspace, old_key = heapq.heappop(due)
            world.counts["late retries"] += 1
            world.send(rng.choice(world.fleet.nodes), old_workspace, old_key, 0)
        time.sleep(rng.uniform(0, 0.1))


def draw_delay(rng: random.Random) -> float:
    """Draw a delay whose logarithm is uniform."""
    low, high = LATE_RETRY
    return low * (high / low) ** rng.random()


def book(world: World, rng: random.Random, workspace: str, key: str) -> None:
    """Send one booking, at times through two nodes at once, until it is complete."""
    nodes = world.fleet.nodes
    if rng.random() < 0.1:
        other = next(name for name in WORKSPACES if name != workspace)
        world.counts["same key, another workspace"] += 1
        world.send(rng.choice(nodes), other, key, 0)
    for _ in range(rng.randint(2, 6)):
        twins = rng.sample(nodes, 2 if rng.random() < 0.3 else 1)
        outcomes: list[str] = []
        threads = [
            threading.Thread(target=send_one, args=(world, node, workspace, key, outcomes))
            for node in twins
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if "complete" in outcomes:
            break
        time.sleep(rng.uniform(0, 1.0))
    if rng.random() < 0.1:
        world.counts["same key, other content"] += 1
        world.send(rng.choice(nodes), workspace, key, 1)


def send_one(world: World, node: str, workspace: str, key: str, outcomes: list[str]) -> None:
    """Send a booking and add its outcome to a list."""
    outcomes.append(world.send(node, workspace, key, 0).outcome)


def break_things(world: World, rng: random.Random) -> None:
    """Cause one fault after another; several of these run at once."""
    while world.running():
        cause(world, rng, rng.choice(FAULTS))
        time.sleep(rng.uniform(0.1, 1.0))


def break_for_long(world: World, rng: random.Random) -> None:
    """Pause one node after another past everything."""
    while world.running():
        cause(world, rng, "long pause")
        rest(world, rng, 5.0, 10.0)


def cause(world: World, rng: random.Random, fault: str) -> None:
    """Cause a fault where no other is."""
    places = PLACES.get(fault, tuple(world.fleet.nodes))
    with world.lock:
        free = [place for place in places if place not in world.busy]
        if not free:
            return
        place = rng.choice(free)
        world.busy.add(place)
        world.counts[f"fault {fault}"] += 1
    ACTIONS[fault](world, rng, place)
    with world.lock:
        world.busy.discard(place)


def rest(world: World, rng: random.Random, low: float, high: float) -> None:
    """Let a fault last, but not beyond the end of the run."""
    time.sleep(max(0.0, min(rng.uniform(low, high), world.until - time.monotonic())))


def kill(world: World, rng: random.Random, node: str) -> None:
    """Kill a node and start it again later."""
    world.fleet.send_signal(node)
    rest(world, rng, 0.0, 4.0)
    world.fleet.restart(node)


def pause(world: World, rng: random.Random, node: str) -> None:
    """Stop a node's process and let it go on."""
    world.fleet.send_signal(node, signal.SIGSTOP)
    rest(world, rng, 0.2, 7.0)
    world.fleet.send_signal(node, signal.SIGCONT)


def long_pause(world: World, rng: random.Random, node: str) -> None:
    """Stop a node's process past the log's retention."""
    world.fleet.send_signal(node, signal.SIGSTOP)
    rest(world, rng, RETENTION, RETENTION * 1.3)
    world.fleet.send_signal(node, signal.SIGCONT)


def set_for_a_while(
    world: World, rng: random.Random, place: str, most: float, **faults: Any
) -> None:
    """Command a fault of a stand-in and end it later."""
    world.fleet.set_faults(place, **faults)
    rest(world, rng, 0.3, most)
    world.fleet.set_faults(place, **dict.fromkeys(faults, 0))


def lose(world: World, rng: random.Random, place: str) -> None:
    """Lose answers of the log after their effect."""
    set_for_a_while(world, rng, place, 3.0, lose_answers=rng.randint(1, 30))


def slow(world: World, rng: random.Random, place: str) -> None:
    """Slow the platform down, at times beyond the callers' patience with it."""
    set_for_a_while(world, rng, place, 6.0, slow=rng.choice((0.1, 0.5, 1.5, 2.5)))


def outage(world: World, rng: random.Random, place: str) -> None:
    """Let the platform answer nothing."""
    set_for_a_while(world, rng, place, 8.0, outage=True)


def late(world: World, rng: random.Random, place: str) -> None:
    """Make an application answer long after the effect."""
    set_for_a_while(world, rng, place, 4.0, late=rng.uniform(0.2, 2.0))


def short(world: World, rng: random.Random, place: str) -> None:
    """Make an application cut some answers short."""
    set_for_a_while(world, rng, place, 2.0, short_answers=rng.randint(1, 5))


APPLICATIONS = ("application-0", "application-1")
PLACES = {
    "outage": ("platform",),
    "lose": ("platform",),
    "slow": ("platform",),
    "late": APPLICATIONS,
    "short": APPLICATIONS,
}
ACTIONS: dict[str, Callable[[World, random.Random, str], None]] = {
    "kill": kill,
    "pause": pause,
    "long pause": long_pause,
    "outage": outage,
    "lose": lose,
    "slow": slow,
    "late": late,
    "short": short,
}


def judge(attempts: list[Attempt], runs: list[Run]) -> list[str]:
    """Compare what callers were told with what the applications ran.

    Parameters
    ----------
    attempts : list of Attempt
        All of them.
    runs : list of Run
        The applications' records.

    Returns
    -------
    list of str
        One line for each violation.

    Examples
    --------
    >>> attempt = Attempt("a", "k", 0, "node-0", "not-run", 503, b"", 1.0, 2.0)
    >>> judge([attempt], [])
    []
    >>> judge([attempt], [Run("k", attempt.path, "id", 1.5)])
    ['k /bookings?of=a&content=0: ran at 1.5, but every attempt so far was told not-run']
    """
    violations = []
    runs_by_booking: dict[tuple[str, str], list[Run]] = defaultdict(list)
    contents_by_key: dict[tuple[str, str], set[str]] = defaultdict(set)
    attempts_by_booking: dict[tuple[str, str], list[Attempt]] = defaultdict(list)
    for run in runs:
        runs_by_booking[run.key, run.path].append(run)
        contents_by_key[run.key, run.path.partition("&")[0]].add(run.path)
    for attempt in attempts:
        attempts_by_booking[attempt.key, attempt.path].append(attempt)
    for (key, path), ran in runs_by_booking.items():
        if len(ran) > 1:
            violations.append(f"{key} {path}: ran {len(ran)} times")
    for (key, whose), paths in contents_by_key.items():
        if len(paths) > 1:
            violations.append(f"{key} {whose}: ran with {len(paths)} contents")
    for (key, path), told in attempts_by_booking.items():
        for line in judge_booking(told, runs_by_booking.get((key, path), [])):
            violations.append(f"{key} {path}: {line}")
    return violations


def judge_booking(told: list[Attempt], ran: list[Run]) -> list[str]:
    """Judge the attempts of one booking."""
    lines = []
    for run in ran:
        before = [attempt for attempt in told if attempt.sent <= run.time]
        if all(attempt.outcome == "not-run" for attempt in before):
            lines.append(f"ran at {run.time}, but every attempt so far was told not-run")
        for attempt in told:
            if attempt.outcome == "not-run" and run.time < attempt.sent:
                late = attempt.sent - run.time
                told_by = f"{attempt.node} with {attempt.status} {attempt.body.decode()}"
                lines.append(f"told not-run by {told_by}, {late:.3f} s after it had run")
    for attempt in told:
        if attempt.outcome == "complete" and not fits(attempt, ran):
            lines.append(f"told complete by {attempt.node}, which no record bears out")
    return lines


def fits(attempt: Attempt, ran: list[Run]) -> bool:
    """Tell whether a complete answer is that of a recorded run."""
    content = json.loads(attempt.body)
    own = content["path"] == attempt.path
    return own and any(content["for"] == run.request_id for run in ran)


def heal(world: World) -> None:
    """End all faults and wait until the nodes are well."""
    for name in ("platform", *APPLICATIONS):
        world.fleet.set_faults(name, outage=False, slow=0, lose_answers=0, late=0, short_answers=0)
    for name in world.fleet.nodes:
        if world.fleet.process_by_name[name].poll() is not None:
            world.fleet.restart(name)
    world.fleet.wait_ready()


def retry_open(world: World) -> None:
    """Send every booking that is not complete through all nodes once more."""
    complete = {(a.workspace, a.key) for a in world.attempts if a.outcome == "complete"}
    begun = {(a.workspace, a.key): a.sent for a in world.attempts if a.content == 0}
    for (workspace, key), sent in begun.items():
        if (workspace, key) not in complete and sent > time.time() - RETENTION / 2:
            for node in world.fleet.nodes:
                world.counts["retries after healing"] += 1
                world.send(node, workspace, key, 0)


def count_stuck(world: World, runs: list[Run]) -> int:
    """Count the keys that can't be booked any more though they never ran.

    A node that dies between a claim and its dispatch, or while a release is on its way, leaves one.
    """
    ran = {(run.key, run.path) for run in runs}
    last = {(a.key, a.path): a for a in world.attempts if a.content == 0}
    return sum(
        attempt.outcome == "unknown" and attempt.status == UNKNOWN_STATUS
        for item, attempt in last.items()
        if item not in ran
    )


def failed_nodes(fleet: Fleet) -> list[str]:
    """Return what the nodes themselves found broken."""
    lines = []
    for name in fleet.nodes:
        for line in (fleet.folder / f"{name}.log").read_text(errors="replace").splitlines():
            if "violated" in line or '"Traceback' in line:
                lines.append(f"{name}: {line}")
    return lines


def run(seed: int, seconds: float, nodes: int) -> int:
    """Run once, print the counts and return the number of violations."""
    config = FleetConfig(nodes=nodes, engines=0, retention=RETENTION, threads=60)
    config.application_seconds = BOOKING_SECONDS
    with Fleet(config) as fleet:
        world = World(fleet, seed, seconds)
        tasks = [(call, f"{seed}/caller/{number}") for number in range(CALLERS)]
        tasks += [(break_things, f"{seed}/faults/{number}") for number in range(FAULTS_AT_ONCE)]
        tasks.append((break_for_long, f"{seed}/long"))
        threads = [
            threading.Thread(target=task, args=(world, random.Random(name)), daemon=True)
            for task, name in tasks
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        heal(world)
        retry_open(world)
        runs = [
            Run(item["key"], item["path"], item["request_id"], item["time"])
            for name in APPLICATIONS
            for item in fleet.call_standin("GET", name, "/record")["runs"]
            if item["key"]
        ]
        violations = judge(world.attempts, runs) + failed_nodes(fleet)
    world.counts["keys never run, unknown after healing"] = count_stuck(world, runs)
    world.counts["attempts"] = len(world.attempts)
    world.counts["keys"] = len({(a.workspace, a.key) for a in world.attempts})
    world.counts["runs"] = len(runs)
    print(f"seed {seed}, {seconds:g} s, {nodes} nodes")
    for name, count in sorted(world.counts.items()):
        print(f"  {name}: {count}")
    for line in violations:
        print(f"VIOLATION {line}")
    print(f"violations: {len(violations)}")
    return len(violations)


def main() -> None:
    """Read the command line and run."""
    parser = argparse.ArgumentParser(description="long run over bookings and claims")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--nodes", type=int, default=4)
    options = parser.parse_args()
    sys.exit(1 if run(options.seed, options.seconds, options.nodes) else 0)


if __name__ == "__main__":
    main()
