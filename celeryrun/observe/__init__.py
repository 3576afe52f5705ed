"""Logs and metrics."""

from celeryrun.observe._logging import (
    LEVEL_BY_NAME,
    LoggedServer,
    json_handler,
    redirect_output,
    request_context,
)
from celeryrun.observe._metrics import MAX_WORKSPACE_LABELS, OTHER, SECONDS_BUCKETS, Metrics

__all__ = [
    "LEVEL_BY_NAME",
    "MAX_WORKSPACE_LABELS",
    "OTHER",
    "SECONDS_BUCKETS",
    "LoggedServer",
    "Metrics",
    "json_handler",
    "redirect_output",
    "request_context",
]
