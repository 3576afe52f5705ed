"""Limits over all nodes: quotas of workspaces and the budget of retries."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from celeryrun.scheduling._messages import SlotRequest
from celeryrun.scheduling._quota import RetryBudget, TokenBucket

__all__ = ["FleetLimits", "LimitEnforcer"]

UNKNOWN_SHARE = 0.25  # of a quota's tolerance, for what was spent before a scheduler began
OVERDRAFT_SHARE = 0.4  # of it, for what others count in another order, by one that knows all
# Together nine tenths for one scheduler and two that follow it within a window, which is as fast as
# nodes restart in turn; the last tenth is for late ways.


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """Limits over all nodes.

    Parameters
    ----------
    retry_ratio, retry_slack : float
        Retries for each request, and beyond these, within the window.
    quota_over, quota_slack : float
        Share and amount by which a quota may be exceeded within the window.
    retry_window, quota_window : float
        Seconds.
    """

    retry_ratio: float
    retry_slack: float
    retry_window: float
    quota_over: float
    quota_slack: float
    quota_window: float

    def tolerated(self, rate: float, burst: float) -> float:
        """Return the amount by which a quota may be exceeded."""
        return self.quota_over * (rate * self.quota_window + burst) + self.quota_slack


@dataclass(slots=True)
class Quota:
    """A workspace's bucket, and the newest version and part of the fleet that it follows.

    Parameters
    ----------
    since : float
        From when on all that was spent is known.
    """

    bucket: TokenBucket
    version: int
    rate: float
    burst: float
    since: float
    share: float = -1.0
    overdraft: float = 0.0


class LimitEnforcer:
    """What of the fleet's limits is left to the nodes that ask one scheduler.

    Parameters
    ----------
    share : callable
        Returns the part of the limits that may be used.
    knows_all : bool
        Whether nothing can have been spent before, as at the system's first start.
    """

    __slots__ = ("_bounds", "_knows_all", "_quota_by_workspace", "_retries_by_pool", "_share")

    def __init__(self, bounds: FleetLimits, share: Callable[[], float], knows_all: bool) -> None:
        self._bounds = bounds
        self._share = share
        self._knows_all = knows_all
        self._quota_by_workspace: dict[str, Quota] = {}
        self._retries_by_pool: dict[str, RetryBudget] = {}

    def set_bounds(self, bounds: FleetLimits) -> None:
        """Use other limits from now on."""
        self._bounds = bounds
        for budget in self._retries_by_pool.values():
            budget.set_bounds(bounds.retry_ratio, bounds.retry_slack)

    def forget_spent(self, now: float) -> None:
        """Take nothing as known of what was spent before now, by asks of other schedulers."""
        self._knows_all = False
        for quota in self._quota_by_workspace.values():
            quota.since = now
            tolerated = self._bounds.tolerated(quota.rate, quota.burst)
            quota.bucket.lower(UNKNOWN_SHARE * max(0.0, quota.share) * tolerated, now)

    def take_send(self, ask: SlotRequest, now: float) -> bool:
        """Count a first send, or take a retry; tell whether it is allowed."""
        budget = self._retries_by_pool.get(ask.pool)
        if budget is None:
            bounds = self._bounds
            budget = RetryBudget(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window)
            self._retries_by_pool[ask.pool] = budget
        if ask.retry:
            return budget.take(now, self._share())
        budget.note_first(now)
        return True

    def take_quota(self, ask: SlotRequest, now: float) -> float:
        """Take what an ask counts and return 0, or return the seconds until it is there."""
        if ask.rate <= 0 or ask.charge <= 0:
            return 0.0
        return self._quota(ask, now).bucket.take(ask.charge, now)

    def give_back(self, ask: SlotRequest) -> None:
        """Return what was taken for an ask that was denied."""
        quota = self._quota_by_workspace.get(ask.workspace)
        if quota is not None:
            quota.bucket.give_back(ask.charge)

    def _quota(self, ask: SlotRequest, now: float) -> Quota:
        quota = self._quota_by_workspace.get(ask.workspace)
        if quota is None:
            level = 1.0
            if not self._knows_all and ask.burst > 0:
                # What was spent before is not known: a part of the tolerance covers it.
                tolerated = self._bounds.tolerated(ask.rate, ask.burst)
                level = min(1.0, UNKNOWN_SHARE * tolerated / ask.burst)
            share = self._share()
            bucket = TokenBucket(ask.rate * share, ask.burst * share, now, level)
            since = now - self._bounds.quota_window if self._knows_all else now
            quota = Quota(bucket, ask.configuration_version, ask.rate, ask.burst, since)
            self._quota_by_workspace[ask.workspace] = quota
        if ask.configuration_version > quota.version:
            quota.version, quota.rate, quota.burst = ask.configuration_version, ask.rate, ask.burst
            quota.share = -1.0
        self._follow_share(quota, now)
        return quota

    def _follow_share(self, quota: Quota, now: float) -> None:
        share = self._share()
        overdraft = 0.0
        if now - quota.since >= self._bounds.quota_window:
            overdraft = OVERDRAFT_SHARE * share * self._bounds.tolerated(quota.rate, quota.burst)
        if (share, overdraft) == (quota.share, quota.overdraft):
            return
        quota.share, quota.overdraft = share, overdraft
        quota.bucket.set_quota(quota.rate * share, quota.burst * share, now, overdraft)
