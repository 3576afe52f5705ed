"""Orders to engines, fenced by leases that are recorded in the platform's log."""

from celeryrun.orders._lease import Lease, LeaseRecord, LeaseTable
from celeryrun.orders._leaseholder import Leaseholder
from celeryrun.orders._order import (
    Order,
    OrderAccepted,
    OrderOutcomeUnknown,
    OrderRejected,
    send_order,
)

__all__ = [
    "Lease",
    "LeaseRecord",
    "LeaseTable",
    "Leaseholder",
    "Order",
    "OrderAccepted",
    "OrderOutcomeUnknown",
    "OrderRejected",
    "send_order",
]
