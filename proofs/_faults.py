"""Faults chosen by a seed."""

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

MAX_PAUSE = 4.0  # s that a process is stopped
OUTAGE = 2.5  # s
LEAVE = 2.0  # s that a target stays away


class FaultInjector:
    """Injects one fault after another into a fleet.

    Parameters
    ----------
    fleet : Fleet
        The victims.
    callers : Callers
        Told which nodes are retired.
    seed : int
        Seed of every choice.
    period : float
        Mean seconds between two faults.
    """

    def __init__(self, fleet: Fleet, callers: Callers, seed: int, period: float) -> None:
        self.fleet = fleet
        self.callers = callers
        self.choices = random.Random(f"faults/{seed}")
        self.period = period
        self.counts: Counter[str] = Counter()
        self.violations: list[str] = []
        self.targets = [vm["name"] for vm in fleet.vms if vm["role"] == "target"]
        self.later: list[tuple[float, Callable[[], None]]] = []
        self.next_node = len(fleet.nodes)
        self.faults: dict[str, Callable[[], None]] = {
            "kill a node": self.kill_node,
            "pause a node": self.pause_node,
            "roll a node": self.roll_node,
            "kill a target": self.kill_target,
            "silence a target": lambda: self.at_target(silent=1),
            "short answers": lambda: self.at_target(short_answers=2, short_streams=2),
            "crossed answers": lambda: self.at_target(crossed_answers=1, crossed_streams=1),
            "duplicate events": lambda: self.at_target(duplicate_events=5),
            "target's answer lost": lambda: self.at_target(lose_answers=1),
            "a target leaves": self.leave,
            "platform outage": lambda: self.at_platform(outage=True),
            "platform slow": lambda: self.at_platform(slow=1.0),
            "platform's answers lost": lambda: self.fleet.set_faults("platform", lose_answers=3),
            "platform silent": lambda: self.fleet.set_faults("platform", silent=1),
        }

    def run(self, seconds: float) -> None:
        """Inject for some seconds, then end every fault."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(self.choices.expovariate(1 / self.period))
            self.end_due()
            name = self.choices.choice(list(self.faults))
            self.counts[name] += 1
            self.faults[name]()
        while self.later:
            self.end_due()
            time.sleep(0.1)

    def end_due(self) -> None:
        """End the faults that have lasted long enough."""
        now = time.monotonic()
        due = [item for item in self.later if item[0] <= now]
        self.later = [item for item in self.later if item[0] > now]
        for _, end in due:
            end()

    def after(self, seconds: float, end: Callable[[], None]) -> None:
        """End a fault later."""
        self.later.append((time.monotonic() + seconds, end))

    def free_nodes(self) -> list[str]:
        """Return the nodes that run."""
        return [name for name in self.fleet.nodes if name not in self.callers.retired]

    def kill_node(self) -> None:
        """Kill a node and start it again."""
        name = self.choices.choice(self.free_nodes())
        self.fleet.send_signal(name)
        self.fleet.process_by_name[name].wait()
        self.after(self.choices.uniform(0.2, 2.0), lambda: self.fleet.restart(name))

    def pause_node(self) -> None:
        """Stop a node for a while."""
        name = self.choices.choice(self.free_nodes())
        self.fleet.send_signal(name, signal.SIGSTOP)
        pause = self.choices.uniform(0.5, MAX_PAUSE)
        self.after(pause, lambda: self.fleet.send_signal(name, signal.SIGCONT))

    def roll_node(self) -> None:
        """Start a new node and drain an old one, which must exit by itself."""
        old = self.choices.choice(self.free_nodes())
        if self.fleet.process_by_name[old].poll() is not None:
            return
        new = f"node-{self.next_node}"
        self.next_node += 1
        self.callers.retired.add(new)
        self.fleet.add_node(new)
        self.fleet.put_vms()
        self.after(2.0, lambda: self.replace(old, new))

    def replace(self, old: str, new: str) -> None:
        """Move the callers to a new node and drain the old one."""
        self.callers.retired.discard(new)
        self.callers.retired.add(old)
        self.fleet.set_vm_state(old, "leaving")
        process = self.fleet.process_by_name[old]
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
            threading.Thread(target=process.wait, daemon=True).start()

    def kill_target(self) -> None:
        """Kill a target and start it again."""
        name = self.choices.choice(self.targets)
        if self.fleet.process_by_name[name].poll() is None:
            self.fleet.send_signal(name)
            self.fleet.process_by_name[name].wait()
            self.after(self.choices.uniform(0.2, 2.0), lambda: self.fleet.restart(name))

    def at_target(self, **faults: object) -> None:
        """Command a fault of a target that runs."""
        name = self.choices.choice(self.targets)
        if self.fleet.process_by_name[name].poll() is None:
            self.fleet.set_faults(name, **faults)

    def leave(self) -> None:
        """Take a target off the list for a while."""
        name = self.choices.choice(self.targets)
        self.fleet.set_vm_state(name, "leaving")
        self.after(LEAVE, lambda: self.fleet.set_vm_state(name, "live"))

    def at_platform(self, **faults: object) -> None:
        """Command a fault of the platform for a while."""
        self.fleet.set_faults("platform", **faults)
        ended = dict.fromkeys(faults, False)
        self.after(OUTAGE, lambda: self.fleet.set_faults("platform", **ended))
