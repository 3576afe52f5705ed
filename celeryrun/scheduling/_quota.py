"""Quotas of workspaces and the budget of retries, over sliding windows."""

from __future__ import annotations

from collections import deque

__all__ = ["QuotaWindow", "RetryBudget", "SlidingSum"]

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

    def time_until(self, sum: float, now: float) -> float:
        """Return the seconds until no more than a sum is left, if nothing is added."""
        left = self.total(now)
        for when, amount in self._steps:
            if left <= sum:
                break
            left -= amount
            until = when + self._window - now
            if left <= sum:
                return max(0.0, until)
        return 0.0

    def scale(self, factor: float) -> None:
        """Multiply all amounts."""
        self._sum *= factor
        for step in self._steps:
            step[1] *= factor

    def insert(self, amount: float, when: float) -> None:
        """Add an amount at an earlier time."""
        self._sum += amount
        self._steps.append([when, amount])
        self._steps = deque(sorted(self._steps))

    def steps(self, now: float) -> tuple[tuple[float, float], ...]:
        """Return each amount with its age in seconds."""
        self.total(now)
        return tuple((now - when, amount) for when, amount in self._steps)


class QuotaWindow:
    """What a workspace may spend within any window of some seconds.

    Parameters
    ----------
    rate, burst : float
        The quota: ``rate * window + burst`` within each window.
    window : float
        Seconds.
    unknown : float
        Share of the quota that counts as spent, evenly over the window before, since what was
        spent then can't be known.

    Examples
    --------
    >>> quota = QuotaWindow(rate=10.0, burst=20.0, window=1.0, now=0.0)
    >>> quota.take(20.0, now=0.0), quota.take(15.0, now=0.5)
    (0.0, 0.75)
    >>> quota.take(15.0, now=1.3)
    0.0
    """

    __slots__ = ("_limit", "_rate", "_spent", "_window")

    def __init__(
        self, rate: float, burst: float, window: float, now: float, unknown: float = 0.0
    ) -> None:
        self._rate = rate
        self._window = window
        self._limit = rate * window + burst
        self._spent = SlidingSum(window)
        steps = int(window / STEP) if unknown else 0
        for step in range(steps):
            self._spent.add(unknown * self._limit / steps, now - window + step * STEP)

    def set_quota(self, rate: float, burst: float, now: float) -> None:
        """Change the quota; what was spent counts as the same share of the new one."""
        limit = rate * self._window + burst
        if self._limit > 0:
            self._spent.scale(limit / self._limit)
        self._rate, self._limit = rate, limit

    def take(self, amount: float, now: float) -> float:
        """Spend an amount and return 0, or return the seconds until it may be spent."""
        amount = min(amount, self._limit)
        if self._spent.total(now) + amount <= self._limit:
            self._spent.add(amount, now)
            return 0.0
        return self._spent.time_until(self._limit - amount, now)

    def give_back(self, amount: float, now: float) -> None:
        """Return what was spent for a request that did not run."""
        self._spent.add(-min(amount, self._limit), now)

    def charge(self, amount: float, when: float) -> None:
        """Count an amount that was spent elsewhere, at an earlier time."""
        self._spent.insert(amount, when)


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
