"""Membership by the platform's list, corrected by probing random members."""

from __future__ import annotations

import random
import threading
import time
from dataclasses import dataclass

import logbook

from celeryrun.kernel import Kernel
from celeryrun.membership._rendezvous import choose
from celeryrun.platform import Vm
from celeryrun.settings import Settings
from celeryrun.wire import News, Ping, PingAck, PingRequest

__all__ = ["Member", "Members"]

INDIRECT_PROBES = 2
NEWS_PER_MESSAGE = 6
NEWS_REPEATS = 8
FORGET_AFTER = 30.0  # s that a dead member is remembered

log = logbook.Logger("members")


@dataclass(slots=True)
class Member:
    """What this node believes of one member.

    Parameters
    ----------
    changed : float
        Monotonic time of the last change of state, in seconds.
    repeats : int
        How often the news is still to be passed on.
    """

    name: str
    zone: str
    address: str
    operator: str
    state: str
    incarnation: int
    changed: float
    repeats: int = NEWS_REPEATS

    def news(self) -> News:
        """Return the belief as a message."""
        return News(self.name, self.zone, self.address, self.operator, self.state, self.incarnation)


PRECEDENCE_BY_STATE = {"alive": 0, "draining": 1, "suspect": 2, "dead": 3}


class Members:
    """Service that keeps the list of live nodes.

    Each period it probes one member, through others if there is no answer, and passes news on
    with the probes [1]_; the cost for each node does not grow with their number.

    References
    ----------
    .. [1] Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
       Membership Protocol", DSN 2002.
    """

    __slots__ = (
        "_acked",
        "_kernel",
        "_lock",
        "_probe",
        "_probes_by_relay",
        "_rounds",
        "_settings",
        "_stopped",
        "by_name",
        "me",
    )

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        node = settings.node
        self._kernel = kernel
        self._settings = settings.peers
        self._lock = threading.RLock()
        self._stopped = threading.Event()
        self._probe = 0
        self._rounds: list[str] = []
        self._acked: dict[int, threading.Event] = {}
        self._probes_by_relay: dict[int, tuple[str, int]] = {}
        boot_incarnation = int(time.time())
        self.me = Member(
            node.name,
            node.zone,
            str(node.peer_address),
            str(node.operator_address),
            "alive",
            boot_incarnation,
            time.monotonic(),
        )
        self.by_name: dict[str, Member] = {node.name: self.me}

    @classmethod
    def from_config(cls, kernel: Kernel, settings: Settings) -> Members:
        """Build the service from settings."""
        return cls(kernel, settings)

    def start(self) -> None:
        """Begin probing."""
        peers = self._kernel.find("peers")
        peers.handle(Ping, self._on_ping)
        peers.handle(PingAck, self._on_ack)
        peers.handle(PingRequest, self._on_request)
        self._kernel.find("vms").watchers.append(self._on_list)
        threading.Thread(target=self._run, name="members", daemon=True).start()

    def stop(self) -> None:
        """End probing."""
        self._stopped.set()

    def drain(self) -> None:
        """Tell the others to give this node no further duty."""
        with self._lock:
            self.me.state = "draining"
            self._bump()
            members = [member.name for member in self.by_name.values() if member is not self.me]
        for name in members:
            self._kernel.find("peers").send(name, Ping(0, self._version(), self._pick_news()))

    def live(self) -> list[str]:
        """Return the names of nodes that may have duties, in order."""
        with self._lock:
            return sorted(
                member.name
                for member in self.by_name.values()
                if member.state in ("alive", "suspect")
            )

    def duty(self, key: str) -> str | None:
        """Return the node that has a duty, as far as this node knows."""
        return choose(key, self.live())

    def is_duty(self, key: str) -> bool:
        """Tell whether this node has a duty."""
        return self.duty(key) == self.me.name

    def hear(self, news: tuple[News, ...]) -> None:
        """Take in what another node believes."""
        with self._lock:
            for item in news:
                self._hear_one(item)

    def _hear_one(self, item: News) -> None:
        if item.name == self.me.name:
            self._refute(item)
            return
        known = self.by_name.get(item.name)
        if known is None:
            if item.state != "dead":
                self._add(item)
            return
        newer = (item.incarnation, PRECEDENCE_BY_STATE[item.state])
        if newer > (known.incarnation, PRECEDENCE_BY_STATE[known.state]):
            known.incarnation = item.incarnation
            self._set_state(known, item.state)
            known.address = item.address
            self._learn_address(known)

    def _refute(self, item: News) -> None:
        overrides = item.incarnation >= self.me.incarnation and item.state != self.me.state
        if overrides and item.state != "alive":
            self.me.incarnation = item.incarnation
            self._bump()

    def _bump(self) -> None:
        self.me.incarnation += 1
        self.me.repeats = NEWS_REPEATS

    def _add(self, item: News) -> None:
        member = Member(
            item.name,
            item.zone,
            item.address,
            item.operator,
            item.state,
            item.incarnation,
            time.monotonic(),
        )
        self.by_name[item.name] = member
        self._learn_address(member)
        log.info("member {} is {}", member.name, member.state)

    def _learn_address(self, member: Member) -> None:
        self._kernel.find("peers").address_by_name[member.name] = member.address

    def _set_state(self, member: Member, state: str) -> None:
        if member.state != state:
            log.info("member {}: {} -> {}", member.name, member.state, state)
        member.state = state
        member.changed = time.monotonic()
        member.repeats = NEWS_REPEATS

    def _on_list(self, vms: list[Vm]) -> None:
        with self._lock:
            for vm in vms:
                if vm.role == "node" and vm.name not in self.by_name and vm.state == "live":
                    self._add(News(vm.name, vm.zone, vm.address, vm.operator, "alive", 0))

    def _run(self) -> None:
        while not self._stopped.wait(self._settings.probe_period):
            self._expire()
            name = self._next_member()
            if name is not None and not self._probe_member(name):
                self._suspect(name)

    def _next_member(self) -> str | None:
        with self._lock:
            others = [name for name in self.by_name if name != self.me.name]
            self._rounds = [name for name in self._rounds if name in self.by_name]
            if not self._rounds:
                self._rounds = random.sample(others, len(others))
            return self._rounds.pop() if self._rounds else None

    def _probe_member(self, name: str) -> bool:
        peers = self._kernel.find("peers")
        with self._lock:
            self._probe += 1
            probe = self._probe
            acked = self._acked[probe] = threading.Event()
        try:
            peers.send(name, Ping(probe, self._version(), self._pick_news()))
            if acked.wait(self._settings.probe_timeout):
                return True
            others = [other for other in self.live() if other not in (name, self.me.name)]
            for relay in random.sample(others, min(INDIRECT_PROBES, len(others))):
                peers.send(relay, PingRequest(probe, name))
            return acked.wait(self._settings.probe_timeout * 2)
        finally:
            with self._lock:
                del self._acked[probe]

    def _suspect(self, name: str) -> None:
        with self._lock:
            member = self.by_name.get(name)
            if member is not None and member.state in ("alive", "draining"):
                self._set_state(member, "suspect")

    def _expire(self) -> None:
        now = time.monotonic()
        with self._lock:
            for member in list(self.by_name.values()):
                age = now - member.changed
                if member.state == "suspect" and age > self._settings.suspect_timeout:
                    self._set_state(member, "dead")
                elif member.state == "dead" and age > FORGET_AFTER:
                    del self.by_name[member.name]

    def _version(self) -> int:
        return self._kernel.find("configuration").current.version

    def _pick_news(self) -> tuple[News, ...]:
        with self._lock:
            fresh = [
                member
                for member in self.by_name.values()
                if member.repeats > 0 and member is not self.me
            ]
            fresh.sort(key=lambda member: -member.repeats)
            chosen = fresh[: NEWS_PER_MESSAGE - 1]
            for member in chosen:
                member.repeats -= 1
            return (self.me.news(), *(member.news() for member in chosen))

    def _on_ping(self, sender: str, message: Ping) -> None:
        self._hear_message(sender, message)
        if message.probe:
            answer = PingAck(message.probe, self._version(), self._pick_news())
            self._kernel.find("peers").send(sender, answer)

    def _on_ack(self, sender: str, message: PingAck) -> None:
        self._hear_message(sender, message)
        with self._lock:
            acked = self._acked.get(message.probe)
            relayed = self._probes_by_relay.pop(message.probe, None)
        if acked is not None:
            acked.set()
        if relayed is not None:
            origin, probe = relayed
            answer = PingAck(probe, self._version(), message.news)
            self._kernel.find("peers").send(origin, answer)

    def _on_request(self, sender: str, message: PingRequest) -> None:
        with self._lock:
            self._probe += 1
            self._probes_by_relay[self._probe] = (sender, message.probe)
            while len(self._probes_by_relay) > 64:
                self._probes_by_relay.pop(next(iter(self._probes_by_relay)))
            ping = Ping(self._probe, self._version(), self._pick_news())
        self._kernel.find("peers").send(message.member, ping)

    def _hear_message(self, sender: str, message: Ping | PingAck) -> None:
        self.hear(message.news)
        self._kernel.find("configuration").hear(sender, message.version)
