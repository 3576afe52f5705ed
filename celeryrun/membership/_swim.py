"""Membership by the platform's list, corrected by probing random members."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable

import logbook

from celeryrun.kernel import Kernel
from celeryrun.kernel._rendezvous import choose_owner
from celeryrun.membership._member import NEWS_REPEATS, PRECEDENCE_BY_STATE, Member
from celeryrun.settings import Settings
from celeryrun.streams import Vm
from celeryrun.wire import MemberUpdate, Ping, PingAck, PingRequest

__all__ = ["Members"]

INDIRECT_PROBES = 2
RELAYED_PROBES = 64  # kept at once
NEWS_PER_MESSAGE = 6
FORGET_AFTER = 60.0  # s that a dead member is remembered once the list has dropped it
GREETINGS_PER_PERIOD = 16  # listed members probed at once, so that a new node is soon known
PAUSE_FACTOR = 2.0  # periods without a turn after which this node was paused itself

log = logbook.Logger("members")


class Members:
    """Service that keeps the list of live nodes.

    Each period it probes one member, through others if there is no answer, and passes news on
    with the probes [1]_; the cost for each node does not grow with their number. A member that
    only the platform's list knows is probed, but has no duty until somebody has heard it. A node
    that was paused itself accuses nobody of silence [2]_.

    References
    ----------
    .. [1] Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
       Membership Protocol", DSN 2002.
    .. [2] Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
       Detection", DSN-W 2018.
    """

    __slots__ = (
        "_acked",
        "_kernel",
        "_list_seen",
        "_live",
        "_lock",
        "_owner_by_key",
        "_probe",
        "_probes_by_relay",
        "_random",
        "_rounds",
        "_settings",
        "_stopped",
        "_told",
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
        self._probe = 0
        self._rounds: list[str] = []
        self._acked: dict[int, threading.Event] = {}
        self._probes_by_relay: dict[int, tuple[str, int]] = {}
        self._live: list[str] | None = None
        self._list_seen = False
        self._owner_by_key: dict[str, str | None] = {}
        self._told: list[str] = [node.name]
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
        """Begin probing."""
        peers = self._kernel.find("peers")
        peers.set_handler(Ping, self._on_ping)
        peers.set_handler(PingAck, self._on_ack)
        peers.set_handler(PingRequest, self._on_request)
        self._kernel.find("vms").watchers.append(self._on_list)
        threading.Thread(target=self._run, name="members", daemon=True).start()

    def stop(self) -> None:
        """End probing."""
        self._stopped.set()

    def drain(self) -> None:
        """Tell the others to give this node no further duty."""
        with self._lock:
            self.local_member.state = "draining"
            self._bump()
            self._forget_duties()
            members = [member.name for member in self.by_name.values() if member.is_reachable()]
        for name in members:
            if name != self.local_member.name:
                self._send_ping(0, name)
        self._tell_watchers()

    def eligible_nodes(self) -> list[str]:
        """Return the names of nodes that may have duties, in order."""
        with self._lock:
            if self._live is None:
                members = [item for item in self.by_name.values() if item.is_eligible_owner()]
                members = members or [m for m in self.by_name.values() if m.is_reachable()]
                self._live = sorted(member.name for member in members)
            return self._live

    def known_nodes(self) -> list[str]:
        """Return the names of all nodes that may run, the suspect and the dead included."""
        with self._lock:
            return sorted(self.by_name)

    def owner(self, key: str) -> str | None:
        """Return the node that has a duty, as far as this node knows."""
        with self._lock:
            if key not in self._owner_by_key:
                self._owner_by_key[key] = choose_owner(key, self.eligible_nodes())
            return self._owner_by_key[key]

    def is_owner(self, key: str) -> bool:
        """Tell whether this node has a duty."""
        return self.owner(key) == self.local_member.name

    def is_joined(self) -> bool:
        """Tell whether another node was heard, or the platform's list shows no other."""
        with self._lock:
            others = [member for member in self.by_name.values() if member is not self.local_member]
            if any(member.is_reachable() for member in others):
                return True
            return self._list_seen and not any(member.list_state for member in others)

    def all_listed_reachable(self) -> bool:
        """Tell whether every node on the platform's list is heard, as far as this node knows."""
        with self._lock:
            listed = [member for member in self.by_name.values() if member.list_state]
            return bool(self.local_member.list_state) and all(
                member.is_reachable() for member in listed
            )

    def apply_updates(self, news: tuple[MemberUpdate, ...]) -> None:
        """Take in what another node believes."""
        with self._lock:
            for item in news:
                if item.state in PRECEDENCE_BY_STATE:
                    self._hear_one(item)
        self._tell_watchers()

    def _hear_one(self, item: MemberUpdate) -> None:
        if item.name == self.local_member.name:
            self._refute(item)
            return
        known = self.by_name.get(item.name)
        if known is None:
            if item.state != "dead":
                self._add(Member.from_update(item))
        elif known.is_superseded_by(item):
            known.incarnation = item.incarnation
            known.zone, known.operator = item.zone, item.operator
            known.address = item.address
            self._learn_address(known)
            self._set_state(known, item.state)

    def _refute(self, item: MemberUpdate) -> None:
        # An earlier life of this node may have had another address and a faster clock.
        differs = item.state != self.local_member.state or item.address != self.local_member.address
        if differs and item.incarnation >= self.local_member.incarnation:
            self.local_member.incarnation = item.incarnation
            self._bump()

    def _bump(self) -> None:
        self.local_member.incarnation += 1
        self.local_member.remaining_transmissions = NEWS_REPEATS

    def _add(self, member: Member) -> None:
        self.by_name[member.name] = member
        self._learn_address(member)
        self._forget_duties()
        log.info("member {} is {}", member.name, member.state)

    def _learn_address(self, member: Member) -> None:
        self._kernel.find("peers").address_by_name[member.name] = member.address

    def _set_state(self, member: Member, state: str) -> None:
        if member.state != state:
            log.info("member {}: {} -> {}", member.name, member.state, state)
        member.state = state
        member.changed_at = time.monotonic()
        member.remaining_transmissions = NEWS_REPEATS
        self._forget_duties()

    def _forget_duties(self) -> None:
        self._live = None
        self._owner_by_key.clear()

    def _tell_watchers(self) -> None:
        with self._lock:
            live = self.eligible_nodes()
            if live == self._told:
                return
            self._told = live
        for watcher in self.watchers:
            watcher()

    def _on_list(self, vms: list[Vm]) -> None:
        listed = {vm.name: vm for vm in vms if vm.role == "node"}
        with self._lock:
            self._list_seen = True
            unknown = [vm for vm in listed.values() if vm.name not in self.by_name]
            for vm in unknown:
                self._add(Member.from_list(vm.name, vm.zone, vm.address, vm.operator))
            for member in self.by_name.values():
                vm_or_none = listed.get(member.name)
                member.list_state = vm_or_none.state if vm_or_none is not None else ""
                if vm_or_none is not None:
                    self._follow_address(member, vm_or_none.address)
            self._forget_duties()
        self._greet([vm.name for vm in unknown if vm.name != self.local_member.name])
        self._tell_watchers()

    def _follow_address(self, member: Member, address: str) -> None:
        # A node that came back elsewhere can't be reached, nor refute its death, at the old one.
        if member.state in ("listed", "dead") and member.address != address:
            member.address = address
            self._learn_address(member)

    def _greet(self, names: list[str]) -> None:
        for name in self._random.sample(names, min(GREETINGS_PER_PERIOD, len(names))):
            with self._lock:
                self._probe += 1
                probe = self._probe
            self._send_ping(probe, name)

    def _run(self) -> None:
        period = self._settings.probe_period
        turn = time.monotonic()
        while not self._stopped.wait(period):
            last, turn = turn, time.monotonic()
            if turn - last > PAUSE_FACTOR * period + 3 * self._settings.probe_timeout:
                self._excuse(turn - last)
            self._expire()
            self._tell_watchers()
            name = self._next_member()
            if name is not None and not self._probe_member(name):
                self._suspect(name)
                self._tell_watchers()

    def _excuse(self, seconds: float) -> None:
        """Add the time for which this node was paused to every suspect's time to refute."""
        log.info("this node was paused for {:.1f} s", seconds)
        with self._lock:
            for member in self.by_name.values():
                if member.state == "suspect":
                    member.changed_at += seconds

    def _next_member(self) -> str | None:
        with self._lock:
            others = [name for name in self.by_name if name != self.local_member.name]
            self._rounds = [name for name in self._rounds if name in self.by_name]
            if not self._rounds:
                self._rounds = self._random.sample(others, len(others))
            return self._rounds.pop() if self._rounds else None

    def _probe_member(self, name: str) -> bool:
        """Probe a member; a verdict is given only if this node ran all the while."""
        timeout = self._settings.probe_timeout
        with self._lock:
            self._probe += 1
            probe = self._probe
            acked = self._acked[probe] = threading.Event()
        started = time.monotonic()
        try:
            self._send_ping(probe, name)
            if acked.wait(timeout):
                return True
            others = [
                other
                for other in self.eligible_nodes()
                if other not in (name, self.local_member.name)
            ]
            for relay in self._random.sample(others, min(INDIRECT_PROBES, len(others))):
                self._kernel.find("peers").send(relay, PingRequest(probe, name))
            answered = acked.wait(timeout * 2)
            return answered or time.monotonic() - started > timeout * 3 * 2
        finally:
            with self._lock:
                del self._acked[probe]

    def _suspect(self, name: str) -> None:
        with self._lock:
            member = self.by_name.get(name)
            if member is None:
                return
            if member.state == "alive":
                self._set_state(member, "suspect")
            elif member.state == "draining":
                # It has no duty, so there is nothing to wait for; suspect it would have one again.
                self._set_state(member, "dead")

    def _expire(self) -> None:
        now = time.monotonic()
        with self._lock:
            for member in list(self.by_name.values()):
                age = now - member.changed_at
                if member.state == "suspect" and age > self._settings.suspect_timeout:
                    self._set_state(member, "dead")
                elif (
                    member.state in ("dead", "listed")
                    and not member.list_state
                    and age > FORGET_AFTER
                ):
                    del self.by_name[member.name]

    def _version(self) -> int:
        return self._kernel.find("configuration").current.version

    def _send_ping(self, probe: int, name: str) -> None:
        ping = Ping(probe, self._version(), self._pick_news(name))
        self._kernel.find("peers").send(name, ping)
        self._kernel.find("targets").gossip_to(name)

    def _pick_news(self, receiver: str) -> tuple[MemberUpdate, ...]:
        with self._lock:
            fresh = [
                member
                for member in self.by_name.values()
                if member.remaining_transmissions > 0
                and member.name not in (self.local_member.name, receiver)
            ]
            fresh.sort(key=lambda member: -member.remaining_transmissions)
            chosen = fresh[: NEWS_PER_MESSAGE - 1]
            for member in chosen:
                member.remaining_transmissions -= 1
            # An accused member must learn of it to refute it.
            accused = self.by_name.get(receiver)
            if accused is not None and accused.state in ("suspect", "dead"):
                chosen.append(accused)
            return (self.local_member.to_update(), *(member.to_update() for member in chosen))

    def _on_ping(self, sender: str, message: Ping) -> None:
        self._hear_message(sender, message)
        if message.probe:
            answer = PingAck(message.probe, self._version(), self._pick_news(sender))
            self._kernel.find("peers").send(sender, answer)
            self._kernel.find("targets").gossip_to(sender)

    def _on_ack(self, sender: str, message: PingAck) -> None:
        self._hear_message(sender, message)
        with self._lock:
            acked = self._acked.get(message.probe)
            relayed = self._probes_by_relay.pop(message.probe, None)
        if acked is not None:
            acked.set()
        if relayed is not None:
            origin, probe = relayed
            answer = PingAck(probe, self._version(), message.updates)
            self._kernel.find("peers").send(origin, answer)

    def _on_request(self, sender: str, message: PingRequest) -> None:
        with self._lock:
            self._probe += 1
            probe = self._probe
            self._probes_by_relay[probe] = (sender, message.probe)
            while len(self._probes_by_relay) > RELAYED_PROBES:
                self._probes_by_relay.pop(next(iter(self._probes_by_relay)))
        self._send_ping(probe, message.member)

    def _hear_message(self, sender: str, message: Ping | PingAck) -> None:
        self.apply_updates(message.updates)
        self._kernel.find("configuration").on_peer_version(sender, message.version)
