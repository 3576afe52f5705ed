"""HTTP/1.1 connections with callers, one asyncio task each, and with targets."""

from celeryrun.transport._accept import has_unaccepted, ignore_new_connections
from celeryrun.transport._budget import ByteBudget
from celeryrun.transport._caller import CallerConnection, ReceivedRequest, RequestHandler
from celeryrun.transport._decoded import CallerRequest, TargetResponse
from celeryrun.transport._exchange import (
    Exchange,
    TargetFailedError,
    accepts_connections,
    is_kept,
    open_exchange,
)
from celeryrun.transport._message import (
    LAST_CHUNK,
    MalformedMessageError,
    RequestHead,
    RequestParser,
    ResponseHead,
    ResponseParser,
    end_to_end_headers,
    format_chunk,
    format_head,
)

__all__ = [
    "LAST_CHUNK",
    "ByteBudget",
    "CallerConnection",
    "CallerRequest",
    "Exchange",
    "MalformedMessageError",
    "ReceivedRequest",
    "RequestHandler",
    "RequestHead",
    "RequestParser",
    "ResponseHead",
    "ResponseParser",
    "TargetFailedError",
    "TargetResponse",
    "accepts_connections",
    "end_to_end_headers",
    "format_chunk",
    "format_head",
    "has_unaccepted",
    "ignore_new_connections",
    "is_kept",
    "open_exchange",
]
