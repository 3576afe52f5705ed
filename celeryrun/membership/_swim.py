"""SWIM membership, seeded by the platform's list of VMs."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable

import logbook

from celeryrun.kernel import Kernel
from celeryrun.kernel._rendezvous import choose_owner
from celeryrun.membership._member import PRECEDENCE_BY_STATE, UPDATE_TRANSMISSIONS, Member
from celeryrun.settings import Settings
from celeryrun.streams import Vm
from celeryrun.wire import MemberUpdate, Ping, PingAck, PingRequest

__all__ = ["Members"]

INDIRECT_PROBES = 2
MAX_RELAYED_PROBES = 64
UPDATES_PER_MESSAGE = 6
UNLISTED_RETENTION = 60.0  # s until a dead or unheard member that is not listed is removed
MAX_NEW_MEMBER_PROBES = 16  # members probed at once when a list adds them
MAX_ROUND_PERIODS = 2.0  # longest round without a pause, in periods beyond the probe's timeouts

log = logbook.Logger("members")


class Members:
    """Service that tracks the state of every node.

    In each period it probes one member, indirectly if there is no reply, and piggybacks member
    updates on the probes [1]_; the cost for each node does not grow with the number of nodes. A
    member known only from the platform's list is probed, but owns no keys until a node has
    received a message from it. A node that was paused itself does not suspect others for missing
    replies [2]_.

    Attributes
    ----------
    by_name : dict
        Known members by name, this node included.
    local_member : Member
        This node.
    watchers : list of callable
        Called without arguments after the eligible nodes have changed.

    References
    ----------
    .. [1] Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
       Membership Protocol", DSN 2002.
    .. [2] Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
       Detection", DSN-W 2018.
    """

    __slots__ = (
        "_ack_event_by_probe",
        "_eligible_nodes",
        "_kernel",
        "_last_probe",
        "_list_received",
        "_lock",
        "_origin_by_probe",
        "_owner_by_key",
        "_probe_order",
        "_random",
        "_reported_nodes",
        "_settings",
        "_stopped",
        "by_name",
        "local_member",
        "watchers",
    )

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        node = settings.node
        self._kernel = kernel
        self._settings = settings.peers
        self._lock = threading.RLock()
        self._stopped = threading.Event()
        self._random = random.Random()
        self._last_probe = 0
        self._probe_order: list[str] = []
        self._ack_event_by_probe: dict[int, threading.Event] = {}
        self._origin_by_probe: dict[int, tuple[str, int]] = {}
        self._eligible_nodes: list[str] | None = None
        self._list_received = False
        self._owner_by_key: dict[str, str | None] = {}
        self._reported_nodes: list[str] = [node.name]
        self.watchers: list[Callable[[], None]] = []
        self.local_member = Member(
            node.name,
            node.zone,
            str(node.peer_address),
            str(node.operator_address),
            "alive",
            int(time.time()),
        )
        self.by_name: dict[str, Member] = {node.name: self.local_member}

    @classmethod
    def from_config(cls, kernel: Kernel, settings: Settings) -> Members:
        """Build the service from settings."""
        return cls(kernel, settings)

    def start(self) -> None:
        """Start the probing thread."""
        peers = self._kernel.find("peers")
        peers.set_handler(Ping, self._on_ping)
        peers.set_handler(PingAck, self._on_ping_ack)
        peers.set_handler(PingRequest, self._on_ping_request)
        self._kernel.find("vms").watchers.append(self._on_vm_list)
        threading.Thread(target=self._run, name="members", daemon=True).start()

    def stop(self) -> None:
        """Stop the probing thread."""
        self._stopped.set()

    def drain(self) -> None:
        """Announce that this node is draining, so that it owns no more keys."""
        with self._lock:
            self.local_member.state = "draining"
            self._raise_incarnation()
            self._invalidate_owners()
            members = [member.name for member in self.by_name.values() if member.is_reachable()]
        for name in members:
            if name != self.local_member.name:
                self._send_ping(0, name)
        self._notify_watchers()

    def eligible_nodes(self) -> list[str]:
        """Return the sorted names of the nodes that may own keys.

        If there are none, all reachable nodes may.
        """
        with self._lock:
            if self._eligible_nodes is None:
                members = [item for item in self.by_name.values() if item.is_eligible_owner()]
                members = members or [m for m in self.by_name.values() if m.is_reachable()]
                self._eligible_nodes = sorted(member.name for member in members)
            return self._eligible_nodes

    def known_nodes(self) -> list[str]:
        """Return the sorted names of all members, including the suspect and the dead."""
        with self._lock:
            return sorted(self.by_name)

    def owner(self, key: str) -> str | None:
        """Return the owner of a key by rendezvous hashing over the eligible nodes."""
        with self._lock:
            if key not in self._owner_by_key:
                self._owner_by_key[key] = choose_owner(key, self.eligible_nodes())
            return self._owner_by_key[key]

    def is_owner(self, key: str) -> bool:
        """Return whether this node owns a key."""
        return self.owner(key) == self.local_member.name

    def is_joined(self) -> bool:
        """Return whether another node is reachable or the platform's list shows no other."""
        with self._lock:
            others = [member for member in self.by_name.values() if member is not self.local_member]
            if any(member.is_reachable() for member in others):
                return True
            return self._list_received and not any(member.list_state for member in others)

    def all_listed_reachable(self) -> bool:
        """Return whether this node is listed and every listed node is alive or draining."""
        with self._lock:
            listed = [member for member in self.by_name.values() if member.list_state]
            return bool(self.local_member.list_state) and all(
                member.is_reachable() for member in listed
            )

    def apply_updates(self, updates: tuple[MemberUpdate, ...]) -> None:
        """Apply the member updates of another node."""
        with self._lock:
            for update in updates:
                if update.state in PRECEDENCE_BY_STATE:
                    self._apply_update(update)
        self._notify_watchers()

    def _apply_update(self, update: MemberUpdate) -> None:
        if update.name == self.local_member.name:
            self._refute(update)
            return
        member = self.by_name.get(update.name)
        if member is None:
            if update.state != "dead":
                self._add(Member.from_update(update))
        elif member.is_superseded_by(update):
            member.incarnation = update.incarnation
            member.zone, member.operator = update.zone, update.operator
            member.address = update.address
            self._set_peer_address(member)
            self._set_state(member, update.state)

    def _refute(self, update: MemberUpdate) -> None:
        # An earlier process of this node may have used another address and, by a clock that was
        # ahead, a higher incarnation.
        differs = (
            update.state != self.local_member.state or update.address != self.local_member.address
        )
        if differs and update.incarnation >= self.local_member.incarnation:
            self.local_member.incarnation = update.incarnation
            self._raise_incarnation()

    def _raise_incarnation(self) -> None:
        self.local_member.incarnation += 1
        self.local_member.transmissions_left = UPDATE_TRANSMISSIONS

    def _add(self, member: Member) -> None:
        self.by_name[member.name] = member
        self._set_peer_address(member)
        self._invalidate_owners()
        log.info("member {} is {}", member.name, member.state)

    def _set_peer_address(self, member: Member) -> None:
        self._kernel.find("peers").address_by_name[member.name] = member.address

    def _set_state(self, member: Member, state: str) -> None:
        if member.state != state:
            log.info("member {}: {} -> {}", member.name, member.state, state)
        member.state = state
        member.changed_at = time.monotonic()
        member.transmissions_left = UPDATE_TRANSMISSIONS
        self._invalidate_owners()

    def _invalidate_owners(self) -> None:
        self._eligible_nodes = None
        self._owner_by_key.clear()

    def _notify_watchers(self) -> None:
        with self._lock:
            eligible = self.eligible_nodes()
            if eligible == self._reported_nodes:
                return
            self._reported_nodes = eligible
        for watcher in self.watchers:
            watcher()

    def _on_vm_list(self, vms: list[Vm]) -> None:
        listed = {vm.name: vm for vm in vms if vm.role == "node"}
        with self._lock:
            self._list_received = True
            unknown = [vm for vm in listed.values() if vm.name not in self.by_name]
            for vm in unknown:
                self._add(Member.from_list(vm.name, vm.zone, vm.address, vm.operator))
            for member in self.by_name.values():
                vm_or_none = listed.get(member.name)
                member.list_state = vm_or_none.state if vm_or_none is not None else ""
                if vm_or_none is not None:
                    self._apply_listed_address(member, vm_or_none.address)
            self._invalidate_owners()
        self._probe_new_members([vm.name for vm in unknown if vm.name != self.local_member.name])
        self._notify_watchers()

    def _apply_listed_address(self, member: Member, address: str) -> None:
        # A node restarted at another address can only refute its death if it is reached there.
        if member.state in ("listed", "dead") and member.address != address:
            member.address = address
            self._set_peer_address(member)

    def _probe_new_members(self, names: list[str]) -> None:
        for name in self._random.sample(names, min(MAX_NEW_MEMBER_PROBES, len(names))):
            with self._lock:
                self._last_probe += 1
                probe = self._last_probe
            self._send_ping(probe, name)

    def _run(self) -> None:
        period = self._settings.probe_period
        round_start = time.monotonic()
        while not self._stopped.wait(period):
            last_start, round_start = round_start, time.monotonic()
            if (
                round_start - last_start
                > MAX_ROUND_PERIODS * period + 3 * self._settings.probe_timeout
            ):
                self._extend_suspicions(round_start - last_start)
            self._expire_members()
            self._notify_watchers()
            name = self._next_member()
            if name is not None and not self._probe_member(name):
                self._suspect(name)
                self._notify_watchers()

    def _extend_suspicions(self, seconds: float) -> None:
        """Extend every suspect's time to refute by a pause of this node."""
        log.info(
            "this node was paused for {:.1f} s; suspects get as much longer to refute", seconds
        )
        with self._lock:
            for member in self.by_name.values():
                if member.state == "suspect":
                    member.changed_at += seconds

    def _next_member(self) -> str | None:
        with self._lock:
            others = [name for name in self.by_name if name != self.local_member.name]
            self._probe_order = [name for name in self._probe_order if name in self.by_name]
            if not self._probe_order:
                self._probe_order = self._random.sample(others, len(others))
            return self._probe_order.pop() if self._probe_order else None

    def _probe_member(self, name: str) -> bool:
        """Return whether a member replies or a pause of this node may have hidden the reply."""
        timeout = self._settings.probe_timeout
        with self._lock:
            self._last_probe += 1
            probe = self._last_probe
            ack_event = self._ack_event_by_probe[probe] = threading.Event()
        started_at = time.monotonic()
        try:
            self._send_ping(probe, name)
            if ack_event.wait(timeout):
                return True
            others = [
                other
                for other in self.eligible_nodes()
                if other not in (name, self.local_member.name)
            ]
            for relay in self._random.sample(others, min(INDIRECT_PROBES, len(others))):
                self._kernel.find("peers").send(relay, PingRequest(probe, name))
            acked = ack_event.wait(timeout * 2)
            return acked or time.monotonic() - started_at > timeout * 3 * 2
        finally:
            with self._lock:
                del self._ack_event_by_probe[probe]

    def _suspect(self, name: str) -> None:
        with self._lock:
            member = self.by_name.get(name)
            if member is None:
                return
            if member.state == "alive":
                self._set_state(member, "suspect")
            elif member.state == "draining":
                # It owns no keys, so a wait for its refutation has no use; as a suspect it would
                # become eligible again.
                self._set_state(member, "dead")

    def _expire_members(self) -> None:
        now = time.monotonic()
        with self._lock:
            for member in list(self.by_name.values()):
                age = now - member.changed_at
                if member.state == "suspect" and age > self._settings.suspect_timeout:
                    self._set_state(member, "dead")
                elif (
                    member.state in ("dead", "listed")
                    and not member.list_state
                    and age > UNLISTED_RETENTION
                ):
                    del self.by_name[member.name]

    def _configuration_version(self) -> int:
        return self._kernel.find("configuration").current.version

    def _send_ping(self, probe: int, name: str) -> None:
        ping = Ping(probe, self._configuration_version(), self._pick_updates(name))
        self._kernel.find("peers").send(name, ping)
        self._kernel.find("targets").gossip_to(name)

    def _pick_updates(self, receiver: str) -> tuple[MemberUpdate, ...]:
        with self._lock:
            candidates = [
                member
                for member in self.by_name.values()
                if member.transmissions_left > 0
                and member.name not in (self.local_member.name, receiver)
            ]
            candidates.sort(key=lambda member: -member.transmissions_left)
            chosen = candidates[: UPDATES_PER_MESSAGE - 1]
            for member in chosen:
                member.transmissions_left -= 1
            # A member can only refute its suspicion or death if it learns of it.
            recipient = self.by_name.get(receiver)
            if recipient is not None and recipient.state in ("suspect", "dead"):
                chosen.append(recipient)
            return (self.local_member.to_update(), *(member.to_update() for member in chosen))

    def _on_ping(self, sender: str, message: Ping) -> None:
        self._apply_message(sender, message)
        if message.probe:
            ack = PingAck(message.probe, self._configuration_version(), self._pick_updates(sender))
            self._kernel.find("peers").send(sender, ack)
            self._kernel.find("targets").gossip_to(sender)

    def _on_ping_ack(self, sender: str, message: PingAck) -> None:
        self._apply_message(sender, message)
        with self._lock:
            ack_event = self._ack_event_by_probe.get(message.probe)
            relayed = self._origin_by_probe.pop(message.probe, None)
        if ack_event is not None:
            ack_event.set()
        if relayed is not None:
            origin, probe = relayed
            ack = PingAck(probe, self._configuration_version(), message.updates)
            self._kernel.find("peers").send(origin, ack)

    def _on_ping_request(self, sender: str, message: PingRequest) -> None:
        with self._lock:
            self._last_probe += 1
            probe = self._last_probe
            self._origin_by_probe[probe] = (sender, message.probe)
            while len(self._origin_by_probe) > MAX_RELAYED_PROBES:
                self._origin_by_probe.pop(next(iter(self._origin_by_probe)))
        self._send_ping(probe, message.member)

    def _apply_message(self, sender: str, message: Ping | PingAck) -> None:
        self.apply_updates(message.updates)
        self._kernel.find("configuration").on_peer_version(sender, message.version)
