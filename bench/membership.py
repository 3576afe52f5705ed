"""Cost and accuracy of membership for 3 to 48 members, each in a process of its own.

``python -m bench.membership [--sizes 3,12,48] [--seconds 20]`` starts that many small
processes, each with only the peers and members services of a node, kills some, and prints for each
size: time to detect a dead member, false suspect and dead states, messages and bytes sent per
second, and processor time per member.
"""

from __future__ import annotations

import argparse
import json
import random
import resource
import signal
import statistics
import subprocess
import sys
import threading
import time
from types import SimpleNamespace

from celeryrun.kernel import Kernel
from celeryrun.membership import Members
from celeryrun.settings import Address, Settings
from celeryrun.settings._schema import LimitSettings, NodeSettings, PeerSettings, PlatformSettings
from celeryrun.streams import Vm
from celeryrun.wire import Peers
from standins.ports import lease_ports

__all__ = ["main"]

SETTLE_TIME = 6.0  # s until all members know each other
KILLS_PER_SIZE = 3
KILL_INTERVAL = 6.0  # s
SEED = 7


class _NullService:
    """Replacement for the services that the members service calls; it ignores every call."""

    def __init__(self) -> None:
        self.watchers: list = []
        self.current = SimpleNamespace(version=0, digest="")

    def __getattr__(self, name: str):  # noqa: ANN204
        return lambda *_, **__: None


def run_member(name: str, ports: list[int]) -> None:
    """Run one member, and print its reports as JSON lines until standard input ends."""
    number = int(name.split("-")[1])
    address = Address("127.0.0.1", ports[number])
    settings = Settings(
        NodeSettings(name, "zone-0", address, address, address),
        PlatformSettings("http://127.0.0.1:9", "http://127.0.0.1:9"),
        PeerSettings("bench-membership-key"),
        LimitSettings(),
    )
    kernel = Kernel()
    peers, vms = Peers.from_config(settings), _NullService()
    members = Members.from_config(kernel, settings)
    services = {
        "peers": peers,
        "vms": vms,
        "configuration": _NullService(),
        "targets": _NullService(),
    }
    for service, item in {**services, "members": members}.items():
        kernel.register(service, item)
    kernel.start()
    listed = [
        Vm(f"member-{index}", "zone-0", f"127.0.0.1:{port}", "live", "node")
        for index, port in enumerate(ports)
    ]
    vms.watchers[0](listed)
    threading.Thread(target=report_states, args=(members,), daemon=True).start()
    for line in sys.stdin:
        if line.strip() == "count":
            usage = resource.getrusage(resource.RUSAGE_SELF)
            counts = {key: peers.counts[key] for key in ("sent", "sent bytes")}
            cpu = usage.ru_utime + usage.ru_stime
            print_report({"counts": counts, "cpu": cpu, "rss": usage.ru_maxrss / 1024})


def report_states(members: Members) -> None:
    """Print a report of each state change of each member."""
    state_by_member: dict[str, str] = {}
    while True:
        for name, member in list(members.by_name.items()):
            if state_by_member.get(name) != member.state:
                state_by_member[name] = member.state
                print_report({"member": name, "state": member.state, "time": time.time()})
        time.sleep(0.02)


def print_report(report: dict) -> None:
    """Print a report as one line of JSON."""
    print(json.dumps(report), flush=True)


class MemberGroup:
    """Member processes and the reports that they printed."""

    def __init__(self, size: int) -> None:
        ports = lease_ports(size)
        self.names = [f"member-{number}" for number in range(size)]
        command = [sys.executable, "-m", "bench.membership", "--ports", ",".join(map(str, ports))]
        self.process_by_name = {
            name: subprocess.Popen(
                [*command, "--member", name],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
                text=True,
            )
            for name in self.names
        }
        self.reports_by_member: dict[str, list[dict]] = {name: [] for name in self.names}
        for name in self.names:
            threading.Thread(target=self.read_reports, args=(name,), daemon=True).start()

    def read_reports(self, name: str) -> None:
        """Collect the reports of a member."""
        for line in self.process_by_name[name].stdout:
            self.reports_by_member[name].append(json.loads(line))

    def read_counts(self, names: list[str]) -> dict[str, dict]:
        """Request and return the counts of members."""
        for name in names:
            process = self.process_by_name[name]
            process.stdin.write("count\n")
            process.stdin.flush()
        time.sleep(0.5)
        return {
            name: [item for item in self.reports_by_member[name] if "counts" in item][-1]
            for name in names
        }

    def stop(self) -> None:
        """Kill every member process."""
        for process in self.process_by_name.values():
            process.kill()
        for process in self.process_by_name.values():
            process.wait()


def measure(size: int, seconds: float) -> None:
    """Print the figures for one number of members."""
    rng = random.Random(SEED)
    group = MemberGroup(size)
    try:
        time.sleep(SETTLE_TIME + size / 8)
        before = group.read_counts(group.names)
        started_at = time.time()
        time.sleep(seconds)
        after = group.read_counts(group.names)
        elapsed = time.time() - started_at
        false_by_state = count_false(group, started_at, time.time())
        detection = measure_detection(group, rng, min(KILLS_PER_SIZE, size - 2))
    finally:
        group.stop()
    names = group.names
    sent = [after[n]["counts"]["sent"] - before[n]["counts"]["sent"] for n in names]
    data = [after[n]["counts"]["sent bytes"] - before[n]["counts"]["sent bytes"] for n in names]
    cpu = [after[n]["cpu"] - before[n]["cpu"] for n in names]
    print(
        f"{size:7} {statistics.mean(detection):9.2f} {max(detection):8.2f} "
        f"{false_by_state['suspect']:14} {false_by_state['dead']:11} "
        f"{statistics.mean(sent) / elapsed:10.2f} {statistics.mean(data) / elapsed:9.0f} "
        f"{max(data) / elapsed:8.0f} {100 * statistics.mean(cpu) / elapsed:8.2f} "
        f"{statistics.mean(after[n]['rss'] for n in names):8.1f}",
        flush=True,
    )


def count_false(group: MemberGroup, begin: float, end: float) -> dict[str, int]:
    """Count the suspect and dead states reported while all members are alive."""
    counts = {"suspect": 0, "dead": 0}
    for reports in group.reports_by_member.values():
        for item in reports:
            if item.get("state") in counts and begin <= item["time"] <= end:
                counts[item["state"]] += 1
    return counts


def measure_detection(group: MemberGroup, rng: random.Random, kills: int) -> list[float]:
    """Kill members, and return the detection delay of each victim at each survivor, in seconds."""
    victims = rng.sample(group.names, kills)
    killed_at = {}
    for victim in victims:
        killed_at[victim] = time.time()
        group.process_by_name[victim].send_signal(signal.SIGKILL)
        time.sleep(KILL_INTERVAL + len(group.names) / 8)
    delays = []
    for survivor in set(group.names) - set(victims):
        for victim, killed_time in killed_at.items():
            times = [
                item["time"] - killed_time
                for item in group.reports_by_member[survivor]
                if item.get("member") == victim
                and item["state"] == "dead"
                and item["time"] > killed_time
            ]
            delays.append(times[0] if times else float("inf"))
    return delays


def main() -> None:
    """Measure each size, or run one member."""
    parser = argparse.ArgumentParser(description="cost and accuracy of membership")
    parser.add_argument("--sizes", default="3,6,12,24,48")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--member", default="")
    parser.add_argument("--ports", default="")
    options = parser.parse_args()
    if options.member:
        run_member(options.member, [int(port) for port in options.ports.split(",")])
        return
    print(
        f"seed {SEED}, {KILLS_PER_SIZE} kills per size, {options.seconds:g} s without kills; "
        "CPU in % of a core"
    )
    print(
        "members  detect s    max s  false suspects  false dead     sent/s   bytes/s"
        "      max    CPU %   RSS MB"
    )
    for size in options.sizes.split(","):
        measure(int(size), options.seconds)


if __name__ == "__main__":
    main()
