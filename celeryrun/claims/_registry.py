"""Claims of keys through the platform's log, where the first claim in log order wins."""

from __future__ import annotations

import itertools
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

import logbook
import msgspec

from celeryrun.claims._records import Batch, Claim, Release, digest_from_claim_id, new_claim_id
from celeryrun.claims._table import ClaimTable, HeldClaim
from celeryrun.exception import LogUnavailableError, Refusal
from celeryrun.kernel import Kernel, check_invariant
from celeryrun.settings import Settings
from celeryrun.streams import LogClient, Page, Record, TooManyAppendsError

__all__ = [
    "KEY_TOO_OLD",
    "LOG_UNAVAILABLE",
    "ClaimLost",
    "ClaimRegistry",
    "ClaimUnresolved",
    "ClaimWon",
]

CLAIM_STREAM = "claims"
MAX_BATCH_SIZE = 200  # claims, and as many releases
MAX_OUTBOX = 2000  # claims
APPENDS_PER_SECOND = 250  # of all nodes together
POLL_TIMEOUT = 1.0  # s
RETRY_INTERVAL = 0.2  # s
MAX_READ_AGE = 4.0  # s since the last read to the end; older, new claims are refused
MAX_FAILING_TIME = 0.3  # s of failed appends; longer, new claims are refused
STOP_TIMEOUT = 2.0  # s to append the last releases

LOG_UNAVAILABLE = Refusal(
    503,
    "log-unavailable",
    "nothing can be claimed; retry later with the same key",
    2.0,
)
TOO_MANY_CLAIMS = Refusal(
    503, "claims-busy", "too many claims wait; retry later with the same key", 2.0
)
KEY_TOO_OLD = Refusal(
    409,
    "idempotency-key-too-old",
    "what became of the key is not known any more; ask the application, then use a new key",
)

log = logbook.Logger("claims")


@dataclass(slots=True)
class ClaimWon:
    """Claim of this node that holds its key.

    Parameters
    ----------
    claim_id : str
        Hexadecimal claim id.
    dispatched : bool
        Whether any part of the call may have reached a target.
    """

    key: str
    claim_id: str
    dispatched: bool = False


@dataclass(frozen=True, slots=True)
class ClaimLost:
    """An earlier claim holds the key.

    Parameters
    ----------
    held : HeldClaim
        The earlier claim.
    same_content : bool
        Whether the earlier claim is for the same request content.
    """

    held: HeldClaim
    same_content: bool


@dataclass(frozen=True, slots=True)
class ClaimUnresolved:
    """Sentinel: the claim may or may not hold its key; it is released and must not be used."""

    reason: str


ClaimResult = ClaimWon | ClaimLost | ClaimUnresolved | Refusal


@dataclass(slots=True)
class _PendingClaim:
    claim: Claim
    in_flight: bool = False
    may_be_appended: bool = False
    result: ClaimResult | None = None


class ClaimRegistry:
    """Service that claims keys in the log, batching claims into shared records.

    Parameters
    ----------
    name : str
        Name of this node.
    writer, reader, sync_reader : LogClient
        Separate clients for appends, for long polling, and for reads on demand.

    Attributes
    ----------
    append_count : int
        Append attempts, failed ones included.
    table : ClaimTable
        Claims in the part of the log that was read.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_decoder",
        "_failing_since",
        "_fresh_at",
        "_kernel",
        "_name",
        "_outbox_by_claim",
        "_pending_by_claim",
        "_reader",
        "_release_by_claim",
        "_replayed_to",
        "_stopped",
        "_sync_reader",
        "_sync_since",
        "_writer",
        "append_count",
        "table",
    )

    def __init__(
        self,
        kernel: Kernel,
        name: str,
        table: ClaimTable,
        writer: LogClient,
        reader: LogClient,
        sync_reader: LogClient,
    ) -> None:
        self._kernel = kernel
        self._name = name
        self._writer = writer
        self._reader = reader
        self._sync_reader = sync_reader
        self._decoder = msgspec.json.Decoder(Batch)
        self._replayed_to = 0
        self._fresh_at = float("-inf")
        self._sync_since = float("-inf")
        self._failing_since: float | None = None
        self._clock: tuple[float, float] | None = None
        self._changed = threading.Condition()
        self._pending_by_claim: dict[str, _PendingClaim] = {}
        self._outbox_by_claim: dict[str, _PendingClaim] = {}
        self._release_by_claim: dict[str, Release] = {}
        self._stopped = threading.Event()
        self.append_count = 0
        self.table = table

    @classmethod
    def from_config(cls, kernel: Kernel, settings: Settings) -> ClaimRegistry:
        """Build the service from settings."""
        platform = settings.platform
        clients = [LogClient(platform.log_url, platform.timeout) for _ in range(3)]
        return cls(kernel, settings.node.name, ClaimTable(platform.retention), *clients)

    def start(self) -> None:
        """Start the threads that read and append."""
        for task in (self._read, self._write, self._sync):
            threading.Thread(target=task, name=f"claims{task.__name__}", daemon=True).start()

    def stop(self) -> None:
        """Stop, after trying to append the pending releases."""
        with self._changed:
            self._changed.wait_for(lambda: not self._release_by_claim, STOP_TIMEOUT)
            self._stopped.set()
            self._changed.notify_all()

    def log_time(self) -> float:
        """Return the log's time in seconds since the epoch, or this node's until it is known."""
        clock = self._clock
        if clock is None:
            return time.time()
        return clock[0] + time.monotonic() - clock[1]

    def is_ready(self) -> bool:
        """Return whether the log was recently read to its end."""
        return time.monotonic() - self._fresh_at <= MAX_READ_AGE

    def can_claim(self) -> bool:
        """Return whether a claim is likely to be resolved soon.

        While appends fail, pending appends probe the log. With none pending, one claim is
        accepted as the probe.
        """
        is_probing = bool(self._outbox_by_claim or self._release_by_claim)
        return self.is_ready() and not (self._is_failing() and is_probing)

    def wait_until_can_claim(self, deadline: float) -> bool:
        """Wait until `can_claim` holds; return False at the monotonic deadline."""
        with self._changed:
            return self._wait_for(self.can_claim, deadline)

    def held_claim(self, key: str) -> HeldClaim | None:
        """Return the claim that holds a key in the part of the log that was read."""
        with self._changed:
            return self.table.held_claim(key)

    def claim(self, key: str, digest: bytes, deadline: float) -> ClaimResult:
        """Claim a key.

        Parameters
        ----------
        key : str
            Workspace, a slash, and the idempotency key.
        digest : bytes
            Digest of the request's content.
        deadline : float
            Monotonic time in seconds.

        Returns
        -------
        ClaimWon or ClaimLost or ClaimUnresolved or Refusal
            A refusal means that the claim does not hold the key and never will.
        """
        claim = Claim(key, new_claim_id(digest), self._name)
        pending = _PendingClaim(claim)
        with self._changed:
            if not self.can_claim():
                return LOG_UNAVAILABLE
            held = self.table.held_claim(key)
            if held is not None:
                return _build_lost(held, claim)
            if len(self._outbox_by_claim) >= MAX_OUTBOX:
                return TOO_MANY_CLAIMS
            self._pending_by_claim[claim.claim_id] = pending
            self._outbox_by_claim[claim.claim_id] = pending
            self._changed.notify_all()
        with self._changed:
            self._wait_for(lambda: pending.result is not None or self._is_failing(), deadline)
            if pending.result is None:
                self._abandon(pending, "the log did not say in time whose claim was first")
            assert pending.result is not None
            return pending.result

    def begin_dispatch(self, won: ClaimWon) -> None:
        """Record that a call is dispatched under a claim."""
        held = self.held_claim(won.key)
        holds = held is not None and held.claim_id.hex() == won.claim_id
        expired = not self.table.is_within_window(won.key, self.log_time())
        check_invariant(holds or expired, "dispatch-under-own-claim", claim=won.claim_id)
        check_invariant(not won.dispatched, "one-dispatch-per-claim", claim=won.claim_id)
        won.dispatched = True

    def release(self, won: ClaimWon) -> None:
        """Release an unused claim; its append is retried until it succeeds or the process ends."""
        check_invariant(not won.dispatched, "used-claim-stays", claim=won.claim_id)
        with self._changed:
            self._release_by_claim[won.claim_id] = Release(won.key, won.claim_id)
            self._changed.notify_all()

    def wait_until_released(self, key: str, held: HeldClaim, deadline: float) -> bool:
        """Wait until a claim no longer holds its key; return False at the monotonic deadline."""
        with self._changed:
            return self._wait_for(lambda: self.table.held_claim(key) != held, deadline)

    def sync(self, since: float, deadline: float) -> bool:
        """Wait until a read that began at or after a given time reaches the end of the log.

        Parameters
        ----------
        since, deadline : float
            Monotonic times in seconds.

        Returns
        -------
        bool
            False if the deadline passed first.
        """
        with self._changed:
            self._sync_since = max(self._sync_since, since)
            self._changed.notify_all()
            return self._wait_for(lambda: self._fresh_at >= since, deadline)

    def _wait_for(self, condition: Callable[[], bool], deadline: float) -> bool:
        return self._changed.wait_for(condition, max(0.0, deadline - time.monotonic()))

    def _is_failing(self) -> bool:
        since = self._failing_since
        return since is not None and time.monotonic() - since > MAX_FAILING_TIME

    def _abandon(self, pending: _PendingClaim, reason: str) -> None:
        claim = pending.claim
        self._pending_by_claim.pop(claim.claim_id, None)
        self._outbox_by_claim.pop(claim.claim_id, None)
        if pending.in_flight or pending.may_be_appended:
            self._release_by_claim[claim.claim_id] = Release(claim.key, claim.claim_id)
            self._set_result(pending, ClaimUnresolved(reason))
        else:
            self._set_result(pending, LOG_UNAVAILABLE)

    def _set_result(self, pending: _PendingClaim, result: ClaimResult) -> None:
        pending.result = result
        self._changed.notify_all()

    def _write(self) -> None:
        while not self._stopped.is_set():
            claims, releases = self._next_batch()
            if not claims and not releases:
                continue
            if self._append(claims, releases):
                nodes = len(self._kernel.find("members").eligible_nodes())
                delay = nodes / APPENDS_PER_SECOND
            else:
                delay = RETRY_INTERVAL * random.uniform(0.5, 1.0)
            self._stopped.wait(delay)

    def _next_batch(self) -> tuple[list[_PendingClaim], list[Release]]:
        with self._changed:
            self._changed.wait_for(
                lambda: (self._outbox_by_claim or self._release_by_claim or self._stopped.is_set())
            )
            claims = list(itertools.islice(self._outbox_by_claim.values(), MAX_BATCH_SIZE))
            for pending in claims:
                pending.in_flight = True
            releases = list(itertools.islice(self._release_by_claim.values(), MAX_BATCH_SIZE))
            return claims, releases

    def _append(self, claims: list[_PendingClaim], releases: list[Release]) -> bool:
        batch = Batch(tuple(pending.claim for pending in claims), tuple(releases))
        appended, may_be_appended = True, True
        try:
            self._writer.append(CLAIM_STREAM, msgspec.json.encode(batch))
        except TooManyAppendsError as error:
            appended, may_be_appended = False, False
            log.warning("appending claims failed: {}", error)
        except LogUnavailableError as error:
            appended, may_be_appended = False, error.effect_possible
            log.warning("appending claims failed: {}", error)
        with self._changed:
            self.append_count += 1
            if appended:
                self._failing_since = None
            elif self._failing_since is None:
                self._failing_since = time.monotonic()
            for pending in claims:
                pending.in_flight = False
                pending.may_be_appended |= may_be_appended
                if appended:
                    self._outbox_by_claim.pop(pending.claim.claim_id, None)
            if appended:
                for release in releases:
                    self._release_by_claim.pop(release.claim_id, None)
            self._changed.notify_all()
        return appended

    def _read(self) -> None:
        while not self._stopped.is_set():
            wait = 0.0 if self._clock is None else POLL_TIMEOUT
            if not self._read_page(self._reader, wait):
                self._stopped.wait(RETRY_INTERVAL)

    def _sync(self) -> None:
        while not self._stopped.is_set():
            with self._changed:
                self._changed.wait_for(
                    lambda: self._sync_since > self._fresh_at or self._stopped.is_set()
                )
            if not self._read_page(self._sync_reader, 0.0):
                self._stopped.wait(RETRY_INTERVAL)

    def _read_page(self, client: LogClient, wait: float) -> bool:
        began, start = time.monotonic(), self._replayed_to
        try:
            page = client.read(CLAIM_STREAM, start, wait)
        except LogUnavailableError as error:
            log.warning("reading claims failed: {}", error)
            return False
        if page.end < start:
            log.critical(
                "the claim stream ends before offset {}, up to which it was read; restore the log",
                start,
            )
            return False
        self._replay(page, began)
        return True

    def _replay(self, page: Page, began: float) -> None:
        with self._changed:
            if page.first > self._replayed_to:
                self._skip_gap(page.first)
            replay_time = 0.0
            for record in page.records:
                if record.offset >= self._replayed_to:
                    self._replay_record(record)
                    replay_time = record.written
            if self._replayed_to >= page.end:
                self._fresh_at = max(self._fresh_at, began)
                self._clock = (page.now, time.monotonic())
                replay_time = page.now
            self.table.expire(replay_time)
            self._changed.notify_all()

    def _skip_gap(self, first: int) -> None:
        # The records dropped by retention may contain an earlier claim on the same key.
        for pending in list(self._pending_by_claim.values()):
            self._abandon(pending, "the log forgot records before this node had read them")
        if self._replayed_to:
            log.warning(
                "claims: offsets {} to {} were dropped from the log before they were read",
                self._replayed_to,
                first,
            )
        self._replayed_to = first

    def _replay_record(self, record: Record) -> None:
        check_invariant(
            record.offset == self._replayed_to, "claims-read-without-gap", offset=record.offset
        )
        self._replayed_to = record.offset + 1
        try:
            batch = self._decoder.decode(record.body)
            self.table.apply_batch(batch, record.written)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            log.error("skipped a malformed claim record: {}", error)
            return
        for claim in batch.claims:
            pending = self._pending_by_claim.pop(claim.claim_id, None)
            if pending is not None:
                self._outbox_by_claim.pop(claim.claim_id, None)
                self._set_result(pending, self._resolve(claim, record.written))

    def _resolve(self, claim: Claim, written: float) -> ClaimResult:
        if not self.table.is_within_window(claim.key, written):
            return KEY_TOO_OLD
        held = self.table.held_claim(claim.key)
        if held is None:
            return ClaimUnresolved("the claim was released")
        if held.claim_id.hex() == claim.claim_id:
            return ClaimWon(claim.key, claim.claim_id)
        return _build_lost(held, claim)


def _build_lost(held: HeldClaim, claim: Claim) -> ClaimLost:
    same_content = digest_from_claim_id(held.claim_id) == digest_from_claim_id(
        bytes.fromhex(claim.claim_id)
    )
    return ClaimLost(held, same_content)
