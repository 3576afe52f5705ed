"""Cache of running and finished answers, for retries of requests."""

from __future__ import annotations

import threading
import time
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from celeryrun.settings import LimitSettings
from celeryrun.wire import AnswerPart

__all__ = ["AnswerBuffer", "AnswerCache", "AnswerHead"]

MAX_PART_BYTES = 256 * 1024  # of the body in one message to another node
BUFFER_OVERHEAD_BYTES = 1024  # estimated memory of a buffer besides the body


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Head of an answer to a caller."""

    status: int
    outcome: str
    headers: tuple[tuple[str, str], ...] = ()


class AnswerBuffer:
    """Answer to one request, readable by any number of callers while it is written.

    Attributes
    ----------
    head : AnswerHead or None
        Status, outcome and headers, once they are known.
    finished_at : float or None
        Monotonic time at which the answer ended, in seconds.
    complete : bool
        Whether the finished body is complete.
    size : int
        Bytes of the body so far.
    """

    __slots__ = ("_changed", "_chunks", "complete", "finished_at", "head", "size")

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._chunks: list[bytes] = []
        self.head: AnswerHead | None = None
        self.finished_at: float | None = None
        self.complete = False
        self.size = 0

    def set_head(self, head: AnswerHead) -> None:
        """Set the head and wake the readers."""
        with self._changed:
            self.head = head
            self._changed.notify_all()

    def append(self, chunk: bytes) -> None:
        """Append a chunk to the body."""
        with self._changed:
            self._chunks.append(chunk)
            self.size += len(chunk)
            self._changed.notify_all()

    def chunks_from(self, start: int) -> list[bytes]:
        """Return the chunks of the body from an index on."""
        with self._changed:
            return self._chunks[start:]

    def finish(self, complete: bool) -> None:
        """End the body.

        Parameters
        ----------
        complete : bool
            Whether the body is complete.
        """
        with self._changed:
            self.complete = complete
            self.finished_at = time.monotonic()
            self._changed.notify_all()

    def build_part(self, call_id: int, id_hash: bytes, position: int) -> AnswerPart:
        """Return a part of the answer as a message to another node.

        Parameters
        ----------
        call_id : int
            Call id of the `AnswerPull` that the message replies to.
        id_hash : bytes
            Hash of the workspace and the answer id.
        position : int
            First byte of the body to include.
        """
        with self._changed:
            head = self.head
            if head is None:
                return AnswerPart(call_id, id_hash, "running")
            body = b"".join(self._chunks)[position : position + MAX_PART_BYTES]
            ended = self.finished_at is not None and position + len(body) >= self.size
            return AnswerPart(
                call_id,
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
        """Append a part received from another node; return whether the answer has grown."""
        if not part.status or part.position != self.size:
            return False
        grown = self.head is None or bool(part.body)
        if self.head is None:
            self.set_head(AnswerHead(part.status, part.outcome, part.headers))
        if part.body:
            self.append(part.body)
        if part.state == "finished":
            self.finish(part.complete)
        return grown

    def wait_for_head(self, deadline: float) -> AnswerHead | None:
        """Block until the head is set; return None if the monotonic deadline passes first."""
        with self._changed:
            self._changed.wait_for(lambda: self.head is not None, deadline - time.monotonic())
            return self.head

    def read(self, deadline: float) -> Iterator[bytes]:
        """Yield the body from its start until it ends or the monotonic deadline passes."""
        start = 0
        ended = False
        while not ended:
            chunks, ended = self._wait_for_chunks(start, deadline)
            start += len(chunks)
            yield from chunks

    def _wait_for_chunks(self, start: int, deadline: float) -> tuple[list[bytes], bool]:
        with self._changed:
            self._changed.wait_for(
                lambda: len(self._chunks) > start or self.finished_at is not None,
                deadline - time.monotonic(),
            )
            ended = self.finished_at is not None or time.monotonic() >= deadline
            return self._chunks[start:], ended


class AnswerCache:
    """Answer buffers by workspace and answer id; finished ones are limited in bytes and age.

    An answer id consists of the idempotency key, or of the request id if there is no key, and the
    digest of the request's content.

    Parameters
    ----------
    max_bytes : int
        Memory of all buffers above which finished ones are evicted, oldest first.
    max_age : float
        Seconds for which a finished answer is kept.
    """

    __slots__ = ("_lock", "_max_age", "_max_bytes", "buffers_by_id")

    def __init__(self, max_bytes: int, max_age: float) -> None:
        self._max_bytes = max_bytes
        self._max_age = max_age
        self._lock = threading.Lock()
        self.buffers_by_id: OrderedDict[tuple[str, str], AnswerBuffer] = OrderedDict()

    @classmethod
    def from_config(cls, limits: LimitSettings) -> AnswerCache:
        """Build the cache from settings."""
        return cls(limits.answer_memory, limits.answer_age)

    def get_or_create(self, workspace: str, answer_id: str) -> tuple[AnswerBuffer, bool]:
        """Return the buffer for an answer id, and whether it is new."""
        with self._lock:
            self._evict()
            existing = self.buffers_by_id.get((workspace, answer_id))
            if existing is not None:
                return existing, False
            buffer = self.buffers_by_id[workspace, answer_id] = AnswerBuffer()
            return buffer, True

    def find(self, workspace: str, answer_id: str) -> AnswerBuffer | None:
        """Return the buffer for an answer id, or None."""
        with self._lock:
            return self.buffers_by_id.get((workspace, answer_id))

    def drop(self, workspace: str, answer_id: str, buffer: AnswerBuffer) -> None:
        """Remove a buffer, so that the request may be tried again under the same id."""
        with self._lock:
            if self.buffers_by_id.get((workspace, answer_id)) is buffer:
                del self.buffers_by_id[workspace, answer_id]

    def _evict(self) -> None:
        oldest = time.monotonic() - self._max_age
        size = sum(buffer.size + BUFFER_OVERHEAD_BYTES for buffer in self.buffers_by_id.values())
        for key, buffer in list(self.buffers_by_id.items()):
            if buffer.finished_at is None:
                continue
            if buffer.finished_at > oldest and size <= self._max_bytes:
                continue
            size -= buffer.size + BUFFER_OVERHEAD_BYTES
            del self.buffers_by_id[key]
