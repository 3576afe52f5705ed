"""A node's side of the pools: asks, grants held, and heartbeats to the keepers."""

from __future__ import annotations

import itertools
import threading
import time
from dataclasses import dataclass, field

import logbook
import msgspec

from celeryrun.exception import Refusal
from celeryrun.kernel import Kernel, check
from celeryrun.pool._share import LocalShare
from celeryrun.wire import (
    Cancel,
    Denial,
    Grant,
    HeldSlot,
    KeeperHeartbeat,
    NodeHeartbeat,
    SlotReleased,
    SlotRequest,
)

__all__ = ["PendingRequest", "PoolClient"]

BEAT_PERIOD = 0.5  # s
RESEND_AFTER = 0.4  # s that an ask may be on its way before it counts as lost
KEEPER_SILENCE = 1.6  # s without a keeper's answer until a node uses its own share

REFUSAL_BY_KIND = {
    "overload": (503, "more work waits than the targets can take; retry later"),
    "deadline": (504, "no target was free before the deadline; retry later or allow more time"),
    "plan-limit": (429, "the plan's limit of outstanding requests is reached; wait for answers"),
}

log = logbook.Logger("pool-client")


@dataclass(slots=True)
class PendingRequest:
    """One request that waits for a grant."""

    ask: SlotRequest
    expires: float
    sent: float = 0.0
    keeper: str = ""
    answered: threading.Event = field(default_factory=threading.Event)
    result: Grant | Refusal | None = None

    def refreshed(self) -> SlotRequest:
        """Return the ask with the time that now remains."""
        remaining = max(0.0, self.expires - time.monotonic())
        return msgspec.structs.replace(self.ask, remaining=remaining)

    def hold(self, grant: Grant) -> HeldSlot:
        """Return the grant as one that is held."""
        ask = self.ask
        return HeldSlot(grant.grant_id, grant.target, ask.tier, ask.workspace, ask.cost)


class PoolClient:
    """Service through which requests get a slot on a target.

    While a pool's keeper is silent, the node grants itself its own share of the slots, the
    highest tier first.
    """

    __slots__ = (
        "_asks",
        "_epoch_by_pool",
        "_heard_by_pool",
        "_hold_by_grant",
        "_kernel",
        "_lock",
        "_share",
        "_silent_pools",
        "_stopped",
        "_waiter_by_ask",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._asks = itertools.count(1)
        self._lock = threading.RLock()
        self._stopped = threading.Event()
        self._waiter_by_ask: dict[int, PendingRequest] = {}
        self._hold_by_grant: dict[int, tuple[str, HeldSlot]] = {}
        self._epoch_by_pool: dict[str, int] = {}
        self._heard_by_pool: dict[str, float] = {}
        self._silent_pools: set[str] = set()
        self._share = LocalShare("")

    def start(self) -> None:
        """Begin heartbeats."""
        peers = self._kernel.find("peers")
        peers.set_handler(Grant, self._on_grant)
        peers.set_handler(Denial, self._on_shed)
        peers.set_handler(KeeperHeartbeat, self._on_keeper)
        members = self._kernel.find("members")
        self._share = LocalShare(members.me.name)
        members.watchers.append(self._beat)
        threading.Thread(target=self._run, name="pool-client", daemon=True).start()

    def stop(self) -> None:
        """End heartbeats."""
        self._stopped.set()

    def request_slot(
        self,
        pool: str,
        tier: int,
        workspace: str,
        cost: float,
        prefix: tuple[int, ...],
        expires: float,
        fingerprint: int = 0,
    ) -> PendingRequest:
        """Ask a pool's keeper for a slot.

        Parameters
        ----------
        cost : float
            Estimated work, in tokens or their equal.
        expires : float
            Monotonic deadline in seconds.
        fingerprint : int
            Hash by which the request is known when it is sent again.

        Returns
        -------
        PendingRequest
            To be given to `wait` or `cancel`.
        """
        remaining = expires - time.monotonic()
        number = next(self._asks)
        ask = SlotRequest(pool, number, tier, workspace, cost, prefix, remaining, fingerprint)
        waiter = PendingRequest(ask, expires)
        with self._lock:
            if not self._is_busy(pool):
                # Only a keeper that has been told of work owes an answer.
                self._heard_by_pool[pool] = time.monotonic()
            self._waiter_by_ask[ask.slot_request_id] = waiter
        self._send(waiter)
        if pool in self._silent_pools:
            self._grant_own(pool)
        return waiter

    def wait(self, waiter: PendingRequest) -> Grant | Refusal:
        """Block until the keeper answers or the deadline passes."""
        remaining = max(0.0, waiter.expires - time.monotonic())
        waiter.answered.wait(remaining)
        with self._lock:
            self._waiter_by_ask.pop(waiter.ask.slot_request_id, None)
            result = waiter.result
        if result is not None:
            return result
        self._withdraw(waiter)
        return _refusal("deadline", 1.0)

    def cancel(self, waiter: PendingRequest, refusal: Refusal) -> None:
        """Make a waiting request give up with a refusal."""
        with self._lock:
            if waiter.result is not None:
                return
            waiter.result = refusal
            waiter.answered.set()
        self._withdraw(waiter)

    def displace(self, tier: int, refusal: Refusal) -> bool:
        """Make the last request of the lowest tier below another give up, if any waits here.

        Parameters
        ----------
        tier : int
            Tier of the request that needs room.
        """
        with self._lock:
            waiting = [item for item in self._waiter_by_ask.values() if item.result is None]
            lowest = max(
                waiting, key=lambda item: (item.ask.tier, item.ask.slot_request_id), default=None
            )
        if lowest is None or lowest.ask.tier <= tier:
            return False
        self.cancel(lowest, refusal)
        return True

    def release(
        self,
        grant: Grant,
        work: float,
        first_byte_delay: float,
        elapsed: float,
        complete: bool,
        tokens: int = 0,
    ) -> None:
        """Give a slot back.

        Parameters
        ----------
        work : float
            Work done.
        first_byte_delay : float
            Seconds to the first byte, negative if none came.
        elapsed : float
            Seconds since dispatch.
        complete : bool
            Whether the answer was whole.
        tokens : int
            Tokens that the answer brought, 0 from an application.
        """
        with self._lock:
            self._hold_by_grant.pop(grant.grant_id, None)
            self._share.release(grant.grant_id)
        done = SlotReleased(
            grant.pool, grant.grant_id, work, first_byte_delay, elapsed, complete, tokens
        )
        self._tell_keeper(grant.pool, done)
        if grant.pool in self._silent_pools:
            self._grant_own(grant.pool)

    def outstanding(self) -> tuple[int, int]:
        """Return how many requests wait and how many hold a slot."""
        with self._lock:
            return len(self._waiter_by_ask), len(self._hold_by_grant)

    def _is_busy(self, pool: str) -> bool:
        waits = any(waiter.ask.pool == pool for waiter in self._waiter_by_ask.values())
        return waits or any(holder == pool for holder, _ in self._hold_by_grant.values())

    def _send(self, waiter: PendingRequest) -> None:
        keeper = self._kernel.find("members").duty(f"pool/{waiter.ask.pool}")
        waiter.sent = time.monotonic()
        waiter.keeper = keeper or ""
        if keeper is not None:
            self._kernel.find("peers").send(keeper, waiter.refreshed())

    def _withdraw(self, waiter: PendingRequest) -> None:
        self._tell_keeper(waiter.ask.pool, Cancel(waiter.ask.pool, waiter.ask.slot_request_id))

    def _tell_keeper(self, pool: str, message: Cancel | SlotReleased | NodeHeartbeat) -> None:
        keeper = self._kernel.find("members").duty(f"pool/{pool}")
        if keeper is not None:
            self._kernel.find("peers").send(keeper, message)

    def _on_grant(self, sender: str, grant: Grant) -> None:
        with self._lock:
            waiter = self._waiter_by_ask.get(grant.slot_request_id)
            wanted = waiter is not None and waiter.result is None
            if waiter is not None and wanted:
                self._give(waiter, grant)
            self._note_heard(grant.pool)
        if not wanted:
            unused = SlotReleased(grant.pool, grant.grant_id, 0.0, -1.0, 0.0, True)
            self._kernel.find("peers").send(sender, unused)

    def _give(self, waiter: PendingRequest, grant: Grant) -> None:
        waiter.result = grant
        self._hold_by_grant[grant.grant_id] = (grant.pool, waiter.hold(grant))
        waiter.answered.set()

    def _on_shed(self, sender: str, shed: Denial) -> None:
        if sender != self._kernel.find("members").duty(f"pool/{shed.pool}"):
            # A keeper that was paused may not know that another one has the lower tiers' asks.
            return
        with self._lock:
            self._note_heard(shed.pool)
            waiter = self._waiter_by_ask.get(shed.slot_request_id)
            if waiter is None or waiter.result is not None:
                return
            refused = self._lowest(waiter) if shed.kind == "overload" else waiter
            if shed.kind == "overload":
                self._check_order(refused)
            refused.result = _refusal(shed.kind, shed.retry_after)
            refused.answered.set()
        if refused is not waiter:
            self._withdraw(refused)
            self._send(waiter)

    def _lowest(self, waiter: PendingRequest) -> PendingRequest:
        """Return the waiter to be shed in place of one: the lowest tier's youngest, if lower."""
        lower = [
            other for other in self._waiting(waiter.ask.pool) if other.ask.tier > waiter.ask.tier
        ]
        return max(
            lower, key=lambda other: (other.ask.tier, other.ask.slot_request_id), default=waiter
        )

    def _check_order(self, refused: PendingRequest) -> None:
        lower = [
            other.ask.tier
            for other in self._waiting(refused.ask.pool)
            if other.ask.tier > refused.ask.tier
        ]
        check(not lower, "shed-lowest-first-on-node", shed=refused.ask.tier, waiting=len(lower))

    def _waiting(self, pool: str) -> list[PendingRequest]:
        return [
            waiter
            for waiter in self._waiter_by_ask.values()
            if waiter.ask.pool == pool and waiter.result is None
        ]

    def _on_keeper(self, sender: str, beat: KeeperHeartbeat) -> None:
        with self._lock:
            self._note_heard(beat.pool)
            waiting = self._waiting(beat.pool)
            lost = self._epoch_by_pool.get(beat.pool) != beat.epoch or beat.queued < len(waiting)
            self._epoch_by_pool[beat.pool] = beat.epoch
        if lost:
            self._send_again(waiting)

    def _note_heard(self, pool: str) -> None:
        self._heard_by_pool[pool] = time.monotonic()
        if pool in self._silent_pools:
            self._silent_pools.discard(pool)
            log.info("the keeper of {} answers again", pool)

    def _send_again(self, waiting: list[PendingRequest]) -> None:
        settled = time.monotonic() - RESEND_AFTER
        for waiter in waiting:
            if waiter.sent < settled:
                self._send(waiter)

    def _run(self) -> None:
        while not self._stopped.wait(BEAT_PERIOD):
            self._beat()
            self._watch_keepers()

    def _beat(self) -> None:
        with self._lock:
            waiters = [item for item in self._waiter_by_ask.values() if item.result is None]
            holds = list(self._hold_by_grant.values())
        for pool in {waiter.ask.pool for waiter in waiters} | {pool for pool, _ in holds}:
            held = tuple(hold for holder, hold in holds if holder == pool)
            self._tell_keeper(pool, NodeHeartbeat(pool, held))
        self._follow_duties(waiters)

    def _follow_duties(self, waiters: list[PendingRequest]) -> None:
        members = self._kernel.find("members")
        for waiter in waiters:
            if members.duty(f"pool/{waiter.ask.pool}") != waiter.keeper:
                self._send(waiter)

    def _watch_keepers(self) -> None:
        oldest = time.monotonic() - KEEPER_SILENCE
        with self._lock:
            for pool, heard in self._heard_by_pool.items():
                silent = heard < oldest and self._is_busy(pool)
                if silent and pool not in self._silent_pools:
                    self._silent_pools.add(pool)
                    log.warning("the keeper of {} is silent; this node uses its share", pool)
            silent_pools = list(self._silent_pools)
        for pool in silent_pools:
            self._grant_own(pool)

    def _grant_own(self, pool: str) -> None:
        """Grant this node's share of the slots, the highest tier first."""
        known = self._kernel.find("configuration").current.pools_by_name.get(pool)
        if known is None:
            return
        targets = self._kernel.find("targets").of_pool(pool)
        nodes = self._kernel.find("members").known()
        with self._lock:
            waiting = sorted(
                self._waiting(pool), key=lambda item: (item.ask.tier, item.ask.slot_request_id)
            )
            served = []
            for waiter in waiting:
                taken = self._share.acquire(known.kind, targets, nodes)
                if taken is None:
                    break
                grant, target = taken
                granted = Grant(
                    pool, waiter.ask.slot_request_id, grant, target.name, target.address
                )
                self._give(waiter, granted)
                served.append(waiter)
        for waiter in served:
            self._withdraw(waiter)


def _refusal(kind: str, retry_after: float) -> Refusal:
    status, remedy = REFUSAL_BY_KIND[kind]
    return Refusal(status, kind, remedy, retry_after)
