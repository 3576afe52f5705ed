"""The two published lists, and how every node folds them from the log."""

from celeryrun.configuration._fold import Delta, Fold
from celeryrun.configuration._follow import Follower
from celeryrun.configuration._lists import diff_lists, parse_lists
from celeryrun.configuration._model import (
    CONFIGURATION_STREAM,
    Call,
    Change,
    Configuration,
    Outcome,
    Plan,
    Pool,
    Snapshot,
    SnapshotSealer,
    hash_key,
)
from celeryrun.configuration._publish import Publisher, new_change_id
from celeryrun.configuration._service import ConfigurationService

__all__ = [
    "CONFIGURATION_STREAM",
    "Call",
    "Change",
    "Configuration",
    "ConfigurationService",
    "Delta",
    "Fold",
    "Follower",
    "Outcome",
    "Plan",
    "Pool",
    "Publisher",
    "Snapshot",
    "SnapshotSealer",
    "diff_lists",
    "hash_key",
    "new_change_id",
    "parse_lists",
]
