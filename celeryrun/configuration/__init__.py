"""The two published lists, and how every node folds them from the log."""

from celeryrun.configuration._fold import Fold, Outcome
from celeryrun.configuration._lists import diff_lists, parse_lists
from celeryrun.configuration._model import (
    CONFIGURATION_STREAM,
    Call,
    Change,
    Configuration,
    Plan,
    Pool,
    Snapshot,
    hash_key,
)
from celeryrun.configuration._publish import Publisher
from celeryrun.configuration._service import ConfigurationService

__all__ = [
    "CONFIGURATION_STREAM",
    "Call",
    "Change",
    "Configuration",
    "ConfigurationService",
    "Fold",
    "Outcome",
    "Plan",
    "Pool",
    "Publisher",
    "Snapshot",
    "diff_lists",
    "hash_key",
    "parse_lists",
]
