"""Leases as folded from the platform's log."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from celeryrun.kernel import check
from celeryrun.streams import Record

__all__ = ["ORDER_DEADLINE", "Lease", "LeaseRecord", "LeaseTable"]

ORDER_DEADLINE = 2.0  # s after which an order that was sent has arrived or never will


class LeaseRecord(msgspec.Struct, frozen=True):
    """Record by which a node takes or renews a lease.

    Parameters
    ----------
    key : str
        What the lease is for.
    lease : str
        Unique id; the same one renews.
    seconds : float
        Length from the time at which the log wrote the record.
    """

    key: str
    holder: str
    lease: str
    seconds: float


@dataclass(slots=True)
class Lease:
    """A lease that counts.

    Parameters
    ----------
    fence : int
        Offset of the record that took it: the fencing number of all its orders.
    ends : float
        By the platform's clock, in seconds since the epoch.
    """

    key: str
    holder: str
    lease: str
    fence: int
    ends: float


class LeaseTable:
    """Every reader of the log folds its records to the same leases.

    A record counts only once the lease before it, and an order sent at its very end, have run out
    by the platform's clock; so a new holder need not wait, and no node's clock matters [1]_.

    Examples
    --------
    >>> table = LeaseTable()
    >>> body = msgspec.json.encode(LeaseRecord("drafts", "node-0", "a", 5.0))
    >>> table.fold(Record(7, 100.0, body)).fence
    7
    >>> other = msgspec.json.encode(LeaseRecord("drafts", "node-1", "b", 5.0))
    >>> table.fold(Record(8, 106.0, other)) is None
    True
    >>> table.fold(Record(9, 107.0, other)).fence
    9

    References
    ----------
    .. [1] Gray, Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File
       Cache Consistency", SOSP 1989.
    """

    __slots__ = ("_decoder", "by_key")

    def __init__(self) -> None:
        self._decoder = msgspec.json.Decoder(LeaseRecord)
        self.by_key: dict[str, Lease] = {}

    def fold(self, record: Record) -> Lease | None:
        """Take in a record; return the lease that it took or renewed, or None if it does not count.

        Parameters
        ----------
        record : Record
            The next one in order of offset.
        """
        try:
            wanted = self._decoder.decode(record.body)
        except msgspec.MsgspecError:
            return None
        held = self.by_key.get(wanted.key)
        if held is not None and held.lease == wanted.lease and record.written < held.ends:
            held.ends = record.written + wanted.seconds
            return held
        if held is not None and record.written < held.ends + ORDER_DEADLINE:
            return None
        fence_rises = held is None or record.offset > held.fence
        check(fence_rises, "fence-rises", key=wanted.key, offset=record.offset)
        lease = Lease(
            wanted.key, wanted.holder, wanted.lease, record.offset, record.written + wanted.seconds
        )
        self.by_key[wanted.key] = lease
        return lease
