"""Taking, renewing and using leases."""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass
from typing import Protocol

import msgspec

from celeryrun.exception import CeleryrunError
from celeryrun.orders._lease import LeaseRecord, LeaseTable
from celeryrun.streams import Page

__all__ = ["LEASE_STREAM", "Leaseholder"]

LEASE_STREAM = "leases"
CLOCK_DRIFT = 0.05  # part of a lease that two clocks may go apart in its time


class Log(Protocol):
    """What is needed of the platform's log."""

    def append(self, stream: str, body: bytes) -> int:
        """Append one record."""

    def read(self, stream: str, start: int, wait: float = 0.0) -> Page:
        """Read records from an offset on."""


@dataclass(slots=True)
class _Own:
    """A lease of this node.

    Parameters
    ----------
    until : float
        Monotonic time up to which orders may begin, in seconds.
    """

    lease: str
    fence: int
    until: float


class Leaseholder:
    """A node's side of the leases.

    Parameters
    ----------
    log : Log
        The platform's log.
    name : str
        This node.
    seconds : float
        Length of a lease.
    """

    __slots__ = ("_log", "_name", "_next", "_own_by_key", "_seconds", "table")

    def __init__(self, log: Log, name: str, seconds: float) -> None:
        self._log = log
        self._name = name
        self._seconds = seconds
        self._next = 0
        self._own_by_key: dict[str, _Own] = {}
        self.table = LeaseTable()

    def hold(self, key: str) -> bool:
        """Take or renew a lease; return whether this node has it.

        A lost answer of the log does no harm: what counts is what is read back.

        Parameters
        ----------
        key : str
            What the lease is for.
        """
        own = self._own_by_key.get(key)
        lease = own.lease if own is not None and self.fence(key) is not None else uuid.uuid4().hex
        began = time.monotonic()
        body = msgspec.json.encode(LeaseRecord(key, self._name, lease, self._seconds))
        try:
            offset = self._log.append(LEASE_STREAM, body)
            counted = self._read_up_to(offset)
        except CeleryrunError:
            return self.fence(key) is not None
        held = self.table.by_key.get(key)
        if counted and held is not None and held.lease == lease:
            # The log wrote the record after `began`, so its lease ends later than this.
            until = began + self._seconds * (1 - CLOCK_DRIFT)
            self._own_by_key[key] = _Own(lease, held.fence, until)
        return self.fence(key) is not None

    def fence(self, key: str) -> int | None:
        """Return the fencing number for an order that begins now, or None without a lease."""
        own = self._own_by_key.get(key)
        return own.fence if own is not None and time.monotonic() < own.until else None

    def until(self, key: str) -> float:
        """Return the monotonic end of this node's lease in seconds, in the past without one."""
        own = self._own_by_key.get(key)
        return own.until if own is not None else float("-inf")

    def _read_up_to(self, offset: int) -> bool:
        """Fold the log up to a record; return whether that record counts."""
        counted = False
        while self._next <= offset:
            page = self._log.read(LEASE_STREAM, self._next)
            for record in page.records:
                taken = self.table.fold(record)
                if record.offset == offset:
                    counted = taken is not None
            position = page.records[-1].offset + 1 if page.records else page.first
            if position <= self._next:
                return False
            self._next = position
        return counted
