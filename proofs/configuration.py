"""Long run: an accepted configuration is in force everywhere within seconds and never reverts.

``python -m proofs.configuration --seed 1 --seconds 60`` starts real nodes before a stand-in log
with short retention, lets publishers race, and kills, freezes and replaces nodes while the log
loses answers, slows down and goes away. A watcher polls every node. It ends with status 1 if any
node's version fell, came late or differed, or an accepted change is not in force exactly once.
"""

from __future__ import annotations

import argparse
import random
import signal
import sys
import threading
import time
from collections import Counter
from typing import Any

import urllib3

from celeryrun.configuration import Configuration, Plan, Pool, Publisher, hash_key, new_change_id
from celeryrun.exception import CeleryrunError, ConfigurationRejectedError, LogUnavailableError
from celeryrun.streams import LogClient
from standins.fleet import PEER_KEY, Fleet, FleetConfig

__all__ = ["main"]

IN_FORCE = 6.0  # s
NODES = 4
RETENTION = 20.0  # s
PUBLISHERS = 2
WATCH_PERIOD = 0.15  # s
MAX_PAUSE = 4.0  # s
LOG_TIMEOUT = 1.0  # s
PATIENCE = 3.0  # s
SLOW = (0.7, 1.3)  # s; the second outlasts LOG_TIMEOUT, so appends take effect late
COUNTER = "counter"  # pool whose only plan is a number that each change raises
WORKSPACES = 40  # kept in the lists; older ones are dropped again


class Run:
    """What the run has seen.

    Attributes
    ----------
    healthy_since : float or None
        Monotonic time from which on the log has answered without a fault; None while it does not.
    healthy_before : float
        Seconds that the log was without a fault before that.
    disturbed_by_node : dict
        Monotonic time until which a node may be late, for it was frozen or started.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.failures: list[str] = []
        self.stopped = threading.Event()
        self.lock = threading.Lock()
        self.healthy_since: float | None = time.monotonic()
        self.healthy_before = 0.0
        self.disturbed_by_node: dict[str, float] = {}
        self.accepted: list[tuple[int, float, str]] = []
        self.rejected: list[str] = []
        self.digest_by_version: dict[int, str] = {}
        self.seen_by_node: dict[str, tuple[Any, int]] = {}
        self.frozen: set[str] = set()

    def healthy(self) -> float:
        """Return the seconds for which the log has been without a fault, in all."""
        since = self.healthy_since
        return self.healthy_before + (time.monotonic() - since if since is not None else 0.0)

    def set_healthy(self, healthy: bool) -> None:
        """Note that a fault of the log begins or ends."""
        self.healthy_before = self.healthy()
        self.healthy_since = time.monotonic() if healthy else None

    def fail(self, text: str) -> None:
        """Note a violation."""
        with self.lock:
            self.failures.append(text)
        print("VIOLATION", text, flush=True)


def publisher_for(run: Run) -> Publisher:
    """Return a publisher with a fresh fold, as an operator's command has."""
    return Publisher(LogClient(run.fleet.url("platform"), LOG_TIMEOUT), PATIENCE, PEER_KEY)


def with_plan(current: Configuration, workspace: str) -> Configuration:
    """Return the lists with one more workspace, the oldest dropped, and the counter raised."""
    names = sorted(current.plans_by_workspace, key=lambda name: name.rpartition("-")[2])
    kept = names[max(0, len(names) - WORKSPACES) :]
    plans = [current.plans_by_workspace[name] for name in kept]
    plans.append(Plan(workspace, "all", 1, hash_key(workspace)))
    counter = Pool(COUNTER, "engine", (str(read_counter(current) + 1),))
    pools = [pool for pool in current.pools if pool.name != COUNTER]
    return Configuration.from_lists(0, tuple(plans), (*pools, counter))


def read_counter(current: Configuration) -> int:
    """Return how many changes have raised the counter, each from what it had read."""
    pool = current.pools_by_name.get(COUNTER)
    return int(pool.plans[0]) if pool is not None else 0


def publish_on(run: Run, name: str, source: random.Random) -> None:
    """Publish one change after the other, repeating those whose outcome is unknown."""
    while not run.stopped.wait(source.uniform(0.0, 0.4)):
        workspace = f"{name}-{time.monotonic_ns():020}"
        change_id = new_change_id()
        try:
            while not publish_once(run, workspace, change_id):
                run.counts["unknown, repeated"] += 1
        except CeleryrunError as error:
            run.fail(f"publisher {name}: {error}")
            return


def publish_once(run: Run, workspace: str, change_id: str) -> bool:
    """Try to publish; return whether the outcome is known."""
    publisher = publisher_for(run)
    try:
        current = publisher.read()
        wanted = with_plan(current, workspace)
        outcome = publisher.publish(wanted, change_id, current.version)
    except ConfigurationRejectedError:
        run.counts["rejected"] += 1
        run.rejected.append(workspace)
        return True
    except LogUnavailableError:
        return False
    run.counts["accepted"] += 1
    with run.lock:
        run.accepted.append((outcome.version, run.healthy(), workspace))
    return True


def watch(run: Run) -> None:
    """Poll every node until stopped."""
    http = urllib3.PoolManager(retries=False)
    while not run.stopped.wait(WATCH_PERIOD):
        for name in run.fleet.nodes:
            try:
                watch_node(run, http, name)
            except Exception as error:
                run.fail(f"watching {name}: {error!r}")


def watch_node(run: Run, http: urllib3.PoolManager, name: str) -> None:
    """Poll one node and judge what it says."""
    process = run.fleet.process_by_name.get(name)
    if process is None:
        return
    wanted = required_version(run, name)
    port = run.fleet.operator_port_by_name.get(name)
    try:
        answer = http.request("GET", f"http://127.0.0.1:{port}/status", timeout=0.5)
        status = answer.json()
    except (urllib3.exceptions.HTTPError, ValueError):
        code = process.poll()
        if code not in (None, -signal.SIGKILL):
            run.fail(f"{name} ended with status {code}")
        return
    if run.fleet.process_by_name.get(name) is not process:
        return
    run.counts["polls"] += 1
    judge(run, name, process, status, wanted)


def judge(run: Run, name: str, process: Any, status: dict[str, Any], wanted: int) -> None:
    """Compare a node's status with what must hold."""
    version, digest = status["version"], status["digest"]
    known, seen = run.seen_by_node.get(name, (process, 0))
    if known is process and version < seen:
        run.fail(f"{name} went back from {seen} to {version}")
    run.seen_by_node[name] = (process, version)
    if run.digest_by_version.setdefault(version, digest) != digest:
        run.fail(f"{name} has another content at version {version}")
    if status["violations"]:
        run.fail(f"{name} counts {status['violations']}")
    run.counts["polls that ask for a version"] += status["ready"] and wanted > 0
    if status["ready"] and version < wanted:
        run.fail(f"{name} is ready with {version}, but {wanted} was accepted {IN_FORCE:g} s ago")


def required_version(run: Run, name: str) -> int:
    """Return the version that a ready node must have by now."""
    if time.monotonic() < run.disturbed_by_node.get(name, 0.0):
        return 0
    latest = run.healthy() - IN_FORCE
    with run.lock:
        return max((version for version, when, _ in run.accepted if when < latest), default=0)


def freeze(run: Run, name: str) -> None:
    """Stop a node for a while with SIGSTOP."""
    run.disturbed_by_node[name] = float("inf")
    run.fleet.send_signal(name, signal.SIGSTOP)
    run.stopped.wait(run.random.uniform(0.5, MAX_PAUSE))
    run.fleet.send_signal(name, signal.SIGCONT)
    run.disturbed_by_node[name] = time.monotonic() + IN_FORCE


def crash(run: Run, name: str) -> None:
    """Kill a node and start it again."""
    run.fleet.send_signal(name)
    run.stopped.wait(run.random.uniform(0.0, 1.0))
    process = run.fleet.process_by_name[name]
    process.wait()
    run.fleet.start_process(name, run.fleet.command_by_name[name])


def replace(run: Run, name: str) -> None:
    """Kill a node and start another in its place."""
    fleet = run.fleet
    fleet.send_signal(name)
    del fleet.operator_port_by_name[name]
    fleet.vms[:] = [vm for vm in fleet.vms if vm["name"] != name]
    run.counts["nodes started"] += 1
    fleet.add_node(f"fresh-{run.counts['nodes started']}")
    show_vms(fleet)


def show_vms(fleet: Fleet) -> None:
    """Put the list of VMs on the platform, whatever answers it loses."""
    while True:
        try:
            fleet.put_vms()
            return
        except (urllib3.exceptions.HTTPError, ValueError):
            time.sleep(0.1)


def disturb_log(run: Run, **faults: Any) -> None:
    """Command a fault of the log for a while."""
    run.set_healthy(False)
    control(run, **faults)
    run.stopped.wait(run.random.uniform(0.5, MAX_PAUSE))
    control(run, **dict.fromkeys(faults, 0))
    run.set_healthy(True)


def control(run: Run, **faults: Any) -> None:
    """Command faults of the platform, on a connection of its own."""
    run.fleet.http.clear()
    run.fleet.set_faults("platform", **faults)


def break_things(run: Run) -> None:
    """Cause one fault after the other."""
    while not run.stopped.wait(run.random.uniform(0.2, 1.5)):
        name = run.random.choice(run.fleet.nodes)
        kind = run.random.choice(["freeze", "crash", "replace", "outage", "lost", "slow"])
        run.counts[kind] += 1
        match kind:
            case "freeze":
                freeze(run, name)
            case "crash":
                crash(run, name)
            case "replace":
                replace(run, name)
            case "outage":
                disturb_log(run, log_outage=1)
            case "lost":
                control(run, lose_answers=run.random.randrange(1, 12))
            case "slow":
                disturb_log(run, slow=run.random.choice(SLOW))


def settle(run: Run) -> None:
    """After all is quiet, compare every node with the log."""
    control(run, lose_answers=0, log_outage=0, slow=0)
    run.fleet.wait_ready()
    truth = publisher_for(run).read()
    until = time.monotonic() + IN_FORCE
    states: dict[str, Any] = {}
    while time.monotonic() < until:
        states = {name: run.fleet.status(name) for name in run.fleet.nodes}
        if all(state["digest"] == truth.digest for state in states.values()):
            break
        time.sleep(0.1)
    else:
        found = {name: state["version"] for name, state in states.items()}
        run.fail(f"not equal to version {truth.version} of the log after {IN_FORCE} s: {found}")
    check_accepted(run, truth)


def check_accepted(run: Run, truth: Configuration) -> None:
    """Check that the accepted changes are in force, once each, in the order of their versions."""
    versions = [version for version, _, _ in run.accepted]
    if len(set(versions)) != len(versions):
        run.fail("two accepted changes have one version")
    if read_counter(truth) != len(versions):
        run.fail(f"{len(versions)} changes accepted, but {read_counter(truth)} took place")
    newest = sorted(run.accepted)[-WORKSPACES // 2 :]
    for version, _, workspace in newest:
        if workspace not in truth.plans_by_workspace:
            run.fail(f"{workspace}, accepted as version {version}, is not in force")
    for workspace in run.rejected:
        if workspace in truth.plans_by_workspace:
            run.fail(f"{workspace}, told to be rejected, is in force")


def main() -> None:
    """Run, print what was counted, and end with 1 after any violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    options = parser.parse_args()
    config = FleetConfig(nodes=NODES, engines=0, applications=0, retention=RETENTION)
    with Fleet(config) as fleet:
        run = Run(fleet, options.seed)
        sources = [random.Random(options.seed * 1000 + item) for item in range(PUBLISHERS)]
        tasks = [threading.Thread(target=watch, args=(run,), daemon=True)]
        for item, source in enumerate(sources):
            arguments = (run, f"p{item}", source)
            tasks.append(threading.Thread(target=publish_on, args=arguments, daemon=True))
        breaker = threading.Thread(target=break_things, args=(run,), daemon=True)
        for task in (*tasks, breaker):
            task.start()
        time.sleep(options.seconds)
        run.stopped.set()
        for task in (*tasks, breaker):
            task.join(30.0)
        try:
            settle(run)
        except (CeleryrunError, TimeoutError) as error:
            run.fail(f"does not settle: {error}")
        first = fleet.call_standin("GET", "platform", "/v1/streams/configuration/records?start=0")[
            "first"
        ]
    print(f"seed {options.seed}, {options.seconds:g} s: {dict(run.counts)}")
    print(f"newest version {max(run.digest_by_version)}, log forgot below {first}")
    print(f"violations: {len(run.failures)}")
    sys.exit(1 if run.failures else 0)


if __name__ == "__main__":
    main()
