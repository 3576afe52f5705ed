"""Looks answers up at the directory and pulls them from the node that has them."""

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
from celeryrun.kernel import Kernel, check
from celeryrun.settings import Settings
from celeryrun.wire import AnswerLocation, AnswerLookup, AnswerPart, AnswerPull

__all__ = ["AnswerService", "FetchResult"]

MAX_ENTRIES = 20_000
FIND_TIMEOUT = 0.3  # s
PULL_TIMEOUT = 0.5  # s
PULL_ATTEMPTS = 4
PULL_PERIOD = 0.05  # s between two pulls of a running answer


class FetchResult(Enum):
    """How fetching an answer ended.

    ``NO_REPLY`` means that the node gave no sign; ``INTERRUPTED`` that it fell silent, or lost the
    answer, after its head had come.
    """

    FINISHED = "finished"
    NOT_FOUND = "gone"
    NO_REPLY = "silent"
    INTERRUPTED = "broken"


class AnswerService:
    """Service through which a retry finds its answer on another node.

    The directory of a request id is the node that rendezvous hashing chooses for it. Its table is
    soft: a lost entry lets an idempotent request run again, and nothing else rests on it.
    """

    __slots__ = ("_calls", "_directory", "_kernel", "_lock", "_name", "_replies_by_call")

    def __init__(self, kernel: Kernel, name: str, age: float) -> None:
        self._kernel = kernel
        self._name = name
        # A late reply to an earlier process of this node must match no call.
        self._calls = itertools.count(random.SystemRandom().getrandbits(48))
        self._directory = AnswerDirectory(MAX_ENTRIES, age)
        self._lock = threading.Lock()
        self._replies_by_call: dict[int, queue.SimpleQueue[Any]] = {}

    @classmethod
    def from_config(cls, kernel: Kernel, settings: Settings) -> AnswerService:
        """Build the service from settings."""
        return cls(kernel, settings.node.name, settings.limits.answer_age)

    def start(self) -> None:
        """Begin to answer other nodes."""
        peers = self._kernel.find("peers")
        peers.set_handler(AnswerLookup, self._on_find)
        peers.set_handler(AnswerLocation, self._on_reply)
        peers.set_handler(AnswerPull, self._on_pull)
        peers.set_handler(AnswerPart, self._on_reply)

    def stop(self) -> None:
        """Nothing runs."""

    def find_node(self, workspace: str, answer_id: str, instead_of: str = "") -> str:
        """Return the node that has an answer; this one if no other is known to.

        Parameters
        ----------
        instead_of : str
            Node that turned out not to have it.
        """
        id_hash = hash_id(workspace, answer_id)
        directory = self._kernel.find("members").duty(f"answer/{id_hash.hex()}")
        if directory is None:
            return self._name
        call = next(self._calls)
        message = AnswerLookup(call, id_hash, instead_of)
        found = self._ask(directory, message, id_hash, FIND_TIMEOUT)
        return found.node if isinstance(found, AnswerLocation) else self._name

    def fetch(
        self, node: str, request: Any, exchange: Any, deadline: float
    ) -> Iterator[FetchResult | None]:
        """Copy an answer from another node into an exchange.

        Parameters
        ----------
        request : Request
            Whose answer is wanted.
        exchange : AnswerBuffer
            Grows with the parts.
        deadline : float
            Monotonic time in seconds.

        Yields
        ------
        FetchResult or None
            None whenever the exchange has grown, and at the end how it ended.
        """
        while True:
            part = self._pull(node, request, exchange, deadline)
            if part is None or part.state == "gone":
                begun = exchange.head is not None
                ended = FetchResult.NO_REPLY if part is None else FetchResult.NOT_FOUND
                yield FetchResult.INTERRUPTED if begun else ended
                return
            if exchange.apply_part(part):
                yield None
            if exchange.finished_at is not None:
                yield FetchResult.FINISHED
                return
            if not part.body:
                time.sleep(PULL_PERIOD)

    def _pull(self, node: str, request: Any, exchange: Any, deadline: float) -> AnswerPart | None:
        for _ in range(PULL_ATTEMPTS):
            timeout = min(PULL_TIMEOUT, deadline - time.monotonic())
            if timeout <= 0:
                return None
            pull = AnswerPull(
                next(self._calls),
                request.plan.workspace,
                request.answer_id,
                exchange.size,
            )
            id_hash = hash_id(pull.workspace, pull.answer_id)
            part = self._ask(node, pull, id_hash, timeout)
            if isinstance(part, AnswerPart):
                return part
        return None

    def _ask(
        self, node: str, message: AnswerLookup | AnswerPull, id_hash: bytes, timeout: float
    ) -> Any:
        replies: queue.SimpleQueue[Any] = queue.SimpleQueue()
        with self._lock:
            self._replies_by_call[message.call_id] = replies
        try:
            self._kernel.find("peers").send(node, message)
            reply = replies.get(timeout=timeout)
            check(reply.id_hash == id_hash, "answer-of-own-request", node=node)
            return reply if reply.id_hash == id_hash else None
        except queue.Empty:
            return None
        finally:
            with self._lock:
                del self._replies_by_call[message.call_id]

    def _on_reply(self, sender: str, message: AnswerLocation | AnswerPart) -> None:
        with self._lock:
            replies = self._replies_by_call.get(message.call_id)
        if replies is not None:
            replies.put(message)

    def _on_find(self, sender: str, message: AnswerLookup) -> None:
        with self._lock:
            node = self._directory.find(
                message.id_hash, sender, message.excluded_node, time.monotonic()
            )
        self._kernel.find("peers").send(
            sender, AnswerLocation(message.call_id, message.id_hash, node)
        )

    def _on_pull(self, sender: str, message: AnswerPull) -> None:
        id_hash = hash_id(message.workspace, message.answer_id)
        exchange = self._kernel.find("caller_listener").answers.find(
            message.workspace, message.answer_id
        )
        if exchange is None:
            part = AnswerPart(message.call_id, id_hash, "gone")
        else:
            part = exchange.build_part(message.call_id, id_hash, message.position)
        self._kernel.find("peers").send(sender, part)
