"""Published lists of plans and pools, and their replication to every node from the log."""

from celeryrun.configuration._lists import diff_lists, parse_lists
from celeryrun.configuration._log_follower import LogFollower
from celeryrun.configuration._model import (
    CONFIGURATION_STREAM,
    CallPattern,
    Change,
    ChangeOutcome,
    Configuration,
    Plan,
    Pool,
    Snapshot,
    SnapshotSigner,
    hash_key,
)
from celeryrun.configuration._publish import Publisher, new_change_id
from celeryrun.configuration._replica import ConfigurationReplica, Delta
from celeryrun.configuration._service import ConfigurationService

__all__ = [
    "CONFIGURATION_STREAM",
    "CallPattern",
    "Change",
    "ChangeOutcome",
    "Configuration",
    "ConfigurationReplica",
    "ConfigurationService",
    "Delta",
    "LogFollower",
    "Plan",
    "Pool",
    "Publisher",
    "Snapshot",
    "SnapshotSigner",
    "diff_lists",
    "hash_key",
    "new_change_id",
    "parse_lists",
]
