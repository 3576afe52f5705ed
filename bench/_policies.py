"""Baseline policies: they take the place of the product's decisions on the same HTTP path."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import celeryrun.pool._keeper as keeper
from celeryrun.pool._queue import FairQueue, QueuedRequest
from celeryrun.pool._state import PoolState
from celeryrun.pool._targets import Target

__all__ = ["BASELINES", "install"]

FIXED_SLOTS_BY_KIND = {"engine": 8, "application": 4}


class _OneQueue(FairQueue):
    """One queue in order of a key; the last in that order is refused first."""

    order: Callable[[QueuedRequest], object] = staticmethod(lambda waiting: 0)

    def _sorted(self) -> list[QueuedRequest]:
        return sorted(self.requests_by_key.values(), key=self.order)  # type: ignore[arg-type]

    def pop(self) -> QueuedRequest | None:
        """Take the first."""
        first = next(iter(self._sorted()), None)
        return None if first is None else self.remove(first.node, first.slot_request_id)

    def shed(self) -> QueuedRequest | None:
        """Take the last."""
        last = next(iter(self._sorted()[::-1]), None)
        return None if last is None else self.remove(last.node, last.slot_request_id)

    def adjust_charge(self, tier_number: int, workspace: str, difference: float) -> None:
        """Keep no account of work."""


class _Fifo(_OneQueue):
    pass


class _ByTier(_OneQueue):
    order = staticmethod(lambda waiting: waiting.tier)


class _Baseline(PoolState):
    """Fixed limits and one choice of target."""

    __slots__ = ("_turn",)
    queue_type: type[FairQueue] = _Fifo
    limited = True

    def __init__(self, name: str, lease: float, grace: float = 0.0) -> None:
        super().__init__(name, lease, grace)
        self.queue = self.queue_type()
        self._turn = itertools.count()

    def choose(self, free: list[Target]) -> Target:
        """Choose the target with the fewest requests in flight."""
        return min(free, key=lambda target: (self.in_flight(target.name), target.name))

    def grant_next(
        self, kind: str, targets: list[Target]
    ) -> tuple[int, QueuedRequest, Target] | None:
        """Grant by the baseline's rules."""
        most = FIXED_SLOTS_BY_KIND[kind] if self.limited else 1_000_000
        free = [item for item in targets if item.is_usable() and self.in_flight(item.name) < most]
        waiting = self.queue.pop() if free else None
        if waiting is None:
            return None
        target = self.choose(free)
        return self._lease_slot(waiting, target), waiting, target


class RoundRobin(_Baseline):
    """Targets in turn, nothing queued."""

    __slots__ = ()
    limited = False

    def choose(self, free: list[Target]) -> Target:
        """Choose the next in turn."""
        names = sorted(free, key=lambda target: target.name)
        return names[next(self._turn) % len(names)]


class LeastOutstanding(_Baseline):
    """The target with the fewest requests, before it one FIFO."""

    __slots__ = ()


class StrictPriority(_Baseline):
    """The highest tier first, fixed limits."""

    __slots__ = ()
    queue_type = _ByTier


BASELINES: dict[str, type[PoolState]] = {
    "round-robin": RoundRobin,
    "least-outstanding": LeastOutstanding,
    "strict-priority": StrictPriority,
}


def install(policy: str) -> None:
    """Put a baseline in the place of the product's decisions in this process."""
    keeper.PoolState = BASELINES[policy]  # type: ignore[misc]
