"""Adapter to the users' platform: its protocol and metadata store, without scheduling logic."""

from celeryrun.history import KeyedPage, KeyedRecord
from celeryrun.platform._decode import decode_catalog, decode_draft, decode_target
from celeryrun.platform._messages import (
    CallerRequest,
    TargetResponse,
    format_request,
    read_request,
    read_response,
    response_headers,
)
from celeryrun.platform._names import READY_PATH
from celeryrun.platform._rollouts import (
    ROLLOUT_PREFIX,
    RolloutStatus,
    decode_rollout_order,
    decode_rollout_status,
)
from celeryrun.platform._store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    FLEET_TOPIC,
    NODES_TOPIC,
    STREAMS_TOPIC,
    TARGETS_TOPIC,
    Store,
    StoreUnavailableError,
)
from celeryrun.records import UnreadableRecordError

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TOPIC",
    "FLEET_TOPIC",
    "NODES_TOPIC",
    "READY_PATH",
    "ROLLOUT_PREFIX",
    "STREAMS_TOPIC",
    "TARGETS_TOPIC",
    "CallerRequest",
    "KeyedPage",
    "KeyedRecord",
    "RolloutStatus",
    "Store",
    "StoreUnavailableError",
    "TargetResponse",
    "UnreadableRecordError",
    "decode_catalog",
    "decode_draft",
    "decode_rollout_order",
    "decode_rollout_status",
    "decode_target",
    "format_request",
    "read_request",
    "read_response",
    "response_headers",
]
