"""Versions that began the streams in progress, and what may be inferred of unknown ones."""

from celeryrun.continuity._origins import (
    CONTRADICTORY,
    OriginTable,
    StreamOrigin,
    hash_attempt,
)
from celeryrun.continuity._resolution import Bound, Resolution, Unknown, resolve
from celeryrun.continuity._versions import VersionHistory

__all__ = [
    "CONTRADICTORY",
    "Bound",
    "OriginTable",
    "Resolution",
    "StreamOrigin",
    "Unknown",
    "VersionHistory",
    "hash_attempt",
    "resolve",
]
