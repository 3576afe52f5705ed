"""Data classes of a deployment: routes, pools, workspaces and targets."""

from celeryrun.catalog._model import (
    CallerLimits,
    Catalog,
    Pool,
    RequestKind,
    Route,
    Split,
    Target,
    Workspace,
)

__all__ = [
    "CallerLimits",
    "Catalog",
    "Pool",
    "RequestKind",
    "Route",
    "Split",
    "Target",
    "Workspace",
]
