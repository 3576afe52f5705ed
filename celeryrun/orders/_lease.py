"""Leases, replayed from the records of the platform's log."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from celeryrun.kernel import check_invariant
from celeryrun.streams import Record

__all__ = ["ORDER_TIMEOUT", "Lease", "LeaseRecord", "LeaseTable"]

OFFSETS_PER_ERA = 1 << 40  # more than a log writes; keeps fencing numbers exact in JSON
ORDER_TIMEOUT = 2.0  # s; no order reaches an engine later than this after it was sent


class LeaseRecord(msgspec.Struct, frozen=True):
    """Log record that acquires or renews a lease.

    Parameters
    ----------
    key : str
        Resource that the lease covers.
    holder : str
        Name of the node.
    lease : str
        Unique id of the lease; a record with the id of the current lease renews it.
    seconds : float
        Duration, in seconds from the time at which the log wrote the record.
    """

    key: str
    holder: str
    lease: str
    seconds: float


@dataclass(slots=True)
class Lease:
    """Current lease of a key, by the records of the log.

    Parameters
    ----------
    lease_id : str
        Unique id, as in the record.
    fencing_number : int
        Sent with every order under the lease; made of the era of the log and the offset of the
        record that acquired the lease, so that it rises across restored copies of the log.
    expires_at : float
        By the platform's clock, in seconds since the epoch.
    """

    key: str
    holder: str
    lease_id: str
    fencing_number: int
    expires_at: float


class LeaseTable:
    """Current lease of each key, replayed from the log.

    Every reader of the log derives the same leases. A record of another lease has an effect only
    if it was written at least `ORDER_TIMEOUT` after the current lease expired, when no order under
    that lease can still arrive. Both times are the platform's, so a new holder need not wait and
    the clocks of the nodes don't matter [1]_.

    Examples
    --------
    >>> table = LeaseTable()
    >>> body = msgspec.json.encode(LeaseRecord("drafts", "node-0", "a", 5.0))
    >>> table.apply_record(Record(7, 100.0, body)).fencing_number
    7
    >>> other = msgspec.json.encode(LeaseRecord("drafts", "node-1", "b", 5.0))
    >>> table.apply_record(Record(8, 106.0, other)) is None
    True
    >>> table.apply_record(Record(9, 107.0, other)).fencing_number
    9

    Parameters
    ----------
    era : int
        Era of the log, whose records the table replays from the first one on.

    References
    ----------
    .. [1] Gray, Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File
       Cache Consistency", SOSP 1989.
    """

    __slots__ = ("_decoder", "by_key", "era")

    def __init__(self, era: int = 0) -> None:
        self.era = era
        self._decoder = msgspec.json.Decoder(LeaseRecord)
        self.by_key: dict[str, Lease] = {}

    def apply_record(self, record: Record) -> Lease | None:
        """Return the lease that a record acquires or renews, or None if it has no effect.

        Parameters
        ----------
        record : Record
            The next record in order of offset.
        """
        try:
            requested = self._decoder.decode(record.body)
        except (msgspec.MsgspecError, RecursionError):
            return None
        current = self.by_key.get(requested.key)
        if (
            current is not None
            and current.lease_id == requested.lease
            and record.written < current.expires_at
        ):
            current.expires_at = record.written + requested.seconds
            return current
        if current is not None and record.written < current.expires_at + ORDER_TIMEOUT:
            return None
        fencing_number = self.era * OFFSETS_PER_ERA + record.offset
        fence_rises = current is None or fencing_number > current.fencing_number
        check_invariant(fence_rises, "fence-rises", key=requested.key, offset=record.offset)
        lease = Lease(
            requested.key,
            requested.holder,
            requested.lease,
            fencing_number,
            record.written + requested.seconds,
        )
        self.by_key[requested.key] = lease
        return lease
