"""Configuration and targets, as followed in the store."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace

from celeryrun.catalog import (
    Catalog,
    Credible,
    Doubtful,
    Outdated,
    Pool,
    Target,
    TargetRun,
    judge_restored_entry,
)
from celeryrun.gateway._events import EventLog
from celeryrun.gateway._topic_follower import TopicFollower, isolated
from celeryrun.kernel import Kernel, now
from celeryrun.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    TARGETS_TOPIC,
    KeyedPage,
    KeyedRecord,
    UnreadableRecordError,
    decode_catalog,
    decode_target,
)
from celeryrun.scheduling import LeavingTargets
from celeryrun.settings import GatewaySettings

__all__ = ["Discovery"]

MAX_READ_WAIT = 2.0  # s that the store may hold a read; each reply confirms freshness
REVOCATION_LAG_FRACTION = 0.3  # of revocation_lag; one reply may be lost before keys are refused
CONFIGURATION_LAG_FRACTION = 0.3  # of the lag; data is up to two waits and a heartbeat old
DRAIN_LAG_WAIT_FRACTION = 0.3  # of drain_lag; a silent store is detected within it
DRAIN_LAG_DELAY_FRACTION = 0.4  # of drain_lag, between target reads; limits load on the store
MAX_READ_DELAY = 1.0  # s
INITIAL_READ_DELAY = 1.5  # s; by then a new node usually has a scheduler that reads for it
RECOVERY_GRACE = 2.3  # s after an outage of the store for which it may lack targets
MAX_REMOVED_TARGETS = 1024  # latest removed targets that are remembered
MAX_UNREADABLE_IDS = 1024  # ids of unreadable entries that are not logged again


class Discovery:
    """Service that follows the configuration and the targets.

    Attributes
    ----------
    catalog : Catalog or None
        Newest configuration seen; its version never decreases.
    leaving : LeavingTargets
        Runs of targets that have stated that they leave.
    targets_by_id : dict
        Listed targets, including draining ones.
    on_snapshot : callable
        Called before a whole list is applied, as changes before it may have been missed.
    on_target_change : callable
        Called with the former and the new entry of a target that is listed, changed or removed.
    """

    __slots__ = (
        "_configuration_record",
        "_doubts_by_id",
        "_in_force_at",
        "_newest_version",
        "_newest_version_at",
        "_removals_by_id",
        "_removed_targets_by_id",
        "_restored_at",
        "_events",
        "_ready_targets_by_pool",
        "_unreadable_ids",
        "catalog",
        "configuration",
        "leaving",
        "on_snapshot",
        "on_target_change",
        "targets",
        "targets_by_id",
    )

    def __init__(self, kernel: Kernel, settings: GatewaySettings) -> None:
        store = kernel.find("store")
        events: EventLog = kernel.find("events")
        bounds = settings.bounds
        configuration_wait = min(
            MAX_READ_WAIT,
            REVOCATION_LAG_FRACTION * bounds.revocation_lag,
            CONFIGURATION_LAG_FRACTION * bounds.configuration_lag,
        )
        targets_wait = min(MAX_READ_WAIT, DRAIN_LAG_WAIT_FRACTION * bounds.drain_lag)
        read_delay = min(MAX_READ_DELAY, DRAIN_LAG_DELAY_FRACTION * bounds.drain_lag)
        self._events = events
        self._removals_by_id: dict[str, asyncio.TimerHandle] = {}
        self._configuration_record: bytes | None = None
        self._in_force_at = float("-inf")
        self._newest_version = 0
        self._newest_version_at = float("inf")
        self._doubts_by_id: dict[str, asyncio.TimerHandle] = {}
        self._removed_targets_by_id: OrderedDict[str, Target] = OrderedDict()
        self._restored_at = float("-inf")
        self._ready_targets_by_pool: dict[str, list[Target]] = {}
        self._unreadable_ids: set[str] = set()
        self.leaving = LeavingTargets()
        self.catalog: Catalog | None = None
        self.targets_by_id: dict[str, Target] = {}
        self.on_snapshot: Callable[[], None] = lambda: None
        self.on_target_change: Callable[[Target | None, Target | None], None] = (
            lambda former, current: None
        )
        self.configuration = TopicFollower(
            store,
            events,
            CONFIGURATION_TOPIC,
            configuration_wait,
            0.0,
            self._apply_configuration,
            INITIAL_READ_DELAY,
        )
        self.targets = TopicFollower(
            store,
            events,
            TARGETS_TOPIC,
            targets_wait,
            read_delay,
            self._apply_targets,
            INITIAL_READ_DELAY,
        )

    def start(self) -> None:
        """Start both followers."""
        self.configuration.start()
        self.targets.start()

    def stop(self) -> None:
        """Stop both followers."""
        self.configuration.stop()
        self.targets.stop()

    def ready_targets(self, pool: str) -> list[Target]:
        """Return the targets of a pool that accept new requests."""
        found = self._ready_targets_by_pool.get(pool)
        if found is None:
            found = [
                target
                for target in self.targets_by_id.values()
                if target.pool == pool and target.ready
            ]
            self._ready_targets_by_pool[pool] = found
        return found

    def find_pool(self, name: str) -> Pool:
        """Return a pool's configuration, or the defaults if it has none."""
        known = self.catalog.pools_by_name.get(name) if self.catalog is not None else None
        return known if known is not None else Pool(name)

    def is_loaded(self) -> bool:
        """Return whether a configuration and the targets were read."""
        return self.catalog is not None and self.targets.confirmed_at > float("-inf")

    def configuration_age(self) -> float:
        """Return the greatest possible age of the configuration in force, in seconds.

        A restored store may end with an older version than another node has in force; the age then
        counts from when that node had it.
        """
        age = self.configuration.age()
        if self.catalog is None or self.catalog.version < self._newest_version:
            age = max(age, now() - self._newest_version_at)
        return age

    def version_in_force(self) -> tuple[int, float]:
        """Return the version in force, 0 without any, and the seconds since it came into force."""
        if self.catalog is None:
            return 0, 0.0
        return self.catalog.version, now() - self._in_force_at

    def note_version(self, version: int, since: float) -> None:
        """Note that another node has had a version in force since a time."""
        if version > self._newest_version:
            self._newest_version = version
            self._newest_version_at = since

    @property
    def configuration_record(self) -> bytes | None:
        """Record of the configuration in force, as read from the store; None without any."""
        return self._configuration_record

    def mark_leaving(self, run: TargetRun, stated_at: float) -> bool:
        """Take a run of a target out of use; return whether it was not known to leave.

        Parameters
        ----------
        stated_at : float
            Time of the response that says so, in seconds.
        """
        listed_runs = {target.run for target in self.targets_by_id.values()}
        if not self.leaving.add(run, stated_at, listed_runs, now()):
            return False
        if run in listed_runs:
            self.targets_by_id[run.id] = replace(self.targets_by_id[run.id], ready=False)
            self._ready_targets_by_pool.clear()
        return True

    def _apply_configuration(self, page: KeyedPage) -> None:
        for record in page.records:
            if record.key == CONFIGURATION_KEY and record.value is not None:
                with isolated(self._events, CONFIGURATION_TOPIC, record.key):
                    self.apply_configuration_record(record.value)

    def apply_configuration_record(self, body: bytes) -> None:
        """Apply a configuration that this or another node has read, unless it is older."""
        try:
            catalog = decode_catalog(body)
        except UnreadableRecordError as error:
            self._events.emit("configuration-unreadable", why=str(error))
            return
        if self.catalog is None or catalog.version > self.catalog.version:
            self._events.emit(
                "configuration-in-force",
                version=catalog.version,
                routes=len(catalog.routes),
                keys=len(catalog.workspaces_by_key),
            )
            self.catalog = catalog
            self._configuration_record = body
            self._in_force_at = now()

    def _apply_targets(self, page: KeyedPage) -> None:
        if page.restored:
            self._restored_at = now()
        if page.is_snapshot:
            self.on_snapshot()
        for record in page.records:
            with isolated(self._events, TARGETS_TOPIC, record.key):
                self._apply_target(record)
        if page.is_snapshot:
            listed = {record.key for record in page.records if record.value is not None}
            for id in set(self.targets_by_id) - listed:
                self._schedule_removal(id)

    def _apply_target(self, record: KeyedRecord) -> None:
        id = record.key
        if id in self._doubts_by_id:
            self._doubts_by_id.pop(id).cancel()
        if record.value is None:
            self._unreadable_ids.discard(id)
            if id in self.targets_by_id:
                self._schedule_removal(id)
            return
        try:
            target = decode_target(id, record.value)
        except UnreadableRecordError as error:
            self._on_unreadable(id, str(error))
            return
        self._unreadable_ids.discard(id)
        doubt_ends_in = self._restored_at + RECOVERY_GRACE - now()
        if doubt_ends_in > 0:
            known, removed = self.targets_by_id.get(id), self._removed_targets_by_id.get(id)
            match judge_restored_entry(target, known, removed):
                case Outdated(reason):
                    self._events.emit("target-outdated", target=id, why=reason)
                    return
                case Doubtful(reason):
                    self._events.emit("target-outdated", target=id, why=reason)
                    loop = asyncio.get_running_loop()
                    self._doubts_by_id[id] = loop.call_later(
                        doubt_ends_in, self._accept_target, target
                    )
                    return
                case Credible():
                    pass
        self._accept_target(target)

    def _on_unreadable(self, id: str, reason: str) -> None:
        """Remove the target that an unreadable entry replaces; log only the first such entry."""
        if id in self.targets_by_id:
            self._schedule_removal(id)
        if id in self._unreadable_ids:
            return
        if len(self._unreadable_ids) >= MAX_UNREADABLE_IDS:
            self._unreadable_ids.clear()
        self._unreadable_ids.add(id)
        self._events.emit("target-unreadable", target=id, why=reason)

    def _accept_target(self, target: Target) -> None:
        id = target.id
        self._doubts_by_id.pop(id, None)
        if id in self._removals_by_id:
            self._removals_by_id.pop(id).cancel()
        known = self.targets_by_id.get(id)
        if target.run in self.leaving:
            target = replace(target, ready=False)
        self.targets_by_id[id] = target
        if known is None or known != target:
            self.on_target_change(known, target)
            self._ready_targets_by_pool.clear()
            if known is None or known.ready != target.ready or known.born != target.born:
                self._events.emit(
                    "target-listed",
                    target=id,
                    pool=target.pool,
                    ready=target.ready,
                    version=target.version,
                    address=f"{target.host}:{target.port}",
                )

    def _schedule_removal(self, id: str) -> None:
        """Remove a target, after a delay if the store has just recovered and may lack it."""
        delay = self.targets.recovered_at + RECOVERY_GRACE - now()
        if delay <= 0:
            self._remove(id)
        elif id not in self._removals_by_id:
            loop = asyncio.get_running_loop()
            self._removals_by_id[id] = loop.call_later(delay, self._remove, id)

    def _remove(self, id: str) -> None:
        self._removals_by_id.pop(id, None)
        self._ready_targets_by_pool.clear()
        target = self.targets_by_id.pop(id, None)
        if target is not None:
            self.on_target_change(target, None)
            self._removed_targets_by_id[id] = target
            self._removed_targets_by_id.move_to_end(id)
            if len(self._removed_targets_by_id) > MAX_REMOVED_TARGETS:
                self._removed_targets_by_id.popitem(last=False)
            self._events.emit("target-gone", target=id, pool=target.pool)
