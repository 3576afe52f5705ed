"""Crashes of targets and their causes, as all nodes tell each other."""

from __future__ import annotations

import asyncio
import hashlib
import re
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator

from celeryrun.catalog import Target
from celeryrun.gateway._events import EventLog
from celeryrun.gateway._links import CrashReport, TraitsCompleted
from celeryrun.gateway._members import Members
from celeryrun.gateway._topic_follower import isolated
from celeryrun.kernel import Kernel, now
from celeryrun.platform import NODES_TOPIC, KeyedPage, KeyedRecord, Store, StoreUnavailableError
from celeryrun.scheduling import (
    SHARED_CRASH_LIMIT,
    Crash,
    CrashHistory,
    PartAssessment,
    PartCrashHistory,
)

__all__ = ["CrashTracker", "hash_part"]

CRASH_RETENTION = 120.0  # s for which a crash counts for a request that its caller sends again
MAX_PARTS = 512  # parts of one prompt that are reported with a crash
MAX_COMPLETED_PARTS = 4096  # latest parts with which requests of this node have completed
MAX_RECORDS = 256  # causes of crashes kept in the store; the oldest are deleted
STORE_INTERVAL = 0.1  # s between writes
STORE_RETRY_DELAY = 0.5  # s after a failed write
PART_PREFIX = "crash.part."  # of a key, followed by the hash of the part in hexadecimal
REQUEST_PREFIX = "crash.request."  # followed by the fingerprint
TRAIT = re.compile(r"[0-9a-f]{1,16}")  # hash or fingerprint in a key
CRASHES = re.compile(rb"[0-9]{1,9}")
MAX_REPORTS = 256  # crashes told to a node that joins


def hash_part(part: bytes) -> int:
    """Return a hash of the id of a prompt part that is the same on every node.

    Examples
    --------
    >>> hash_part(b"5c1e") == hash_part(b"5c1e"), hash_part(b"5c1e") == hash_part(b"5c1f")
    (True, False)
    """
    return int.from_bytes(hashlib.blake2b(part, digest_size=8).digest(), "big") >> 1


class CrashTracker:
    """Service that knows which requests and which parts of prompts crash targets.

    A node reports crashes and completions to its scheduler, which passes news on to all other
    nodes, so that every node can decide, and any of them can be the next scheduler. The scheduler
    also keeps what is refused in the store, from which restarted nodes read it.

    Attributes
    ----------
    requests : CrashHistory
        Crashes by request.
    parts : PartCrashHistory
        Crashes by part of a prompt.
    forward : callable
        Sends a message to this node's scheduler and to the nodes that use this one.
    is_scheduler : callable
        Returns whether this node is its own scheduler.
    """

    __slots__ = (
        "_completed_parts",
        "_events",
        "_lost_by_key",
        "_rewrite_task",
        "_stored_by_key",
        "_store",
        "_task",
        "_unwritten_by_key",
        "forward",
        "is_scheduler",
        "parts",
        "requests",
    )

    def __init__(self, kernel: Kernel) -> None:
        members: Members = kernel.find("members")
        members.page_watchers.append(self._apply_page)
        self._store: Store = kernel.find("store")
        self._stored_by_key: OrderedDict[str, int] = OrderedDict()
        self._unwritten_by_key: dict[str, int] = {}
        self._lost_by_key: dict[str, int] = {}
        self._rewrite_task: asyncio.Task[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self.is_scheduler: Callable[[], bool] = lambda: False
        self._events: EventLog = kernel.find("events")
        self._completed_parts: OrderedDict[int, None] = OrderedDict()
        self.requests = CrashHistory(CRASH_RETENTION)
        self.parts = PartCrashHistory()
        self.forward: Callable[[CrashReport | TraitsCompleted], None] = lambda message: None

    def start(self) -> None:
        """Do nothing; a task runs only while there is something to write."""

    def stop(self) -> None:
        """Stop writing to the store."""
        for task in (self._task, self._rewrite_task):
            if task is not None:
                task.cancel()

    def assess(self, parts: Iterable[bytes]) -> PartAssessment:
        """Decide whether a request with these parts of a prompt may run."""
        if not len(self.parts):
            return PartAssessment(False)
        return self.parts.assess(map(hash_part, parts), now())

    def report_crash(self, target: Target, fingerprint: int, parts: Iterable[bytes]) -> None:
        """Report that a target crashed with a request of this node in flight."""
        hashes = tuple(hash_part(part) for part in parts)[:MAX_PARTS]
        completed = tuple(part for part in hashes if part in self._completed_parts)
        report = CrashReport(fingerprint, target.id, 0.0, hashes, completed, target.born)
        if self.apply(report):
            self.forward(report)

    def report_completed(self, fingerprint: int, parts: Iterable[bytes], began: float) -> None:
        """Report that a request of this node, sent at a time, has completed."""
        hashes = tuple(hash_part(part) for part in parts)[:MAX_PARTS]
        for part in hashes:
            self._completed_parts[part] = None
            self._completed_parts.move_to_end(part)
        while len(self._completed_parts) > MAX_COMPLETED_PARTS:
            self._completed_parts.popitem(last=False)
        suspects = tuple(part for part in hashes if part in self.parts)
        if suspects or fingerprint in self.requests:
            message = TraitsCompleted(fingerprint, suspects, now() - began)
            if self.apply(message):
                self.forward(message)

    def apply(self, message: CrashReport | TraitsCompleted) -> bool:
        """Apply a report of this node or another one; return whether it was news."""
        time = now() - message.age
        refused = len(self.parts.refused_parts())
        match message:
            case CrashReport():
                crash = Crash(message.target, time, message.born)
                is_news = self.parts.record_crash(
                    crash, message.fingerprint, message.parts, message.completed_before
                )
                if self.parts.is_explained(crash):
                    self.requests.explain(crash)
                elif self.requests.record_crash(
                    message.fingerprint, message.target, time, message.born
                ):
                    is_news = True
            case TraitsCompleted():
                is_news = self.parts.clear(message.parts, time)
                if message.fingerprint in self.requests:
                    self.requests.clear(message.fingerprint)
                    is_news = True
        if len(self.parts.refused_parts()) != refused:
            self._events.emit(
                "parts-refused",
                count=len(self.parts.refused_parts()),
                target=getattr(message, "target", None),
                fingerprint=message.fingerprint,
            )
        if is_news and self.is_scheduler():
            self._save(message)
        return is_news

    def reports(self) -> Iterator[CrashReport]:
        """Iterate over the latest reports, for a node that may have missed them."""
        time = now()
        sent = 0
        for crash, fingerprint, parts, completed in self.parts.crashes():
            if sent >= MAX_REPORTS:
                return
            sent += 1
            yield CrashReport(
                fingerprint,
                crash.target,
                time - crash.time,
                tuple(parts),
                tuple(completed),
                crash.born,
            )
        for fingerprint, crash in self.requests.crashes(time)[-MAX_REPORTS:]:
            yield CrashReport(fingerprint, crash.target, time - crash.time, born=crash.born)

    def _save(self, message: CrashReport | TraitsCompleted) -> None:
        """Bring the store's records of the parts and the request of a message up to date."""
        crashes_by_key = {
            f"{PART_PREFIX}{part:x}": self.parts.crash_count(part) for part in message.parts
        }
        assessment = self.requests.assess(message.fingerprint, now())
        crashes_by_key[f"{REQUEST_PREFIX}{message.fingerprint:x}"] = (
            assessment.crashes if assessment.refused else 0
        )
        # A confirmed cause clears parts that are not in the message.
        for key in self._stored_by_key:
            if key.startswith(PART_PREFIX):
                part = int(key.removeprefix(PART_PREFIX), 16)
                crashes_by_key.setdefault(key, self.parts.crash_count(part))
        for key, crashes in crashes_by_key.items():
            if crashes != self._stored_by_key.get(key, 0):
                self._write(key, crashes)
        while len(self._stored_by_key) > MAX_RECORDS:
            self._write(next(iter(self._stored_by_key)), 0)

    def _write(self, key: str, crashes: int) -> None:
        """Write a number of crashes to the store in the background; 0 deletes the key."""
        self._stored_by_key.pop(key, None)
        if crashes:
            self._stored_by_key[key] = crashes
        self._unwritten_by_key[key] = crashes
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._write_all())

    async def _write_all(self) -> None:
        while self._unwritten_by_key:
            key, crashes = next(iter(self._unwritten_by_key.items()))
            try:
                await self._store.put(NODES_TOPIC, key, b"%d" % crashes if crashes else b"")
            except StoreUnavailableError as error:
                self._events.emit("crash-not-stored", why=str(error))
                await asyncio.sleep(STORE_RETRY_DELAY)
                continue
            if self._unwritten_by_key.get(key) == crashes:
                del self._unwritten_by_key[key]
            await asyncio.sleep(STORE_INTERVAL)

    def _apply_page(self, page: KeyedPage) -> None:
        if page.restored:
            self._compare_with_copy(page.records)
            return
        for record in page.records:
            with isolated(self._events, NODES_TOPIC, record.key):
                self._lost_by_key.pop(record.key, None)
                self._apply_record(record)

    def _compare_with_copy(self, records: Iterable[KeyedRecord]) -> None:
        """Note what a restored copy lacks, and what had been deleted; a scheduler writes both."""
        crashes_by_key = {
            record.key: record.value
            for record in records
            for prefix in (PART_PREFIX, REQUEST_PREFIX)
            if record.key.startswith(prefix) and TRAIT.fullmatch(record.key.removeprefix(prefix))
        }
        self._lost_by_key = {
            key: self._stored_by_key.get(key, 0)
            for key in {*self._stored_by_key, *crashes_by_key}
            if crashes_by_key.get(key) != b"%d" % self._stored_by_key.get(key, 0)
        }
        if self._lost_by_key and (self._rewrite_task is None or self._rewrite_task.done()):
            self._rewrite_task = asyncio.get_running_loop().create_task(self._rewrite_lost())

    async def _rewrite_lost(self) -> None:
        """Write what a restored copy lacks, unless another node is seen to have written it."""
        while self._lost_by_key:
            if self.is_scheduler():
                for key, crashes in self._lost_by_key.items():
                    self._write(key, crashes)
                self._lost_by_key = {}
            await asyncio.sleep(STORE_RETRY_DELAY)

    def _apply_record(self, record: KeyedRecord) -> None:
        """Refuse what an earlier process refused; other records are ignored."""
        for prefix in (PART_PREFIX, REQUEST_PREFIX):
            if not record.key.startswith(prefix):
                continue
            self._stored_by_key.pop(record.key, None)
            if record.value is None:
                return
            try:
                trait, crashes = _parse_record(record.key.removeprefix(prefix), record.value)
            except ValueError as error:
                self._events.emit("crash-unreadable", why=str(error))
                return
            self._stored_by_key[record.key] = crashes
            while len(self._stored_by_key) > 2 * MAX_RECORDS:
                self._stored_by_key.popitem(last=False)
            self._restore(prefix, trait, crashes)

    def _restore(self, prefix: str, trait: int, crashes: int) -> None:
        if prefix == PART_PREFIX:
            self.parts.restore(trait, crashes, now())
        elif trait not in self.requests:
            for number in range(min(crashes, SHARED_CRASH_LIMIT)):
                self.requests.record_crash(trait, f"restored-{number}", now())


def _parse_record(trait: str, crashes: bytes) -> tuple[int, int]:
    """Return a trait and its number of crashes.

    Raises
    ------
    ValueError
        If one of them is not a number as this process writes it.
    """
    if not TRAIT.fullmatch(trait) or not CRASHES.fullmatch(crashes):
        raise ValueError(f"{trait[:32]!r}: {crashes[:32]!r} is no record of crashes")
    return int(trait, 16), int(crashes)
