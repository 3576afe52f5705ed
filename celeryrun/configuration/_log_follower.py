"""Reading the configuration stream in order, across what retention has taken."""

from __future__ import annotations

import threading
from dataclasses import dataclass

import logbook

from celeryrun.configuration._replica import ConfigurationReplica
from celeryrun.streams import LogClient

__all__ = ["LogFollower", "ReadResult"]

log = logbook.Logger("configuration")


@dataclass(frozen=True, slots=True)
class ReadResult:
    """What one page brought.

    Parameters
    ----------
    at_end : bool
        Whether the log holds nothing behind the page.
    caught_up : bool
        Whether every record of the log is accounted for.
    log_time : float
        The platform's clock, in seconds since the epoch.
    has_records : bool
        Whether the page held anything new.
    forgotten_age : float or None
        Seconds since the youngest record that the log has forgotten was written, if known.
    """

    at_end: bool
    caught_up: bool
    log_time: float
    has_records: bool
    forgotten_age: float | None = None


class LogFollower:
    """Folds the stream page by page.

    Where retention has taken records that the fold lacks, it scans on for a snapshot from whose
    offset the log is whole, and goes on from there.

    Parameters
    ----------
    client : LogClient
        The platform's log.
    stream : str
        Name of the stream.
    replica : ConfigurationReplica
        What has been folded; others may move it forward under the lock.
    lock : Lock
        Held while the fold is changed, not while the log is read.
    """

    __slots__ = ("_client", "_lock", "_scanned_to", "_stream", "replica")

    def __init__(
        self, client: LogClient, stream: str, fold: ConfigurationReplica, lock: threading.Lock
    ) -> None:
        self._client = client
        self._stream = stream
        self._lock = lock
        self._scanned_to = 0
        self.replica = fold

    def read_page(self, wait: float) -> ReadResult:
        """Read and fold one page.

        Parameters
        ----------
        wait : float
            Seconds that the platform may hold the call while there is nothing new.

        Raises
        ------
        LogUnavailableError
            If no whole answer came.
        """
        start = max(self._scanned_to, self.replica.folded_to)
        page = self._client.read(self._stream, start, wait)
        with self._lock:
            before = self.replica.folded_to
            self.replica.apply_page(page)
            after = self.replica.folded_to
        if page.end < before:
            log.error("the log ends at {}, below {}; its records were lost", page.end, before)
        seen_to = page.records[-1].offset + 1 if page.records else max(start, page.first)
        if page.first <= after:
            self._scanned_to = 0
            at_end = after >= page.end
            age = self._age_of(page.first - 1, page.now)
            return ReadResult(at_end, at_end, page.now, bool(page.records), age)
        if seen_to >= page.end and self._scanned_to < page.end:
            log.error("records {} to {} are forgotten without a snapshot", after, page.first)
        self._scanned_to = seen_to
        return ReadResult(seen_to >= page.end, False, page.now, bool(page.records))

    def _age_of(self, offset: int, now: float) -> float | None:
        written = self.replica.time_by_offset.get(offset)
        return now - written if written is not None else None
