"""Checks of a configuration before it is published, as functions over plain data."""

from celeryrun.checks._catalog import check_draft
from celeryrun.checks._differences import (
    Difference,
    compare_configurations,
    compare_drafts,
)
from celeryrun.checks._findings import Finding, Severity

__all__ = [
    "Difference",
    "Finding",
    "Severity",
    "check_draft",
    "compare_configurations",
    "compare_drafts",
]
