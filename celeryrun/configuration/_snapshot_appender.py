"""Duty to append the whole state again before the log forgets it."""

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

FIRST_SHARE = 0.3  # of the log's retention
RANK_SHARE = 0.05
LAST_RANK = 6
PERIOD_SHARE = 0.01
MAX_PERIOD = 5.0  # s
REPEAT_SHARE = 0.05
SURE_SHARE = 0.9

log = logbook.Logger("configuration")


def due_fraction(place: int, jitter: float) -> float:
    """Return the age of the newest snapshot at which a node appends one, in retentions.

    Parameters
    ----------
    place : int
        The node's place in the order of duty; the first acts, the others stand in for those before.
    jitter : float
        From 0 to 1, so that the many last ones do not act at once.

    Examples
    --------
    >>> round(due_fraction(0, 0.5), 3), round(due_fraction(2, 0.5), 3)
    (0.3, 0.4)
    >>> round(due_fraction(99, 0.5), 3)
    0.65
    """
    if place < LAST_RANK:
        return FIRST_SHARE + place * RANK_SHARE
    return FIRST_SHARE + (LAST_RANK + 2 * jitter) * RANK_SHARE


class SnapshotAppender:
    """Appends a snapshot when the newest one has grown old.

    Nothing rests on who does it: a snapshot more is harmless, and a node that is dead, frozen or
    wrong about its duty is stood in for by the next.

    Parameters
    ----------
    fold : ConfigurationReplica
        The state, read under the lock.
    """

    __slots__ = (
        "_client",
        "_clock_offset",
        "_fold",
        "_jitter",
        "_kernel",
        "_lock",
        "_retention",
        "_stopped",
        "_stream",
        "_whole",
        "_written_at",
    )

    def __init__(
        self,
        kernel: Kernel,
        platform: PlatformSettings,
        fold: ConfigurationReplica,
        lock: threading.Lock,
    ) -> None:
        self._kernel = kernel
        self._retention = platform.retention
        self._stream = platform.configuration_stream
        self._fold = fold
        self._lock = lock
        self._client = LogClient(platform.log_url, platform.timeout)
        self._clock_offset = 0.0
        self._whole = False
        self._jitter = random.random()
        self._written_at = -platform.retention
        self._stopped = threading.Event()

    def start(self) -> None:
        """Begin to look after the snapshot's age."""
        threading.Thread(target=self._run, name="configuration-carry", daemon=True).start()

    def stop(self) -> None:
        """End."""
        self._stopped.set()

    def on_read(self, step: ReadResult) -> None:
        """Learn the platform's clock, whether the log was read whole, and what it forgets."""
        self._clock_offset = step.log_time - time.monotonic()
        self._whole = step.caught_up
        age = step.forgotten_age
        if age is not None and age < self._retention:
            if age < self._retention * SURE_SHARE:
                log.error("the log forgets after {:.0f} s; set [platform] retention to that", age)
            self._retention = age

    def _run(self) -> None:
        period = min(MAX_PERIOD, self._retention * PERIOD_SHARE)
        while not self._stopped.wait(period):
            if self._is_due():
                self._append()

    def _is_due(self) -> bool:
        if not self._whole or not self._fold.current.version:
            return False
        now = time.monotonic()
        if now - self._written_at < self._retention * REPEAT_SHARE:
            return False
        members = self._kernel.find("members")
        order = rank("configuration", {*members.eligible_nodes(), members.local_member.name})
        share = due_fraction(order.index(members.local_member.name), self._jitter)
        age = now + self._clock_offset - self._fold.snapshot_time
        return age > self._retention * share

    def _append(self) -> None:
        with self._lock:
            body = encode_record(self._fold.snapshot())
        try:
            offset = self._client.append(self._stream, body)
        except (LogUnavailableError, TooManyAppendsError) as error:
            log.warning("snapshot not known to be appended: {}", error)
            return
        self._written_at = time.monotonic()
        log.info("appended a snapshot of {} bytes at {}", len(body), offset)
