"""Fleet-wide limits: quotas of workspaces and the retry budget of each pool."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from celeryrun.scheduling._messages import SlotRequest
from celeryrun.scheduling._quota import RetryBudget, TokenBucket

__all__ = ["FleetLimits", "LimitEnforcer"]

# Fraction of a quota's tolerance (see FleetLimits.quota_tolerance) that a scheduler may admit at
# once when it takes over, since it does not know what earlier schedulers admitted.
UNKNOWN_USAGE_FRACTION = 0.25
# Fraction of the tolerance by which a bucket may be overdrawn while all usage in the window is
# known, since a meter outside the scheduler may count the same requests in another order.
OVERDRAFT_FRACTION = 0.4
# One scheduler and two successors within a window use nine tenths of the tolerance, which is
# 0.4 + 2 * 0.25; nodes that restart in turn do not change schedulers faster. The last tenth covers
# delayed messages.
QUOTA_RETENTION = 3600.0  # s for which the quota of a workspace without requests is kept


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """Limits over all nodes.

    Parameters
    ----------
    retry_ratio, retry_slack : float
        Retries of a pool allowed per first attempt at a request, and number of retries allowed in
        addition to these, within the retry window.
    quota_over, quota_slack : float
        Fraction and amount by which a quota may be exceeded within the quota window.
    retry_window, quota_window : float
        Lengths of the windows in seconds.
    """

    retry_ratio: float
    retry_slack: float
    retry_window: float
    quota_over: float
    quota_slack: float
    quota_window: float

    def quota_tolerance(self, rate: float, burst: float) -> float:
        """Return the amount by which a quota may be exceeded within the quota window."""
        return self.quota_over * (rate * self.quota_window + burst) + self.quota_slack


@dataclass(slots=True)
class Quota:
    """Token bucket of a workspace and the settings in force for it.

    Parameters
    ----------
    version : int
        Newest configuration version seen; older ones do not change the quota.
    usage_known_from : float
        Time from which on this scheduler knows all usage.
    fleet_share : float
        Fraction of the fleet's limits in force; -1 forces an update of the bucket at the next use.
    overdraft : float
        Amount by which the bucket may be overdrawn.
    last_used : float
        Time of the last request of the workspace.
    """

    bucket: TokenBucket
    version: int
    rate: float
    burst: float
    usage_known_from: float
    fleet_share: float = -1.0
    overdraft: float = 0.0
    last_used: float = 0.0


class LimitEnforcer:
    """Enforces one scheduler's share of the fleet's limits.

    Parameters
    ----------
    fleet_share : callable
        Returns the fraction of the limits that this scheduler may use; the rest is reserved for
        nodes that may use another scheduler.
    no_prior_usage : bool
        Whether no usage precedes this scheduler, as at the system's first start.
    """

    __slots__ = (
        "_fleet_share",
        "_limits",
        "_no_prior_usage",
        "_quota_by_workspace",
        "_retry_budget_by_pool",
    )

    def __init__(
        self, limits: FleetLimits, fleet_share: Callable[[], float], no_prior_usage: bool
    ) -> None:
        self._limits = limits
        self._fleet_share = fleet_share
        self._no_prior_usage = no_prior_usage
        self._quota_by_workspace: dict[str, Quota] = {}
        self._retry_budget_by_pool: dict[str, RetryBudget] = {}

    def set_limits(self, limits: FleetLimits) -> None:
        """Replace the limits."""
        self._limits = limits
        for budget in self._retry_budget_by_pool.values():
            budget.set_limits(limits.retry_ratio, limits.retry_slack, limits.retry_window)

    def mark_usage_unknown(self, now: float) -> None:
        """Lower the quotas' levels, since other schedulers may have admitted requests until now.

        Called when this scheduler begins to serve nodes that another one may have served before.
        """
        self._no_prior_usage = False
        for quota in self._quota_by_workspace.values():
            quota.usage_known_from = now
            tolerance = self._limits.quota_tolerance(quota.rate, quota.burst)
            quota.bucket.cap_level(
                UNKNOWN_USAGE_FRACTION * max(0.0, quota.fleet_share) * tolerance, now
            )

    def admit_attempt(self, slot_request: SlotRequest, now: float) -> bool:
        """Count a first attempt at a request, or charge a retry to the pool's retry budget.

        Returns
        -------
        bool
            False if the retry budget is exhausted.
        """
        budget = self._retry_budget_by_pool.get(slot_request.pool)
        if budget is None:
            limits = self._limits
            budget = RetryBudget(limits.retry_ratio, limits.retry_slack, limits.retry_window)
            self._retry_budget_by_pool[slot_request.pool] = budget
        if slot_request.retry:
            return budget.try_retry(now, self._fleet_share())
        budget.record_first_attempt(now)
        return True

    def refund_retry(self, pool: str, charged_at: float) -> None:
        """Give back the charge of a retry that reached no target."""
        if pool in self._retry_budget_by_pool:
            self._retry_budget_by_pool[pool].refund_retry(charged_at)

    def charge_quota(self, slot_request: SlotRequest, now: float) -> float:
        """Charge a slot request to its workspace's quota.

        Returns
        -------
        float
            0 if it was charged, else the seconds until the quota suffices.
        """
        if slot_request.rate <= 0 or slot_request.charge <= 0:
            return 0.0
        return self._quota(slot_request, now).bucket.consume(slot_request.charge, now)

    def refund_quota(self, slot_request: SlotRequest, now: float) -> None:
        """Give back the charge of a slot request that was denied after it was queued.

        Nothing was charged for a request of a workspace without a limit.
        """
        quota = self._quota_by_workspace.get(slot_request.workspace)
        if quota is not None and slot_request.rate > 0 and slot_request.charge > 0:
            quota.bucket.refund(slot_request.charge, now)

    def forget_unused(self, now: float) -> None:
        """Remove the quotas of workspaces without a request for `QUOTA_RETENTION`."""
        for workspace, quota in list(self._quota_by_workspace.items()):
            if now - quota.last_used > QUOTA_RETENTION:
                del self._quota_by_workspace[workspace]

    def _quota(self, slot_request: SlotRequest, now: float) -> Quota:
        quota = self._quota_by_workspace.get(slot_request.workspace)
        if quota is None:
            level = 1.0  # initial level as a fraction of the burst
            if not self._no_prior_usage and slot_request.burst > 0:
                # Prior usage is unknown; part of the tolerance covers it.
                tolerance = self._limits.quota_tolerance(slot_request.rate, slot_request.burst)
                level = min(1.0, UNKNOWN_USAGE_FRACTION * tolerance / slot_request.burst)
            fleet_share = self._fleet_share()
            bucket = TokenBucket(
                slot_request.rate * fleet_share, slot_request.burst * fleet_share, now, level
            )
            # Without prior usage, a whole window is known, so that the overdraft applies at once.
            known_from = now - self._limits.quota_window if self._no_prior_usage else now
            quota = Quota(
                bucket,
                slot_request.configuration_version,
                slot_request.rate,
                slot_request.burst,
                known_from,
            )
            self._quota_by_workspace[slot_request.workspace] = quota
        if slot_request.configuration_version > quota.version:
            quota.version, quota.rate, quota.burst = (
                slot_request.configuration_version,
                slot_request.rate,
                slot_request.burst,
            )
            quota.fleet_share = -1.0
        quota.last_used = now
        self._apply_fleet_share(quota, now)
        return quota

    def _apply_fleet_share(self, quota: Quota, now: float) -> None:
        fleet_share = self._fleet_share()
        overdraft = 0.0
        if now - quota.usage_known_from >= self._limits.quota_window:
            overdraft = (
                OVERDRAFT_FRACTION
                * fleet_share
                * self._limits.quota_tolerance(quota.rate, quota.burst)
            )
        if (fleet_share, overdraft) == (quota.fleet_share, quota.overdraft):
            return
        quota.fleet_share, quota.overdraft = fleet_share, overdraft
        quota.bucket.set_quota(quota.rate * fleet_share, quota.burst * fleet_share, now, overdraft)
