"""Operators' orders to move a pool to another version, and the system's status of them."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from celeryrun.records import UnreadableRecordError, Version, decode_json
from celeryrun.rollouts import RolloutOrder

__all__ = ["ROLLOUT_PREFIX", "RolloutStatus", "decode_rollout_order", "decode_rollout_status"]

ROLLOUT_PREFIX = "rollout/"  # of the keys of orders and of statuses, followed by the pool


class _Order(msgspec.Struct, rename="camel"):
    service: str
    to: Version
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=1e6)]


class RolloutStatus(msgspec.Struct, frozen=True):
    """Status of a pool's newest order; the platform reads ``state`` and ``to``.

    ``order`` is the digest of the order's record, ``began`` its first sight in Unix seconds, and
    ``rejected`` holds all versions that were rolled back.
    """

    state: Literal["running", "completed", "rolled_back"]
    to: Version
    order: str = ""
    began: float = 0.0
    rejected: tuple[str, ...] = ()


def decode_rollout_order(key: str, body: bytes) -> RolloutOrder:
    """Decode an order, or raise UnreadableRecordError."""
    order = decode_json(body, _Order, f"order {key!r}")
    if order.service != key.removeprefix(ROLLOUT_PREFIX):
        raise UnreadableRecordError(f"order {key!r} names another pool")
    return RolloutOrder(order.service, order.to, order.duration_s)


def decode_rollout_status(key: str, body: bytes) -> RolloutStatus:
    """Decode a status, or raise UnreadableRecordError."""
    return decode_json(body, RolloutStatus, f"status {key!r}")
