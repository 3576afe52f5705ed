"""Logs and metrics."""

from celeryrun.observe._logging import (
    LoggedServer,
    json_handler,
    redirect_output,
    request_context,
)
from celeryrun.observe._metrics import Metrics

__all__ = ["LoggedServer", "Metrics", "json_handler", "redirect_output", "request_context"]
