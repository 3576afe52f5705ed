"""Service that replicates the configuration to this node from the log or from peers."""

from __future__ import annotations

import random
import threading
import time

import logbook
import msgspec

from celeryrun.configuration._log_follower import LogFollower, ReadResult
from celeryrun.configuration._model import (
    Configuration,
    Snapshot,
    SnapshotSigner,
    decode_record,
    encode_record,
)
from celeryrun.configuration._replica import ConfigurationReplica, Delta
from celeryrun.configuration._snapshot_appender import SnapshotAppender
from celeryrun.exception import LogUnavailableError
from celeryrun.kernel import Kernel
from celeryrun.kernel._rendezvous import rank
from celeryrun.settings import Settings
from celeryrun.streams import LogClient, Record
from celeryrun.wire import (
    ConfigurationDelta,
    ConfigurationNotice,
    ConfigurationPull,
    ConfigurationState,
    LogRecord,
)

__all__ = ["ConfigurationService"]

READ_TIMEOUT = 2.0  # s
LONG_POLL_TIME = 1.5  # s; a silent connection fails after this plus READ_TIMEOUT
MAX_READ_INTERVAL = 30.0  # s, of a node that is not a log follower
RETRY_DELAY = 0.25  # s
NOTICE_INTERVAL = 1.0  # s
REPEAT_PULL_DELAY = 0.5  # s, before the same version is pulled again
PEER_TIMEOUT = 3.0  # s without a version from any peer, after which every node reads the log
FOLLOWERS_PER_ZONE = 3
NOTICE_FANOUT = 3
READINESS_SAMPLE = 8  # peers whose version is known before a node is ready without the log

log = logbook.Logger("configuration")


class ConfigurationService:
    """Replicates the configuration and appends snapshots to the log.

    A few nodes of each availability zone, the log followers, long-poll the log. The other nodes
    get changes by gossip [1]_: a node sends a notice of its version to a few random peers after
    each change and to one peer per interval, and a node with an older version pulls the changes
    that it lacks.

    Attributes
    ----------
    caught_up : Event
        Set once the configuration is known to be current: the log was read to its end or, while it
        is unavailable, enough peers have no newer version.

    References
    ----------
    .. [1] Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987.
    """

    __slots__ = (
        "_appender",
        "_follower",
        "_kernel",
        "_last_version_at",
        "_last_pull",
        "_last_read_at",
        "_lock",
        "_log_unavailable",
        "_replica",
        "_stopped",
        "_version_by_peer",
        "_version_changed",
        "caught_up",
    )

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        platform = settings.platform
        self._kernel = kernel
        self._lock = threading.Lock()
        self._replica = ConfigurationReplica(SnapshotSigner(settings.peers.key))
        reader = LogClient(platform.log_url, min(platform.timeout, READ_TIMEOUT))
        self._follower = LogFollower(
            reader, platform.configuration_stream, self._replica, self._lock
        )
        self._appender = SnapshotAppender(kernel, platform, self._replica, self._lock)
        self._version_by_peer: dict[str, int] = {}
        self._last_version_at = 0.0
        self._last_pull = (0, 0.0)
        self._last_read_at = 0.0
        self._log_unavailable = False
        self._version_changed = threading.Event()
        self._stopped = threading.Event()
        self.caught_up = threading.Event()

    @classmethod
    def from_config(cls, kernel: Kernel, settings: Settings) -> ConfigurationService:
        """Build the service from settings."""
        return cls(kernel, settings)

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        return self._replica.current

    def start(self) -> None:
        """Register the message handlers and start the threads."""
        peers = self._kernel.find("peers")
        peers.set_handler(ConfigurationNotice, self._on_notice)
        peers.set_handler(ConfigurationPull, self._on_pull)
        peers.set_handler(ConfigurationDelta, self._on_delta)
        peers.set_handler(ConfigurationState, self._on_state)
        for task in (self._follow, self._spread):
            threading.Thread(target=task, name=f"configuration{task.__name__}", daemon=True).start()
        self._appender.start()

    def stop(self) -> None:
        """Stop the threads."""
        self._stopped.set()
        self._version_changed.set()
        self._appender.stop()

    def on_peer_version(self, peer: str, version: int) -> None:
        """Record the version of a peer, and pull it if it is newer."""
        self._last_version_at = time.monotonic()
        self._version_by_peer[peer] = max(version, self._version_by_peer.get(peer, 0))
        if version > self.current.version:
            self._pull(peer, version)

    def _pull(self, peer: str, version: int) -> None:
        pulled_version, pulled_at = self._last_pull
        now = time.monotonic()
        if pulled_version >= version and now - pulled_at < REPEAT_PULL_DELAY:
            return
        self._last_pull = (version, now)
        pull = ConfigurationPull(self.current.version, self._replica.folded_to)
        self._kernel.find("peers").send(peer, pull)

    def _follow(self) -> None:
        while not self._stopped.is_set():
            if not self._should_read():
                self._stopped.wait(RETRY_DELAY)
                continue
            try:
                read_result = self._read()
            except LogUnavailableError as error:
                log.warning("{}", error)
                self._log_unavailable = True
                self._stopped.wait(RETRY_DELAY)
                continue
            if read_result.at_end and not read_result.has_records and not read_result.caught_up:
                self._stopped.wait(RETRY_DELAY)

    def _read(self) -> ReadResult:
        old_version = self.current.version
        wait = LONG_POLL_TIME if self.caught_up.is_set() and self._is_log_follower() else 0.0
        read_result = self._follower.read_page(wait)
        self._last_read_at = time.monotonic()
        self._log_unavailable = False
        self._appender.on_read(read_result)
        if read_result.caught_up and not self.caught_up.is_set():
            log.info("read the log to its end; version {} is in force", self.current.version)
            self.caught_up.set()
        self._signal_change(old_version)
        return read_result

    def _should_read(self) -> bool:
        now = time.monotonic()
        return (
            not self.caught_up.is_set()
            or self._is_log_follower()
            or now - self._last_version_at > PEER_TIMEOUT
            or now - self._last_read_at > MAX_READ_INTERVAL
        )

    def _is_log_follower(self) -> bool:
        members = self._kernel.find("members")
        zone = members.local_member.zone
        live = set(members.eligible_nodes())
        names = [
            member.name
            for member in list(members.by_name.values())
            if member.zone == zone and member.name in live
        ]
        followers = rank("configuration/follow", {*names, members.local_member.name})[
            :FOLLOWERS_PER_ZONE
        ]
        return members.local_member.name in followers

    def _signal_change(self, old_version: int) -> None:
        if self.current.version > old_version:
            self._version_changed.set()

    def _spread(self) -> None:
        while not self._stopped.is_set():
            has_changed = self._version_changed.wait(NOTICE_INTERVAL)
            self._version_changed.clear()
            ready = self.caught_up.is_set()
            others = self._other_nodes()
            count = READINESS_SAMPLE if not ready else NOTICE_FANOUT if has_changed else 1
            for name in random.sample(others, min(count, len(others))):
                self._send_notice(name, wants_reply=not ready)
            if not ready:
                self._check_ready_without_log(others)

    def _other_nodes(self) -> list[str]:
        members = self._kernel.find("members")
        return [name for name in members.eligible_nodes() if name != members.local_member.name]

    def _check_ready_without_log(self, others: list[str]) -> None:
        # While the log is unavailable, the newest version of the peers counts as the current one.
        versions = [self._version_by_peer[name] for name in others if name in self._version_by_peer]
        has_sample = 0 < min(len(others), READINESS_SAMPLE) <= len(versions)
        if self._log_unavailable and has_sample and 0 < max(versions) <= self.current.version:
            log.info(
                "the log is unavailable; ready with version {}, which no peer exceeds",
                self.current.version,
            )
            self.caught_up.set()

    def _send_notice(self, name: str, wants_reply: bool = False) -> None:
        current = self.current
        notice = ConfigurationNotice(
            current.version, current.digest, self._replica.snapshot_time, wants_reply
        )
        self._kernel.find("peers").send(name, notice)

    def _on_notice(self, sender: str, message: ConfigurationNotice) -> None:
        with self._lock:
            self._replica.check_digest(message.version, message.digest, sender)
            self._replica.snapshot_time = max(self._replica.snapshot_time, message.snapshot_time)
        if message.wants_reply or message.version < self.current.version:
            self._send_notice(sender)
        self.on_peer_version(sender, message.version)

    def _on_pull(self, sender: str, message: ConfigurationPull) -> None:
        if self.current.version <= message.version:
            return
        self._kernel.find("peers").send(sender, self._reply_to_pull(message))

    def _reply_to_pull(self, message: ConfigurationPull) -> ConfigurationDelta | ConfigurationState:
        with self._lock:
            delta = self._replica.delta_from(message.folded_to)
            if delta is not None:
                return _encode_delta(delta)
            return ConfigurationState(encode_record(self._replica.snapshot()))

    def _on_delta(self, sender: str, message: ConfigurationDelta) -> None:
        old_version = self.current.version
        with self._lock:
            is_applied = self._replica.apply_delta(_decode_delta(message))
        log.debug(
            "delta of {} records from {} applied: {}", len(message.records), sender, is_applied
        )
        self._signal_change(old_version)

    def _on_state(self, sender: str, message: ConfigurationState) -> None:
        try:
            snapshot = decode_record(message.body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            log.warning(
                "{} sent a snapshot that can't be read ({}); update that node", sender, error
            )
            return
        if not isinstance(snapshot, Snapshot):
            return
        old_version = self.current.version
        with self._lock:
            is_applied = self._replica.apply_snapshot(snapshot)
        if is_applied:
            log.info("applied a snapshot of version {} from {}", self.current.version, sender)
        self._signal_change(old_version)


def _encode_delta(delta: Delta) -> ConfigurationDelta:
    records = tuple(LogRecord(item.offset, item.written, item.body) for item in delta.records)
    return ConfigurationDelta(delta.start, delta.folded_to, records)


def _decode_delta(message: ConfigurationDelta) -> Delta:
    records = tuple(Record(item.offset, item.written, item.body) for item in message.records)
    return Delta(message.start, message.folded_to, records)
