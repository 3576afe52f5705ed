"""Baseline policies that replace the keeper's decisions on the same HTTP path."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import celeryrun.pool._keeper as keeper
from celeryrun.pool._queue import FairQueue, QueuedRequest
from celeryrun.pool._state import PoolState
from celeryrun.pool._targets import Target

__all__ = ["BASELINES", "install"]

FIXED_SLOTS_BY_KIND = {"engine": 8, "application": 4}


class _SortedQueue(FairQueue):
    """One queue ordered by a key; the last request in that order is shed first."""

    sort_key: Callable[[QueuedRequest], object] = staticmethod(lambda queued_request: 0)

    def _sorted(self) -> list[QueuedRequest]:
        return sorted(self.requests_by_key.values(), key=self.sort_key)  # type: ignore[arg-type]

    def pop(self) -> QueuedRequest | None:
        """Remove and return the first request."""
        first_request = next(iter(self._sorted()), None)
        return (
            None
            if first_request is None
            else self.remove(first_request.node, first_request.slot_request_id)
        )

    def shed(self) -> QueuedRequest | None:
        """Remove and return the last request."""
        last_request = next(iter(self._sorted()[::-1]), None)
        return (
            None
            if last_request is None
            else self.remove(last_request.node, last_request.slot_request_id)
        )

    def adjust_charge(self, tier_number: int, workspace: str, difference: float) -> None:
        """Do nothing; the baselines do not account for work."""


class _FifoQueue(_SortedQueue):
    pass


class _TierQueue(_SortedQueue):
    sort_key = staticmethod(lambda queued_request: queued_request.tier)


class _Baseline(PoolState):
    """Pool with fixed slot limits and a fixed rule to choose the target."""

    __slots__ = ("_turns",)
    queue_type: type[FairQueue] = _FifoQueue
    has_slot_limit = True

    def __init__(self, name: str, lease: float, grace: float = 0.0) -> None:
        super().__init__(name, lease, grace)
        self.queue = self.queue_type()
        self._turns = itertools.count()

    def choose(self, free: list[Target]) -> Target:
        """Choose the target with the fewest requests in flight."""
        return min(free, key=lambda target: (self.in_flight(target.name), target.name))

    def grant_next(
        self, kind: str, targets: list[Target]
    ) -> tuple[int, QueuedRequest, Target] | None:
        """Grant a slot of the chosen target to the first queued request."""
        max_slots = FIXED_SLOTS_BY_KIND[kind] if self.has_slot_limit else 1_000_000
        free = [
            target
            for target in targets
            if target.is_usable() and self.in_flight(target.name) < max_slots
        ]
        queued_request = self.queue.pop() if free else None
        if queued_request is None:
            return None
        target = self.choose(free)
        return self._lease_slot(queued_request, target), queued_request, target


class RoundRobin(_Baseline):
    """Targets in turn, without a slot limit or a queue."""

    __slots__ = ()
    has_slot_limit = False

    def choose(self, free: list[Target]) -> Target:
        """Choose the next target in turn."""
        ordered = sorted(free, key=lambda target: target.name)
        return ordered[next(self._turns) % len(ordered)]


class LeastOutstanding(_Baseline):
    """Target with the fewest requests in flight, behind one FIFO queue."""

    __slots__ = ()


class StrictPriority(_Baseline):
    """Highest tier first, with fixed slot limits."""

    __slots__ = ()
    queue_type = _TierQueue


BASELINES: dict[str, type[PoolState]] = {
    "round-robin": RoundRobin,
    "least-outstanding": LeastOutstanding,
    "strict-priority": StrictPriority,
}


def install(policy: str) -> None:
    """Replace the keeper's pool state by a baseline in this process."""
    keeper.PoolState = BASELINES[policy]  # type: ignore[misc]
