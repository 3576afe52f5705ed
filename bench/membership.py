"""Cost and quality of membership for 3 to 48 members, each a process of its own.

``python -m bench.membership [--sizes 3,12,48] [--seconds 20]`` starts a stand-in platform and that
many small processes, each with the peers and members services of a node and nothing else, kills
some, and prints for each size: time to detect a death, false suspicions and deaths, messages and
bytes sent a second and processor time for each member.
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
from standins.fleet import free_ports

__all__ = ["main"]

SETTLE = 6.0  # s until all know each other
KILLS = 3
KILL_GAP = 6.0  # s
SEED = 7


class _Quiet:
    """Stands in for the services that members tell of what they hear."""

    def __init__(self) -> None:
        self.watchers: list = []
        self.current = SimpleNamespace(version=0, digest="")

    def __getattr__(self, name: str):  # noqa: ANN204
        return lambda *_, **__: None


def run_member(name: str, ports: list[int]) -> None:
    """Be one member; print what happens as lines of JSON until told to end."""
    number = int(name.split("-")[1])
    address = Address("127.0.0.1", ports[number])
    settings = Settings(
        NodeSettings(name, "zone-0", address, address, address),
        PlatformSettings("http://127.0.0.1:9", "http://127.0.0.1:9"),
        PeerSettings("bench-membership-key"),
        LimitSettings(),
    )
    kernel = Kernel()
    peers, vms = Peers.from_config(settings), _Quiet()
    members = Members.from_config(kernel, settings)
    services = {"peers": peers, "vms": vms, "configuration": _Quiet(), "targets": _Quiet()}
    for service, item in {**services, "members": members}.items():
        kernel.register(service, item)
    kernel.start()
    listed = [
        Vm(f"member-{index}", "zone-0", f"127.0.0.1:{port}", "live", "node")
        for index, port in enumerate(ports)
    ]
    vms.watchers[0](listed)
    threading.Thread(target=watch, args=(members,), daemon=True).start()
    for line in sys.stdin:
        if line.strip() == "count":
            usage = resource.getrusage(resource.RUSAGE_SELF)
            counts = {key: peers.counts[key] for key in ("sent", "sent bytes")}
            cpu = usage.ru_utime + usage.ru_stime
            say({"counts": counts, "cpu": cpu, "rss": usage.ru_maxrss / 1024})


def watch(members: Members) -> None:
    """Say each change of state of each member."""
    known: dict[str, str] = {}
    while True:
        for name, member in list(members.by_name.items()):
            if known.get(name) != member.state:
                known[name] = member.state
                say({"member": name, "state": member.state, "time": time.time()})
        time.sleep(0.02)


def say(content: dict) -> None:
    """Print one line."""
    print(json.dumps(content), flush=True)


class Group:
    """Member processes and what they said."""

    def __init__(self, size: int) -> None:
        ports = free_ports(size)
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
        self.said: dict[str, list[dict]] = {name: [] for name in self.names}
        for name in self.names:
            threading.Thread(target=self.listen, args=(name,), daemon=True).start()

    def listen(self, name: str) -> None:
        """Collect what a member says."""
        for line in self.process_by_name[name].stdout:
            self.said[name].append(json.loads(line))

    def count(self, names: list[str]) -> dict[str, dict]:
        """Ask members for their counts."""
        for name in names:
            process = self.process_by_name[name]
            process.stdin.write("count\n")
            process.stdin.flush()
        time.sleep(0.5)
        return {name: [item for item in self.said[name] if "counts" in item][-1] for name in names}

    def stop(self) -> None:
        """End every member."""
        for process in self.process_by_name.values():
            process.kill()
        for process in self.process_by_name.values():
            process.wait()


def measure(size: int, seconds: float) -> None:
    """Print one row."""
    choices = random.Random(SEED)
    group = Group(size)
    try:
        time.sleep(SETTLE + size / 8)
        before = group.count(group.names)
        quiet = time.time()
        time.sleep(seconds)
        after = group.count(group.names)
        passed = time.time() - quiet
        false = count_false(group, quiet, time.time())
        detection = kill_some(group, choices, min(KILLS, size - 2))
    finally:
        group.stop()
    names = group.names
    sent = [after[n]["counts"]["sent"] - before[n]["counts"]["sent"] for n in names]
    data = [after[n]["counts"]["sent bytes"] - before[n]["counts"]["sent bytes"] for n in names]
    cpu = [after[n]["cpu"] - before[n]["cpu"] for n in names]
    print(
        f"{size:7} {statistics.mean(detection):9.2f} {max(detection):8.2f} "
        f"{false['suspect']:14} {false['dead']:11} "
        f"{statistics.mean(sent) / passed:10.2f} {statistics.mean(data) / passed:9.0f} "
        f"{max(data) / passed:8.0f} {100 * statistics.mean(cpu) / passed:8.2f} "
        f"{statistics.mean(after[n]['rss'] for n in names):8.1f}",
        flush=True,
    )


def count_false(group: Group, begin: float, end: float) -> dict[str, int]:
    """Count accusations of members that all live."""
    counts = {"suspect": 0, "dead": 0}
    for said in group.said.values():
        for item in said:
            if item.get("state") in counts and begin <= item["time"] <= end:
                counts[item["state"]] += 1
    return counts


def kill_some(group: Group, choices: random.Random, kills: int) -> list[float]:
    """Kill members, and return each survivor's seconds until it took each for dead."""
    victims = choices.sample(group.names, kills)
    killed_at = {}
    for victim in victims:
        killed_at[victim] = time.time()
        group.process_by_name[victim].send_signal(signal.SIGKILL)
        time.sleep(KILL_GAP + len(group.names) / 8)
    delays = []
    for survivor in set(group.names) - set(victims):
        for victim, when in killed_at.items():
            times = [
                item["time"] - when
                for item in group.said[survivor]
                if item.get("member") == victim and item["state"] == "dead" and item["time"] > when
            ]
            delays.append(times[0] if times else float("inf"))
    return delays


def main() -> None:
    """Measure each size, or be one member."""
    parser = argparse.ArgumentParser(description="cost and quality of membership")
    parser.add_argument("--sizes", default="3,6,12,24,48")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--member", default="")
    parser.add_argument("--ports", default="")
    options = parser.parse_args()
    if options.member:
        run_member(options.member, [int(port) for port in options.ports.split(",")])
        return
    print(f"seed {SEED}, {KILLS} kills a size, {options.seconds:g} s of quiet; CPU in % of a core")
    print(
        "members  detect s    max s  false suspects  false dead     sent/s   bytes/s"
        "      max    CPU %   RSS MB"
    )
    for size in options.sizes.split(","):
        measure(int(size), options.seconds)


if __name__ == "__main__":
    main()
