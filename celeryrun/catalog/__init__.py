"""What a deployment consists of, as plain data."""

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
