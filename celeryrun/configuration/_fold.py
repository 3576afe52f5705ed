"""Deterministic fold of the configuration stream."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

import logbook
import msgspec

from celeryrun.configuration._model import Change, Configuration, Snapshot, decode_record
from celeryrun.kernel import check
from celeryrun.platform import Page, Record

__all__ = ["Fold", "Outcome"]

OUTCOMES_KEPT = 4096

log = logbook.Logger("configuration")


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a change.

    Parameters
    ----------
    accepted : bool
        Whether it came into force.
    version : int
        The version in force after it.
    reason : str
        Why it was rejected, with the remedy.
    """

    accepted: bool
    version: int
    reason: str = ""


class Fold:
    """State of one reader of the configuration stream.

    Attributes
    ----------
    current : Configuration
        The version in force here.
    folded_to : int
        Every record below this offset is accounted for.
    outcome_by_change : dict
        What became of recent changes.
    """

    __slots__ = ("current", "folded_to", "outcome_by_change")

    def __init__(self) -> None:
        self.current = Configuration.from_lists(0, (), ())
        self.folded_to = 0
        self.outcome_by_change: OrderedDict[str, Outcome] = OrderedDict()

    def take_page(self, page: Page) -> None:
        """Fold a page of records, starting from a snapshot if older ones are forgotten."""
        if page.first > self.folded_to and not self._take_newest_snapshot(page):
            log.error("records {} to {} are forgotten", self.folded_to, page.first)
            return
        for record in page.records:
            self.take(record)

    def take(self, record: Record) -> None:
        """Fold one record; records already folded are passed over."""
        if record.offset < self.folded_to:
            return
        try:
            content = decode_record(record.body)
        except msgspec.MsgspecError as error:
            log.error("record {} is malformed and passed over: {}", record.offset, error)
            self.folded_to = record.offset + 1
            return
        match content:
            case Change():
                self._take_change(content, record.offset)
            case Snapshot():
                pass
        self.folded_to = record.offset + 1

    def take_snapshot(self, snapshot: Snapshot) -> bool:
        """Move forward to a snapshot; return whether it was ahead."""
        if snapshot.folded_to <= self.folded_to or snapshot.version < self.current.version:
            return False
        self._move(Configuration.from_lists(snapshot.version, snapshot.plans, snapshot.pools))
        self.folded_to = snapshot.folded_to
        return True

    def snapshot(self) -> Snapshot:
        """Return the state as a record."""
        current = self.current
        return Snapshot(current.version, self.folded_to, current.plans, current.pools)

    def _take_newest_snapshot(self, page: Page) -> bool:
        for record in reversed(page.records):
            try:
                content = decode_record(record.body)
            except msgspec.MsgspecError:
                continue
            if isinstance(content, Snapshot) and content.folded_to >= page.first:
                return self.take_snapshot(content)
        return False

    def _take_change(self, change: Change, offset: int) -> None:
        if change.change_id in self.outcome_by_change:
            return
        outcome = self._judge(change, offset)
        self.outcome_by_change[change.change_id] = outcome
        if len(self.outcome_by_change) > OUTCOMES_KEPT:
            self.outcome_by_change.popitem(last=False)
        log.info("change {} at {}: {}", change.change_id, offset, outcome)

    def _judge(self, change: Change, offset: int) -> Outcome:
        version = self.current.version
        if change.base != version:
            reason = f"made upon version {change.base}, but {version} is in force; publish again"
            return Outcome(False, version, reason)
        changed = self.current.apply(change, offset + 1)
        fault = changed.fault()
        if fault is not None:
            return Outcome(False, version, fault)
        self._move(changed)
        return Outcome(True, changed.version)

    def _move(self, changed: Configuration) -> None:
        rises = changed.version >= self.current.version
        check(rises, "configuration-never-reverts", old=self.current.version, new=changed.version)
        self.current = changed
