"""Dispatch of requests to targets, at most once each; only complete responses are returned."""

from celeryrun.dispatch._application import call_application
from celeryrun.dispatch._engine import EngineStream, cancel_stream
from celeryrun.dispatch._results import (
    ApplicationResponse,
    NotDispatched,
    Token,
    UnknownOutcome,
    Usage,
)

__all__ = [
    "ApplicationResponse",
    "EngineStream",
    "NotDispatched",
    "Token",
    "UnknownOutcome",
    "Usage",
    "call_application",
    "cancel_stream",
]
