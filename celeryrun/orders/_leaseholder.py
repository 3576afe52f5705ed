"""Leases that a node acquires, renews and uses."""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass
from typing import Protocol

import msgspec

from celeryrun.exception import CeleryrunError
from celeryrun.orders._lease import ORDER_TIMEOUT, LeaseRecord, LeaseTable
from celeryrun.streams import Page

__all__ = ["LEASE_STREAM", "Leaseholder"]

LEASE_STREAM = "leases"
MAX_CLOCK_DRIFT = 0.05  # largest drift between two clocks, as a fraction of the time passed


class Log(Protocol):
    """The part of the log client that leases need."""

    def append(self, stream: str, body: bytes) -> int:
        """Append one record and return its offset."""

    def read(self, stream: str, start: int, wait: float = 0.0) -> Page:
        """Return the records from an offset on."""


@dataclass(slots=True)
class _OwnLease:
    """Lease that this node holds.

    Parameters
    ----------
    expires_at : float
        Monotonic time in seconds; no order may begin later.
    """

    lease_id: str
    fencing_number: int
    expires_at: float


class Leaseholder:
    """Acquires and renews leases for one node.

    Parameters
    ----------
    log : Log
        The platform's log.
    name : str
        Name of this node.
    seconds : float
        Duration of a lease.
    """

    __slots__ = (
        "_log",
        "_name",
        "_next_offset",
        "_own_by_key",
        "_paused_until",
        "_seconds",
        "table",
    )

    def __init__(self, log: Log, name: str, seconds: float) -> None:
        self._log = log
        self._name = name
        self._seconds = seconds
        self._next_offset = 0
        self._paused_until = float("-inf")
        self._own_by_key: dict[str, _OwnLease] = {}
        self.table = LeaseTable()

    def acquire(self, key: str) -> bool:
        """Acquire or renew a lease, and return whether this node holds it.

        Only a record that is read back has an effect. If the response to the append is lost, the
        node keeps the lease that it had, if any. After the log was restored from a copy, which may
        lack the newest lease of another node, no lease is acquired until any such lease has ended.

        Parameters
        ----------
        key : str
            Resource that the lease covers.
        """
        if time.monotonic() < self._paused_until:
            return False
        own = self._own_by_key.get(key)
        lease_id = (
            own.lease_id
            if own is not None and self.fencing_number(key) is not None
            else uuid.uuid4().hex
        )
        started_at = time.monotonic()
        body = msgspec.json.encode(LeaseRecord(key, self._name, lease_id, self._seconds))
        try:
            offset = self._log.append(LEASE_STREAM, body)
            has_effect = self._replay_up_to(offset)
        except CeleryrunError:
            return self.fencing_number(key) is not None
        current = self.table.by_key.get(key)
        if has_effect and current is not None and current.lease_id == lease_id:
            # The log wrote the record after `started_at`, so the lease expires later than this.
            expires_at = started_at + self._seconds * (1 - MAX_CLOCK_DRIFT)
            self._own_by_key[key] = _OwnLease(lease_id, current.fencing_number, expires_at)
        return self.fencing_number(key) is not None

    def fencing_number(self, key: str) -> int | None:
        """Return the fencing number for an order that begins now, or None without a lease."""
        own = self._own_by_key.get(key)
        return own.fencing_number if own is not None and time.monotonic() < own.expires_at else None

    def expires_at(self, key: str) -> float:
        """Return the monotonic time in seconds at which this node's lease expires.

        Without a lease, the time is minus infinity.
        """
        own = self._own_by_key.get(key)
        return own.expires_at if own is not None else float("-inf")

    def _begin_era(self, era: int) -> None:
        """Replay the log of another era from its beginning; leases of the former era are void."""
        if self._next_offset:
            longest_lease = self._seconds * (1 + MAX_CLOCK_DRIFT)
            self._paused_until = time.monotonic() + longest_lease + ORDER_TIMEOUT
        self.table = LeaseTable(era)
        self._next_offset = 0
        self._own_by_key.clear()

    def _replay_up_to(self, offset: int) -> bool:
        """Replay the log up to an offset; return whether the record there has an effect."""
        has_effect = False
        while self._next_offset <= offset:
            page = self._log.read(LEASE_STREAM, self._next_offset)
            if page.era != self.table.era:
                is_first = not self._next_offset
                self._begin_era(page.era)
                if not is_first:
                    return False
                continue
            for record in page.records:
                lease = self.table.apply_record(record)
                if record.offset == offset:
                    has_effect = lease is not None
            next_offset = page.records[-1].offset + 1 if page.records else page.first
            if next_offset <= self._next_offset:
                return False
            self._next_offset = next_offset
        return has_effect
