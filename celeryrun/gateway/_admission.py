"""Whether a request is allowed: its route, its key, and whether what is known is fresh enough."""

from __future__ import annotations

import random
from dataclasses import dataclass

from celeryrun.catalog import Catalog, Route, Workspace
from celeryrun.exception import Refusal

__all__ = ["PUBLIC", "Admitted", "Freshness", "admit", "choose_pool", "still_allowed"]

PUBLIC = Workspace("")  # whose requests need no key
RETRY_WHEN_KNOWN = 0.5  # s after which a node mostly has its configuration
NOT_KNOWN = Refusal(
    503, "not-ready", "send it again; this node knows no current configuration", RETRY_WHEN_KNOWN
)
NO_ROUTE = Refusal(404, "no-route", "send it to a host and path that is configured")
NO_KEY = Refusal(401, "unknown-key", "send a valid bearer key")


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that is allowed by a version of the configuration."""

    route: Route
    workspace: Workspace
    version: int

    @property
    def tier(self) -> int:
        """Rank of the request, 0 is the most urgent."""
        tier = self.workspace.tier
        return self.route.tier if tier is None else tier


@dataclass(frozen=True, slots=True)
class Freshness:
    """How old what is known may be.

    Parameters
    ----------
    age : float
        Seconds since the read began that showed the configuration to be the newest.
    key_limit : float
        Greatest age at which a key counts as allowed.
    denial_limit : float
        Greatest age at which a missing route or key counts as missing.
    """

    age: float
    key_limit: float
    denial_limit: float


def admit(
    catalog: Catalog | None, host: str, path: str, key: str | None, freshness: Freshness
) -> Admitted | Refusal:
    """Decide on a request as it arrives.

    Examples
    --------
    >>> admit(None, "a.example", "/x/", None, Freshness(0.0, 4.0, 2.0)).status
    503
    """
    if catalog is None:
        return NOT_KNOWN
    route = catalog.find_route(host, path)
    if route is None:
        return NO_ROUTE if freshness.age <= freshness.denial_limit else NOT_KNOWN
    if route.public or not catalog.has_workspaces:
        return Admitted(route, PUBLIC, catalog.version)
    workspace = catalog.workspaces_by_key.get(key) if key is not None else None
    if workspace is None:
        stale = key is not None and freshness.age > freshness.denial_limit
        return NOT_KNOWN if stale else NO_KEY
    if freshness.age > freshness.key_limit:
        return NOT_KNOWN
    return Admitted(route, workspace, catalog.version)


def still_allowed(
    catalog: Catalog, admitted: Admitted, key: str | None, freshness: Freshness
) -> Refusal | None:
    """Decide again before a request that has waited is sent; None if it is allowed."""
    if admitted.workspace is PUBLIC:
        return None
    if key not in catalog.workspaces_by_key:
        return NO_KEY
    return NOT_KNOWN if freshness.age > freshness.key_limit else None


def choose_pool(route: Route) -> str:
    """Choose the pool of one request by the weights of its route."""
    if len(route.splits) == 1:
        return route.splits[0].pool
    weights = [split.weight for split in route.splits]
    return random.choices(route.splits, weights)[0].pool
