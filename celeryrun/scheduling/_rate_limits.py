"""Limits that targets name on the requests per second that they take from all nodes."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

__all__ = ["NamedLimit", "TargetRateLimits"]

MIN_RATE = 0.25  # requests per second to any target, so that its responses show a changed limit
BURST_SECONDS = 1.0  # s of its rate that a target may get at once, beside one request
CHECK_INTERVAL = 2.0  # s without a request after which a target is asked for its limit
MAX_TARGETS = 4096


@dataclass(slots=True)
class NamedLimit:
    """Limit of one target.

    Parameters
    ----------
    rate : float
        Requests per second from all nodes.
    named_at : float
        Time at which a response last named it, in seconds.
    level : float
        Requests that may be sent at ``updated_at``; negative after a burst.
    sent_at : float
        Time of the last request of this scheduler's nodes to the target.
    """

    rate: float
    named_at: float
    level: float
    updated_at: float
    sent_at: float = float("-inf")


class TargetRateLimits:
    """Limits of all targets, shared by the schedulers that may send requests to them.

    Parameters
    ----------
    fleet_share : callable
        Returns the fraction of each limit that this scheduler may use; the rest is reserved for
        nodes that may use another scheduler.

    Examples
    --------
    >>> limits = TargetRateLimits()
    >>> limits.apply("engine-0", 2.0, sent_at=9.9, now=10.0)
    True
    >>> limits.next_send("engine-0", now=10.0)
    10.5
    >>> limits.consume("engine-0", now=10.5)
    >>> limits.next_send("engine-0", now=10.5), limits.next_send("engine-1", now=10.5)
    (11.0, 10.5)
    """

    __slots__ = ("_fleet_share", "_limits_by_target")

    def __init__(self, fleet_share: Callable[[], float] = lambda: 1.0) -> None:
        self._fleet_share = fleet_share
        self._limits_by_target: dict[str, NamedLimit] = {}

    def __contains__(self, target: str) -> bool:
        return target in self._limits_by_target

    def __len__(self) -> int:
        return len(self._limits_by_target)

    def apply(self, target: str, rate: float | None, sent_at: float, now: float) -> bool:
        """Apply what a response says of its target's limit.

        Parameters
        ----------
        rate : float or None
            Requests per second; None if the response names no limit.
        sent_at : float
            Time at which its request was sent. A response to an earlier request than the one that
            named the limit may have been written before, and does not end it.

        Returns
        -------
        bool
            Whether the limit has changed.
        """
        limit = self._limits_by_target.get(target)
        if rate is None:
            if limit is None or sent_at < limit.named_at:
                return False
            del self._limits_by_target[target]
            return True
        if limit is None:
            if len(self._limits_by_target) >= MAX_TARGETS:
                return False
            # What other nodes have just sent is not known.
            self._limits_by_target[target] = NamedLimit(rate, now, 0.0, now)
            return True
        self._refill(limit, now)
        limit.named_at = max(limit.named_at, now)
        changed = limit.rate != rate
        limit.rate = rate
        return changed

    def consume(self, target: str, now: float) -> None:
        """Count a request that is sent to a target."""
        limit = self._limits_by_target.get(target)
        if limit is not None:
            self._refill(limit, now)
            limit.level -= 1.0
            limit.sent_at = now

    def refund(self, target: str, now: float) -> None:
        """Take back a request that was not sent."""
        limit = self._limits_by_target.get(target)
        if limit is not None:
            self._refill(limit, now)
            limit.level = min(limit.level + 1.0, self._capacity(limit))

    def next_send(self, target: str, now: float) -> float:
        """Return the earliest time at which a target may get another request."""
        limit = self._limits_by_target.get(target)
        if limit is None:
            return now
        self._refill(limit, now)
        return now + max(0.0, 1.0 - limit.level) / self._rate(limit)

    def interval(self, target: str) -> float:
        """Return the seconds between two requests to a target, 0 without a limit."""
        limit = self._limits_by_target.get(target)
        return 0.0 if limit is None else 1.0 / self._rate(limit)

    def is_check_due(self, target: str, now: float) -> bool:
        """Return whether a target may get a request and has not had one for a while."""
        limit = self._limits_by_target.get(target)
        if limit is None or now - max(limit.named_at, limit.sent_at) < CHECK_INTERVAL:
            return False
        return self.next_send(target, now) <= now

    def mark_usage_unknown(self, now: float) -> None:
        """Begin anew, since other schedulers may have sent requests until now."""
        for limit in self._limits_by_target.values():
            self._refill(limit, now)
            limit.level = min(limit.level, 0.0)

    def forget_targets(self, listed: set[str]) -> None:
        """Remove the limits of targets that are no longer listed."""
        for target in set(self._limits_by_target) - listed:
            del self._limits_by_target[target]

    def limits(self) -> Iterator[tuple[str, NamedLimit]]:
        """Iterate over the limited targets."""
        return iter(list(self._limits_by_target.items()))

    def _rate(self, limit: NamedLimit) -> float:
        return max(limit.rate, MIN_RATE) * self._fleet_share()

    def _capacity(self, limit: NamedLimit) -> float:
        return 1.0 + BURST_SECONDS * self._rate(limit)

    def _refill(self, limit: NamedLimit, now: float) -> None:
        elapsed = max(0.0, now - limit.updated_at)
        limit.level = min(self._capacity(limit), limit.level + elapsed * self._rate(limit))
        limit.updated_at = max(limit.updated_at, now)
