"""Service that keeps the configuration in force on this node."""

from __future__ import annotations

import random
import threading
import time

import logbook

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
READ_WAIT = 1.5  # s; with the timeout it bounds what a silent connection costs
SLOW_PERIOD = 30.0  # s between reads of a node that learns from its peers
RETRY_PERIOD = 0.25  # s
SPREAD_PERIOD = 1.0  # s
PULL_PERIOD = 0.5  # s before the same version is pulled again
PEER_SILENCE = 3.0  # s without a peer's word after which every node reads the log itself
FOLLOWERS_PER_ZONE = 3
NOTICE_FANOUT = 3
READY_SAMPLE = 8  # peers that must be heard before a node is ready without the log

log = logbook.Logger("configuration")


class ConfigurationService:
    """Follows the log or the peers, and carries the state forward.

    A few nodes of each availability zone hold a read open at the log; all others learn from them.
    A node whose version has risen tells a few others at once, and one other each period [1]_;
    whoever is behind pulls the changes that it lacks.

    References
    ----------
    .. [1] Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987.
    """

    __slots__ = (
        "_carry",
        "_fold",
        "_follower",
        "_heard_by_peer",
        "_kernel",
        "_last_heard",
        "_lock",
        "_log_failed",
        "_moved",
        "_pulled",
        "_read_at",
        "_stopped",
        "caught_up",
    )

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        platform = settings.platform
        self._kernel = kernel
        self._lock = threading.Lock()
        self._fold = ConfigurationReplica(SnapshotSigner(settings.peers.key))
        reader = LogClient(platform.log_url, min(platform.timeout, READ_TIMEOUT))
        self._follower = LogFollower(reader, platform.configuration_stream, self._fold, self._lock)
        self._carry = SnapshotAppender(kernel, platform, self._fold, self._lock)
        self._heard_by_peer: dict[str, int] = {}
        self._last_heard = 0.0
        self._pulled = (0, 0.0)
        self._read_at = 0.0
        self._log_failed = False
        self._moved = threading.Event()
        self._stopped = threading.Event()
        self.caught_up = threading.Event()

    @classmethod
    def from_config(cls, kernel: Kernel, settings: Settings) -> ConfigurationService:
        """Build the service from settings."""
        return cls(kernel, settings)

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        return self._fold.current

    def start(self) -> None:
        """Begin following the log and the peers."""
        peers = self._kernel.find("peers")
        peers.set_handler(ConfigurationNotice, self._on_notice)
        peers.set_handler(ConfigurationPull, self._on_pull)
        peers.set_handler(ConfigurationDelta, self._on_delta)
        peers.set_handler(ConfigurationState, self._on_state)
        for task in (self._follow, self._spread):
            threading.Thread(target=task, name=f"configuration{task.__name__}", daemon=True).start()
        self._carry.start()

    def stop(self) -> None:
        """End."""
        self._stopped.set()
        self._moved.set()
        self._carry.stop()

    def on_peer_version(self, peer: str, version: int) -> None:
        """Learn which version a peer has in force; pull what it has more."""
        self._last_heard = time.monotonic()
        self._heard_by_peer[peer] = max(version, self._heard_by_peer.get(peer, 0))
        if version > self.current.version:
            self._pull(peer, version)

    def _pull(self, peer: str, version: int) -> None:
        pulled, when = self._pulled
        now = time.monotonic()
        if pulled >= version and now - when < PULL_PERIOD:
            return
        self._pulled = (version, now)
        pull = ConfigurationPull(self.current.version, self._fold.folded_to)
        self._kernel.find("peers").send(peer, pull)

    def _follow(self) -> None:
        while not self._stopped.is_set():
            if not self._should_read():
                self._stopped.wait(RETRY_PERIOD)
                continue
            try:
                step = self._read()
            except LogUnavailableError as error:
                log.warning("{}", error)
                self._log_failed = True
                self._stopped.wait(RETRY_PERIOD)
                continue
            if step.at_end and not step.has_records and not step.caught_up:
                self._stopped.wait(RETRY_PERIOD)

    def _read(self) -> ReadResult:
        version = self.current.version
        wait = READ_WAIT if self.caught_up.is_set() and self._is_follower() else 0.0
        step = self._follower.read_page(wait)
        self._read_at = time.monotonic()
        self._log_failed = False
        self._carry.on_read(step)
        if step.caught_up and not self.caught_up.is_set():
            log.info("read to the end of the log; version {} is in force", self.current.version)
            self.caught_up.set()
        self._note_move(version)
        return step

    def _should_read(self) -> bool:
        now = time.monotonic()
        return (
            not self.caught_up.is_set()
            or self._is_follower()
            or now - self._last_heard > PEER_SILENCE
            or now - self._read_at > SLOW_PERIOD
        )

    def _is_follower(self) -> bool:
        members = self._kernel.find("members")
        zone = members.local_member.zone
        live = set(members.eligible_nodes())
        names = [
            member.name
            for member in list(members.by_name.values())
            if member.zone == zone and member.name in live
        ]
        first = rank("configuration/follow", {*names, members.local_member.name})[
            :FOLLOWERS_PER_ZONE
        ]
        return members.local_member.name in first

    def _note_move(self, version: int) -> None:
        if self.current.version > version:
            self._moved.set()

    def _spread(self) -> None:
        while not self._stopped.is_set():
            moved = self._moved.wait(SPREAD_PERIOD)
            self._moved.clear()
            ready = self.caught_up.is_set()
            others = self._other_nodes()
            count = READY_SAMPLE if not ready else NOTICE_FANOUT if moved else 1
            for name in random.sample(others, min(count, len(others))):
                self._send_notice(name, wants_reply=not ready)
            if not ready:
                self._consider_ready(others)

    def _other_nodes(self) -> list[str]:
        members = self._kernel.find("members")
        return [name for name in members.eligible_nodes() if name != members.local_member.name]

    def _consider_ready(self, others: list[str]) -> None:
        # Without the log, the best that can be known is what the peers have in force.
        heard = [self._heard_by_peer[name] for name in others if name in self._heard_by_peer]
        enough = 0 < min(len(others), READY_SAMPLE) <= len(heard)
        if self._log_failed and enough and 0 < max(heard) <= self.current.version:
            log.info("the log is down; took version {} from peers", self.current.version)
            self.caught_up.set()

    def _send_notice(self, name: str, wants_reply: bool = False) -> None:
        current = self.current
        notice = ConfigurationNotice(
            current.version, current.digest, self._fold.snapshot_time, wants_reply
        )
        self._kernel.find("peers").send(name, notice)

    def _on_notice(self, sender: str, message: ConfigurationNotice) -> None:
        with self._lock:
            self._fold.check_digest(message.version, message.digest, sender)
            self._fold.snapshot_time = max(self._fold.snapshot_time, message.snapshot_time)
        if message.wants_reply or message.version < self.current.version:
            self._send_notice(sender)
        self.on_peer_version(sender, message.version)

    def _on_pull(self, sender: str, message: ConfigurationPull) -> None:
        if self.current.version <= message.version:
            return
        self._kernel.find("peers").send(sender, self._answer_pull(message))

    def _answer_pull(self, message: ConfigurationPull) -> ConfigurationDelta | ConfigurationState:
        with self._lock:
            delta = self._fold.delta_from(message.folded_to)
            if delta is not None:
                return _encode_delta(delta)
            return ConfigurationState(encode_record(self._fold.snapshot()))

    def _on_delta(self, sender: str, message: ConfigurationDelta) -> None:
        version = self.current.version
        with self._lock:
            joined = self._fold.apply_delta(_decode_delta(message))
        log.debug("delta of {} records from {} taken: {}", len(message.records), sender, joined)
        self._note_move(version)

    def _on_state(self, sender: str, message: ConfigurationState) -> None:
        snapshot = decode_record(message.body)
        if not isinstance(snapshot, Snapshot):
            return
        version = self.current.version
        with self._lock:
            moved = self._fold.apply_snapshot(snapshot)
        if moved:
            log.info("took version {} whole from {}", self.current.version, sender)
        self._note_move(version)


def _encode_delta(delta: Delta) -> ConfigurationDelta:
    records = tuple(LogRecord(item.offset, item.written, item.body) for item in delta.records)
    return ConfigurationDelta(delta.start, delta.folded_to, records)


def _decode_delta(message: ConfigurationDelta) -> Delta:
    records = tuple(Record(item.offset, item.written, item.body) for item in message.records)
    return Delta(message.start, message.folded_to, records)
