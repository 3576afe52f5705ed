"""Admission of requests by route, key and age of the configuration."""

from __future__ import annotations

import random
from dataclasses import dataclass

from celeryrun.catalog import Catalog, Route, Workspace
from celeryrun.exception import Refusal

__all__ = ["PUBLIC", "Admission", "Freshness", "admit", "choose_pool", "recheck_admission"]

PUBLIC = Workspace("")  # workspace of requests that need no key
NOT_READY_RETRY_AFTER = 0.5  # s; by then a node usually has its configuration
NOT_READY = Refusal(
    503,
    "not-ready",
    "send it again; this node knows no current configuration",
    NOT_READY_RETRY_AFTER,
)
NO_ROUTE = Refusal(404, "no-route", "send it to a host and path that is configured")
NO_KEY = Refusal(401, "unknown-key", "send a valid bearer key")


@dataclass(frozen=True, slots=True)
class Admission:
    """Route and workspace of an admitted request, and the configuration version used."""

    route: Route
    workspace: Workspace
    version: int

    @property
    def tier(self) -> int:
        """Tier of the request; 0 is the most urgent."""
        tier = self.workspace.tier
        return self.route.tier if tier is None else tier


@dataclass(frozen=True, slots=True)
class Freshness:
    """Age of the configuration and the limits on it, in seconds.

    Parameters
    ----------
    age : float
        Time since the start of the last read that showed the configuration to be the newest.
    max_key_age : float
        Age up to which a configured key is accepted.
    max_denial_age : float
        Age up to which a route or key that is not configured is refused as unknown.
    """

    age: float
    max_key_age: float
    max_denial_age: float


def admit(
    catalog: Catalog | None, host: str, path: str, key: str | None, freshness: Freshness
) -> Admission | Refusal:
    """Admit or refuse a request on arrival.

    Examples
    --------
    >>> admit(None, "a.example", "/x/", None, Freshness(0.0, 4.0, 2.0)).status
    503
    """
    if catalog is None:
        return NOT_READY
    route = catalog.find_route(host, path)
    if route is None:
        return NO_ROUTE if freshness.age <= freshness.max_denial_age else NOT_READY
    if route.public or not catalog.has_workspaces:
        return Admission(route, PUBLIC, catalog.version)
    workspace = catalog.workspaces_by_key.get(key) if key is not None else None
    if workspace is None:
        stale = key is not None and freshness.age > freshness.max_denial_age
        return NOT_READY if stale else NO_KEY
    if freshness.age > freshness.max_key_age:
        return NOT_READY
    return Admission(route, workspace, catalog.version)


def recheck_admission(
    catalog: Catalog, admission: Admission, key: str | None, freshness: Freshness
) -> Refusal | None:
    """Check a queued request again before it is sent; return None if it is still allowed."""
    if admission.workspace is PUBLIC:
        return None
    workspace = catalog.workspaces_by_key.get(key) if key is not None else None
    if workspace is None or workspace.name != admission.workspace.name:
        return NO_KEY
    return NOT_READY if freshness.age > freshness.max_key_age else None


def choose_pool(route: Route) -> str:
    """Choose a pool at random by the weights of the route's splits."""
    if len(route.splits) == 1:
        return route.splits[0].pool
    weights = [split.weight for split in route.splits]
    if not any(weights):
        return random.choice(route.splits).pool
    return random.choices(route.splits, weights)[0].pool
