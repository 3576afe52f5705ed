"""Targets as this node knows them."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass

import logbook

from celeryrun.kernel import Kernel
from celeryrun.streams import Vm
from celeryrun.wire import TargetGossip, TargetUpdate

__all__ = ["Target", "Targets"]

NEWS_PER_MESSAGE = 8
NEWS_REPEATS = 10
NEWS_AGE = 60.0  # s after which news of a target is not passed on
SAME_NEWS = 1.0  # s between two reports that count as one
LIST_PATIENCE = 60.0  # s until a list that shows only ``live`` outweighs a target's own answer
GONE_MEMORY = 60.0  # s for which a target that has left the list gets no work by a late grant

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
    list_leaving : bool
        Whether the platform's list has shown it as leaving since it was last live.
    said : float
        Monotonic time at which its leaving was seen, by whomever, in seconds.
    returned : float
        Monotonic time at which it was last taken back, in seconds.
    repeats : int
        How often its leaving is still to be passed on.
    """

    name: str
    pool: str
    zone: str
    address: str
    leaving: bool = False
    avoid_until: float = 0.0
    list_leaving: bool = False
    said: float = 0.0
    returned: float = 0.0
    repeats: int = 0

    def is_usable(self) -> bool:
        """Tell whether it may get new work now."""
        return not self.leaving and time.monotonic() >= self.avoid_until

    def news(self, kind: str = "") -> TargetUpdate:
        """Return what was seen as a message."""
        kind = kind or ("listed" if self.list_leaving else "leaving")
        return TargetUpdate(self.name, self.address, kind, time.monotonic() - self.said)


class Targets:
    """Service that knows the targets from the list, from their own answers and from peers.

    Whichever says first that a target is leaving is believed. A target is taken back when the
    list shows it live again after it showed it leaving, when it has another address, or when the
    list has shown nothing but live for a long while; a wrong guess costs one refused dispatch.
    """

    __slots__ = ("_gone_by_name", "_kernel", "_lock", "by_name")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._lock = threading.RLock()
        self._gone_by_name: dict[str, float] = {}
        self.by_name: dict[str, Target] = {}

    def start(self) -> None:
        """Begin following the list."""
        self._kernel.find("vms").watchers.append(self._on_list)
        self._kernel.find("peers").set_handler(TargetGossip, self._on_gossip)

    def stop(self) -> None:
        """Nothing is held."""

    def of_pool(self, pool: str) -> list[Target]:
        """Return the targets of a pool, leaving ones included."""
        with self._lock:
            return [target for target in self.by_name.values() if target.pool == pool]

    def address_of(self, name: str, granted: str) -> str | None:
        """Return where a granted target takes requests, or None if it must get no new work.

        Parameters
        ----------
        granted : str
            The keeper's address of it, used while this node's list does not show the target.
        """
        with self._lock:
            target = self.by_name.get(name)
            if target is not None:
                return None if target.leaving else target.address
            return None if name in self._gone_by_name else granted or None

    def note_leaving(self, name: str) -> None:
        """Give a target that said that it is leaving no new work from here on."""
        with self._lock:
            target = self.by_name.get(name)
            if target is None:
                return
            self._mark_leaving(target, time.monotonic(), "its own answer")
        self.report_leaving(name)

    def note_unreachable(self, name: str, seconds: float) -> None:
        """Pass over a target for a while."""
        target = self.by_name.get(name)
        if target is not None:
            target.avoid_until = time.monotonic() + seconds
            self._send_to_keeper(target, TargetUpdate(name, target.address, "unreachable", 0.0))

    def report_leaving(self, name: str) -> None:
        """Tell the keeper of a target's pool that it is leaving, so that it grants another."""
        target = self.by_name.get(name)
        if target is not None and target.leaving:
            self._send_to_keeper(target, target.news())

    def gossip_to(self, member: str) -> None:
        """Pass fresh news on to a member; nothing is sent if there is none."""
        news = self._pick_news()
        if news:
            self._kernel.find("peers").send(member, TargetGossip(news))

    def _send_to_keeper(self, target: Target, news: TargetUpdate) -> None:
        keeper = self._kernel.find("members").duty(f"pool/{target.pool}")
        if keeper is not None:
            self._kernel.find("peers").send(keeper, TargetGossip((news,)))

    def _pick_news(self) -> tuple[TargetUpdate, ...]:
        oldest = time.monotonic() - NEWS_AGE
        with self._lock:
            fresh = [
                target
                for target in self.by_name.values()
                if target.repeats > 0 and target.leaving and target.said > oldest
            ]
            fresh.sort(key=lambda target: -target.repeats)
            chosen = fresh[:NEWS_PER_MESSAGE]
            for target in chosen:
                target.repeats -= 1
            return tuple(target.news() for target in chosen)

    def _on_gossip(self, sender: str, message: TargetGossip) -> None:
        with self._lock:
            for news in message.updates:
                self._hear(sender, news)

    def _hear(self, sender: str, news: TargetUpdate) -> None:
        target = self.by_name.get(news.name)
        if target is None or target.address != news.address:
            return
        seen = time.monotonic() - news.age
        match news.kind:
            case "unreachable":
                target.avoid_until = max(target.avoid_until, seen + 1.0)
            case "leaving" | "listed" if seen > max(target.returned, target.said + SAME_NEWS):
                # A list that is at hand may overrule what another node read in it.
                target.list_leaving |= news.kind == "listed"
                self._mark_leaving(target, seen, sender)

    def _mark_leaving(self, target: Target, seen: float, source: str) -> None:
        if not target.leaving:
            log.info("target {} is leaving, says {}", target.name, source)
        target.leaving = True
        target.said = seen
        target.repeats = NEWS_REPEATS

    def _on_list(self, vms: list[Vm]) -> None:
        listed = {vm.name: vm for vm in vms if vm.role == "target"}
        now = time.monotonic()
        with self._lock:
            for vm in listed.values():
                self._take_listed(vm, now)
            for name in set(self.by_name) - set(listed):
                del self.by_name[name]
                self._gone_by_name[name] = now
            for name, since in list(self._gone_by_name.items()):
                if now - since > GONE_MEMORY:
                    del self._gone_by_name[name]

    def _take_listed(self, vm: Vm, now: float) -> None:
        target = self.by_name.get(vm.name)
        if target is None or target.address != vm.address:
            target = self.by_name[vm.name] = Target(vm.name, vm.pool, vm.zone, vm.address)
            self._gone_by_name.pop(vm.name, None)
        if vm.state != "live":
            target.list_leaving = True
            if not target.leaving:
                self._mark_leaving(target, now, "the list")
        elif target.leaving and (target.list_leaving or now - target.said > LIST_PATIENCE):
            log.info("target {} is back", target.name)
            target.leaving = target.list_leaving = False
            target.returned = now
