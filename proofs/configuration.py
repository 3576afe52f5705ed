"""Long run that checks that each accepted configuration takes effect and never reverts.

``python -m proofs.configuration --seed 1 --seconds 60`` starts real nodes with a stand-in log
of short retention, runs concurrent publishers, and kills, pauses and replaces nodes while the log
loses responses, slows down and becomes unavailable. A thread polls every node. The command exits
with 1 if a node's version decreases, is not current within seconds or has a different
content than on another node, or if an accepted change is not in force exactly once.
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

IN_FORCE_TIMEOUT = 6.0  # s until an accepted change must be in force on every ready node
NODES = 4
RETENTION = 20.0  # s
PUBLISHER_THREADS = 2
POLL_INTERVAL = 0.15  # s
MAX_FAULT_DURATION = 4.0  # s
LOG_TIMEOUT = 1.0  # s
PUBLISH_TIMEOUT = 3.0  # s
# s; the second exceeds LOG_TIMEOUT, so appends take effect after the client has given up
LOG_RESPONSE_DELAYS = (0.7, 1.3)
COUNTER_POOL = "counter"  # pool whose only plan is a number that each change increments
MAX_WORKSPACES = 40  # of the lists; the oldest are dropped


class Run:
    """State shared by the threads of one run.

    Attributes
    ----------
    log_available_since : float or None
        Monotonic time from which the log has had no fault; None while it has one.
    previous_log_uptime : float
        Seconds without a fault of the log before `log_available_since`.
    unchecked_until_by_node : dict
        Monotonic time until which a node may be late, because it was paused or started.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.violations: list[str] = []
        self.stopped = threading.Event()
        self.lock = threading.Lock()
        self.log_available_since: float | None = time.monotonic()
        self.previous_log_uptime = 0.0
        self.unchecked_until_by_node: dict[str, float] = {}
        self.accepted: list[tuple[int, float, str]] = []
        self.rejected: list[str] = []
        self.digest_by_version: dict[int, str] = {}
        self.last_poll_by_node: dict[str, tuple[Any, int]] = {}
        self.frozen: set[str] = set()

    def log_uptime(self) -> float:
        """Return the total number of seconds in which the log had no fault."""
        since = self.log_available_since
        return self.previous_log_uptime + (time.monotonic() - since if since is not None else 0.0)

    def set_log_available(self, available: bool) -> None:
        """Record the end or the start of a fault of the log."""
        self.previous_log_uptime = self.log_uptime()
        self.log_available_since = time.monotonic() if available else None

    def add_violation(self, text: str) -> None:
        """Record and print a violation."""
        with self.lock:
            self.violations.append(text)
        print("VIOLATION", text, flush=True)


def build_publisher(run: Run) -> Publisher:
    """Return a publisher with an empty configuration replica, like the publish command's."""
    return Publisher(LogClient(run.fleet.url("platform"), LOG_TIMEOUT), PUBLISH_TIMEOUT, PEER_KEY)


def add_workspace(current: Configuration, workspace: str) -> Configuration:
    """Return a configuration with one more workspace and the counter incremented.

    The oldest workspaces above MAX_WORKSPACES are dropped.
    """
    names = sorted(current.plans_by_workspace, key=lambda name: name.rpartition("-")[2])
    kept = names[max(0, len(names) - MAX_WORKSPACES) :]
    plans = [current.plans_by_workspace[name] for name in kept]
    plans.append(Plan(workspace, "all", 1, hash_key(workspace)))
    counter = Pool(COUNTER_POOL, "engine", (str(read_counter(current) + 1),))
    pools = [pool for pool in current.pools if pool.name != COUNTER_POOL]
    return Configuration.from_lists(0, tuple(plans), (*pools, counter))


def read_counter(current: Configuration) -> int:
    """Return the number of changes that have incremented the counter."""
    pool = current.pools_by_name.get(COUNTER_POOL)
    return int(pool.plans[0]) if pool is not None else 0


def publish_until_stopped(run: Run, name: str, rng: random.Random) -> None:
    """Publish one change after another, and retry those whose outcome is unknown."""
    while not run.stopped.wait(rng.uniform(0.0, 0.4)):
        workspace = f"{name}-{time.monotonic_ns():020}"
        change_id = new_change_id()
        try:
            while not publish_once(run, workspace, change_id):
                run.counts["unknown, retried"] += 1
        except CeleryrunError as error:
            run.add_violation(f"publisher {name}: {error}")
            return


def publish_once(run: Run, workspace: str, change_id: str) -> bool:
    """Try to publish a change, and return whether the outcome is known."""
    publisher = build_publisher(run)
    try:
        current = publisher.read()
        configuration = add_workspace(current, workspace)
        outcome = publisher.publish(configuration, change_id, current.version)
    except ConfigurationRejectedError:
        run.counts["rejected"] += 1
        run.rejected.append(workspace)
        return True
    except LogUnavailableError:
        return False
    run.counts["accepted"] += 1
    with run.lock:
        run.accepted.append((outcome.version, run.log_uptime(), workspace))
    return True


def poll_nodes(run: Run) -> None:
    """Poll every node until stopped."""
    http = urllib3.PoolManager(retries=False)
    while not run.stopped.wait(POLL_INTERVAL):
        for name in run.fleet.nodes:
            try:
                poll_node(run, http, name)
            except Exception as error:
                run.add_violation(f"polling {name}: {error!r}")


def poll_node(run: Run, http: urllib3.PoolManager, name: str) -> None:
    """Poll the status of one node and check it."""
    process = run.fleet.process_by_name.get(name)
    if process is None:
        return
    min_version = required_version(run, name)
    port = run.fleet.operator_port_by_name.get(name)
    try:
        response = http.request("GET", f"http://127.0.0.1:{port}/status", timeout=0.5)
        status = response.json()
    except (urllib3.exceptions.HTTPError, ValueError):
        code = process.poll()
        if code not in (None, -signal.SIGKILL):
            run.add_violation(f"{name} exited with status {code}")
        return
    if run.fleet.process_by_name.get(name) is not process:
        return
    run.counts["polls"] += 1
    check_status(run, name, process, status, min_version)


def check_status(
    run: Run, name: str, process: Any, status: dict[str, Any], min_version: int
) -> None:
    """Check a node's status against the guarantees of the configuration."""
    version, digest = status["version"], status["digest"]
    polled_process, polled_version = run.last_poll_by_node.get(name, (process, 0))
    if polled_process is process and version < polled_version:
        run.add_violation(f"{name} reverted from version {polled_version} to {version}")
    run.last_poll_by_node[name] = (process, version)
    if run.digest_by_version.setdefault(version, digest) != digest:
        run.add_violation(f"{name} has a different configuration at version {version}")
    if status["violations"]:
        run.add_violation(f"{name} reports violated invariants {status['violations']}")
    run.counts["polls with a required version"] += status["ready"] and min_version > 0
    if status["ready"] and version < min_version:
        run.add_violation(
            f"{name} is ready at version {version}, but version {min_version} was accepted "
            f"{IN_FORCE_TIMEOUT:g} s ago"
        )


def required_version(run: Run, name: str) -> int:
    """Return the lowest version that a ready node may report now, 0 if it may report any."""
    if time.monotonic() < run.unchecked_until_by_node.get(name, 0.0):
        return 0
    latest = run.log_uptime() - IN_FORCE_TIMEOUT
    with run.lock:
        return max((version for version, uptime, _ in run.accepted if uptime < latest), default=0)


def pause(run: Run, name: str) -> None:
    """Pause a node with SIGSTOP for a random time."""
    run.unchecked_until_by_node[name] = float("inf")
    run.fleet.send_signal(name, signal.SIGSTOP)
    run.stopped.wait(run.rng.uniform(0.5, MAX_FAULT_DURATION))
    run.fleet.send_signal(name, signal.SIGCONT)
    run.unchecked_until_by_node[name] = time.monotonic() + IN_FORCE_TIMEOUT


def kill_and_restart(run: Run, name: str) -> None:
    """Kill a node, and restart it after a random delay."""
    run.fleet.send_signal(name)
    run.stopped.wait(run.rng.uniform(0.0, 1.0))
    process = run.fleet.process_by_name[name]
    process.wait()
    run.fleet.start_process(name, run.fleet.command_by_name[name])


def replace(run: Run, name: str) -> None:
    """Kill a node, and start a new node with a new name in its place."""
    fleet = run.fleet
    fleet.send_signal(name)
    del fleet.operator_port_by_name[name]
    fleet.vms[:] = [vm for vm in fleet.vms if vm["name"] != name]
    run.counts["nodes started"] += 1
    fleet.add_node(f"fresh-{run.counts['nodes started']}")
    put_vms_with_retries(fleet)


def put_vms_with_retries(fleet: Fleet) -> None:
    """Put the list of VMs on the platform, and retry until a response arrives."""
    while True:
        try:
            fleet.put_vms()
            return
        except (urllib3.exceptions.HTTPError, ValueError):
            time.sleep(0.1)


def fault_log(run: Run, **faults: Any) -> None:
    """Set faults of the log, and clear them after a random time."""
    run.set_log_available(False)
    set_platform_faults(run, **faults)
    run.stopped.wait(run.rng.uniform(0.5, MAX_FAULT_DURATION))
    set_platform_faults(run, **dict.fromkeys(faults, 0))
    run.set_log_available(True)


def set_platform_faults(run: Run, **faults: Any) -> None:
    """Set faults of the platform over a new connection."""
    run.fleet.http.clear()
    run.fleet.set_faults("platform", **faults)


def inject_faults(run: Run) -> None:
    """Inject one random fault after another."""
    while not run.stopped.wait(run.rng.uniform(0.2, 1.5)):
        name = run.rng.choice(run.fleet.nodes)
        kind = run.rng.choice(["pause", "kill", "replace", "outage", "lost", "slow"])
        run.counts[kind] += 1
        match kind:
            case "pause":
                pause(run, name)
            case "kill":
                kill_and_restart(run, name)
            case "replace":
                replace(run, name)
            case "outage":
                fault_log(run, log_outage=1)
            case "lost":
                set_platform_faults(run, lose_answers=run.rng.randrange(1, 12))
            case "slow":
                fault_log(run, slow=run.rng.choice(LOG_RESPONSE_DELAYS))


def check_final_state(run: Run) -> None:
    """Clear all faults, and compare the configuration of every node with the log."""
    set_platform_faults(run, lose_answers=0, log_outage=0, slow=0)
    run.fleet.wait_ready()
    log_configuration = build_publisher(run).read()
    until = time.monotonic() + IN_FORCE_TIMEOUT
    status_by_node: dict[str, Any] = {}
    while time.monotonic() < until:
        status_by_node = {name: run.fleet.status(name) for name in run.fleet.nodes}
        if all(status["digest"] == log_configuration.digest for status in status_by_node.values()):
            break
        time.sleep(0.1)
    else:
        version_by_node = {name: status["version"] for name, status in status_by_node.items()}
        run.add_violation(
            f"nodes differ from version {log_configuration.version} of the log after "
            f"{IN_FORCE_TIMEOUT} s: {version_by_node}"
        )
    check_accepted(run, log_configuration)


def check_accepted(run: Run, log_configuration: Configuration) -> None:
    """Check that each accepted change is in force exactly once and no rejected one is."""
    versions = [version for version, _, _ in run.accepted]
    if len(set(versions)) != len(versions):
        run.add_violation("two accepted changes have the same version")
    if read_counter(log_configuration) != len(versions):
        run.add_violation(
            f"{len(versions)} changes were accepted, but "
            f"{read_counter(log_configuration)} were applied"
        )
    newest = sorted(run.accepted)[-MAX_WORKSPACES // 2 :]
    for version, _, workspace in newest:
        if workspace not in log_configuration.plans_by_workspace:
            run.add_violation(f"{workspace}, accepted as version {version}, is not in force")
    for workspace in run.rejected:
        if workspace in log_configuration.plans_by_workspace:
            run.add_violation(f"{workspace}, rejected, is in force")


def main() -> None:
    """Run the fleet under faults, print the counts, and exit with 1 on any violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    options = parser.parse_args()
    config = FleetConfig(nodes=NODES, engines=0, applications=0, retention=RETENTION)
    with Fleet(config) as fleet:
        run = Run(fleet, options.seed)
        rngs = [random.Random(options.seed * 1000 + item) for item in range(PUBLISHER_THREADS)]
        tasks = [threading.Thread(target=poll_nodes, args=(run,), daemon=True)]
        for item, rng in enumerate(rngs):
            arguments = (run, f"p{item}", rng)
            tasks.append(
                threading.Thread(target=publish_until_stopped, args=arguments, daemon=True)
            )
        fault_injector = threading.Thread(target=inject_faults, args=(run,), daemon=True)
        for task in (*tasks, fault_injector):
            task.start()
        time.sleep(options.seconds)
        run.stopped.set()
        for task in (*tasks, fault_injector):
            task.join(30.0)
        try:
            check_final_state(run)
        except (CeleryrunError, TimeoutError) as error:
            run.add_violation(f"the final state was not reached: {error}")
        first_offset = fleet.call_standin(
            "GET", "platform", "/v1/streams/configuration/records?start=0"
        )["first"]
    print(f"seed {options.seed}, {options.seconds:g} s: {dict(run.counts)}")
    print(
        f"newest version {max(run.digest_by_version)}, first kept offset of the log {first_offset}"
    )
    print(f"violations: {len(run.violations)}")
    sys.exit(1 if run.violations else 0)


if __name__ == "__main__":
    main()
