"""Deterministic fold of the configuration stream."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Any

import logbook
import msgspec

from celeryrun.configuration._model import (
    Change,
    ChangeOutcome,
    Configuration,
    Snapshot,
    SnapshotSigner,
    decode_record,
)
from celeryrun.kernel import check
from celeryrun.streams import Page, Record

__all__ = ["ConfigurationReplica", "Delta"]

OUTCOMES_KEPT = 1024
DIGESTS_KEPT = 256
TIMES_KEPT = 1024
TAIL_BYTES = 256 * 1024

log = logbook.Logger("configuration")


class Delta(msgspec.Struct, frozen=True):
    """Every change in the log from one offset up to another."""

    start: int
    folded_to: int
    records: tuple[Record, ...]


class ConfigurationReplica:
    """State of one reader of the configuration stream.

    What a record does depends on the state and the record alone, and the state, outcomes included,
    goes into a snapshot whole. So readers that started at different records do not differ.

    Parameters
    ----------
    sealer : SnapshotSigner, optional
        Signs and checks snapshots.

    Attributes
    ----------
    current : Configuration
        The version in force here.
    folded_to : int
        Every record below this offset is accounted for.
    outcome_by_change_id : OrderedDict
        What became of the last changes.
    known_since : float
        Outcomes of records before this platform time, in seconds since the epoch, are forgotten.
    snapshot_time : float
        The platform's time, in seconds since the epoch, from which on the newest snapshot makes
        older records superfluous; 0 if no snapshot is known.
    """

    __slots__ = (
        "_sealer",
        "_tail",
        "_tail_bytes",
        "_tail_start",
        "snapshot_time",
        "current",
        "digest_by_version",
        "folded_to",
        "known_since",
        "outcome_by_change_id",
        "time_by_offset",
    )

    def __init__(self, sealer: SnapshotSigner | None = None) -> None:
        self._sealer = sealer or SnapshotSigner("")
        self._tail: deque[Record] = deque()
        self._tail_bytes = 0
        self._tail_start = 0
        self.current = Configuration.from_lists(0, (), ())
        self.folded_to = 0
        self.outcome_by_change_id: OrderedDict[str, ChangeOutcome] = OrderedDict()
        self.known_since = 0.0
        self.snapshot_time = 0.0
        self.digest_by_version: OrderedDict[int, str] = OrderedDict()
        self.time_by_offset: OrderedDict[int, float] = OrderedDict()

    def apply_page(self, page: Page) -> bool:
        """Fold a page of records, starting from a snapshot if older ones are forgotten.

        Returns
        -------
        bool
            False if records are missing and the page holds no snapshot that makes up for them.
        """
        if page.first > self.folded_to and not self._take_newest_snapshot(page):
            return False
        return all(self.apply_record(record) for record in page.records)

    def apply_record(self, record: Record) -> bool:
        """Fold one record; return False if records before it are missing."""
        if record.offset != self.folded_to:
            return record.offset < self.folded_to
        content = _decode(record)
        match content:
            case Change():
                self._take_change(content, record)
                self._remember_record(record)
            case Snapshot():
                self._pass_snapshot(content, record)
            case None:
                log.error("record {} is malformed and passed over", record.offset)
        if record.offset == 0:
            self.snapshot_time = record.written
        self.folded_to = record.offset + 1
        _remember(self.time_by_offset, record.offset, record.written, TIMES_KEPT)
        return True

    def apply_delta(self, delta: Delta) -> bool:
        """Fold the changes that another reader passes on; return whether they joined on."""
        if delta.start > self.folded_to or delta.folded_to <= self.folded_to:
            return False
        for record in delta.records:
            if record.offset >= self.folded_to:
                self.folded_to = record.offset
                self.apply_record(record)
        self.folded_to = delta.folded_to
        return True

    def delta_from(self, start: int) -> Delta | None:
        """Return the changes from an offset on, or None if not all are remembered."""
        if start < self._tail_start:
            return None
        records = tuple(record for record in self._tail if record.offset >= start)
        return Delta(start, self.folded_to, records)

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Move forward to a snapshot; return whether it was ahead."""
        if snapshot.folded_to <= self.folded_to or snapshot.version < self.current.version:
            return False
        if not self._sealer.verify(snapshot):
            log.error("a snapshot of version {} is not signed with our key", snapshot.version)
            return False
        self._move(Configuration.from_lists(snapshot.version, snapshot.plans, snapshot.pools))
        self.folded_to = self._tail_start = snapshot.folded_to
        self._tail.clear()
        self._tail_bytes = 0
        self.outcome_by_change_id = OrderedDict(snapshot.outcomes)
        self.known_since = snapshot.known_since
        return True

    def snapshot(self) -> Snapshot:
        """Return the state as a signed record."""
        current = self.current
        return self._sealer.sign(
            Snapshot(
                current.version,
                self.folded_to,
                current.plans,
                current.pools,
                tuple(self.outcome_by_change_id.items()),
                self.known_since,
            )
        )

    def check_digest(self, version: int, digest: str, origin: str) -> None:
        """Check that another reader has the same lists at the same version."""
        mine = self.digest_by_version.get(version, digest)
        agrees = mine == digest
        check(agrees, "configuration-one-content-a-version", version=version, origin=origin)

    def _take_newest_snapshot(self, page: Page) -> bool:
        contents = [_decode(record) for record in page.records]
        usable = [
            content
            for content in contents
            if isinstance(content, Snapshot) and content.folded_to >= page.first
        ]
        usable.sort(key=lambda snapshot: snapshot.folded_to, reverse=True)
        return any(self.apply_snapshot(snapshot) for snapshot in usable)

    def _pass_snapshot(self, snapshot: Snapshot, record: Record) -> None:
        if snapshot.folded_to > record.offset or not self._sealer.verify(snapshot):
            log.error("snapshot at {} is not signed with our key; passed over", record.offset)
            return
        if snapshot.version in self.digest_by_version:
            same = Configuration.from_lists(snapshot.version, snapshot.plans, snapshot.pools)
            self.check_digest(snapshot.version, same.digest, f"snapshot at {record.offset}")
        if snapshot.folded_to == record.offset:
            self.snapshot_time = max(self.snapshot_time, record.written)
        else:
            since = self.time_by_offset.get(snapshot.folded_to, 0.0)
            self.snapshot_time = max(self.snapshot_time, since)

    def _take_change(self, change: Change, record: Record) -> None:
        if change.change_id in self.outcome_by_change_id:
            return
        outcome = self._judge(change, record)
        self.outcome_by_change_id[change.change_id] = outcome
        if len(self.outcome_by_change_id) > OUTCOMES_KEPT:
            _, forgotten = self.outcome_by_change_id.popitem(last=False)
            self.known_since = forgotten.written
        log.info("change {} at {}: {}", change.change_id, record.offset, outcome)

    def _judge(self, change: Change, record: Record) -> ChangeOutcome:
        version = self.current.version
        if change.base != version:
            reason = f"made upon version {change.base}, but {version} is in force; publish again"
            return ChangeOutcome(False, version, reason, record.written)
        changed = self.current.apply(change, record.offset + 1)
        fault = changed.find_error(change)
        if fault is not None:
            return ChangeOutcome(False, version, fault, record.written)
        self._move(changed)
        return ChangeOutcome(True, changed.version, "", record.written)

    def _move(self, changed: Configuration) -> None:
        old = self.current
        rises = changed.version > old.version or (changed.digest == old.digest)
        check(rises, "configuration-never-reverts", old=old.version, new=changed.version)
        self.current = changed
        _remember(self.digest_by_version, changed.version, changed.digest, DIGESTS_KEPT)

    def _remember_record(self, record: Record) -> None:
        self._tail.append(record)
        self._tail_bytes += len(record.body)
        while self._tail_bytes > TAIL_BYTES:
            oldest = self._tail.popleft()
            self._tail_bytes -= len(oldest.body)
            self._tail_start = oldest.offset + 1


def _decode(record: Record) -> Change | Snapshot | None:
    try:
        return decode_record(record.body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def _remember(book: OrderedDict[int, Any], key: int, value: Any, most: int) -> None:
    book[key] = value
    while len(book) > most:
        book.popitem(last=False)
