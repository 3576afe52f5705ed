"""Claims through the platform's log: the first in log order wins."""

from __future__ import annotations

import itertools
import queue
import threading
import time
import uuid
from dataclasses import dataclass, field

import logbook
import msgspec

from celeryrun.exception import LogUnavailableError, Refusal
from celeryrun.platform import LogClient, Page, TooManyAppendsError
from celeryrun.settings import Settings

__all__ = ["ClaimBook", "Lost", "Unresolved", "Won"]

CLAIM_STREAM = "claims"
BATCH_CLAIMS = 200
POLL_WAIT = 1.0  # s
RETRY_PERIOD = 0.2  # s
LOG_STALE = 4.0  # s without a read before new claims are refused

log = logbook.Logger("claims")


class _Claim(msgspec.Struct, frozen=True, array_like=True):
    key: str
    claim: str
    node: str


class _Batch(msgspec.Struct, frozen=True, array_like=True):
    claims: tuple[_Claim, ...] = ()
    releases: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Won:
    """The claim is this node's."""

    claim: str


@dataclass(frozen=True, slots=True)
class Lost:
    """Another claim was first."""

    node: str
    claim: str


@dataclass(frozen=True, slots=True)
class Unresolved:
    """Sentinel: whether the claim stands is not known yet."""

    reason: str


@dataclass(slots=True)
class _Pending:
    claim: _Claim
    resolved: threading.Event = field(default_factory=threading.Event)
    given_up: bool = False


class ClaimBook:
    """Service that claims keys in the log, many in one record."""

    __slots__ = (
        "_client",
        "_decoder",
        "_folded_to",
        "_last_read",
        "_lock",
        "_name",
        "_pending_by_claim",
        "_queue",
        "_reader",
        "_stopped",
        "holder_by_key",
    )

    def __init__(self, name: str, client: LogClient, reader: LogClient) -> None:
        self._name = name
        self._client = client
        self._reader = reader
        self._decoder = msgspec.json.Decoder(_Batch)
        self._folded_to = 0
        self._last_read = 0.0
        self._lock = threading.Lock()
        self._pending_by_claim: dict[str, _Pending] = {}
        self._queue: queue.SimpleQueue[_Pending | tuple[str, str] | None] = queue.SimpleQueue()
        self._stopped = threading.Event()
        self.holder_by_key: dict[str, _Claim] = {}

    @classmethod
    def from_config(cls, settings: Settings) -> ClaimBook:
        """Build the service from settings."""
        platform = settings.platform
        client = LogClient(platform.log_url, platform.timeout)
        reader = LogClient(platform.log_url, platform.timeout)
        return cls(settings.node.name, client, reader)

    def start(self) -> None:
        """Begin reading and writing."""
        threading.Thread(target=self._read, name="claims-reader", daemon=True).start()
        threading.Thread(target=self._write, name="claims-writer", daemon=True).start()

    def stop(self) -> None:
        """End."""
        self._stopped.set()
        self._queue.put(None)

    def claim(self, key: str, deadline: float) -> Won | Lost | Unresolved | Refusal:
        """Claim a key.

        Parameters
        ----------
        key : str
            Workspace and idempotency key.
        deadline : float
            Monotonic time in seconds until which to wait.

        Returns
        -------
        Won or Lost or Unresolved or Refusal
            A claim that stays unresolved is released by itself once it is known.
        """
        if time.monotonic() - self._last_read > LOG_STALE:
            remedy = "the platform's log is down, so nothing can be claimed; retry later"
            return Refusal(503, "log-unavailable", remedy, 2.0)
        pending = _Pending(_Claim(key, uuid.uuid4().hex, self._name))
        with self._lock:
            holder = self.holder_by_key.get(key)
            if holder is not None:
                return Lost(holder.node, holder.claim)
            self._pending_by_claim[pending.claim.claim] = pending
        self._queue.put(pending)
        pending.resolved.wait(max(0.0, deadline - time.monotonic()))
        return self._outcome(pending)

    def release(self, key: str, claim: str) -> None:
        """Give up a claim that was won and not used."""
        self._queue.put((key, claim))

    def _outcome(self, pending: _Pending) -> Won | Lost | Unresolved:
        with self._lock:
            holder = self.holder_by_key.get(pending.claim.key)
            if not pending.resolved.is_set() or holder is None:
                pending.given_up = True
                return Unresolved("the log did not say in time whose claim was first")
            if holder.claim == pending.claim.claim:
                return Won(holder.claim)
            return Lost(holder.node, holder.claim)

    def _write(self) -> None:
        while not self._stopped.is_set():
            item = self._queue.get()
            items = [item]
            while not self._queue.empty() and len(items) < BATCH_CLAIMS:
                items.append(self._queue.get())
            pending = [item for item in items if isinstance(item, _Pending)]
            releases = tuple(item for item in items if isinstance(item, tuple))
            if pending or releases:
                batch = _Batch(tuple(item.claim for item in pending), releases)
                self._append(msgspec.json.encode(batch))

    def _append(self, body: bytes) -> None:
        # Repeating a batch is harmless: a claim's id is decided where it first stands.
        for attempt in itertools.count():
            try:
                self._client.append(CLAIM_STREAM, body)
                return
            except (LogUnavailableError, TooManyAppendsError) as error:
                log.warning("claim append {}: {}", attempt, error)
            if self._stopped.wait(RETRY_PERIOD):
                return

    def _read(self) -> None:
        while not self._stopped.is_set():
            try:
                wait = POLL_WAIT if self._last_read else 0.0
                page = self._reader.read(CLAIM_STREAM, self._folded_to, wait)
            except LogUnavailableError as error:
                log.warning("claims: {}", error)
                self._stopped.wait(RETRY_PERIOD)
                continue
            self._fold(page)

    def _fold(self, page: Page) -> None:
        with self._lock:
            for record in page.records:
                if record.offset >= self._folded_to:
                    self._fold_record(record.body)
                    self._folded_to = record.offset + 1
            self._folded_to = max(self._folded_to, page.first)
        if self._folded_to >= page.end:
            self._last_read = time.monotonic()

    def _fold_record(self, body: bytes) -> None:
        try:
            batch = self._decoder.decode(body)
        except msgspec.MsgspecError as error:
            log.error("malformed claim record passed over: {}", error)
            return
        for claim in batch.claims:
            self.holder_by_key.setdefault(claim.key, claim)
            self._resolve(claim.claim)
        for key, claim_id in batch.releases:
            holder = self.holder_by_key.get(key)
            if holder is not None and holder.claim == claim_id:
                del self.holder_by_key[key]

    def _resolve(self, claim_id: str) -> None:
        pending = self._pending_by_claim.pop(claim_id, None)
        if pending is None:
            return
        holder = self.holder_by_key[pending.claim.key]
        if pending.given_up and holder.claim == claim_id:
            self._queue.put((pending.claim.key, claim_id))
        pending.resolved.set()
