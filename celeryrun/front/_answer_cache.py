"""Running and finished answers, kept in memory for callers that come back."""

from __future__ import annotations

import threading
import time
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from celeryrun.settings import LimitSettings
from celeryrun.wire import AnswerPart

__all__ = ["AnswerBuffer", "AnswerCache", "AnswerHead"]

PART_BYTES = 256 * 1024
EXCHANGE_BYTES = 1024  # that an exchange takes beside its body


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Head of an answer to a caller."""

    status: int
    outcome: str
    headers: tuple[tuple[str, str], ...] = ()


class AnswerBuffer:
    """One request's answer while it grows; any number of callers may read it."""

    __slots__ = ("_changed", "_chunks", "complete", "finished_at", "head", "size")

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._chunks: list[bytes] = []
        self.head: AnswerHead | None = None
        self.finished_at: float | None = None
        self.complete = False
        self.size = 0

    def begin(self, head: AnswerHead) -> None:
        """Set the head."""
        with self._changed:
            self.head = head
            self._changed.notify_all()

    def add(self, chunk: bytes) -> None:
        """Append to the body."""
        with self._changed:
            self._chunks.append(chunk)
            self.size += len(chunk)
            self._changed.notify_all()

    def since(self, position: int) -> list[bytes]:
        """Return the chunks from a position on."""
        with self._changed:
            return self._chunks[position:]

    def finish(self, complete: bool) -> None:
        """End the body."""
        with self._changed:
            self.complete = complete
            self.finished_at = time.monotonic()
            self._changed.notify_all()

    def build_part(self, call: int, id_hash: bytes, position: int) -> AnswerPart:
        """Return what stands from a position in bytes on, as a message to another node."""
        with self._changed:
            head = self.head
            if head is None:
                return AnswerPart(call, id_hash, "running")
            body = b"".join(self._chunks)[position : position + PART_BYTES]
            ended = self.finished_at is not None and position + len(body) >= self.size
            return AnswerPart(
                call,
                id_hash,
                "finished" if ended else "running",
                head.status,
                head.outcome,
                head.headers,
                position,
                body,
                self.complete,
            )

    def apply_part(self, part: AnswerPart) -> bool:
        """Add a part that another node sent; returns whether the exchange has grown."""
        if not part.status or part.position != self.size:
            return False
        grown = self.head is None or bool(part.body)
        if self.head is None:
            self.begin(AnswerHead(part.status, part.outcome, part.headers))
        if part.body:
            self.add(part.body)
        if part.state == "finished":
            self.finish(part.complete)
        return grown

    def wait_head(self, deadline: float) -> AnswerHead | None:
        """Block until the head is there; None at the monotonic deadline."""
        with self._changed:
            self._changed.wait_for(lambda: self.head is not None, deadline - time.monotonic())
            return self.head

    def read(self, deadline: float) -> Iterator[bytes]:
        """Yield the body from its start until it is finished or the monotonic deadline."""
        position = 0
        ended = False
        while not ended:
            chunks, ended = self._wait_for_more(position, deadline)
            position += len(chunks)
            yield from chunks

    def _wait_for_more(self, position: int, deadline: float) -> tuple[list[bytes], bool]:
        with self._changed:
            self._changed.wait_for(
                lambda: len(self._chunks) > position or self.finished_at is not None,
                deadline - time.monotonic(),
            )
            ended = self.finished_at is not None or time.monotonic() >= deadline
            return self._chunks[position:], ended


class AnswerCache:
    """Exchanges by workspace and answer id, bounded in bytes and age.

    An answer id is the idempotency key of a call that has one, otherwise the request id, with the
    digest of the content.
    """

    __slots__ = ("_age", "_lock", "_memory", "exchange_by_id")

    def __init__(self, memory: int, age: float) -> None:
        self._memory = memory
        self._age = age
        self._lock = threading.Lock()
        self.exchange_by_id: OrderedDict[tuple[str, str], AnswerBuffer] = OrderedDict()

    @classmethod
    def from_config(cls, limits: LimitSettings) -> AnswerCache:
        """Build the book from settings."""
        return cls(limits.answer_memory, limits.answer_age)

    def get_or_create(self, workspace: str, answer_id: str) -> tuple[AnswerBuffer, bool]:
        """Return the exchange under an id, and whether it is new."""
        with self._lock:
            self._evict()
            known = self.exchange_by_id.get((workspace, answer_id))
            if known is not None:
                return known, False
            exchange = self.exchange_by_id[workspace, answer_id] = AnswerBuffer()
            return exchange, True

    def find(self, workspace: str, answer_id: str) -> AnswerBuffer | None:
        """Return the exchange under an id, if there is one."""
        with self._lock:
            return self.exchange_by_id.get((workspace, answer_id))

    def drop(self, workspace: str, answer_id: str, exchange: AnswerBuffer) -> None:
        """Forget an exchange, so that the id may be tried again."""
        with self._lock:
            if self.exchange_by_id.get((workspace, answer_id)) is exchange:
                del self.exchange_by_id[workspace, answer_id]

    def _evict(self) -> None:
        oldest = time.monotonic() - self._age
        size = sum(exchange.size + EXCHANGE_BYTES for exchange in self.exchange_by_id.values())
        for key, exchange in list(self.exchange_by_id.items()):
            if exchange.finished_at is None:
                continue
            if exchange.finished_at > oldest and size <= self._memory:
                continue
            size -= exchange.size + EXCHANGE_BYTES
            del self.exchange_by_id[key]
