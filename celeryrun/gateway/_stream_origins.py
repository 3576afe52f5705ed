"""Versions that began the streams in progress, as the nodes tell each other."""

from __future__ import annotations

import time
from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass

from celeryrun.catalog import Catalog, Target
from celeryrun.continuity import (
    CONTRADICTORY,
    Bound,
    OriginTable,
    Resolution,
    StreamOrigin,
    Unknown,
    VersionHistory,
    resolve,
)
from celeryrun.gateway._discovery import Discovery
from celeryrun.gateway._events import EventLog
from celeryrun.gateway._links import OriginReport, VersionReport
from celeryrun.gateway._metrics import GatewayMetrics
from celeryrun.gateway._origin_records import OriginRecords
from celeryrun.gateway._version_records import PoolVersion, VersionRecords
from celeryrun.kernel import Kernel, now
from celeryrun.scheduling import SlotRequest
from celeryrun.settings import GatewaySettings

__all__ = ["RecordedOrigin", "StreamOrigins", "merge_reports"]

CALLER_MARGIN = 5.0  # s beyond its caller's deadline for which an origin is kept
STREAM_LIFE_FACTOR = 2.0  # longest life of a stream over all tries, in its route's timeouts
LIST_AGE_FACTOR = 2.0  # age of the newest list of targets, in values of drain_lag
LIST_LAG = 5.0  # s for which a target may run before its entry is read
CLOCK_MARGIN = 0.5  # s by which the times of day of two VMs may differ
ENTRY_DELAY = 0.2  # s after its start within which a target writes its entry
TOLD_EARLY = 2.0  # s before the first list of targets in which another node's history holds
MAX_OBSERVED = 3600.0  # s; a longer history is told as this
RECORD_MARGIN = 15.0  # s beyond the longest life of a stream for which its version is recorded
REPORT_SIZE = 4096  # origins in one message


@dataclass(frozen=True, slots=True)
class RecordedOrigin:
    """Origin of a stream that this node has recorded, for its scheduler.

    Parameters
    ----------
    lifetime : float
        Seconds for which the stream's caller may still take it up again.
    """

    stream: int
    version: str
    lifetime: float


class StreamOrigins:
    """Service that records which version began a stream, and resolves resumed ones.

    A node records the origins of its own streams and reports them to its scheduler, which
    replicates all of them to the nodes that would schedule next.

    Attributes
    ----------
    broken_at : callable
        Returns the time at which a target was last seen to end a connection early.
    is_store_down : callable
        Returns whether no node is known to reach the store.
    on_contradiction : callable
        Called with a report of origins that this node's scheduler no longer relies on.
    """

    __slots__ = (
        "_catalog",
        "_discovery",
        "_events",
        "_histories_by_pool",
        "_is_first_start",
        "_life_by_pool",
        "_max_list_age",
        "_metrics",
        "_observed_since",
        "_recent_streams_by_target",
        "_origin_records",
        "_table",
        "_told",
        "_version_records",
        "broken_at",
        "is_store_down",
        "on_contradiction",
    )

    def __init__(self, kernel: Kernel, settings: GatewaySettings) -> None:
        self._discovery: Discovery = kernel.find("discovery")
        self._events: EventLog = kernel.find("events")
        self._metrics: GatewayMetrics = kernel.find("metrics")
        self._is_first_start = settings.node.first_start == "yes"
        self._max_list_age = LIST_AGE_FACTOR * settings.bounds.drain_lag
        self._table = OriginTable()
        self._histories_by_pool: dict[str, VersionHistory] = {}
        self._observed_since: float | None = None
        self._told: list[tuple[float, VersionReport]] = []
        self._catalog: Catalog | None = None
        self._life_by_pool: dict[str, float] = {}
        self._recent_streams_by_target: dict[str, deque[tuple[float, int]]] = {}
        self.broken_at: Callable[[str], float] = lambda target: float("-inf")
        self.is_store_down: Callable[[], bool] = lambda: False
        self.on_contradiction: Callable[[OriginReport], None] = lambda report: None
        self._version_records: VersionRecords = kernel.find("version-records")
        self._origin_records: OriginRecords = kernel.find("origin-records")
        self._origin_records.all_reports = self.reports
        self._origin_records.on_report = self.merge
        self._version_records.listed = self._listed_versions
        self._version_records.may_have_streams = self._may_have_streams
        self._discovery.on_snapshot = self._on_snapshot
        self._discovery.on_target_change = self._on_target_change

    def start(self) -> None:
        """Do nothing; the service has no task."""

    def stop(self) -> None:
        """Do nothing; the service has nothing to close."""

    def record_own(self, stream: int, target: Target, deadline: float) -> RecordedOrigin:
        """Record the origin of a stream whose first event this node is about to pass on.

        Parameters
        ----------
        deadline : float
            Seconds that the stream's caller waits for it.
        """
        origin = RecordedOrigin(stream, target.version, deadline + CALLER_MARGIN)
        self._table.record(stream, origin.version, origin.lifetime, now())
        return origin

    def note_target(self, stream: int, target: str, is_certain: bool) -> None:
        """Note which target made the first event of a stream, as this node's scheduler knows.

        Parameters
        ----------
        is_certain : bool
            Whether the target is the one in the list, and not another run of it.
        """
        time = now()
        origin = self._table.find(stream, time)
        if is_certain and origin is not None:
            origin.is_certain = True
            return
        streams = self._recent_streams_by_target.setdefault(target, deque())
        while streams and time - streams[0][0] > LIST_LAG:
            streams.popleft()
        streams.append((time, stream))

    def give_up(self, stream: int) -> None:
        """Give up the origin of a stream, as its target may be of another version than listed."""
        moment = now()
        origin = self._table.find(stream, moment)
        if origin is None:
            return
        self._table.record(stream, CONTRADICTORY, origin.expires_at - moment, moment)
        for report in build_reports([(stream, origin)]):
            self.on_contradiction(report)

    def merge(self, report: OriginReport) -> bool:
        """Record the origins that another node reports; return whether there is any news."""
        time = now()
        news = False
        for stream, lifetime in zip(report.streams, report.lifetimes, strict=False):
            news |= self._table.record(stream, report.version, lifetime, time)
        return news

    def reports(self) -> Iterator[OriginReport]:
        """Yield reports of all origins in the table."""
        return build_reports(self._table.origins(now()))

    def resolve(
        self, slot_request: SlotRequest, arrived: float, time: float, is_last: bool
    ) -> Resolution:
        """Return the version at which a resumed stream may go on.

        Parameters
        ----------
        arrived : float
            Time at which the slot request came to this node's scheduler, in seconds.
        is_last : bool
            Whether a stream of unknown origin is refused now.
        """
        resolution = self._resolve(slot_request, arrived, time)
        is_unrecorded = self._table.find(slot_request.stream, time) is None
        if isinstance(resolution, Unknown) and slot_request.stream and is_unrecorded:
            self._origin_records.refresh()
        stream = f"{slot_request.stream:016x}"
        match resolution:
            case Bound(version, why, age) if slot_request.resumed:
                self._events.emit(
                    "stream-bound",
                    stream=stream,
                    pool=slot_request.pool,
                    version=version,
                    why=why,
                    age=round(age, 3),
                )
                self._metrics.resumed_streams.labels(why).inc()
            case Unknown(why) if is_last:
                self._events.emit("stream-unknown", stream=stream, pool=slot_request.pool, why=why)
                self._metrics.resumed_streams.labels("unknown").inc()
        return resolution

    def _resolve(self, slot_request: SlotRequest, arrived: float, time: float) -> Resolution:
        stream, pool = slot_request.stream, slot_request.pool
        origin = self._table.find(stream, time) if stream else None
        if origin is None and slot_request.version:
            return Bound(slot_request.version, "claimed", 0.0)
        if (
            origin is not None
            and origin.version != CONTRADICTORY
            and not origin.is_certain
            and self.list_confirmed_at(pool) < origin.recorded_at + ENTRY_DELAY
        ):
            # The target may have been another run of it, at another version, than the one listed.
            if time >= origin.recorded_at + ENTRY_DELAY:
                self._discovery.targets.hurry()
            return Unknown("the target that began it is not confirmed")
        life = self._longest_life(pool)
        if life is None or self._observed_since is None:
            return Unknown("the routes or targets are not known")
        # A version that is younger than the list may have begun a stream of unknown origin.
        is_current = self.list_confirmed_at(pool) >= arrived
        resolution = resolve(
            origin,
            self._history(pool),
            life,
            self._version_records.versions_of(pool),
            time,
            is_current,
        )
        if origin is None and not is_current:
            self._discovery.targets.hurry()
        return resolution

    def list_confirmed_at(self, pool: str) -> float:
        """Return the start of the last read that showed the list of targets to be the newest.

        While the store is down for all nodes, a list with one version counts as the newest: no
        target that starts then can say that it is of another.
        """
        follower = self._discovery.targets
        if self.is_store_down():
            life = self._longest_life(pool) or MAX_OBSERVED
            if len(self._history(pool).versions_since(now() - life)) == 1:
                return float("inf")
        return follower.confirmed_at

    def _list_is_current(self) -> bool:
        return self._discovery.targets.age() <= self._max_list_age

    def _longest_life(self, pool: str) -> float | None:
        """Return the seconds that a stream of a pool may last, by all routes ever in force."""
        catalog = self._discovery.catalog
        if catalog is not None and catalog is not self._catalog:
            self._catalog = catalog
            for route in catalog.routes:
                life = STREAM_LIFE_FACTOR * route.timeout
                for split in route.splits if route.kind.resumable else ():
                    known = self._life_by_pool.get(split.pool, 0.0)
                    self._life_by_pool[split.pool] = max(known, life)
        return self._life_by_pool.get(pool)

    def _listed_versions(self) -> set[PoolVersion]:
        """Return the versions of the listed targets of pools with resumable routes."""
        return {
            PoolVersion(target.pool, target.version)
            for target in self._discovery.targets_by_id.values()
            if self._longest_life(target.pool) is not None
        }

    def _may_have_streams(self, candidate: PoolVersion) -> bool:
        """Return whether a stream that a version began may be in progress."""
        life = self._longest_life(candidate.pool)
        if self._observed_since is None or not self._list_is_current():
            return True
        since = now() - (MAX_OBSERVED if life is None else life + RECORD_MARGIN)
        history = self._history(candidate.pool)
        return history.observed_since > since or candidate.version in history.versions_since(since)

    def version_report(self) -> VersionReport | None:
        """Return the versions that this node has observed, None if its list may be old."""
        if self._observed_since is None or not self._list_is_current():
            return None
        time = now()
        return VersionReport(
            min(time - self._observed_since, MAX_OBSERVED),
            {pool: history.ages(time) for pool, history in self._histories_by_pool.items()},
        )

    def merge_versions(self, report: VersionReport) -> None:
        """Add the versions that another node has observed."""
        if self._observed_since is None:
            self._told.append((now(), report))
            return
        self._add_observations(report, now())

    def _add_observations(self, report: VersionReport, told_at: float) -> None:
        observed_since = told_at - report.seconds
        for pool, ages in report.ages_by_pool.items():
            self._history(pool).merge(observed_since, ages, told_at)
        self._observe_since(min(observed_since, self._observed_since or observed_since))

    def _observe_since(self, time: float) -> None:
        self._observed_since = time
        for history in self._histories_by_pool.values():
            history.observed_since = time

    def _history(self, pool: str) -> VersionHistory:
        history = self._histories_by_pool.get(pool)
        if history is None:
            observed_since = now() if self._observed_since is None else self._observed_since
            history = self._histories_by_pool[pool] = VersionHistory(observed_since)
        return history

    def _on_snapshot(self) -> None:
        """Observe anew, since other versions may have been listed since the last list."""
        is_first = self._observed_since is None
        time = now()
        self._observe_since(float("-inf") if is_first and self._is_first_start else time)
        told, self._told = self._told, []
        for told_at, report in told:
            if time - told_at < TOLD_EARLY:
                self._add_observations(report, told_at)

    def _on_target_change(self, former: Target | None, current: Target | None) -> None:
        self._version_records.note_change()
        if former is not None and current is not None:
            if (former.pool, former.version) == (current.pool, current.version):
                return
            if former.version != current.version:
                self._contradict_recent_streams(current)
        if former is not None:
            self._history(former.pool).remove(former.version, now())
        if former is not None and current is None:
            self._recent_streams_by_target.pop(former.id, None)
        if current is not None:
            self._history(current.pool).add(current.version)

    def _contradict_recent_streams(self, target: Target) -> None:
        """Give up the origins that a target may have made after it started at another version."""
        moment = now()
        started_at = moment - (time.time() - target.born / 1000)
        since = max(
            self._discovery.targets.formerly_confirmed_at - ENTRY_DELAY,
            self.broken_at(target.id),
            started_at - CLOCK_MARGIN,
        )
        origins = []
        for recorded_at, stream in self._recent_streams_by_target.pop(target.id, ()):
            origin = self._table.find(stream, moment)
            if origin is not None and recorded_at >= since:
                self._table.record(stream, CONTRADICTORY, origin.expires_at - moment, moment)
                origins.append((stream, origin))
        for report in build_reports(origins):
            self.on_contradiction(report)


def build_reports(origins: Iterable[tuple[int, StreamOrigin]]) -> Iterator[OriginReport]:
    """Yield reports of origins, grouped by their versions."""
    time = now()
    entries_by_version: defaultdict[str, list[tuple[int, int]]] = defaultdict(list)
    for stream, origin in origins:
        # Rounded down, so that an origin that nodes tell each other does not outlive its stream.
        entries_by_version[origin.version].append((stream, int(origin.expires_at - time)))
    return _split_entries(entries_by_version)


def merge_reports(reports: Iterable[OriginReport]) -> list[OriginReport]:
    """Return as few reports as possible with the origins of several.

    Examples
    --------
    >>> merge_reports([OriginReport("1.4", (7,), (30,)), OriginReport("1.4", (8,), (20,))])
    [OriginReport(version='1.4', streams=(7, 8), lifetimes=(30, 20))]
    """
    entries_by_version: defaultdict[str, list[tuple[int, int]]] = defaultdict(list)
    for report in reports:
        entries_by_version[report.version] += zip(report.streams, report.lifetimes, strict=False)
    return list(_split_entries(entries_by_version))


def _split_entries(
    entries_by_version: Mapping[str, list[tuple[int, int]]],
) -> Iterator[OriginReport]:
    for version, entries in entries_by_version.items():
        for start in range(0, len(entries), REPORT_SIZE):
            streams, lifetimes = zip(*entries[start : start + REPORT_SIZE], strict=True)
            yield OriginReport(version, streams, lifetimes)
