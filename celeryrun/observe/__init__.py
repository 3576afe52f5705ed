"""Structured logs and Prometheus metrics."""

from celeryrun.observe._logging import (
    LEVEL_BY_NAME,
    json_handler,
    redirect_errors_to_log,
    request_context,
)
from celeryrun.observe._metrics import Metrics, WorkspaceLabels, seconds_histogram

__all__ = [
    "LEVEL_BY_NAME",
    "Metrics",
    "WorkspaceLabels",
    "json_handler",
    "redirect_errors_to_log",
    "request_context",
    "seconds_histogram",
]
