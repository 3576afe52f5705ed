"""Orders and how they reach an engine."""

from __future__ import annotations

import time
from dataclasses import dataclass

import msgspec

from celeryrun.dispatch import NotDispatched
from celeryrun.dispatch._connection import CONNECTION_ERRORS, connect
from celeryrun.orders._lease import ORDER_DEADLINE

__all__ = ["Obeyed", "Order", "OrderRefused", "OrderUnknown", "send_order"]

ORDER_PATH = "/v1/orders"


class Order(msgspec.Struct, frozen=True):
    """The state that an engine is to be in; the same order again changes nothing.

    Parameters
    ----------
    kind : str
        ``load`` or ``role``.
    what : str
        Model, adapter and version, or the role.
    fence : int
        Fencing number of the lease under which it is given.
    """

    kind: str
    what: str
    fence: int


@dataclass(frozen=True, slots=True)
class Obeyed:
    """The engine took the order."""


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """Sentinel: the engine did not take the order."""

    reason: str


@dataclass(frozen=True, slots=True)
class OrderUnknown:
    """Sentinel: the engine may have taken the order; give it again while the lease lasts."""

    reason: str


def send_order(address: str, order: Order, until: float) -> Obeyed | OrderRefused | OrderUnknown:
    """Give one order over a connection of its own.

    Nothing is sent later than `ORDER_DEADLINE` after the lease, which the next holder waits out;
    so a holder that was paused sends nothing late.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the engine.
    until : float
        Monotonic end of the lease in seconds.
    """
    deadline = min(time.monotonic(), until) + ORDER_DEADLINE
    connection = connect(address, deadline)
    if isinstance(connection, NotDispatched):
        return OrderRefused(connection.reason)
    try:
        headers = {"Content-Type": "application/json"}
        status = connection.send_request(
            "POST", ORDER_PATH, msgspec.json.encode(order), headers
        ).status
    except CONNECTION_ERRORS as error:
        return OrderUnknown(f"no answer to the order ({type(error).__name__})")
    finally:
        connection.close()
    match status:
        case 200:
            return Obeyed()
        case 409:
            return OrderRefused("another lease has a higher fencing number")
    return OrderRefused(f"the engine answered status {status}")
