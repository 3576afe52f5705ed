"""Deterministic replay of the configuration stream."""

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
from celeryrun.kernel import check_invariant
from celeryrun.streams import Page, Record

__all__ = ["ConfigurationReplica", "Delta"]

MAX_OUTCOMES = 1024
MAX_DIGESTS = 256
MAX_TIMES = 1024
MAX_TAIL_BYTES = 256 * 1024

log = logbook.Logger("configuration")


class Delta(msgspec.Struct, frozen=True):
    """All changes in the log from one offset up to another.

    Parameters
    ----------
    start : int
        First offset that the delta covers.
    folded_to : int
        Offset after the last one that the delta covers.
    """

    start: int
    folded_to: int
    records: tuple[Record, ...]


class ConfigurationReplica:
    """Local replica of the configuration, built by replay of the configuration stream.

    The effect of a record depends on the state and the record alone, and a snapshot holds the whole
    state including outcomes, so readers that start at different records reach the same state.

    Parameters
    ----------
    signer : SnapshotSigner, optional
        Signs and verifies snapshots.

    Attributes
    ----------
    current : Configuration
        Configuration in force on this node.
    folded_to : int
        Offset below which every record has been replayed.
    outcome_by_change_id : OrderedDict
        Outcomes of the most recent changes, oldest first.
    known_since : float
        Append time of the newest record whose outcome has been evicted, by the platform's clock,
        in seconds since the epoch; 0 if none has been.
    snapshot_time : float
        Append time, by the platform's clock and in seconds since the epoch, before which the newest
        snapshot makes all records redundant; 0 if no snapshot is known.
    digest_by_version : OrderedDict
        Digests of the most recent configurations.
    time_by_offset : OrderedDict
        Append times of the most recent records, in seconds since the epoch.
    """

    __slots__ = (
        "_signer",
        "_tail",
        "_tail_bytes",
        "_tail_start",
        "current",
        "digest_by_version",
        "folded_to",
        "known_since",
        "outcome_by_change_id",
        "snapshot_time",
        "time_by_offset",
    )

    def __init__(self, signer: SnapshotSigner | None = None) -> None:
        self._signer = signer or SnapshotSigner("")
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
        """Replay a page of records, from a snapshot in it if the log has lost records in between.

        Returns
        -------
        bool
            False if records are missing and no snapshot in the page covers them.
        """
        if page.first > self.folded_to and not self._apply_newest_snapshot(page):
            return False
        return all(self.apply_record(record) for record in page.records)

    def apply_record(self, record: Record) -> bool:
        """Replay one record; return False if records before it are missing."""
        if record.offset != self.folded_to:
            return record.offset < self.folded_to
        content = _decode(record)
        match content:
            case Change():
                self._apply_change(content, record)
                self._append_to_tail(record)
            case Snapshot():
                self._check_snapshot(content, record)
            case None:
                log.error("record {} is malformed and passed over", record.offset)
        if record.offset == 0:
            self.snapshot_time = record.written
        self.folded_to = record.offset + 1
        _put_bounded(self.time_by_offset, record.offset, record.written, MAX_TIMES)
        return True

    def apply_delta(self, delta: Delta) -> bool:
        """Apply the changes of another node; return False if they leave a gap or are not new."""
        if delta.start > self.folded_to or delta.folded_to <= self.folded_to:
            return False
        for record in delta.records:
            if record.offset >= self.folded_to:
                self.folded_to = record.offset
                self.apply_record(record)
        self.folded_to = delta.folded_to
        return True

    def delta_from(self, start: int) -> Delta | None:
        """Return the changes from an offset on, or None if some are no longer in memory."""
        if start < self._tail_start:
            return None
        records = tuple(record for record in self._tail if record.offset >= start)
        return Delta(start, self.folded_to, records)

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Replace the state by a snapshot; return False if it is not newer or not genuine."""
        if snapshot.folded_to <= self.folded_to or snapshot.version < self.current.version:
            return False
        if not self._signer.verify(snapshot):
            log.error("a snapshot of version {} is not signed with our key", snapshot.version)
            return False
        self._set_current(
            Configuration.from_lists(snapshot.version, snapshot.plans, snapshot.pools)
        )
        self.folded_to = self._tail_start = snapshot.folded_to
        self._tail.clear()
        self._tail_bytes = 0
        self.outcome_by_change_id = OrderedDict(snapshot.outcomes)
        self.known_since = snapshot.known_since
        return True

    def snapshot(self) -> Snapshot:
        """Return the state as a signed snapshot."""
        current = self.current
        return self._signer.sign(
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
        """Check that another node has the same lists at the same version."""
        own_digest = self.digest_by_version.get(version, digest)
        is_equal = own_digest == digest
        check_invariant(
            is_equal, "configuration-one-content-a-version", version=version, origin=origin
        )

    def _apply_newest_snapshot(self, page: Page) -> bool:
        contents = [_decode(record) for record in page.records]
        usable = [
            content
            for content in contents
            if isinstance(content, Snapshot) and content.folded_to >= page.first
        ]
        usable.sort(key=lambda snapshot: snapshot.folded_to, reverse=True)
        return any(self.apply_snapshot(snapshot) for snapshot in usable)

    def _check_snapshot(self, snapshot: Snapshot, record: Record) -> None:
        if snapshot.folded_to > record.offset or not self._signer.verify(snapshot):
            log.error("snapshot at {} is not signed with our key; passed over", record.offset)
            return
        if snapshot.version in self.digest_by_version:
            configuration = Configuration.from_lists(
                snapshot.version, snapshot.plans, snapshot.pools
            )
            self.check_digest(
                snapshot.version, configuration.digest, f"snapshot at {record.offset}"
            )
        if snapshot.folded_to == record.offset:
            self.snapshot_time = max(self.snapshot_time, record.written)
        else:
            covered_time = self.time_by_offset.get(snapshot.folded_to, 0.0)
            self.snapshot_time = max(self.snapshot_time, covered_time)

    def _apply_change(self, change: Change, record: Record) -> None:
        if change.change_id in self.outcome_by_change_id:
            return
        outcome = self._evaluate(change, record)
        self.outcome_by_change_id[change.change_id] = outcome
        if len(self.outcome_by_change_id) > MAX_OUTCOMES:
            _, evicted = self.outcome_by_change_id.popitem(last=False)
            self.known_since = evicted.written
        log.info("change {} at {}: {}", change.change_id, record.offset, outcome)

    def _evaluate(self, change: Change, record: Record) -> ChangeOutcome:
        version = self.current.version
        if change.base != version:
            reason = f"made upon version {change.base}, but {version} is in force; publish again"
            return ChangeOutcome(False, version, reason, record.written)
        changed = self.current.apply(change, record.offset + 1)
        error = changed.find_error(change)
        if error is not None:
            return ChangeOutcome(False, version, error, record.written)
        self._set_current(changed)
        return ChangeOutcome(True, changed.version, "", record.written)

    def _set_current(self, changed: Configuration) -> None:
        old = self.current
        never_reverts = changed.version > old.version or (changed.digest == old.digest)
        check_invariant(
            never_reverts, "configuration-never-reverts", old=old.version, new=changed.version
        )
        self.current = changed
        _put_bounded(self.digest_by_version, changed.version, changed.digest, MAX_DIGESTS)

    def _append_to_tail(self, record: Record) -> None:
        self._tail.append(record)
        self._tail_bytes += len(record.body)
        while self._tail_bytes > MAX_TAIL_BYTES:
            oldest = self._tail.popleft()
            self._tail_bytes -= len(oldest.body)
            self._tail_start = oldest.offset + 1


def _decode(record: Record) -> Change | Snapshot | None:
    try:
        return decode_record(record.body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def _put_bounded(items: OrderedDict[int, Any], key: int, value: Any, max_items: int) -> None:
    items[key] = value
    while len(items) > max_items:
        items.popitem(last=False)
