"""Claims through the platform's log: the first in log order wins."""

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
from celeryrun.kernel import Kernel, check
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
BATCH_CLAIMS = 200
MAX_OUTBOX = 2000  # claims
APPENDS_PER_SECOND = 250  # of all nodes together
POLL_WAIT = 1.0  # s
RETRY_PERIOD = 0.2  # s
LOG_STALE = 4.0  # s without a read to the end before new claims are refused
FAILING_LIMIT = 0.3  # s of failing appends before new claims are refused
STOP_PATIENCE = 2.0  # s for the last releases

LOG_UNAVAILABLE = Refusal(
    503, "log-unavailable", "nothing can be claimed; retry later with the same key", 2.0
)
BUSY = Refusal(503, "claims-busy", "too many claims wait; retry later with the same key", 2.0)
KEY_TOO_OLD = Refusal(
    409,
    "idempotency-key-too-old",
    "what became of the key is not known any more; ask the application, then use a new key",
)

log = logbook.Logger("claims")


@dataclass(slots=True)
class ClaimWon:
    """The claim is this node's.

    Parameters
    ----------
    claim_id : str
        The claim's id.
    dispatched : bool
        Whether a byte of the call may have reached a target.
    """

    key: str
    claim_id: str
    dispatched: bool = False


@dataclass(frozen=True, slots=True)
class ClaimLost:
    """Another claim was first.

    Parameters
    ----------
    same_content : bool
        Whether that claim is for the same request content.
    """

    held: HeldClaim
    same_content: bool


@dataclass(frozen=True, slots=True)
class ClaimUnresolved:
    """Sentinel: whether the claim stands is not known; it is released and will not be used."""

    reason: str


ClaimResult = ClaimWon | ClaimLost | ClaimUnresolved | Refusal


@dataclass(slots=True)
class _Pending:
    claim: Claim
    in_flight: bool = False
    may_stand: bool = False
    verdict: ClaimResult | None = None


class ClaimRegistry:
    """Service that claims keys in the log, many in one record."""

    __slots__ = (
        "_changed",
        "_clock",
        "_decoder",
        "_failing_since",
        "_folded_to",
        "_fresh_to",
        "_kernel",
        "_name",
        "_outbox_by_claim",
        "_pending_by_claim",
        "_reader",
        "_release_by_claim",
        "_stopped",
        "_sync_from",
        "_syncer",
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
        syncer: LogClient,
    ) -> None:
        self._kernel = kernel
        self._name = name
        self._writer = writer
        self._reader = reader
        self._syncer = syncer
        self._decoder = msgspec.json.Decoder(Batch)
        self._folded_to = 0
        self._fresh_to = float("-inf")
        self._sync_from = float("-inf")
        self._failing_since: float | None = None
        self._clock: tuple[float, float] | None = None
        self._changed = threading.Condition()
        self._pending_by_claim: dict[str, _Pending] = {}
        self._outbox_by_claim: dict[str, _Pending] = {}
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
        """Begin reading and writing."""
        for task in (self._read, self._write, self._sync):
            threading.Thread(target=task, name=f"claims{task.__name__}", daemon=True).start()

    def stop(self) -> None:
        """End, after a last try to append what is still to be released."""
        with self._changed:
            self._changed.wait_for(lambda: not self._release_by_claim, STOP_PATIENCE)
            self._stopped.set()
            self._changed.notify_all()

    def log_time(self) -> float:
        """Return the log's clock, in seconds since the epoch; this node's until it is known."""
        clock = self._clock
        if clock is None:
            return time.time()
        return clock[0] + time.monotonic() - clock[1]

    def is_ready(self) -> bool:
        """Tell whether the log was lately read to its end."""
        return time.monotonic() - self._fresh_to <= LOG_STALE

    def can_claim(self) -> bool:
        """Tell whether a claim is likely to be decided soon.

        While appends fail, what still is to be appended probes the log; with nothing left to
        append the next claim does.
        """
        probes = bool(self._outbox_by_claim or self._release_by_claim)
        return self.is_ready() and not (self._is_failing() and probes)

    def wait_until_can_claim(self, deadline: float) -> bool:
        """Wait until `can_claim`; False at the monotonic deadline."""
        with self._changed:
            return self._wait_for(self.can_claim, deadline)

    def held_claim(self, key: str) -> HeldClaim | None:
        """Return the claim that holds a key, as far as this node has read."""
        with self._changed:
            return self.table.held_claim(key)

    def claim(self, key: str, digest: bytes, deadline: float) -> ClaimResult:
        """Claim a key.

        Parameters
        ----------
        key : str
            Workspace, a slash, and the idempotency key.
        digest : bytes
            Of the request's content.
        deadline : float
            Monotonic time in seconds until which to wait.

        Returns
        -------
        ClaimWon or ClaimLost or ClaimUnresolved or Refusal
            A refusal means that this claim does not stand and never will.
        """
        claim = Claim(key, new_claim_id(digest), self._name)
        pending = _Pending(claim)
        with self._changed:
            if not self.can_claim():
                return LOG_UNAVAILABLE
            held = self.table.held_claim(key)
            if held is not None:
                return _lost(held, claim)
            if len(self._outbox_by_claim) >= MAX_OUTBOX:
                return BUSY
            self._pending_by_claim[claim.claim_id] = pending
            self._outbox_by_claim[claim.claim_id] = pending
            self._changed.notify_all()
        with self._changed:
            self._wait_for(lambda: pending.verdict is not None or self._is_failing(), deadline)
            if pending.verdict is None:
                self._give_up(pending, "the log did not say in time whose claim was first")
            assert pending.verdict is not None
            return pending.verdict

    def begin_dispatch(self, won: ClaimWon) -> None:
        """Note that a call goes out under a claim."""
        held = self.held_claim(won.key)
        holds = held is not None and held.claim_id.hex() == won.claim_id
        expired = not self.table.counts(won.key, self.log_time())
        check(holds or expired, "dispatch-under-own-claim", claim=won.claim_id)
        check(not won.dispatched, "one-dispatch-per-claim", claim=won.claim_id)
        won.dispatched = True

    def release(self, won: ClaimWon) -> None:
        """Give up a claim that was not used; appended for as long as the process lives."""
        check(not won.dispatched, "used-claim-stays", claim=won.claim_id)
        with self._changed:
            self._release_by_claim[won.claim_id] = Release(won.key, won.claim_id)
            self._changed.notify_all()

    def wait_until_released(self, key: str, held: HeldClaim, deadline: float) -> bool:
        """Wait until a claim no longer holds its key; False at the monotonic deadline."""
        with self._changed:
            return self._wait_for(lambda: self.table.held_claim(key) != held, deadline)

    def sync(self, since: float, deadline: float) -> bool:
        """Wait until the log was read to its end by a read that began after a time.

        Parameters
        ----------
        since, deadline : float
            Monotonic times in seconds.
        """
        with self._changed:
            self._sync_from = max(self._sync_from, since)
            self._changed.notify_all()
            return self._wait_for(lambda: self._fresh_to >= since, deadline)

    def _wait_for(self, condition: Callable[[], bool], deadline: float) -> bool:
        return self._changed.wait_for(condition, max(0.0, deadline - time.monotonic()))

    def _is_failing(self) -> bool:
        since = self._failing_since
        return since is not None and time.monotonic() - since > FAILING_LIMIT

    def _give_up(self, pending: _Pending, reason: str) -> None:
        claim = pending.claim
        self._pending_by_claim.pop(claim.claim_id, None)
        self._outbox_by_claim.pop(claim.claim_id, None)
        if pending.in_flight or pending.may_stand:
            self._release_by_claim[claim.claim_id] = Release(claim.key, claim.claim_id)
            self._settle(pending, ClaimUnresolved(reason))
        else:
            self._settle(pending, LOG_UNAVAILABLE)

    def _settle(self, pending: _Pending, verdict: ClaimResult) -> None:
        pending.verdict = verdict
        self._changed.notify_all()

    def _write(self) -> None:
        while not self._stopped.is_set():
            claims, releases = self._next_batch()
            if not claims and not releases:
                continue
            if self._append(claims, releases):
                nodes = len(self._kernel.find("members").live())
                pause = nodes / APPENDS_PER_SECOND
            else:
                pause = RETRY_PERIOD * random.uniform(0.5, 1.0)
            self._stopped.wait(pause)

    def _next_batch(self) -> tuple[list[_Pending], list[Release]]:
        with self._changed:
            self._changed.wait_for(
                lambda: (self._outbox_by_claim or self._release_by_claim or self._stopped.is_set())
            )
            claims = list(itertools.islice(self._outbox_by_claim.values(), BATCH_CLAIMS))
            for pending in claims:
                pending.in_flight = True
            releases = list(itertools.islice(self._release_by_claim.values(), BATCH_CLAIMS))
            return claims, releases

    def _append(self, claims: list[_Pending], releases: list[Release]) -> bool:
        batch = Batch(tuple(pending.claim for pending in claims), tuple(releases))
        appended, may_stand = True, True
        try:
            self._writer.append(CLAIM_STREAM, msgspec.json.encode(batch))
        except TooManyAppendsError as error:
            appended, may_stand = False, False
            log.warning("claims: {}", error)
        except LogUnavailableError as error:
            appended, may_stand = False, error.effect_possible
            log.warning("claims: {}", error)
        with self._changed:
            self.append_count += 1
            if appended:
                self._failing_since = None
            elif self._failing_since is None:
                self._failing_since = time.monotonic()
            for pending in claims:
                pending.in_flight = False
                pending.may_stand |= may_stand
                if appended:
                    self._outbox_by_claim.pop(pending.claim.claim_id, None)
            if appended:
                for release in releases:
                    self._release_by_claim.pop(release.claim_id, None)
            self._changed.notify_all()
        return appended

    def _read(self) -> None:
        while not self._stopped.is_set():
            wait = 0.0 if self._clock is None else POLL_WAIT
            if not self._read_page(self._reader, wait):
                self._stopped.wait(RETRY_PERIOD)

    def _sync(self) -> None:
        while not self._stopped.is_set():
            with self._changed:
                self._changed.wait_for(
                    lambda: self._sync_from > self._fresh_to or self._stopped.is_set()
                )
            if not self._read_page(self._syncer, 0.0):
                self._stopped.wait(RETRY_PERIOD)

    def _read_page(self, client: LogClient, wait: float) -> bool:
        began, start = time.monotonic(), self._folded_to
        try:
            page = client.read(CLAIM_STREAM, start, wait)
        except LogUnavailableError as error:
            log.warning("claims: {}", error)
            return False
        if page.end < start:
            log.critical("the claim stream ends before offset {}; restore the log", start)
            return False
        self._fold(page, began)
        return True

    def _fold(self, page: Page, began: float) -> None:
        with self._changed:
            if page.first > self._folded_to:
                self._pass_gap(page.first)
            horizon = 0.0
            for record in page.records:
                if record.offset >= self._folded_to:
                    self._fold_record(record)
                    horizon = record.written
            if self._folded_to >= page.end:
                self._fresh_to = max(self._fresh_to, began)
                self._clock = (page.now, time.monotonic())
                horizon = page.now
            self.table.expire(horizon)
            self._changed.notify_all()

    def _pass_gap(self, first: int) -> None:
        # What was forgotten unread may hold a claim older than ours.
        for pending in list(self._pending_by_claim.values()):
            self._give_up(pending, "the log forgot records before this node had read them")
        if self._folded_to:
            log.warning("claims: offsets {} to {} were forgotten unread", self._folded_to, first)
        self._folded_to = first

    def _fold_record(self, record: Record) -> None:
        check(record.offset == self._folded_to, "claims-read-without-gap", offset=record.offset)
        self._folded_to = record.offset + 1
        try:
            batch = self._decoder.decode(record.body)
            self.table.apply_batch(batch, record.written)
        except (msgspec.MsgspecError, ValueError) as error:
            log.error("malformed claim record passed over: {}", error)
            return
        for claim in batch.claims:
            pending = self._pending_by_claim.pop(claim.claim_id, None)
            if pending is not None:
                self._outbox_by_claim.pop(claim.claim_id, None)
                self._settle(pending, self._judge(claim, record.written))

    def _judge(self, claim: Claim, written: float) -> ClaimResult:
        if not self.table.counts(claim.key, written):
            return KEY_TOO_OLD
        held = self.table.held_claim(claim.key)
        if held is None:
            return ClaimUnresolved("the claim was released")
        if held.claim_id.hex() == claim.claim_id:
            return ClaimWon(claim.key, claim.claim_id)
        return _lost(held, claim)


def _lost(held: HeldClaim, claim: Claim) -> ClaimLost:
    same = digest_from_claim_id(held.claim_id) == digest_from_claim_id(
        bytes.fromhex(claim.claim_id)
    )
    return ClaimLost(held, same)
