"""Orders, and sending them to an engine."""

from __future__ import annotations

import time
from dataclasses import dataclass

import msgspec

from celeryrun.dispatch import NotDispatched
from celeryrun.dispatch._connection import CONNECTION_ERRORS, connect
from celeryrun.orders._lease import ORDER_TIMEOUT

__all__ = ["Order", "OrderAccepted", "OrderOutcomeUnknown", "OrderRejected", "send_order"]

ORDER_PATH = "/v1/orders"


class Order(msgspec.Struct, frozen=True):
    """State that an engine is to reach; orders are idempotent.

    Parameters
    ----------
    kind : str
        ``load`` or ``role``.
    what : str
        Model, adapter and version to load, or the role.
    fence : int
        Fencing number of the lease under which the order is sent.
    """

    kind: str
    what: str
    fence: int


@dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The engine accepted the order."""


@dataclass(frozen=True, slots=True)
class OrderRejected:
    """Sentinel: the engine did not accept the order, or it was not sent."""

    reason: str


@dataclass(frozen=True, slots=True)
class OrderOutcomeUnknown:
    """Sentinel: the engine may have accepted the order; send it again while the lease lasts."""

    reason: str


def send_order(
    address: str, order: Order, expires_at: float
) -> OrderAccepted | OrderRejected | OrderOutcomeUnknown:
    """Send one order over a new connection.

    Nothing is sent later than `ORDER_TIMEOUT` after the lease expires. The next lease begins only
    after that time, so a holder that was paused cannot interfere with its successor.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the engine.
    expires_at : float
        Monotonic time in seconds at which the lease expires.
    """
    deadline = min(time.monotonic(), expires_at) + ORDER_TIMEOUT
    connection = connect(address, deadline)
    if isinstance(connection, NotDispatched):
        return OrderRejected(connection.reason)
    try:
        headers = {"Content-Type": "application/json"}
        status = connection.send_request(
            "POST", ORDER_PATH, msgspec.json.encode(order), headers
        ).status
    except CONNECTION_ERRORS as error:
        return OrderOutcomeUnknown(f"no response to the order ({type(error).__name__})")
    finally:
        connection.close()
    match status:
        case 200:
            return OrderAccepted()
        case 409:
            return OrderRejected("another lease has a higher fencing number")
    return OrderRejected(f"the engine responded with status {status}")
