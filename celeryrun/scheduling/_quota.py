"""Quotas of workspaces and the budget of retries, as token buckets and sliding windows."""

from __future__ import annotations

from collections import deque

__all__ = ["RetryBudget", "SlidingSum", "TokenBucket"]

STEP = 0.25  # s, the resolution of a sliding window


class SlidingSum:
    """Sum of what was added within the last seconds, in steps.

    Parameters
    ----------
    window : float
        Seconds.

    Examples
    --------
    >>> spent = SlidingSum(1.0)
    >>> spent.add(5.0, now=0.0)
    >>> spent.total(now=0.9), spent.total(now=1.5)
    (5.0, 0.0)
    """

    __slots__ = ("_steps", "_sum", "_window")

    def __init__(self, window: float) -> None:
        self._window = window
        self._steps: deque[list[float]] = deque()
        self._sum = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        if self._steps and now - self._steps[-1][0] < STEP:
            self._steps[-1][1] += amount
        else:
            self._steps.append([now, amount])
        self._sum += amount

    def total(self, now: float) -> float:
        """Return the sum."""
        while self._steps and now - self._steps[0][0] > self._window:
            self._sum -= self._steps.popleft()[1]
        return self._sum if self._steps else 0.0


class TokenBucket:
    """Token bucket whose rate and size may change while it is used.

    Parameters
    ----------
    level : float
        Share of the burst that is there at the start.

    Examples
    --------
    >>> bucket = TokenBucket(rate=10.0, burst=20.0, now=0.0)
    >>> bucket.take(15.0, now=0.0), bucket.take(15.0, now=0.0)
    (0.0, 1.0)
    >>> bucket.take(15.0, now=1.0)
    0.0
    """

    __slots__ = ("_burst", "_filled", "_level", "_overdraft", "_rate")

    def __init__(self, rate: float, burst: float, now: float, level: float = 1.0) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst * level
        self._overdraft = 0.0
        self._filled = now

    def set_quota(self, rate: float, burst: float, now: float, overdraft: float = 0.0) -> None:
        """Change rate and size from now on; what is left changes with the size.

        Parameters
        ----------
        overdraft : float
            Amount that may be taken beyond what is there, by the operators' tolerance.
        """
        self._fill(now)
        if self._level > 0 and self._burst > 0:
            self._level *= burst / self._burst
        self._rate, self._burst, self._overdraft = rate, burst, overdraft
        self._level = min(self._level, burst)

    def take(self, amount: float, now: float) -> float:
        """Take an amount and return 0, or return the seconds until it is there.

        An amount above the size is served once the bucket is full, and leaves a debt.
        """
        self._fill(now)
        needed = min(amount, self._burst) - self._overdraft
        if self._level >= needed:
            self._level -= amount
            return 0.0
        return (needed - self._level) / self._rate if self._rate > 0 else float("inf")

    def lower(self, level: float, now: float) -> None:
        """Leave no more than an amount there."""
        self._fill(now)
        self._level = min(self._level, level)

    def give_back(self, amount: float) -> None:
        """Return what was taken for a request that did not run."""
        self._level = min(self._burst, self._level + amount)

    def _fill(self, now: float) -> None:
        self._level = min(self._burst, self._level + (now - self._filled) * self._rate)
        self._filled = now


class RetryBudget:
    """Retries allowed beside first sends, over a sliding window.

    Parameters
    ----------
    ratio : float
        Retries for each first send.
    slack : float
        Retries beyond that.
    window : float
        Seconds.
    """

    __slots__ = ("_firsts", "_ratio", "_retries", "_slack")

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._firsts = SlidingSum(window)
        self._retries = SlidingSum(window)

    def set_bounds(self, ratio: float, slack: float) -> None:
        """Change what is allowed; the window stays."""
        self._ratio, self._slack = ratio, slack

    def note_first(self, now: float) -> None:
        """Count a request."""
        self._firsts.add(1.0, now)

    def take(self, now: float, share: float = 1.0) -> bool:
        """Take one retry if the budget allows it.

        Parameters
        ----------
        share : float
            Part of the budget that may be used here, as others may use the rest.
        """
        allowed = (self._ratio * self._firsts.total(now) + self._slack) * share
        if self._retries.total(now) + 1 > allowed:
            return False
        self._retries.add(1.0, now)
        return True
