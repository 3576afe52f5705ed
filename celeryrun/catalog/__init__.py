"""Data classes of a deployment: routes, pools, workspaces and targets."""

from celeryrun.catalog._draft import CatalogDraft, WorkspaceEntry
from celeryrun.catalog._model import (
    CallerLimits,
    Catalog,
    Pool,
    RequestKind,
    Route,
    Split,
    Target,
    TargetRun,
    Workspace,
    expect_patience,
)
from celeryrun.catalog._restored import Credible, Doubtful, Outdated, judge_restored_entry

__all__ = [
    "CallerLimits",
    "Catalog",
    "CatalogDraft",
    "Credible",
    "Doubtful",
    "Outdated",
    "Pool",
    "RequestKind",
    "Route",
    "Split",
    "Target",
    "TargetRun",
    "Workspace",
    "WorkspaceEntry",
    "expect_patience",
    "judge_restored_entry",
]
