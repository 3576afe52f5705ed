"""Client of the keepers: slot requests, held slots and heartbeats of one node."""

from __future__ import annotations

import itertools
import threading
import time
from dataclasses import dataclass, field

import logbook
import msgspec

from celeryrun.exception import Refusal
from celeryrun.kernel import Kernel, check_invariant
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

HEARTBEAT_INTERVAL = 0.5  # s
RESEND_DELAY = 0.4  # s after which a slot request that the keeper does not have counts as lost
KEEPER_TIMEOUT = 1.6  # s without a message of the keeper until a node uses its own share

REFUSAL_BY_KIND = {
    "overload": (503, "more work waits than the targets can take; retry later"),
    "deadline": (504, "no target was free before the deadline; retry later or allow more time"),
    "plan-limit": (429, "the plan's limit of outstanding requests is reached; wait for answers"),
}

log = logbook.Logger("pool-client")


@dataclass(slots=True)
class PendingRequest:
    """Slot request without a reply so far.

    Parameters
    ----------
    expires : float
        Monotonic deadline in seconds.
    last_sent : float
        Monotonic time at which the slot request was last sent, in seconds.
    keeper : str
        Keeper to which the slot request was last sent, empty if none was known.
    resolved : threading.Event
        Set as soon as there is a result.
    """

    slot_request: SlotRequest
    expires: float
    last_sent: float = 0.0
    keeper: str = ""
    resolved: threading.Event = field(default_factory=threading.Event)
    result: Grant | Refusal | None = None

    def current_slot_request(self) -> SlotRequest:
        """Return the slot request with the time that remains now."""
        remaining = max(0.0, self.expires - time.monotonic())
        return msgspec.structs.replace(self.slot_request, remaining=remaining)

    def held_slot(self, grant: Grant) -> HeldSlot:
        """Return the description of a granted slot for the heartbeats."""
        request = self.slot_request
        return HeldSlot(grant.grant_id, grant.target, request.tier, request.workspace, request.cost)


class PoolClient:
    """Service that gets slots on targets for the requests of this node.

    While a pool's keeper is silent, the node grants slots of its own share, the highest tier
    first.
    """

    __slots__ = (
        "_epoch_by_pool",
        "_held_by_grant_id",
        "_kernel",
        "_last_heard_by_pool",
        "_local_share",
        "_lock",
        "_pending_by_id",
        "_silent_pools",
        "_slot_request_ids",
        "_stopped",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._slot_request_ids = itertools.count(1)
        self._lock = threading.RLock()
        self._stopped = threading.Event()
        self._pending_by_id: dict[int, PendingRequest] = {}
        self._held_by_grant_id: dict[int, tuple[str, HeldSlot]] = {}
        self._epoch_by_pool: dict[str, int] = {}
        self._last_heard_by_pool: dict[str, float] = {}
        self._silent_pools: set[str] = set()
        self._local_share = LocalShare("")

    def start(self) -> None:
        """Register the message handlers and start the heartbeats."""
        peers = self._kernel.find("peers")
        peers.set_handler(Grant, self._on_grant)
        peers.set_handler(Denial, self._on_denial)
        peers.set_handler(KeeperHeartbeat, self._on_keeper_heartbeat)
        members = self._kernel.find("members")
        self._local_share = LocalShare(members.local_member.name)
        members.watchers.append(self._send_heartbeats)
        threading.Thread(target=self._run, name="pool-client", daemon=True).start()

    def stop(self) -> None:
        """Stop the heartbeats."""
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
        """Send a slot request to a pool's keeper.

        Parameters
        ----------
        cost : float
            Estimated work, in tokens or their equivalent.
        expires : float
            Monotonic deadline in seconds.
        fingerprint : int
            Hash that all attempts of a request share.

        Returns
        -------
        PendingRequest
            Argument for `wait` or `cancel`.
        """
        remaining = expires - time.monotonic()
        slot_request_id = next(self._slot_request_ids)
        slot_request = SlotRequest(
            pool, slot_request_id, tier, workspace, cost, prefix, remaining, fingerprint
        )
        request = PendingRequest(slot_request, expires)
        with self._lock:
            if not self._has_outstanding(pool):
                # A keeper sends heartbeats only to nodes with requests, so its silence starts here.
                self._last_heard_by_pool[pool] = time.monotonic()
            self._pending_by_id[slot_request.slot_request_id] = request
        self._send(request)
        if pool in self._silent_pools:
            self._grant_local_share(pool)
        return request

    def wait(self, request: PendingRequest) -> Grant | Refusal:
        """Block until the keeper replies or the deadline passes."""
        remaining = max(0.0, request.expires - time.monotonic())
        request.resolved.wait(remaining)
        with self._lock:
            self._pending_by_id.pop(request.slot_request.slot_request_id, None)
            result = request.result
        if result is not None:
            return result
        self._send_cancel(request)
        return _refusal("deadline", 1.0)

    def cancel(self, request: PendingRequest, refusal: Refusal) -> None:
        """Cancel a pending request; its `wait` returns the refusal."""
        with self._lock:
            if request.result is not None:
                return
            request.result = refusal
            request.resolved.set()
        self._send_cancel(request)

    def displace(self, tier: int, refusal: Refusal) -> bool:
        """Cancel the newest request of the lowest pending tier, if that tier is below another one.

        Parameters
        ----------
        tier : int
            Tier of the request to be admitted in its place.

        Returns
        -------
        bool
            Whether a request was cancelled.
        """
        with self._lock:
            pending = [item for item in self._pending_by_id.values() if item.result is None]
            lowest = max(
                pending,
                key=lambda item: (item.slot_request.tier, item.slot_request.slot_request_id),
                default=None,
            )
        if lowest is None or lowest.slot_request.tier <= tier:
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
        """Release a slot.

        Parameters
        ----------
        work : float
            Work done, in tokens or their equivalent.
        first_byte_delay : float
            Seconds to the first byte, negative if none came.
        elapsed : float
            Seconds since dispatch.
        complete : bool
            Whether the response was complete.
        tokens : int
            Tokens in the response, 0 from an application.
        """
        with self._lock:
            self._held_by_grant_id.pop(grant.grant_id, None)
            self._local_share.release(grant.grant_id)
        released = SlotReleased(
            grant.pool, grant.grant_id, work, first_byte_delay, elapsed, complete, tokens
        )
        self._send_to_keeper(grant.pool, released)
        if grant.pool in self._silent_pools:
            self._grant_local_share(grant.pool)

    def outstanding(self) -> tuple[int, int]:
        """Return the number of pending requests and of held slots."""
        with self._lock:
            return len(self._pending_by_id), len(self._held_by_grant_id)

    def _has_outstanding(self, pool: str) -> bool:
        has_pending = any(
            request.slot_request.pool == pool for request in self._pending_by_id.values()
        )
        return has_pending or any(
            held_pool == pool for held_pool, _ in self._held_by_grant_id.values()
        )

    def _send(self, request: PendingRequest) -> None:
        keeper = self._kernel.find("members").owner(f"pool/{request.slot_request.pool}")
        request.last_sent = time.monotonic()
        request.keeper = keeper or ""
        if keeper is not None:
            self._kernel.find("peers").send(keeper, request.current_slot_request())

    def _send_cancel(self, request: PendingRequest) -> None:
        self._send_to_keeper(
            request.slot_request.pool,
            Cancel(request.slot_request.pool, request.slot_request.slot_request_id),
        )

    def _send_to_keeper(self, pool: str, message: Cancel | SlotReleased | NodeHeartbeat) -> None:
        keeper = self._kernel.find("members").owner(f"pool/{pool}")
        if keeper is not None:
            self._kernel.find("peers").send(keeper, message)

    def _on_grant(self, sender: str, grant: Grant) -> None:
        with self._lock:
            request = self._pending_by_id.get(grant.slot_request_id)
            wanted = request is not None and request.result is None
            if request is not None and wanted:
                self._accept_grant(request, grant)
            self._record_keeper_message(grant.pool)
        if not wanted:
            unused = SlotReleased(grant.pool, grant.grant_id, 0.0, -1.0, 0.0, True)
            self._kernel.find("peers").send(sender, unused)

    def _accept_grant(self, request: PendingRequest, grant: Grant) -> None:
        request.result = grant
        self._held_by_grant_id[grant.grant_id] = (grant.pool, request.held_slot(grant))
        request.resolved.set()

    def _on_denial(self, sender: str, denial: Denial) -> None:
        if sender != self._kernel.find("members").owner(f"pool/{denial.pool}"):
            # A former keeper that was paused may lack lower tiers' requests that its successor has.
            return
        with self._lock:
            self._record_keeper_message(denial.pool)
            request = self._pending_by_id.get(denial.slot_request_id)
            if request is None or request.result is not None:
                return
            denied = self._shed_candidate(request) if denial.kind == "overload" else request
            if denial.kind == "overload":
                self._check_shed_order(denied)
            denied.result = _refusal(denial.kind, denial.retry_after)
            denied.resolved.set()
        if denied is not request:
            self._send_cancel(denied)
            self._send(request)

    def _shed_candidate(self, request: PendingRequest) -> PendingRequest:
        """Return the newest request of the lowest tier below a request's own, else the request."""
        lower = [
            other
            for other in self._pending_of_pool(request.slot_request.pool)
            if other.slot_request.tier > request.slot_request.tier
        ]
        return max(
            lower,
            key=lambda other: (other.slot_request.tier, other.slot_request.slot_request_id),
            default=request,
        )

    def _check_shed_order(self, denied: PendingRequest) -> None:
        lower = [
            other.slot_request.tier
            for other in self._pending_of_pool(denied.slot_request.pool)
            if other.slot_request.tier > denied.slot_request.tier
        ]
        check_invariant(
            not lower,
            "shed-lowest-first-on-node",
            shed=denied.slot_request.tier,
            waiting=len(lower),
        )

    def _pending_of_pool(self, pool: str) -> list[PendingRequest]:
        return [
            request
            for request in self._pending_by_id.values()
            if request.slot_request.pool == pool and request.result is None
        ]

    def _on_keeper_heartbeat(self, sender: str, reply: KeeperHeartbeat) -> None:
        with self._lock:
            self._record_keeper_message(reply.pool)
            pending = self._pending_of_pool(reply.pool)
            lost = self._epoch_by_pool.get(reply.pool) != reply.epoch or reply.queued < len(pending)
            self._epoch_by_pool[reply.pool] = reply.epoch
        if lost:
            self._resend(pending)

    def _record_keeper_message(self, pool: str) -> None:
        self._last_heard_by_pool[pool] = time.monotonic()
        if pool in self._silent_pools:
            self._silent_pools.discard(pool)
            log.info("keeper of pool {} responds again", pool)

    def _resend(self, pending: list[PendingRequest]) -> None:
        latest = time.monotonic() - RESEND_DELAY
        for request in pending:
            if request.last_sent < latest:
                self._send(request)

    def _run(self) -> None:
        while not self._stopped.wait(HEARTBEAT_INTERVAL):
            self._send_heartbeats()
            self._check_keepers()

    def _send_heartbeats(self) -> None:
        with self._lock:
            pending = [item for item in self._pending_by_id.values() if item.result is None]
            held = list(self._held_by_grant_id.values())
        for pool in {request.slot_request.pool for request in pending} | {pool for pool, _ in held}:
            held_slots = tuple(slot for held_pool, slot in held if held_pool == pool)
            self._send_to_keeper(pool, NodeHeartbeat(pool, held_slots))
        self._resend_to_new_keepers(pending)

    def _resend_to_new_keepers(self, pending: list[PendingRequest]) -> None:
        members = self._kernel.find("members")
        for request in pending:
            if members.owner(f"pool/{request.slot_request.pool}") != request.keeper:
                self._send(request)

    def _check_keepers(self) -> None:
        oldest = time.monotonic() - KEEPER_TIMEOUT
        with self._lock:
            for pool, heard in self._last_heard_by_pool.items():
                silent = heard < oldest and self._has_outstanding(pool)
                if silent and pool not in self._silent_pools:
                    self._silent_pools.add(pool)
                    log.warning(
                        "keeper of pool {} is silent; this node uses its own share of the slots",
                        pool,
                    )
            silent_pools = list(self._silent_pools)
        for pool in silent_pools:
            self._grant_local_share(pool)

    def _grant_local_share(self, pool: str) -> None:
        """Grant the free slots of this node's share, the highest tier first."""
        configured = self._kernel.find("configuration").current.pools_by_name.get(pool)
        if configured is None:
            return
        targets = self._kernel.find("targets").of_pool(pool)
        nodes = self._kernel.find("members").known_nodes()
        with self._lock:
            pending = sorted(
                self._pending_of_pool(pool),
                key=lambda item: (item.slot_request.tier, item.slot_request.slot_request_id),
            )
            granted = []
            for request in pending:
                acquired = self._local_share.acquire(configured.kind, targets, nodes)
                if acquired is None:
                    break
                grant_id, target = acquired
                grant = Grant(
                    pool,
                    request.slot_request.slot_request_id,
                    grant_id,
                    target.name,
                    target.address,
                )
                self._accept_grant(request, grant)
                granted.append(request)
        for request in granted:
            self._send_cancel(request)


def _refusal(kind: str, retry_after: float) -> Refusal:
    status, remedy = REFUSAL_BY_KIND[kind]
    return Refusal(status, kind, remedy, retry_after)
