"""A node's side of the pools: asks, grants held, and heartbeats to the keepers."""

from __future__ import annotations

import itertools
import threading
import time
from dataclasses import dataclass, field

from celeryrun.exception import Refusal
from celeryrun.kernel import Kernel
from celeryrun.wire import Ask, Done, Grant, Hold, KeeperBeat, PoolBeat, Shed, Withdraw

__all__ = ["PoolClient", "Waiter"]

BEAT_PERIOD = 0.5  # s
RESEND_AFTER = 0.4  # s that an ask may be on its way before it counts as lost

REFUSAL_BY_KIND = {
    "overload": (503, "more work waits than the targets can take; retry later"),
    "deadline": (504, "no target was free before the deadline; retry later or allow more time"),
    "plan-limit": (429, "the plan's limit of outstanding requests is reached; wait for answers"),
}


@dataclass(slots=True)
class Waiter:
    """One request that waits for a grant."""

    ask: Ask
    expires: float
    sent: float = 0.0
    keeper: str = ""
    answered: threading.Event = field(default_factory=threading.Event)
    result: Grant | Refusal | None = None

    def refreshed(self) -> Ask:
        """Return the ask with the time that now remains."""
        ask = self.ask
        remaining = self.expires - time.monotonic()
        return Ask(
            ask.pool, ask.ask, ask.tier, ask.workspace, ask.cost, ask.prefix, max(0.0, remaining)
        )


class PoolClient:
    """Service through which requests get a slot on a target."""

    __slots__ = (
        "_asks",
        "_epoch_by_pool",
        "_hold_by_grant",
        "_kernel",
        "_lock",
        "_stopped",
        "_waiter_by_ask",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._asks = itertools.count(1)
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._waiter_by_ask: dict[int, Waiter] = {}
        self._hold_by_grant: dict[int, tuple[str, Hold]] = {}
        self._epoch_by_pool: dict[str, int] = {}

    def start(self) -> None:
        """Begin heartbeats."""
        peers = self._kernel.find("peers")
        peers.handle(Grant, self._on_grant)
        peers.handle(Shed, self._on_shed)
        peers.handle(KeeperBeat, self._on_keeper)
        threading.Thread(target=self._run, name="pool-client", daemon=True).start()

    def stop(self) -> None:
        """End heartbeats."""
        self._stopped.set()

    def ask(
        self,
        pool: str,
        tier: int,
        workspace: str,
        cost: float,
        prefix: tuple[int, ...],
        expires: float,
    ) -> Waiter:
        """Ask a pool's keeper for a slot.

        Parameters
        ----------
        cost : float
            Estimated work, in tokens or their equal.
        expires : float
            Monotonic deadline in seconds.

        Returns
        -------
        Waiter
            To be given to `wait` or `withdraw`.
        """
        remaining = expires - time.monotonic()
        ask = Ask(pool, next(self._asks), tier, workspace, cost, prefix, remaining)
        waiter = Waiter(ask, expires)
        with self._lock:
            self._waiter_by_ask[ask.ask] = waiter
        self._send(waiter)
        return waiter

    def wait(self, waiter: Waiter) -> Grant | Refusal:
        """Block until the keeper answers or the deadline passes."""
        remaining = max(0.0, waiter.expires - time.monotonic())
        waiter.answered.wait(remaining)
        with self._lock:
            self._waiter_by_ask.pop(waiter.ask.ask, None)
            result = waiter.result
        if result is not None:
            return result
        self._tell_keeper(waiter.ask.pool, Withdraw(waiter.ask.pool, waiter.ask.ask))
        return _refusal("deadline", 1.0)

    def withdraw(self, waiter: Waiter, refusal: Refusal) -> None:
        """Make a waiting request give up with a refusal."""
        with self._lock:
            if waiter.result is not None:
                return
            waiter.result = refusal
            waiter.answered.set()
        self._tell_keeper(waiter.ask.pool, Withdraw(waiter.ask.pool, waiter.ask.ask))

    def displace(self, tier: int, refusal: Refusal) -> bool:
        """Make the last request of the lowest tier below another give up, if any waits here.

        Parameters
        ----------
        tier : int
            Tier of the request that needs room.
        """
        with self._lock:
            waiting = [item for item in self._waiter_by_ask.values() if item.result is None]
            lowest = max(waiting, key=lambda item: (item.ask.tier, item.ask.ask), default=None)
        if lowest is None or lowest.ask.tier <= tier:
            return False
        self.withdraw(lowest, refusal)
        return True

    def release(
        self,
        grant: Grant,
        used: float,
        first: float,
        elapsed: float,
        whole: bool,
        tokens: int = 0,
    ) -> None:
        """Give a slot back.

        Parameters
        ----------
        used : float
            Work done.
        first : float
            Seconds to the first byte, negative if none came.
        elapsed : float
            Seconds since dispatch.
        whole : bool
            Whether the answer was whole.
        tokens : int
            Tokens that the answer brought, 0 from an application.
        """
        with self._lock:
            self._hold_by_grant.pop(grant.grant, None)
        done = Done(grant.pool, grant.grant, used, first, elapsed, whole, tokens)
        self._tell_keeper(grant.pool, done)

    def outstanding(self) -> tuple[int, int]:
        """Return how many requests wait and how many hold a slot."""
        with self._lock:
            return len(self._waiter_by_ask), len(self._hold_by_grant)

    def _send(self, waiter: Waiter) -> None:
        keeper = self._kernel.find("members").duty(f"pool/{waiter.ask.pool}")
        waiter.sent = time.monotonic()
        waiter.keeper = keeper or ""
        if keeper is not None:
            self._kernel.find("peers").send(keeper, waiter.refreshed())

    def _tell_keeper(self, pool: str, message: Withdraw | Done | PoolBeat) -> None:
        keeper = self._kernel.find("members").duty(f"pool/{pool}")
        if keeper is not None:
            self._kernel.find("peers").send(keeper, message)

    def _on_grant(self, sender: str, grant: Grant) -> None:
        with self._lock:
            waiter = self._waiter_by_ask.get(grant.ask)
            wanted = waiter is not None and waiter.result is None
            if waiter is not None and wanted:
                waiter.result = grant
                ask = waiter.ask
                hold = Hold(grant.grant, grant.target, ask.tier, ask.workspace, ask.cost)
                self._hold_by_grant[grant.grant] = (grant.pool, hold)
                waiter.answered.set()
        if not wanted:
            unused = Done(grant.pool, grant.grant, 0.0, -1.0, 0.0, True)
            self._kernel.find("peers").send(sender, unused)

    def _on_shed(self, sender: str, shed: Shed) -> None:
        with self._lock:
            waiter = self._waiter_by_ask.get(shed.ask)
            if waiter is not None and waiter.result is None:
                waiter.result = _refusal(shed.kind, shed.retry_after)
                waiter.answered.set()

    def _on_keeper(self, sender: str, beat: KeeperBeat) -> None:
        with self._lock:
            waiting = [
                waiter
                for waiter in self._waiter_by_ask.values()
                if waiter.ask.pool == beat.pool and waiter.result is None
            ]
            lost = self._epoch_by_pool.get(beat.pool) != beat.epoch or beat.waiting < len(waiting)
            self._epoch_by_pool[beat.pool] = beat.epoch
        if lost:
            self._send_again(waiting)

    def _send_again(self, waiting: list[Waiter]) -> None:
        settled = time.monotonic() - RESEND_AFTER
        for waiter in waiting:
            if waiter.sent < settled:
                self._send(waiter)

    def _run(self) -> None:
        while not self._stopped.wait(BEAT_PERIOD):
            self._beat()

    def _beat(self) -> None:
        with self._lock:
            waiters = [item for item in self._waiter_by_ask.values() if item.result is None]
            holds = list(self._hold_by_grant.values())
        for pool in {waiter.ask.pool for waiter in waiters} | {pool for pool, _ in holds}:
            count = sum(1 for waiter in waiters if waiter.ask.pool == pool)
            held = tuple(hold for holder, hold in holds if holder == pool)
            self._tell_keeper(pool, PoolBeat(pool, count, held))
        self._follow_duties(waiters)

    def _follow_duties(self, waiters: list[Waiter]) -> None:
        members = self._kernel.find("members")
        for waiter in waiters:
            if members.duty(f"pool/{waiter.ask.pool}") != waiter.keeper:
                self._send(waiter)


def _refusal(kind: str, retry_after: float) -> Refusal:
    status, remedy = REFUSAL_BY_KIND[kind]
    return Refusal(status, kind, remedy, retry_after)
