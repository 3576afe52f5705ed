"""Lookup of answers in a distributed directory and their transfer between nodes."""

from __future__ import annotations

import itertools
import queue
import random
import threading
import time
from collections.abc import Iterator
from enum import Enum
from typing import Any

from celeryrun.answers._directory import AnswerDirectory, hash_id
from celeryrun.kernel import Kernel, check_invariant
from celeryrun.settings import Settings
from celeryrun.wire import AnswerLocation, AnswerLookup, AnswerPart, AnswerPull

__all__ = ["AnswerService", "FetchResult"]

MAX_ENTRIES = 20_000
LOOKUP_TIMEOUT = 0.3  # s
PULL_TIMEOUT = 0.5  # s
PULL_ATTEMPTS = 4
PULL_INTERVAL = 0.05  # s between two pulls of an unfinished answer


class FetchResult(Enum):
    """Result of fetching an answer from another node.

    ``NOT_FOUND`` means that the node does not have the answer; ``NO_REPLY`` that it did not reply;
    ``INTERRUPTED`` that it stopped replying, or lost the answer, after sending the head.
    """

    FINISHED = "finished"
    NOT_FOUND = "not-found"
    NO_REPLY = "no-reply"
    INTERRUPTED = "interrupted"


class AnswerService:
    """Service that finds the answer to a retried request on another node.

    Rendezvous hashing assigns each request id to a node that keeps its directory entry. Losing an
    entry has one effect: an idempotent request may run again.

    Parameters
    ----------
    name : str
        Name of this node.
    age : float
        Time in seconds that a directory entry is kept.
    """

    __slots__ = ("_call_ids", "_directory", "_kernel", "_lock", "_name", "_replies_by_call_id")

    def __init__(self, kernel: Kernel, name: str, age: float) -> None:
        self._kernel = kernel
        self._name = name
        # A late reply to an earlier process of this node must not match a call.
        self._call_ids = itertools.count(random.SystemRandom().getrandbits(48))
        self._directory = AnswerDirectory(MAX_ENTRIES, age)
        self._lock = threading.Lock()
        self._replies_by_call_id: dict[int, queue.SimpleQueue[Any]] = {}

    @classmethod
    def from_config(cls, kernel: Kernel, settings: Settings) -> AnswerService:
        """Build the service from settings."""
        return cls(kernel, settings.node.name, settings.limits.answer_age)

    def start(self) -> None:
        """Register the handlers of messages from other nodes."""
        peers = self._kernel.find("peers")
        peers.set_handler(AnswerLookup, self._on_lookup)
        peers.set_handler(AnswerLocation, self._on_reply)
        peers.set_handler(AnswerPull, self._on_pull)
        peers.set_handler(AnswerPart, self._on_reply)

    def stop(self) -> None:
        """Do nothing; the service has no threads."""

    def find_node(self, workspace: str, answer_id: str, excluded_node: str = "") -> str:
        """Return the node that has an answer, or this node if no other is known to have it.

        Parameters
        ----------
        excluded_node : str
            Node that was found not to have the answer.
        """
        id_hash = hash_id(workspace, answer_id)
        owner = self._kernel.find("members").owner(f"answer/{id_hash.hex()}")
        if owner is None:
            return self._name
        call_id = next(self._call_ids)
        message = AnswerLookup(call_id, id_hash, excluded_node)
        location = self._call(owner, message, id_hash, LOOKUP_TIMEOUT)
        return location.node if isinstance(location, AnswerLocation) else self._name

    def fetch(
        self, node: str, request: Any, buffer: Any, deadline: float
    ) -> Iterator[FetchResult | None]:
        """Copy an answer from another node into a buffer.

        Parameters
        ----------
        request : Request
            Request to be answered.
        buffer : AnswerBuffer
            Receives the parts of the answer.
        deadline : float
            Monotonic time in seconds.

        Yields
        ------
        FetchResult or None
            None each time the buffer has grown, and the result as the last item.
        """
        while True:
            part = self._pull_part(node, request, buffer, deadline)
            if part is None or part.state == "gone":
                has_head = buffer.head is not None
                result = FetchResult.NO_REPLY if part is None else FetchResult.NOT_FOUND
                yield FetchResult.INTERRUPTED if has_head else result
                return
            if buffer.apply_part(part):
                yield None
            if buffer.finished_at is not None:
                yield FetchResult.FINISHED
                return
            if not part.body:
                time.sleep(PULL_INTERVAL)

    def _pull_part(
        self, node: str, request: Any, buffer: Any, deadline: float
    ) -> AnswerPart | None:
        for _ in range(PULL_ATTEMPTS):
            timeout = min(PULL_TIMEOUT, deadline - time.monotonic())
            if timeout <= 0:
                return None
            message = AnswerPull(
                next(self._call_ids),
                request.plan.workspace,
                request.answer_id,
                buffer.size,
            )
            id_hash = hash_id(message.workspace, message.answer_id)
            part = self._call(node, message, id_hash, timeout)
            if isinstance(part, AnswerPart):
                return part
        return None

    def _call(
        self, node: str, message: AnswerLookup | AnswerPull, id_hash: bytes, timeout: float
    ) -> Any:
        replies: queue.SimpleQueue[Any] = queue.SimpleQueue()
        with self._lock:
            self._replies_by_call_id[message.call_id] = replies
        try:
            self._kernel.find("peers").send(node, message)
            reply = replies.get(timeout=timeout)
            check_invariant(reply.id_hash == id_hash, "answer-of-own-request", node=node)
            return reply if reply.id_hash == id_hash else None
        except queue.Empty:
            return None
        finally:
            with self._lock:
                del self._replies_by_call_id[message.call_id]

    def _on_reply(self, sender: str, message: AnswerLocation | AnswerPart) -> None:
        with self._lock:
            replies = self._replies_by_call_id.get(message.call_id)
        if replies is not None:
            replies.put(message)

    def _on_lookup(self, sender: str, message: AnswerLookup) -> None:
        with self._lock:
            node = self._directory.find_or_register(
                message.id_hash, sender, message.excluded_node, time.monotonic()
            )
        self._kernel.find("peers").send(
            sender, AnswerLocation(message.call_id, message.id_hash, node)
        )

    def _on_pull(self, sender: str, message: AnswerPull) -> None:
        id_hash = hash_id(message.workspace, message.answer_id)
        buffer = self._kernel.find("caller_listener").answers.find(
            message.workspace, message.answer_id
        )
        if buffer is None:
            part = AnswerPart(message.call_id, id_hash, "gone")
        else:
            part = buffer.build_part(message.call_id, id_hash, message.position)
        self._kernel.find("peers").send(sender, part)
