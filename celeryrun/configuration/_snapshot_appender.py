"""Periodic re-append of the full state, before retention removes the previous snapshot."""

from __future__ import annotations

import random
import threading
import time

import logbook

from celeryrun.configuration._log_follower import ReadResult
from celeryrun.configuration._model import encode_record
from celeryrun.configuration._replica import ConfigurationReplica
from celeryrun.exception import LogUnavailableError
from celeryrun.kernel import Kernel
from celeryrun.kernel._rendezvous import rank
from celeryrun.settings import PlatformSettings
from celeryrun.streams import LogClient, TooManyAppendsError

__all__ = ["SnapshotAppender", "due_fraction"]

INITIAL_FRACTION = 0.3  # of the log's retention
POSITION_FRACTION = 0.05  # of the log's retention, per position
MAX_POSITION = 6
CHECK_INTERVAL_FRACTION = 0.01  # of the log's retention
MAX_CHECK_INTERVAL = 5.0  # s
MIN_APPEND_INTERVAL_FRACTION = 0.05  # of the log's retention
RETENTION_TOLERANCE = 0.9  # of the configured retention; an error is logged below it

log = logbook.Logger("configuration")


def due_fraction(position: int, jitter: float) -> float:
    """Return the age of the newest snapshot at which a node appends the next one.

    Parameters
    ----------
    position : int
        Position of the node in the rendezvous order; the node at 0 appends first, each other
        node only if no node before it has appended.
    jitter : float
        Random number from 0 to 1; keeps nodes from `MAX_POSITION` on from appending all at once.

    Returns
    -------
    float
        Age as a fraction of the log's retention.

    Examples
    --------
    >>> round(due_fraction(0, 0.5), 3), round(due_fraction(2, 0.5), 3)
    (0.3, 0.4)
    >>> round(due_fraction(99, 0.5), 3)
    0.65
    """
    if position < MAX_POSITION:
        return INITIAL_FRACTION + position * POSITION_FRACTION
    return INITIAL_FRACTION + (MAX_POSITION + 2 * jitter) * POSITION_FRACTION


class SnapshotAppender:
    """Appends a snapshot to the log when the newest one is too old.

    Correctness does not depend on which node appends: an additional snapshot is harmless, and the
    next node in the rendezvous order replaces one that has crashed, is frozen or has a wrong view
    of the membership.

    Parameters
    ----------
    replica : ConfigurationReplica
        Local state.
    lock : Lock
        Held while the replica is read.
    """

    __slots__ = (
        "_appended_at",
        "_caught_up",
        "_client",
        "_clock_offset",
        "_jitter",
        "_kernel",
        "_lock",
        "_replica",
        "_retention",
        "_stopped",
        "_stream",
    )

    def __init__(
        self,
        kernel: Kernel,
        platform: PlatformSettings,
        replica: ConfigurationReplica,
        lock: threading.Lock,
    ) -> None:
        self._kernel = kernel
        self._retention = platform.retention
        self._stream = platform.configuration_stream
        self._replica = replica
        self._lock = lock
        self._client = LogClient(platform.log_url, platform.timeout)
        self._clock_offset = 0.0
        self._caught_up = False
        self._jitter = random.random()
        self._appended_at = -platform.retention
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start the thread that checks the age of the newest snapshot."""
        threading.Thread(target=self._run, name="configuration-carry", daemon=True).start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()

    def on_read(self, read_result: ReadResult) -> None:
        """Update the clock offset, the read progress and the retention from a read of the log."""
        self._clock_offset = read_result.log_time - time.monotonic()
        self._caught_up = read_result.caught_up
        age = read_result.forgotten_age
        if age is not None and age < self._retention:
            if age < self._retention * RETENTION_TOLERANCE:
                log.error("the log forgets after {:.0f} s; set [platform] retention to that", age)
            self._retention = age

    def _run(self) -> None:
        interval = min(MAX_CHECK_INTERVAL, self._retention * CHECK_INTERVAL_FRACTION)
        while not self._stopped.wait(interval):
            if self._is_due():
                self._append()

    def _is_due(self) -> bool:
        if not self._caught_up or not self._replica.current.version:
            return False
        now = time.monotonic()
        if now - self._appended_at < self._retention * MIN_APPEND_INTERVAL_FRACTION:
            return False
        members = self._kernel.find("members")
        order = rank("configuration", {*members.eligible_nodes(), members.local_member.name})
        fraction = due_fraction(order.index(members.local_member.name), self._jitter)
        age = now + self._clock_offset - self._replica.snapshot_time
        return age > self._retention * fraction

    def _append(self) -> None:
        with self._lock:
            body = encode_record(self._replica.snapshot())
        try:
            offset = self._client.append(self._stream, body)
        except (LogUnavailableError, TooManyAppendsError) as error:
            log.warning("append of a snapshot failed or is unconfirmed: {}", error)
            return
        self._appended_at = time.monotonic()
        log.info("appended a snapshot of {} bytes at offset {}", len(body), offset)
