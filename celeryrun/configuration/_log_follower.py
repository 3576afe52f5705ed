"""Reader of the configuration stream that skips records removed by retention."""

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
    """Result of reading one page of the log.

    Parameters
    ----------
    at_end : bool
        Whether the page is the last of the log.
    caught_up : bool
        Whether every record of the log has been replayed.
    log_time : float
        Time of the platform's clock, in seconds since the epoch.
    has_records : bool
        Whether the page has any records.
    forgotten_age : float or None
        Age in seconds of the newest record that retention has removed; None if unknown.
    """

    at_end: bool
    caught_up: bool
    log_time: float
    has_records: bool
    forgotten_age: float | None = None


class LogFollower:
    """Replays the configuration stream page by page into a replica.

    If retention has removed records that the replica lacks, it scans ahead for a snapshot that
    covers them and resumes from there.

    Parameters
    ----------
    client : LogClient
        The platform's log.
    stream : str
        Name of the stream.
    replica : ConfigurationReplica
        Local state; other threads may also advance it under the lock.
    lock : Lock
        Guards the replica; not held during a read of the log.
    """

    __slots__ = ("_client", "_lock", "_scanned_to", "_stream", "replica")

    def __init__(
        self, client: LogClient, stream: str, replica: ConfigurationReplica, lock: threading.Lock
    ) -> None:
        self._client = client
        self._stream = stream
        self._lock = lock
        self._scanned_to = 0
        self.replica = replica

    def read_page(self, wait: float) -> ReadResult:
        """Read and replay one page.

        Parameters
        ----------
        wait : float
            Long-poll time: seconds that the platform may delay its response without new records.

        Raises
        ------
        LogUnavailableError
            If no complete response arrived.
        """
        start = max(self._scanned_to, self.replica.folded_to)
        page = self._client.read(self._stream, start, wait)
        with self._lock:
            old_end = self.replica.folded_to
            self.replica.apply_page(page)
            new_end = self.replica.folded_to
        if page.end < old_end:
            log.error("the log ends at {}, below {}; its records were lost", page.end, old_end)
        scanned_to = page.records[-1].offset + 1 if page.records else max(start, page.first)
        if page.first <= new_end:
            self._scanned_to = 0
            at_end = new_end >= page.end
            age = self._age_of_record(page.first - 1, page.now)
            return ReadResult(at_end, at_end, page.now, bool(page.records), age)
        if scanned_to >= page.end and self._scanned_to < page.end:
            log.error("records {} to {} are forgotten without a snapshot", new_end, page.first)
        self._scanned_to = scanned_to
        return ReadResult(scanned_to >= page.end, False, page.now, bool(page.records))

    def _age_of_record(self, offset: int, log_time: float) -> float | None:
        written = self.replica.time_by_offset.get(offset)
        return log_time - written if written is not None else None
