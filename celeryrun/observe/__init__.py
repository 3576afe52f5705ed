"""Logs and metrics."""

from celeryrun.observe._logging import json_handler, request_context
from celeryrun.observe._metrics import Metrics

__all__ = ["Metrics", "json_handler", "request_context"]
