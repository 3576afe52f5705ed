"""What a keeper knows of its pool, and its decisions."""

from __future__ import annotations

import itertools
import math
import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from celeryrun.pool._choice import choose_target
from celeryrun.pool._estimate import LengthEstimates
from celeryrun.pool._limit import SlotLimit
from celeryrun.pool._prefix import PrefixIndex
from celeryrun.pool._queue import LOWEST_TIER, FairQueue, QueuedRequest
from celeryrun.pool._targets import Target
from celeryrun.wire import HeldSlot, NodePoolState, SlotReleased, SlotRequest

__all__ = ["Granted", "PoolState"]

SLOTS_BY_KIND = {"engine": 4.0, "application": 4.0}
HEADROOM = 0.25  # of a limit, for higher tiers and small workspaces while others hold it
MIN_GAP = 0.0001  # s
CALL_TOKENS = 8  # that a call of an application counts as when its target's limit is learned


@dataclass(slots=True)
class Granted:
    """A slot in use.

    Parameters
    ----------
    expires : float
        Monotonic end of the lease in seconds.
    since, usage : float
        Monotonic start in seconds, and the target's slot-seconds used until then.
    fingerprint : int
        Hash by which the request is known, 0 if this keeper did not grant the slot.
    """

    node: str
    target: str
    tier: int
    workspace: str
    cost: float
    expires: float
    since: float = 0.0
    usage: float = 0.0
    fingerprint: int = 0


class PoolState:
    """Queue, grants and limits of one pool; nodes' heartbeats can build all of it anew.

    Parameters
    ----------
    name : str
        The pool.
    lease : float
        Seconds that a grant lives without heartbeat.
    grace : float
        Seconds in which nothing is granted, until nodes have told what they hold.
    """

    __slots__ = (
        "_ids",
        "_in_flight_by_target",
        "_lease",
        "_running",
        "_running_by_workspace",
        "_tiers_without_headroom",
        "_usage_by_target",
        "prefix_index",
        "epoch",
        "granted_by_id",
        "heard_by_node",
        "hopeless",
        "is_suspect",
        "limit_by_target",
        "no_grants_until",
        "name",
        "queue",
        "started",
        "steps",
    )

    def __init__(self, name: str, lease: float, grace: float = 0.0) -> None:
        self.name = name
        self.epoch = random.getrandbits(31)
        self.started = time.monotonic()
        self.no_grants_until = self.started + grace
        self.queue = FairQueue()
        self.granted_by_id: dict[int, Granted] = {}
        self.heard_by_node: dict[str, float] = {}
        self.limit_by_target: dict[str, SlotLimit] = {}
        self.prefix_index = PrefixIndex()
        self.steps = LengthEstimates()
        self.hopeless: list[QueuedRequest] = []
        self.is_suspect: Callable[[int], bool] = lambda fingerprint: False
        self._lease = lease
        self._ids = itertools.count(1)
        self._in_flight_by_target: dict[str, int] = {}
        self._running: Counter[tuple[str, int]] = Counter()
        self._running_by_workspace: Counter[str] = Counter()
        self._tiers_without_headroom: set[int] = set()
        self._usage_by_target: dict[str, tuple[float, float]] = {}

    def in_flight(self, target: str) -> int:
        """Count the slots of a target in use."""
        return self._in_flight_by_target.get(target, 0)

    def outstanding(self, workspace: str) -> int:
        """Count a workspace's requests that wait or run."""
        return self._running_by_workspace[workspace] + self.queue.count_of_workspace(workspace)

    def grant_next(
        self, kind: str, targets: list[Target]
    ) -> tuple[int, QueuedRequest, Target] | None:
        """Grant a slot to the ask served next, or return None if nothing can be granted.

        Parameters
        ----------
        kind : str
            Kind of the pool.
        targets : list of Target
            All targets of the pool.
        """
        waiting, free = self._next_served(kind, targets)
        while waiting is not None and self._is_hopeless(waiting, targets):
            self.hopeless.append(waiting)
            waiting, free = self._next_served(kind, targets)
        if waiting is None:
            return None
        target = choose_target(self, waiting, self._apart(waiting, free))
        self.prefix_index.add(target.name, waiting.prefix)
        return self._lease_slot(waiting, target), waiting, target

    def _lease_slot(self, waiting: QueuedRequest, target: Target) -> int:
        """Lease a slot of a target to an ask; returns the grant's id."""
        grant = self.epoch << 32 | next(self._ids)
        now = time.monotonic()
        self._add(
            grant,
            Granted(
                waiting.node,
                target.name,
                waiting.tier,
                waiting.workspace,
                waiting.cost,
                now + self._lease,
                since=now,
                fingerprint=waiting.fingerprint,
            ),
        )
        return grant

    def renew(self, node: str, holds: tuple[HeldSlot, ...]) -> None:
        """Renew the leases of grants that a node holds; unknown ones are adopted."""
        now = time.monotonic()
        expires = now + self._lease
        self.heard_by_node[node] = now
        for hold in holds:
            granted = self.granted_by_id.get(hold.grant_id)
            if granted is None:
                granted = Granted(node, hold.target, hold.tier, hold.workspace, hold.cost, expires)
                self._add(hold.grant_id, granted)
            granted.expires = expires

    def push(self, node: str, ask: SlotRequest) -> None:
        """Let an ask wait."""
        now = time.monotonic()
        expires = now + ask.remaining
        self.heard_by_node[node] = now
        self.queue.push(
            QueuedRequest(
                node,
                ask.slot_request_id,
                ask.tier,
                ask.workspace,
                ask.cost,
                ask.prefix,
                expires,
                ask.fingerprint,
            )
        )

    def drop_silent(self, seconds: float) -> list[str]:
        """Drop the asks of nodes that were silent for some seconds; a live one asks anew."""
        oldest = time.monotonic() - seconds
        silent = [node for node, heard in self.heard_by_node.items() if heard < oldest]
        gone = [
            waiting for waiting in self.queue.requests_by_key.values() if waiting.node in silent
        ]
        for waiting in gone:
            self.queue.remove(waiting.node, waiting.slot_request_id)
        for node in silent:
            del self.heard_by_node[node]
        return sorted({waiting.node for waiting in gone})

    def node_states(self) -> tuple[NodePoolState, ...]:
        """Return what every node holds and waits for, to hand it to another keeper."""
        now = time.monotonic()
        holds_by_node: dict[str, list[HeldSlot]] = defaultdict(list)
        asks_by_node: dict[str, list[SlotRequest]] = defaultdict(list)
        for grant, item in self.granted_by_id.items():
            hold = HeldSlot(grant, item.target, item.tier, item.workspace, item.cost)
            holds_by_node[item.node].append(hold)
        for waiting in self.queue.requests_by_key.values():
            asks_by_node[waiting.node].append(
                SlotRequest(
                    self.name,
                    waiting.slot_request_id,
                    waiting.tier,
                    waiting.workspace,
                    waiting.cost,
                    waiting.prefix,
                    max(0.0, waiting.expires - now),
                    waiting.fingerprint,
                )
            )
        return tuple(
            NodePoolState(node, tuple(holds_by_node[node]), tuple(asks_by_node[node]))
            for node in sorted(holds_by_node.keys() | asks_by_node.keys())
        )

    def finish(self, done: SlotReleased) -> None:
        """Free a slot and learn from the work done."""
        granted = self.granted_by_id.get(done.grant_id)
        if granted is None:
            return
        self.queue.adjust_charge(granted.tier, granted.workspace, done.work - granted.cost)
        if done.complete:
            self._learn(granted, done)
        self._remove(done.grant_id)

    def lapse(self) -> list[Granted]:
        """Free the slots whose lease has lapsed."""
        now = time.monotonic()
        self._tiers_without_headroom.clear()
        lapsed = [grant for grant, item in self.granted_by_id.items() if item.expires <= now]
        return [self._remove(grant) for grant in lapsed]

    def take_hopeless(self) -> list[QueuedRequest]:
        """Return the asks that were taken out since they could not meet their deadline."""
        taken, self.hopeless = self.hopeless, []
        return taken

    def _apart(self, waiting: QueuedRequest, free: list[Target]) -> list[Target]:
        """Return the targets that run the fewest suspects, if the ask is one itself."""
        if not self.is_suspect(waiting.fingerprint):
            return free
        running = Counter(
            granted.target
            for granted in self.granted_by_id.values()
            if self.is_suspect(granted.fingerprint)
        )
        fewest = min(running[target.name] for target in free)
        return [target for target in free if running[target.name] == fewest]

    def _is_hopeless(self, waiting: QueuedRequest, targets: list[Target]) -> bool:
        """Tell whether no target can meet an ask's deadline.

        While lower tiers wait it is not told, so that load never refuses a higher tier first.
        """
        steps = self.steps.steps(waiting.workspace, waiting.cost)
        if not steps or self.queue.count_below(waiting.tier):
            return False
        remaining = waiting.expires - time.monotonic()
        return all(steps * self._expected_gap(target) > remaining for target in targets)

    def _expected_gap(self, target: Target) -> float:
        limit = self.limit_by_target.get(target.name)
        if limit is None or not target.is_usable():
            return math.inf
        return limit.expected_step_time(self.in_flight(target.name) + 1)

    def _next_served(
        self, kind: str, targets: list[Target]
    ) -> tuple[QueuedRequest | None, list[Target]]:
        """Take the ask served next, with the targets that it may have."""
        free = [target for target in targets if self._has_slot(kind, target)]
        if free:
            return self.queue.pop(), free
        for tier in range(1, LOWEST_TIER):
            if self.queue.has_queued(tier):
                spare = self._targets_with_headroom(targets, tier)
                if spare:
                    return self.queue.pop(tier), spare
        first = self.queue.peek()
        if first is not None and self._is_small(first.workspace):
            spare = self._targets_with_headroom(targets, 0)
            if spare:
                return self.queue.pop(), spare
        return None, []

    def _targets_with_headroom(self, targets: list[Target], tier: int) -> list[Target]:
        # Where there was none, there is none until a slot is freed or the next tick.
        if tier in self._tiers_without_headroom:
            return []
        spare = [target for target in targets if self._has_headroom(target, tier)]
        if not spare:
            self._tiers_without_headroom.add(tier)
        return spare

    def _has_headroom(self, target: Target, tier: int) -> bool:
        """Tell whether a tier may go beyond the limit where tiers below it hold slots."""
        limit = self.limit_by_target[target.name].slots
        below = range(tier + 1, LOWEST_TIER + 1)
        lower = sum(self._running[target.name, number] for number in below)
        most = int(limit) + min(lower, max(1, int(limit * HEADROOM)))
        return target.is_usable() and self.in_flight(target.name) < most

    def _is_small(self, workspace: str) -> bool:
        """Tell whether a workspace runs less than an equal part of what runs."""
        running = self._running_by_workspace
        return running[workspace] * len(running) < len(self.granted_by_id)

    def _learn(self, granted: Granted, done: SlotReleased) -> None:
        limit = self.limit_by_target.get(granted.target)
        lasted = time.monotonic() - granted.since
        if limit is None or not granted.since or lasted <= 0 or done.elapsed <= 0:
            return
        level = (self._usage(granted.target) - granted.usage) / lasted
        expected = limit.expected_step_time(max(1, round(level)))
        if expected:
            self.steps.observe(granted.workspace, granted.cost, done.elapsed / expected)
        if done.tokens > 1:
            gap = (done.elapsed - done.first_byte_delay) / (done.tokens - 1)
            limit.observe(level, max(MIN_GAP, gap), done.tokens - 1)
        elif not done.tokens:
            limit.observe(level, max(MIN_GAP, done.elapsed), CALL_TOKENS)

    def _usage(self, target: str) -> float:
        """Return the slot-seconds that a target has been in use for."""
        now = time.monotonic()
        used, since = self._usage_by_target.get(target, (0.0, now))
        used += self.in_flight(target) * (now - since)
        self._usage_by_target[target] = (used, now)
        return used

    def _has_slot(self, kind: str, target: Target) -> bool:
        limit = self.limit_by_target.get(target.name)
        if limit is None:
            limit = self.limit_by_target[target.name] = SlotLimit(SLOTS_BY_KIND[kind])
            self._tiers_without_headroom.clear()
        return target.is_usable() and self.in_flight(target.name) < int(limit.slots)

    def _add(self, grant: int, granted: Granted) -> None:
        granted.usage = self._usage(granted.target)
        self.granted_by_id[grant] = granted
        self._in_flight_by_target[granted.target] = self.in_flight(granted.target) + 1
        self._running[granted.target, granted.tier] += 1
        self._running_by_workspace[granted.workspace] += 1

    def _remove(self, grant: int) -> Granted:
        granted = self.granted_by_id.pop(grant)
        self._tiers_without_headroom.clear()
        self._usage(granted.target)
        self._in_flight_by_target[granted.target] -= 1
        self._running[granted.target, granted.tier] -= 1
        self._running_by_workspace[granted.workspace] -= 1
        if not self._running_by_workspace[granted.workspace]:
            del self._running_by_workspace[granted.workspace]
        return granted
