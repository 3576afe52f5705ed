"""Targets of the pools, with their states as known to this node."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass

import logbook

from celeryrun.kernel import Kernel
from celeryrun.streams import Vm
from celeryrun.wire import TargetGossip, TargetUpdate

__all__ = ["Target", "Targets"]

UPDATES_PER_MESSAGE = 8
UPDATE_TRANSMISSIONS = 10
MAX_UPDATE_AGE = 60.0  # s; older updates are not sent
DUPLICATE_INTERVAL = 1.0  # s within which two reports count as one
LIST_OVERRIDE_DELAY = 60.0  # s until a list that shows only ``live`` overrides a target's report
REMOVED_RETENTION = 60.0  # s for which late grants of a target removed from the list are not used

log = logbook.Logger("targets")


@dataclass(slots=True)
class Target:
    """One target of a pool.

    Parameters
    ----------
    leaving : bool
        Whether the target must get no new requests.
    avoid_until : float
        Monotonic end of the time without new requests after a failure, in seconds.
    listed_leaving : bool
        Whether the platform's list has shown the target as leaving since it was last live.
    leaving_seen : float
        Monotonic time at which any node saw that the target is leaving, in seconds.
    readmitted : float
        Monotonic time at which the target was last readmitted, in seconds.
    transmissions_left : int
        Number of gossip messages that will still carry the update that the target is leaving.
    """

    name: str
    pool: str
    zone: str
    address: str
    leaving: bool = False
    avoid_until: float = 0.0
    listed_leaving: bool = False
    leaving_seen: float = 0.0
    readmitted: float = 0.0
    transmissions_left: int = 0

    def is_usable(self) -> bool:
        """Return whether the target may get new requests now."""
        return not self.leaving and time.monotonic() >= self.avoid_until

    def to_update(self, kind: str = "") -> TargetUpdate:
        """Return the update that the target is leaving."""
        kind = kind or ("listed" if self.listed_leaving else "leaving")
        return TargetUpdate(self.name, self.address, kind, time.monotonic() - self.leaving_seen)


class Targets:
    """Service that tracks the targets by the platform's list, their responses and peers' gossip.

    The first of these to report that a target is leaving is believed. A target is readmitted when
    the list shows it live after it showed it leaving, when it has another address, or when the
    list has shown only live for ``LIST_OVERRIDE_DELAY``. A wrong decision costs one refused
    dispatch.
    """

    __slots__ = ("_kernel", "_lock", "_removed_by_name", "by_name")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._lock = threading.RLock()
        self._removed_by_name: dict[str, float] = {}
        self.by_name: dict[str, Target] = {}

    def start(self) -> None:
        """Subscribe to the platform's list and to gossip."""
        self._kernel.find("vms").watchers.append(self._on_list)
        self._kernel.find("peers").set_handler(TargetGossip, self._on_gossip)

    def stop(self) -> None:
        """Do nothing; there is nothing to close."""

    def of_pool(self, pool: str) -> list[Target]:
        """Return the targets of a pool, those that are leaving included."""
        with self._lock:
            return [target for target in self.by_name.values() if target.pool == pool]

    def address_of(self, name: str, granted_address: str) -> str | None:
        """Return the address of a granted target, or None if it must get no new requests.

        Parameters
        ----------
        granted_address : str
            Address in the grant, used while this node's list does not show the target.
        """
        with self._lock:
            target = self.by_name.get(name)
            if target is not None:
                return None if target.leaving else target.address
            return None if name in self._removed_by_name else granted_address or None

    def note_leaving(self, name: str) -> None:
        """Record that a target's response announced that it is leaving."""
        with self._lock:
            target = self.by_name.get(name)
            if target is None:
                return
            self._mark_leaving(target, time.monotonic(), "its own response")
        self.report_leaving(name)

    def note_unreachable(self, name: str, seconds: float) -> None:
        """Send a target no new requests for some seconds after a refused connection."""
        target = self.by_name.get(name)
        if target is not None:
            target.avoid_until = time.monotonic() + seconds
            self._send_to_keeper(target, TargetUpdate(name, target.address, "unreachable", 0.0))

    def report_leaving(self, name: str) -> None:
        """Report to its pool's keeper that a target is leaving, so that it grants another one."""
        target = self.by_name.get(name)
        if target is not None and target.leaving:
            self._send_to_keeper(target, target.to_update())

    def gossip_to(self, member: str) -> None:
        """Send the updates that are due for transmission to a member, if there are any."""
        updates = self._pick_updates()
        if updates:
            self._kernel.find("peers").send(member, TargetGossip(updates))

    def _send_to_keeper(self, target: Target, update: TargetUpdate) -> None:
        keeper = self._kernel.find("members").owner(f"pool/{target.pool}")
        if keeper is not None:
            self._kernel.find("peers").send(keeper, TargetGossip((update,)))

    def _pick_updates(self) -> tuple[TargetUpdate, ...]:
        oldest = time.monotonic() - MAX_UPDATE_AGE
        with self._lock:
            fresh = [
                target
                for target in self.by_name.values()
                if target.transmissions_left > 0 and target.leaving and target.leaving_seen > oldest
            ]
            fresh.sort(key=lambda target: -target.transmissions_left)
            chosen = fresh[:UPDATES_PER_MESSAGE]
            for target in chosen:
                target.transmissions_left -= 1
            return tuple(target.to_update() for target in chosen)

    def _on_gossip(self, sender: str, message: TargetGossip) -> None:
        with self._lock:
            for update in message.updates:
                self._apply_update(sender, update)

    def _apply_update(self, sender: str, update: TargetUpdate) -> None:
        target = self.by_name.get(update.name)
        if target is None or target.address != update.address:
            return
        seen = time.monotonic() - update.age
        match update.kind:
            case "unreachable":
                target.avoid_until = max(target.avoid_until, seen + 1.0)
            case "leaving" | "listed" if seen > max(
                target.readmitted, target.leaving_seen + DUPLICATE_INTERVAL
            ):
                # This node's list may readmit a target that another node's list shows as leaving.
                target.listed_leaving |= update.kind == "listed"
                self._mark_leaving(target, seen, sender)

    def _mark_leaving(self, target: Target, seen: float, source: str) -> None:
        if not target.leaving:
            log.info("target {} is leaving, reported by {}", target.name, source)
        target.leaving = True
        target.leaving_seen = seen
        target.transmissions_left = UPDATE_TRANSMISSIONS

    def _on_list(self, vms: list[Vm]) -> None:
        listed = {vm.name: vm for vm in vms if vm.role == "target"}
        now = time.monotonic()
        with self._lock:
            for vm in listed.values():
                self._apply_listed(vm, now)
            for name in set(self.by_name) - set(listed):
                del self.by_name[name]
                self._removed_by_name[name] = now
            for name, since in list(self._removed_by_name.items()):
                if now - since > REMOVED_RETENTION:
                    del self._removed_by_name[name]

    def _apply_listed(self, vm: Vm, now: float) -> None:
        target = self.by_name.get(vm.name)
        if target is None or target.address != vm.address:
            target = self.by_name[vm.name] = Target(vm.name, vm.pool, vm.zone, vm.address)
            self._removed_by_name.pop(vm.name, None)
        if vm.state != "live":
            target.listed_leaving = True
            if not target.leaving:
                self._mark_leaving(target, now, "the platform's list")
        elif target.leaving and (
            target.listed_leaving or now - target.leaving_seen > LIST_OVERRIDE_DELAY
        ):
            log.info("target {} is readmitted", target.name)
            target.leaving = target.listed_leaving = False
            target.readmitted = now
