"""The configuration and the targets as the store tells them."""

from __future__ import annotations

import asyncio

from celeryrun.catalog import Catalog, Pool, Target
from celeryrun.gateway._events import EventLog
from celeryrun.gateway._follow import Follower
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
from celeryrun.settings import GatewaySettings

__all__ = ["Discovery"]

LONGEST_WAIT = 2.0  # s; an answer to each wait proves the configuration current
WAIT_SHARE = 0.3  # of the revocation lag, so that an answer may be lost before keys are refused
WAIT_SHARE_OF_LAG = 0.3  # of the configuration lag: a proof is up to two waits and a beat old
TARGETS_WAIT_SHARE = 0.3  # of the drain lag, so that the store's silence is noticed within it
PAUSE_SHARE = 0.4  # of the drain lag, between two reads of the targets; calls to the store cost
LONGEST_PAUSE = 1.0  # s
FIRST_REST = 1.5  # s in which a node that starts mostly finds the one that reads for it
RETURN_GRACE = 2.3  # s for which targets may be missing after the store's return


class Discovery:
    """Service that follows the configuration and the list of targets.

    Attributes
    ----------
    catalog : Catalog or None
        The newest version seen; it never goes back.
    targets_by_id : dict
        Targets that are listed, leaving ones included.
    """

    __slots__ = (
        "_drops",
        "_events",
        "_pool_index",
        "catalog",
        "configuration",
        "targets",
        "targets_by_id",
    )

    def __init__(self, kernel: Kernel, settings: GatewaySettings) -> None:
        store = kernel.find("store")
        events: EventLog = kernel.find("events")
        bounds = settings.bounds
        wait = min(
            LONGEST_WAIT,
            WAIT_SHARE * bounds.revocation_lag,
            WAIT_SHARE_OF_LAG * bounds.configuration_lag,
        )
        targets_wait = min(LONGEST_WAIT, TARGETS_WAIT_SHARE * bounds.drain_lag)
        pause = min(LONGEST_PAUSE, PAUSE_SHARE * bounds.drain_lag)
        self._events = events
        self._drops: dict[str, asyncio.TimerHandle] = {}
        self._pool_index: dict[str, list[Target]] = {}
        self.catalog: Catalog | None = None
        self.targets_by_id: dict[str, Target] = {}
        self.configuration = Follower(
            store, events, CONFIGURATION_TOPIC, wait, 0.0, self._take_configuration, FIRST_REST
        )
        self.targets = Follower(
            store, events, TARGETS_TOPIC, targets_wait, pause, self._take_targets, FIRST_REST
        )

    def start(self) -> None:
        """Begin to follow."""
        self.configuration.start()
        self.targets.start()

    def stop(self) -> None:
        """End."""
        self.configuration.stop()
        self.targets.stop()

    def of_pool(self, pool: str) -> list[Target]:
        """Return the targets of a pool that take new work."""
        found = self._pool_index.get(pool)
        if found is None:
            found = [
                target
                for target in self.targets_by_id.values()
                if target.pool == pool and target.ready
            ]
            self._pool_index[pool] = found
        return found

    def pool(self, name: str) -> Pool:
        """Return what is configured of a pool, also of one that is not."""
        known = self.catalog.pools_by_name.get(name) if self.catalog is not None else None
        return known if known is not None else Pool(name)

    def is_known(self) -> bool:
        """Tell whether there is a configuration and a list of targets."""
        return self.catalog is not None and self.targets.proved > float("-inf")

    def _take_configuration(self, page: KeyedPage) -> None:
        for record in page.records:
            if record.key != CONFIGURATION_KEY or record.value is None:
                continue
            try:
                catalog = decode_catalog(record.value)
            except UnreadableRecordError as error:
                self._events.emit("configuration-unreadable", why=str(error))
                continue
            if self.catalog is None or catalog.version > self.catalog.version:
                self._events.emit(
                    "configuration-in-force",
                    version=catalog.version,
                    routes=len(catalog.routes),
                    keys=len(catalog.workspaces_by_key),
                )
                self.catalog = catalog

    def _take_targets(self, page: KeyedPage) -> None:
        for record in page.records:
            self._take_target(record)
        if page.is_snapshot:
            listed = {record.key for record in page.records if record.value is not None}
            for id in set(self.targets_by_id) - listed:
                self._drop(id)

    def _take_target(self, record: KeyedRecord) -> None:
        id = record.key
        if record.value is None:
            if id in self.targets_by_id:
                self._drop(id)
            return
        try:
            target = decode_target(id, record.value)
        except UnreadableRecordError as error:
            self._events.emit("target-unreadable", target=id, why=str(error))
            return
        if id in self._drops:
            self._drops.pop(id).cancel()
        known = self.targets_by_id.get(id)
        if known is None or known != target:
            self._pool_index.clear()
            self.targets_by_id[id] = target
            if known is None or known.ready != target.ready or known.born != target.born:
                self._events.emit(
                    "target-listed",
                    target=id,
                    pool=target.pool,
                    ready=target.ready,
                    address=f"{target.host}:{target.port}",
                )

    def _drop(self, id: str) -> None:
        """Take a target off, later if the store has just come back and may not know it yet."""
        wait = self.targets.returned + RETURN_GRACE - now()
        if wait <= 0:
            self._forget(id)
        elif id not in self._drops:
            loop = asyncio.get_running_loop()
            self._drops[id] = loop.call_later(wait, self._forget, id)

    def _forget(self, id: str) -> None:
        self._drops.pop(id, None)
        self._pool_index.clear()
        target = self.targets_by_id.pop(id, None)
        if target is not None:
            self._events.emit("target-gone", target=id, pool=target.pool)
