"""Dispatch to targets: at most once, and whole answers only."""

from celeryrun.dispatch._application import call_application
from celeryrun.dispatch._engine import EngineStream, cancel_stream
from celeryrun.dispatch._results import Answer, NotDispatched, Token, Unknown, Usage

__all__ = [
    "Answer",
    "EngineStream",
    "NotDispatched",
    "Token",
    "Unknown",
    "Usage",
    "call_application",
    "cancel_stream",
]
