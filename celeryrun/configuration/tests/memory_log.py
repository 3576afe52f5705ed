"""Log in memory with injected faults."""

from __future__ import annotations

import time

from celeryrun.configuration._model import encode_record
from celeryrun.exception import LogUnavailableError
from celeryrun.streams import Page, Record

PAGE_RECORDS = 4


class MemoryLog:
    """Fake `LogClient`; its pages are short, so that tests read several.

    Attributes
    ----------
    first : int
        Oldest offset that the log retains.
    born : float
        Append time of the record at offset 0, in seconds since the epoch; each record is 1 s later.
    lost_responses : int
        Number of next appends that take effect but raise `LogUnavailableError`.
    before_append : callable
        Hook that runs before each append.
    """

    def __init__(self, *contents: object) -> None:
        self.bodies: list[bytes] = []
        self.first = 0
        self.era = 1
        self.born = 0.0
        self.lost_responses = 0
        self.before_append = lambda: None
        for content in contents:
            self.write(content)

    def write(self, content: object) -> int:
        """Append a record without faults; bytes are stored unencoded."""
        body = content if isinstance(content, bytes) else encode_record(content)
        self.bodies.append(body)
        return len(self.bodies) - 1

    def append(self, stream: str, body: bytes) -> int:
        self.before_append()
        offset = self.write(body)
        if self.lost_responses:
            self.lost_responses -= 1
            raise LogUnavailableError("response lost", True)
        return offset

    def read(self, stream: str, start: int, wait: float = 0.0) -> Page:
        begin = max(start, self.first)
        records = tuple(
            Record(offset, self.born + offset, self.bodies[offset])
            for offset in range(begin, min(begin + PAGE_RECORDS, len(self.bodies)))
        )
        return Page(self.first, len(self.bodies), time.time(), records, self.era)
