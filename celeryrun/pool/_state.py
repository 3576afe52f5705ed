"""Grants, queue and limits of one pool, as its keeper has them."""

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

__all__ = ["ActiveGrant", "PoolState"]

INITIAL_SLOTS_BY_KIND = {"engine": 4.0, "application": 4.0}
HEADROOM_RATIO = 0.25  # of a limit; slots beyond it for higher tiers and small workspaces
MIN_STEP_TIME = 0.0001  # s
TOKENS_PER_CALL = 8  # weight of one call of an application in the average throughput


@dataclass(slots=True)
class ActiveGrant:
    """Lease of a slot in use.

    Parameters
    ----------
    cost : float
        Estimated work, in tokens or their equivalent.
    expires : float
        Monotonic end of the lease in seconds.
    started : float
        Monotonic time of the grant in seconds, 0 if another keeper granted the slot.
    initial_slot_seconds : float
        Slot-seconds of the target up to the start.
    fingerprint : int
        Hash that all attempts of a request share, 0 if another keeper granted the slot.
    """

    node: str
    target: str
    tier: int
    workspace: str
    cost: float
    expires: float
    started: float = 0.0
    initial_slot_seconds: float = 0.0
    fingerprint: int = 0


class PoolState:
    """Queue, active grants and limits of one pool.

    A new keeper restores the active grants from the nodes' heartbeats, and the queue from the
    slot requests that the nodes send again.

    Parameters
    ----------
    name : str
        Name of the pool.
    lease : float
        Seconds without a heartbeat after which a grant expires.
    grace : float
        Seconds without grants at the start, in which nodes report the slots that they hold.
    """

    __slots__ = (
        "_active_by_target_and_tier",
        "_active_by_workspace",
        "_grant_ids",
        "_in_flight_by_target",
        "_lease",
        "_slot_seconds_by_target",
        "_tiers_without_headroom",
        "epoch",
        "grant_by_id",
        "hopeless",
        "is_suspect",
        "last_heard_by_node",
        "length_estimates",
        "limit_by_target",
        "name",
        "no_grants_until",
        "prefix_index",
        "queue",
        "settling_since",
    )

    def __init__(self, name: str, lease: float, grace: float = 0.0) -> None:
        self.name = name
        self.epoch = random.getrandbits(31)
        self.settling_since = time.monotonic()
        self.no_grants_until = self.settling_since + grace
        self.queue = FairQueue()
        self.grant_by_id: dict[int, ActiveGrant] = {}
        self.last_heard_by_node: dict[str, float] = {}
        self.limit_by_target: dict[str, SlotLimit] = {}
        self.prefix_index = PrefixIndex()
        self.length_estimates = LengthEstimates()
        self.hopeless: list[QueuedRequest] = []
        self.is_suspect: Callable[[int], bool] = lambda fingerprint: False
        self._lease = lease
        self._grant_ids = itertools.count(1)
        self._in_flight_by_target: dict[str, int] = {}
        self._active_by_target_and_tier: Counter[tuple[str, int]] = Counter()
        self._active_by_workspace: Counter[str] = Counter()
        self._tiers_without_headroom: set[int] = set()
        self._slot_seconds_by_target: dict[str, tuple[float, float]] = {}

    def in_flight(self, target: str) -> int:
        """Count the slots of a target in use."""
        return self._in_flight_by_target.get(target, 0)

    def outstanding(self, workspace: str) -> int:
        """Count a workspace's queued requests and active grants."""
        return self._active_by_workspace[workspace] + self.queue.count_of_workspace(workspace)

    def grant_next(
        self, kind: str, targets: list[Target]
    ) -> tuple[int, QueuedRequest, Target] | None:
        """Grant a slot to the next queued request.

        Parameters
        ----------
        kind : str
            Kind of the pool.
        targets : list of Target
            All targets of the pool.

        Returns
        -------
        tuple of int, QueuedRequest and Target, or None
            Id of the grant, the request and its target; None if no slot can be granted.
        """
        request, free = self._pop_next(kind, targets)
        while request is not None and self._is_hopeless(request, targets):
            self.hopeless.append(request)
            request, free = self._pop_next(kind, targets)
        if request is None:
            return None
        target = choose_target(self, request, self._with_fewest_suspects(request, free))
        self.prefix_index.add(target.name, request.prefix)
        return self._lease_slot(request, target), request, target

    def _lease_slot(self, request: QueuedRequest, target: Target) -> int:
        """Lease a slot of a target to a request; return the grant's id."""
        grant_id = self.epoch << 32 | next(self._grant_ids)
        now = time.monotonic()
        self._add(
            grant_id,
            ActiveGrant(
                request.node,
                target.name,
                request.tier,
                request.workspace,
                request.cost,
                now + self._lease,
                started=now,
                fingerprint=request.fingerprint,
            ),
        )
        return grant_id

    def renew_leases(self, node: str, held_slots: tuple[HeldSlot, ...]) -> None:
        """Renew the leases of a node's held slots; slots that another keeper granted are added."""
        now = time.monotonic()
        expires = now + self._lease
        self.last_heard_by_node[node] = now
        for held in held_slots:
            grant = self.grant_by_id.get(held.grant_id)
            if grant is None:
                grant = ActiveGrant(
                    node, held.target, held.tier, held.workspace, held.cost, expires
                )
                self._add(held.grant_id, grant)
            grant.expires = expires

    def push(self, node: str, slot_request: SlotRequest) -> None:
        """Add a node's slot request to the queue."""
        now = time.monotonic()
        expires = now + slot_request.remaining
        self.last_heard_by_node[node] = now
        self.queue.push(
            QueuedRequest(
                node,
                slot_request.slot_request_id,
                slot_request.tier,
                slot_request.workspace,
                slot_request.cost,
                slot_request.prefix,
                expires,
                slot_request.fingerprint,
            )
        )

    def drop_silent_nodes(self, seconds: float) -> list[str]:
        """Remove the requests of nodes without a message for some seconds.

        A node that is still running sends its requests again.

        Returns
        -------
        list of str
            Names of the nodes whose requests were removed.
        """
        oldest = time.monotonic() - seconds
        silent = [node for node, heard in self.last_heard_by_node.items() if heard < oldest]
        dropped = [
            request for request in self.queue.requests_by_key.values() if request.node in silent
        ]
        for request in dropped:
            self.queue.remove(request.node, request.slot_request_id)
        for node in silent:
            del self.last_heard_by_node[node]
        return sorted({request.node for request in dropped})

    def node_states(self) -> tuple[NodePoolState, ...]:
        """Return each node's held slots and queued requests, for the handover of the pool."""
        now = time.monotonic()
        held_by_node: dict[str, list[HeldSlot]] = defaultdict(list)
        slot_requests_by_node: dict[str, list[SlotRequest]] = defaultdict(list)
        for grant_id, grant in self.grant_by_id.items():
            held = HeldSlot(grant_id, grant.target, grant.tier, grant.workspace, grant.cost)
            held_by_node[grant.node].append(held)
        for request in self.queue.requests_by_key.values():
            slot_requests_by_node[request.node].append(
                SlotRequest(
                    self.name,
                    request.slot_request_id,
                    request.tier,
                    request.workspace,
                    request.cost,
                    request.prefix,
                    max(0.0, request.expires - now),
                    request.fingerprint,
                )
            )
        return tuple(
            NodePoolState(node, tuple(held_by_node[node]), tuple(slot_requests_by_node[node]))
            for node in sorted(held_by_node.keys() | slot_requests_by_node.keys())
        )

    def release(self, released: SlotReleased) -> None:
        """Free a slot; update the workspace's charge, the target's limit and the estimates."""
        grant = self.grant_by_id.get(released.grant_id)
        if grant is None:
            return
        self.queue.adjust_charge(grant.tier, grant.workspace, released.work - grant.cost)
        if released.complete:
            self._observe(grant, released)
        self._remove(released.grant_id)

    def expire_leases(self) -> list[ActiveGrant]:
        """Free the slots whose lease has expired, and return their grants."""
        now = time.monotonic()
        self._tiers_without_headroom.clear()
        expired = [grant_id for grant_id, grant in self.grant_by_id.items() if grant.expires <= now]
        return [self._remove(grant_id) for grant_id in expired]

    def pop_hopeless(self) -> list[QueuedRequest]:
        """Return the hopeless requests removed from the queue since the last call."""
        popped, self.hopeless = self.hopeless, []
        return popped

    def _with_fewest_suspects(self, request: QueuedRequest, free: list[Target]) -> list[Target]:
        """Return the free targets with the fewest suspect requests for a suspect request.

        For any other request all free targets are returned.
        """
        if not self.is_suspect(request.fingerprint):
            return free
        suspects_by_target = Counter(
            grant.target
            for grant in self.grant_by_id.values()
            if self.is_suspect(grant.fingerprint)
        )
        fewest = min(suspects_by_target[target.name] for target in free)
        return [target for target in free if suspects_by_target[target.name] == fewest]

    def _is_hopeless(self, request: QueuedRequest, targets: list[Target]) -> bool:
        """Return whether no target is expected to meet a request's deadline.

        No request counts as hopeless while lower tiers are queued, so that load never leads to
        the refusal of a higher tier first.
        """
        steps = self.length_estimates.steps(request.workspace, request.cost)
        if not steps or self.queue.count_below(request.tier):
            return False
        remaining = request.expires - time.monotonic()
        return all(steps * self._expected_step_time(target) > remaining for target in targets)

    def _expected_step_time(self, target: Target) -> float:
        limit = self.limit_by_target.get(target.name)
        if limit is None or not target.is_usable():
            return math.inf
        return limit.expected_step_time(self.in_flight(target.name) + 1)

    def _pop_next(
        self, kind: str, targets: list[Target]
    ) -> tuple[QueuedRequest | None, list[Target]]:
        """Remove the next request from the queue; return it and the targets open to it."""
        free = [target for target in targets if self._has_slot(kind, target)]
        if free:
            return self.queue.pop(), free
        for tier in range(1, LOWEST_TIER):
            if self.queue.has_queued(tier):
                spare = self._targets_with_headroom(targets, tier)
                if spare:
                    return self.queue.pop(tier), spare
        first = self.queue.peek()
        if first is not None and self._is_below_fair_share(first.workspace):
            spare = self._targets_with_headroom(targets, 0)
            if spare:
                return self.queue.pop(), spare
        return None, []

    def _targets_with_headroom(self, targets: list[Target], tier: int) -> list[Target]:
        # A tier without headroom gets none before a slot is freed or the next tick.
        if tier in self._tiers_without_headroom:
            return []
        spare = [target for target in targets if self._has_headroom(target, tier)]
        if not spare:
            self._tiers_without_headroom.add(tier)
        return spare

    def _has_headroom(self, target: Target, tier: int) -> bool:
        """Return whether a tier may exceed a target's limit while lower tiers hold its slots."""
        limit = self.limit_by_target[target.name].slots
        lower_tiers = range(tier + 1, LOWEST_TIER + 1)
        lower = sum(self._active_by_target_and_tier[target.name, number] for number in lower_tiers)
        raised_limit = int(limit) + min(lower, max(1, int(limit * HEADROOM_RATIO)))
        return target.is_usable() and self.in_flight(target.name) < raised_limit

    def _is_below_fair_share(self, workspace: str) -> bool:
        """Return whether a workspace has less than an equal split of the active grants."""
        active = self._active_by_workspace
        return active[workspace] * len(active) < len(self.grant_by_id)

    def _observe(self, grant: ActiveGrant, released: SlotReleased) -> None:
        """Update the limit and the length estimates from a complete response."""
        limit = self.limit_by_target.get(grant.target)
        duration = time.monotonic() - grant.started
        if limit is None or not grant.started or duration <= 0 or released.elapsed <= 0:
            return
        concurrency = (self._slot_seconds(grant.target) - grant.initial_slot_seconds) / duration
        expected = limit.expected_step_time(max(1, round(concurrency)))
        if expected:
            self.length_estimates.observe(grant.workspace, grant.cost, released.elapsed / expected)
        if released.tokens > 1:
            step_time = (released.elapsed - released.first_byte_delay) / (released.tokens - 1)
            limit.observe(concurrency, max(MIN_STEP_TIME, step_time), released.tokens - 1)
        elif not released.tokens:
            limit.observe(concurrency, max(MIN_STEP_TIME, released.elapsed), TOKENS_PER_CALL)

    def _slot_seconds(self, target: str) -> float:
        """Return the sum over a target's slots of the seconds in use."""
        now = time.monotonic()
        used, since = self._slot_seconds_by_target.get(target, (0.0, now))
        used += self.in_flight(target) * (now - since)
        self._slot_seconds_by_target[target] = (used, now)
        return used

    def _has_slot(self, kind: str, target: Target) -> bool:
        limit = self.limit_by_target.get(target.name)
        if limit is None:
            limit = self.limit_by_target[target.name] = SlotLimit(INITIAL_SLOTS_BY_KIND[kind])
            self._tiers_without_headroom.clear()
        return target.is_usable() and self.in_flight(target.name) < int(limit.slots)

    def _add(self, grant_id: int, grant: ActiveGrant) -> None:
        grant.initial_slot_seconds = self._slot_seconds(grant.target)
        self.grant_by_id[grant_id] = grant
        self._in_flight_by_target[grant.target] = self.in_flight(grant.target) + 1
        self._active_by_target_and_tier[grant.target, grant.tier] += 1
        self._active_by_workspace[grant.workspace] += 1

    def _remove(self, grant_id: int) -> ActiveGrant:
        grant = self.grant_by_id.pop(grant_id)
        self._tiers_without_headroom.clear()
        self._slot_seconds(grant.target)
        self._in_flight_by_target[grant.target] -= 1
        self._active_by_target_and_tier[grant.target, grant.tier] -= 1
        self._active_by_workspace[grant.workspace] -= 1
        if not self._active_by_workspace[grant.workspace]:
            del self._active_by_workspace[grant.workspace]
        return grant
