"""Service that keeps the configuration in force on this node."""

from __future__ import annotations

import threading
import time

import logbook

from celeryrun.configuration._fold import Fold
from celeryrun.configuration._model import (
    CONFIGURATION_STREAM,
    Configuration,
    Snapshot,
    decode_record,
    encode_record,
)
from celeryrun.exception import LogUnavailableError
from celeryrun.kernel import Kernel
from celeryrun.platform import LogClient, TooManyAppendsError
from celeryrun.settings import Settings
from celeryrun.wire import ConfigurationPull, ConfigurationState

__all__ = ["ConfigurationService"]

POLL_WAIT = 1.0  # s
RETRY_PERIOD = 0.25  # s
SNAPSHOT_SHARE = 0.3  # of the log's retention

log = logbook.Logger("configuration")


class ConfigurationService:
    """Follows the log, pulls from peers that are ahead, and carries the state forward."""

    __slots__ = (
        "_client",
        "_fold",
        "_kernel",
        "_lock",
        "_retention",
        "_snapshot_written",
        "_stopped",
        "_thread",
        "caught_up",
    )

    def __init__(self, kernel: Kernel, client: LogClient, retention: float) -> None:
        self._kernel = kernel
        self._client = client
        self._retention = retention
        self._fold = Fold()
        self._lock = threading.Lock()
        self._snapshot_written = 0.0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._follow, name="configuration", daemon=True)
        self.caught_up = threading.Event()

    @classmethod
    def from_config(cls, kernel: Kernel, settings: Settings) -> ConfigurationService:
        """Build the service from settings."""
        client = LogClient(settings.platform.log_url, settings.platform.timeout)
        return cls(kernel, client, settings.platform.retention)

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        return self._fold.current

    def start(self) -> None:
        """Begin following the log."""
        peers = self._kernel.find("peers")
        peers.handle(ConfigurationPull, self._on_pull)
        peers.handle(ConfigurationState, self._on_state)
        self._thread.start()

    def stop(self) -> None:
        """End following the log."""
        self._stopped.set()

    def hear(self, peer: str, version: int) -> None:
        """Learn which version a peer has in force; pull it if it is ahead."""
        if version > self.current.version:
            self._kernel.find("peers").send(peer, ConfigurationPull(self.current.version))
        elif version == self.current.version and version and not self.caught_up.is_set():
            self.caught_up.set()

    def _follow(self) -> None:
        while not self._stopped.is_set():
            try:
                self._read_page()
                self._carry_forward()
            except (LogUnavailableError, TooManyAppendsError) as error:
                log.warning("{}", error)
                self._stopped.wait(RETRY_PERIOD)

    def _read_page(self) -> None:
        wait = POLL_WAIT if self.caught_up.is_set() else 0.0
        page = self._client.read(CONFIGURATION_STREAM, self._fold.folded_to, wait)
        with self._lock:
            self._fold.take_page(page)
        if self._fold.folded_to >= page.end:
            self.caught_up.set()

    def _carry_forward(self) -> None:
        now = time.monotonic()
        if now - self._snapshot_written < self._retention * SNAPSHOT_SHARE:
            return
        if not self.current.version or not self._kernel.find("members").is_duty("configuration"):
            return
        with self._lock:
            snapshot = self._fold.snapshot()
        self._client.append(CONFIGURATION_STREAM, encode_record(snapshot))
        self._snapshot_written = now

    def _on_pull(self, sender: str, message: ConfigurationPull) -> None:
        if self.current.version > message.version:
            with self._lock:
                snapshot = self._fold.snapshot()
            body = encode_record(snapshot)
            self._kernel.find("peers").send(sender, ConfigurationState(body))

    def _on_state(self, sender: str, message: ConfigurationState) -> None:
        snapshot = decode_record(message.body)
        if not isinstance(snapshot, Snapshot):
            return
        with self._lock:
            moved = self._fold.take_snapshot(snapshot)
        if moved:
            log.info("took version {} from {}", self.current.version, sender)
            self.caught_up.set()
