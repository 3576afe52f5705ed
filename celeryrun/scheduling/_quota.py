"""Token buckets for quotas, and sliding windows for the retry budget."""

from __future__ import annotations

from collections import deque

__all__ = ["RetryBudget", "SlidingSum", "TokenBucket"]

RESOLUTION = 0.25  # s; amounts closer together than this share a step of a sliding window


class SlidingSum:
    """Sum of the amounts added within a sliding time window.

    Parameters
    ----------
    window : float
        Length of the window in seconds.

    Examples
    --------
    >>> usage = SlidingSum(1.0)
    >>> usage.add(5.0, now=0.0)
    >>> usage.total(now=0.9), usage.total(now=1.5)
    (5.0, 0.0)
    """

    __slots__ = ("_steps", "_sum", "_window")

    def __init__(self, window: float) -> None:
        self._window = window
        self._steps: deque[list[float]] = deque()
        self._sum = 0.0

    def set_window(self, window: float) -> None:
        """Change the length of the window."""
        self._window = window

    def add(self, amount: float, now: float) -> None:
        """Add an amount at the current time."""
        if self._steps and now - self._steps[-1][0] < RESOLUTION:
            self._steps[-1][1] += amount
        else:
            self._steps.append([now, amount])
        self._sum += amount

    def remove(self, amount: float, added_at: float) -> None:
        """Take back an amount that was added at a time, unless the window has passed it."""
        for step in reversed(self._steps):
            if step[0] <= added_at:
                step[1] -= amount
                self._sum -= amount
                return

    def total(self, now: float) -> float:
        """Return the sum over the window that ends now."""
        while self._steps and now - self._steps[0][0] > self._window:
            self._sum -= self._steps.popleft()[1]
        return self._sum if self._steps else 0.0


class TokenBucket:
    """Token bucket with an adjustable rate and burst.

    Parameters
    ----------
    rate : float
        Tokens added per second.
    burst : float
        Capacity in tokens.
    level : float
        Initial fill level as a fraction of the burst.

    Examples
    --------
    >>> bucket = TokenBucket(rate=10.0, burst=20.0, now=0.0)
    >>> bucket.consume(15.0, now=0.0), bucket.consume(15.0, now=0.0)
    (0.0, 1.0)
    >>> bucket.consume(15.0, now=1.0)
    0.0
    """

    __slots__ = ("_burst", "_last_refill", "_level", "_overdraft", "_rate")

    def __init__(self, rate: float, burst: float, now: float, level: float = 1.0) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst * level
        self._overdraft = 0.0
        self._last_refill = now

    def set_quota(self, rate: float, burst: float, now: float, overdraft: float = 0.0) -> None:
        """Change rate and burst from now on; a positive level scales with the burst.

        Parameters
        ----------
        overdraft : float
            Amount that may be consumed beyond the level, within the operators' tolerance.
        """
        self._refill(now)
        if self._level > 0 and self._burst > 0:
            self._level *= burst / self._burst
        self._rate, self._burst, self._overdraft = rate, burst, overdraft
        self._level = min(self._level, burst)

    def consume(self, amount: float, now: float) -> float:
        """Consume an amount if the level suffices.

        An amount above the burst is consumed once the bucket is full, and leaves a negative level.

        Returns
        -------
        float
            0 if the amount was consumed, else the seconds until the level suffices.
        """
        self._refill(now)
        needed = min(amount, self._burst) - self._overdraft
        if self._level >= needed:
            self._level -= amount
            return 0.0
        return (needed - self._level) / self._rate if self._rate > 0 else float("inf")

    def cap_level(self, level: float, now: float) -> None:
        """Lower the level to a maximum."""
        self._refill(now)
        self._level = min(self._level, level)

    def refund(self, amount: float, now: float) -> None:
        """Return the amount consumed for a request that did not run."""
        self._refill(now)
        self._level = min(self._burst, self._level + amount)

    def _refill(self, now: float) -> None:
        self._level = min(self._burst, self._level + (now - self._last_refill) * self._rate)
        self._last_refill = now


class RetryBudget:
    """Limit on retries relative to first attempts, over a sliding window.

    Parameters
    ----------
    ratio : float
        Retries allowed per first attempt.
    slack : float
        Retries allowed in addition.
    window : float
        Length of the window in seconds.
    """

    __slots__ = ("_first_attempts", "_ratio", "_retries", "_slack")

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._first_attempts = SlidingSum(window)
        self._retries = SlidingSum(window)

    def set_limits(self, ratio: float, slack: float, window: float) -> None:
        """Change ratio, slack and the length of the window.

        A longer window counts what the shorter one has not dropped yet.
        """
        self._ratio, self._slack = ratio, slack
        self._first_attempts.set_window(window)
        self._retries.set_window(window)

    def record_first_attempt(self, now: float) -> None:
        """Count a first attempt."""
        self._first_attempts.add(1.0, now)

    def try_retry(self, now: float, fleet_share: float = 1.0) -> bool:
        """Count a retry if the budget allows it, and return whether it does.

        Parameters
        ----------
        fleet_share : float
            Fraction of the budget available here; other schedulers may use the rest.
        """
        allowed = (self._ratio * self._first_attempts.total(now) + self._slack) * fleet_share
        if self._retries.total(now) + 1 > allowed:
            return False
        self._retries.add(1.0, now)
        return True

    def refund_retry(self, charged_at: float) -> None:
        """Give back a retry that reached no target, counted at a time."""
        self._retries.remove(1.0, charged_at)
