"""Injects a seeded random sequence of faults into a fleet."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable

from proofs._callers import Callers
from standins.fleet import Fleet

__all__ = ["FaultInjector"]

MAX_PAUSE_DURATION = 4.0  # s that a node stays paused
OUTAGE_DURATION = 2.5  # s
LEAVING_DURATION = 2.0  # s that a target stays on the list as leaving


class FaultInjector:
    """Injects random faults into a fleet, several of which may overlap.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose processes are disturbed.
    callers : Callers
        Callers whose ``excluded_nodes`` follow the replacement of nodes.
    seed : int
        Seed of the random generator.
    mean_interval : float
        Mean number of seconds between two faults.
    """

    def __init__(self, fleet: Fleet, callers: Callers, seed: int, mean_interval: float) -> None:
        self.fleet = fleet
        self.callers = callers
        self.rng = random.Random(f"faults/{seed}")
        self.mean_interval = mean_interval
        self.counts: Counter[str] = Counter()
        self.violations: list[str] = []
        self.targets = [vm["name"] for vm in fleet.vms if vm["role"] == "target"]
        self.scheduled_ends: list[tuple[float, Callable[[], None]]] = []
        self.next_node_number = len(fleet.nodes)
        self.fault_by_name: dict[str, Callable[[], None]] = {
            "kill a node": self.kill_node,
            "pause a node": self.pause_node,
            "replace a node": self.roll_node,
            "kill a target": self.kill_target,
            "silence a target": lambda: self.fault_target(silent=1),
            "short responses of a target": lambda: self.fault_target(
                short_answers=2, short_streams=2
            ),
            "crossed responses of a target": lambda: self.fault_target(
                crossed_answers=1, crossed_streams=1
            ),
            "duplicate events of a target": lambda: self.fault_target(duplicate_events=5),
            "lost response of a target": lambda: self.fault_target(lose_answers=1),
            "a target leaves": self.mark_target_leaving,
            "platform outage": lambda: self.fault_platform(outage=True),
            "platform slow": lambda: self.fault_platform(slow=1.0),
            "lost responses of the platform": lambda: self.fleet.set_faults(
                "platform", lose_answers=3
            ),
            "platform silent": lambda: self.fleet.set_faults("platform", silent=1),
        }

    def run(self, seconds: float) -> None:
        """Inject faults for some seconds, then wait until the end of the last one."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(self.rng.expovariate(1 / self.mean_interval))
            self.end_due()
            name = self.rng.choice(list(self.fault_by_name))
            self.counts[name] += 1
            self.fault_by_name[name]()
        while self.scheduled_ends:
            self.end_due()
            time.sleep(0.1)

    def end_due(self) -> None:
        """End the faults whose scheduled end has passed."""
        now = time.monotonic()
        due = [scheduled for scheduled in self.scheduled_ends if scheduled[0] <= now]
        self.scheduled_ends = [scheduled for scheduled in self.scheduled_ends if scheduled[0] > now]
        for _, end in due:
            end()

    def schedule_end(self, seconds: float, end: Callable[[], None]) -> None:
        """Schedule the end of a fault, in seconds from now."""
        self.scheduled_ends.append((time.monotonic() + seconds, end))

    def active_nodes(self) -> list[str]:
        """Return the nodes that receive requests."""
        return [name for name in self.fleet.nodes if name not in self.callers.excluded_nodes]

    def kill_node(self) -> None:
        """Kill a node, and restart it after a random delay."""
        name = self.rng.choice(self.active_nodes())
        self.fleet.send_signal(name)
        self.fleet.process_by_name[name].wait()
        self.schedule_end(self.rng.uniform(0.2, 2.0), lambda: self.fleet.restart(name))

    def pause_node(self) -> None:
        """Pause a node with SIGSTOP for a random time."""
        name = self.rng.choice(self.active_nodes())
        self.fleet.send_signal(name, signal.SIGSTOP)
        pause = self.rng.uniform(0.5, MAX_PAUSE_DURATION)
        self.schedule_end(pause, lambda: self.fleet.send_signal(name, signal.SIGCONT))

    def roll_node(self) -> None:
        """Start a new node, and drain an old one 2 s later."""
        old = self.rng.choice(self.active_nodes())
        if self.fleet.process_by_name[old].poll() is not None:
            return
        new = f"node-{self.next_node_number}"
        self.next_node_number += 1
        self.callers.excluded_nodes.add(new)
        self.fleet.add_node(new)
        self.fleet.put_vms()
        self.schedule_end(2.0, lambda: self.move_callers(old, new))

    def move_callers(self, old: str, new: str) -> None:
        """Move the callers to the new node and drain the old one.

        The old node must exit by itself; a paused node is resumed first.
        """
        self.callers.excluded_nodes.discard(new)
        self.callers.excluded_nodes.add(old)
        self.fleet.set_vm_state(old, "leaving")
        process = self.fleet.process_by_name[old]
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
            threading.Thread(target=process.wait, daemon=True).start()

    def kill_target(self) -> None:
        """Kill a target, and restart it after a random delay."""
        name = self.rng.choice(self.targets)
        if self.fleet.process_by_name[name].poll() is None:
            self.fleet.send_signal(name)
            self.fleet.process_by_name[name].wait()
            self.schedule_end(self.rng.uniform(0.2, 2.0), lambda: self.fleet.restart(name))

    def fault_target(self, **faults: object) -> None:
        """Set faults of a random target, if its process runs."""
        name = self.rng.choice(self.targets)
        if self.fleet.process_by_name[name].poll() is None:
            self.fleet.set_faults(name, **faults)

    def mark_target_leaving(self) -> None:
        """Mark a target as leaving on the platform's list for some seconds."""
        name = self.rng.choice(self.targets)
        self.fleet.set_vm_state(name, "leaving")
        self.schedule_end(LEAVING_DURATION, lambda: self.fleet.set_vm_state(name, "live"))

    def fault_platform(self, **faults: object) -> None:
        """Set faults of the platform for some seconds."""
        self.fleet.set_faults("platform", **faults)
        cleared = dict.fromkeys(faults, False)
        self.schedule_end(OUTAGE_DURATION, lambda: self.fleet.set_faults("platform", **cleared))
