"""Targets as this node knows them."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass

import logbook

from celeryrun.kernel import Kernel
from celeryrun.platform import Vm

__all__ = ["Target", "Targets"]

log = logbook.Logger("targets")


@dataclass(slots=True)
class Target:
    """One target of a pool.

    Parameters
    ----------
    leaving : bool
        Whether it must get no new work.
    avoid_until : float
        Monotonic time until which it is passed over after a failure, in seconds.
    """

    name: str
    pool: str
    zone: str
    address: str
    leaving: bool = False
    avoid_until: float = 0.0

    def is_usable(self) -> bool:
        """Tell whether it may get new work now."""
        return not self.leaving and time.monotonic() >= self.avoid_until


class Targets:
    """Service that knows the targets from the platform's list and from their own answers."""

    __slots__ = ("_kernel", "_lock", "by_name")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._lock = threading.Lock()
        self.by_name: dict[str, Target] = {}

    def start(self) -> None:
        """Begin following the list."""
        self._kernel.find("vms").watchers.append(self._on_list)

    def stop(self) -> None:
        """Nothing is held."""

    def of_pool(self, pool: str) -> list[Target]:
        """Return the targets of a pool, leaving ones included."""
        with self._lock:
            return [target for target in self.by_name.values() if target.pool == pool]

    def note_leaving(self, name: str) -> None:
        """Give a target no new work from here on."""
        target = self.by_name.get(name)
        if target is not None and not target.leaving:
            target.leaving = True
            log.info("target {} is leaving", name)

    def note_unreachable(self, name: str, seconds: float) -> None:
        """Pass over a target for a while."""
        target = self.by_name.get(name)
        if target is not None:
            target.avoid_until = time.monotonic() + seconds

    def _on_list(self, vms: list[Vm]) -> None:
        listed = {vm.name: vm for vm in vms if vm.role == "target"}
        with self._lock:
            for vm in listed.values():
                known = self.by_name.get(vm.name)
                if known is None or known.address != vm.address:
                    self.by_name[vm.name] = Target(vm.name, vm.pool, vm.zone, vm.address)
                if vm.state != "live":
                    self.by_name[vm.name].leaving = True
            for name in set(self.by_name) - set(listed):
                del self.by_name[name]
