"""Injects seeded faults into a fleet whose nodes and targets change, and records their times."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import urllib3

from standins.fleet import Fleet

__all__ = ["FaultInterval", "FleetFaultInjector"]

POOL = "warehouse"
MAX_NODES = 6
MAX_PAUSE_DURATION = 6.0  # s that a node stays paused
LEAVING_DURATION = 7.0  # s until a leaving target is listed as live again
READY_TIMEOUT = 20.0  # s
LIST_OUTAGE_DURATION = 4.0  # s


@dataclass(slots=True)
class FaultInterval:
    """Time during which a fault lasts.

    Parameters
    ----------
    name : str
        Node or target, or ``list`` for the list of VMs.
    begin, end : float
        Seconds since the epoch; `end` is infinite until the fault is over.
    """

    fault: str
    name: str
    begin: float = field(default_factory=time.time)
    end: float = float("inf")

    def overlaps(self, begin: float, end: float) -> bool:
        """Return whether the fault lasted at any time between two times."""
        return self.begin <= end and begin <= self.end


class FleetFaultInjector:
    """Restarts, kills, pauses and adds nodes, withdraws targets, and takes the list of VMs down.

    Each fault runs in a thread of its own. Nodes and targets in ``faulted`` are left alone until
    their fault is over. ``unready_nodes`` is shared with the callers, which skip these nodes.
    """

    def __init__(self, fleet: Fleet, seed: int, mean_interval: float) -> None:
        self.fleet = fleet
        self.rng = random.Random(f"shifts/{seed}")
        self.mean_interval = mean_interval
        self.counts: Counter[str] = Counter()
        self.intervals: list[FaultInterval] = []
        self.faulted: set[str] = set()
        self.unready_nodes: set[str] = set()
        self.threads: list[threading.Thread] = []
        self.vm_list_lock = threading.Lock()
        self.targets = [vm["name"] for vm in fleet.vms if vm["role"] == "target"]
        self.fault_by_name: dict[str, Callable[[], None]] = {
            "roll a node": lambda: self.apply_to_node(self.roll),
            "kill a node": lambda: self.apply_to_node(self.kill),
            "pause a node": lambda: self.apply_to_node(self.pause),
            "kill the keeper": lambda: self.apply_to_keeper(self.kill),
            "pause the keeper": lambda: self.apply_to_keeper(self.pause),
            "roll the keeper": lambda: self.apply_to_keeper(self.roll),
            "add a node": self.start_add_node,
            "target leaves by the list": lambda: self.apply_to_target(self.leave_by_list),
            "target leaves by its response": lambda: self.apply_to_target(self.leave_by_response),
            "list down": self.start_list_outage,
        }

    def run(self, seconds: float) -> None:
        """Inject faults for some seconds, then wait for the end of each."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(self.rng.expovariate(1 / self.mean_interval))
            name = self.rng.choice(list(self.fault_by_name))
            self.fault_by_name[name]()
        for thread in self.threads:
            thread.join()

    def apply_to_node(self, fault: Callable[[str], None]) -> None:
        """Apply a fault to a node without one, as long as another such node remains."""
        available = [name for name in self.fleet.nodes if name not in self.faulted]
        if len(available) > 1:
            self.start_fault(fault, self.rng.choice(available))

    def apply_to_keeper(self, fault: Callable[[str], None]) -> None:
        """Apply a fault to the pool's keeper, as reported by a node without a fault."""
        available = [name for name in self.fleet.nodes if name not in self.faulted]
        try:
            pools = self.fleet.status(self.rng.choice(available))["pools"]
        except (urllib3.exceptions.HTTPError, IndexError, KeyError, ValueError):
            return
        for pool in pools:
            if pool["name"] == POOL and pool["keeper"] in available and len(available) > 1:
                self.counts["keeper faults"] += 1
                self.start_fault(fault, pool["keeper"])

    def apply_to_target(self, fault: Callable[[str], None]) -> None:
        """Apply a fault to a target without one, as long as another such target remains."""
        available = [name for name in self.targets if name not in self.faulted]
        if len(available) > 1:
            self.start_fault(fault, self.rng.choice(available))

    def start_fault(self, fault: Callable[[str], None], name: str) -> None:
        """Start a fault in a thread of its own."""
        self.counts[fault.__name__] += 1
        self.faulted.add(name)
        self.threads.append(threading.Thread(target=self.run_fault, args=(fault, name)))
        self.threads[-1].start()

    def run_fault(self, fault: Callable[[str], None], name: str) -> None:
        """Run a fault to its end, and free its node or target for other faults."""
        fault(name)
        self.faulted.discard(name)

    def open_interval(self, fault: str, name: str) -> FaultInterval:
        """Record that a fault begins now."""
        interval = FaultInterval(fault, name)
        self.intervals.append(interval)
        return interval

    def roll(self, name: str) -> None:
        """Drain a node, wait until it exits by itself, and restart it."""
        interval = self.open_interval("roll", name)
        self.fleet.send_signal(name, signal.SIGTERM)
        self.fleet.process_by_name[name].wait(60)
        interval.end = time.time()
        self.restart(name)

    def restart(self, name: str) -> None:
        """Restart a node; callers send to it once it reports that it is ready."""
        self.unready_nodes.add(name)
        self.fleet.restart(name)
        self.wait_ready(name)

    def wait_ready(self, name: str) -> None:
        """Wait until a node reports that it is ready, or until the timeout."""
        url = f"http://127.0.0.1:{self.fleet.operator_port_by_name[name]}/readyz"
        until = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < until:
            try:
                if self.fleet.http.request("GET", url, timeout=1.0).status == 200:
                    break
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(0.1)
        self.unready_nodes.discard(name)

    def kill(self, name: str) -> None:
        """Kill a node, and restart it after a random delay."""
        interval = self.open_interval("kill", name)
        self.fleet.send_signal(name)
        time.sleep(self.rng.uniform(0.5, 4.0))
        interval.end = time.time()
        self.restart(name)

    def pause(self, name: str) -> None:
        """Pause a node with SIGSTOP for a random time."""
        interval = self.open_interval("pause", name)
        self.fleet.send_signal(name, signal.SIGSTOP)
        time.sleep(self.rng.uniform(0.5, MAX_PAUSE_DURATION))
        self.fleet.send_signal(name, signal.SIGCONT)
        interval.end = time.time()

    def start_add_node(self) -> None:
        """Start adding a node, unless the fleet has reached its maximum size."""
        if self.fleet.config.nodes + self.counts["add_node"] < MAX_NODES:
            name = f"node-{self.fleet.config.nodes + self.counts['add_node']}"
            self.unready_nodes.add(name)
            self.start_fault(self.add_node, name)

    def add_node(self, name: str) -> None:
        """Start a node, put it on the list of VMs, and wait until it is ready."""
        with self.vm_list_lock:
            self.fleet.add_node(name)
            self.fleet.put_vms()
        self.wait_ready(name)

    def leave_by_list(self, name: str) -> None:
        """Mark a target as leaving on the list only; the target still accepts requests."""
        with self.vm_list_lock:
            interval = self.open_interval("leaves by list", name)
            self.fleet.set_vm_state(name, "leaving")
        time.sleep(LEAVING_DURATION)
        with self.vm_list_lock:
            interval.end = time.time()
            self.fleet.set_vm_state(name, "live")

    def leave_by_response(self, name: str) -> None:
        """Make a target refuse requests as leaving before the list marks it so."""
        interval = self.open_interval("leaves by response", name)
        self.fleet.set_faults(name, leaving=1)
        time.sleep(LEAVING_DURATION / 2)
        with self.vm_list_lock:
            self.fleet.set_vm_state(name, "leaving")
        time.sleep(LEAVING_DURATION / 2)
        self.fleet.set_faults(name, leaving=0)
        interval.end = time.time()
        with self.vm_list_lock:
            self.fleet.set_vm_state(name, "live")

    def start_list_outage(self) -> None:
        """Start an outage of the list of VMs, unless one lasts."""
        if "list" not in self.faulted:
            self.start_fault(self.list_outage, "list")

    def list_outage(self, name: str) -> None:
        """Make the list of VMs unavailable for some seconds."""
        interval = self.open_interval("list down", name)
        self.fleet.set_faults("platform", list_outage=1)
        time.sleep(LIST_OUTAGE_DURATION)
        self.fleet.set_faults("platform", list_outage=0)
        interval.end = time.time()
