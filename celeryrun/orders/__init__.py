"""Orders to engines, given by the holder of a lease that the platform's log keeps."""

from celeryrun.orders._lease import Lease, LeaseRecord, LeaseTable
from celeryrun.orders._leaseholder import Leaseholder
from celeryrun.orders._order import Obeyed, Order, OrderRefused, OrderUnknown, send_order

__all__ = [
    "Lease",
    "LeaseRecord",
    "LeaseTable",
    "Leaseholder",
    "Obeyed",
    "Order",
    "OrderRefused",
    "OrderUnknown",
    "send_order",
]
