"""Log in memory, with the faults that tests command."""

from __future__ import annotations

import time

from celeryrun.configuration._model import encode_record
from celeryrun.exception import LogUnavailableError
from celeryrun.streams import Page, Record

PAGE_RECORDS = 4


class MemoryLog:
    """Stands in for a LogClient; pages are short so that tests cross them."""

    def __init__(self, *contents: object) -> None:
        self.bodies: list[bytes] = []
        self.first = 0
        self.born = 0.0
        self.lose_answers = 0
        self.before_append = lambda: None
        for content in contents:
            self.write(content)

    def write(self, content: object) -> int:
        """Append without a fault; bytes are taken as they are."""
        body = content if isinstance(content, bytes) else encode_record(content)
        self.bodies.append(body)
        return len(self.bodies) - 1

    def append(self, stream: str, body: bytes) -> int:
        self.before_append()
        offset = self.write(body)
        if self.lose_answers:
            self.lose_answers -= 1
            raise LogUnavailableError("answer lost", True)
        return offset

    def read(self, stream: str, start: int, wait: float = 0.0) -> Page:
        begin = max(start, self.first)
        records = tuple(
            Record(offset, self.born + offset, self.bodies[offset])
            for offset in range(begin, min(begin + PAGE_RECORDS, len(self.bodies)))
        )
        return Page(self.first, len(self.bodies), time.time(), records)
