"""Suspicion between nodes: the keeper of a pool judges the requests of that pool."""

from __future__ import annotations

import hashlib
import threading
import time
from collections import OrderedDict

import logbook

from celeryrun.exception import Refusal
from celeryrun.kernel import Kernel, check
from celeryrun.kernel._rendezvous import rank
from celeryrun.scheduling._ledger import MAX_REQUESTS, Ledger
from celeryrun.wire import (
    SuspectCleared,
    SuspectNotice,
    TargetCrash,
)

__all__ = ["SuspectTracker", "request_fingerprint"]

SUSPICION_AGE = 120.0  # s
HOLDERS = 2  # the pool's keeper, and the node that keeps it next
HOLDER_PERIOD = 0.3  # s between two looks for new holders
MAX_ASKS = 2048
FINGERPRINT_BYTES = 7

REMEDY = "targets died while they ran this request; change it, or send it again later"

log = logbook.Logger("suspicion")


def request_fingerprint(workspace: str, path: str, body: bytes) -> int:
    """Return what a request is known by when it is sent again.

    Examples
    --------
    >>> request_fingerprint("cajas", "/a", b"") == request_fingerprint("cajas", "/a", b"")
    True
    >>> request_fingerprint("cajas", "/a", b"") == request_fingerprint("cordillera", "/a", b"")
    False
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (workspace.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return int.from_bytes(digest.digest(), "big")


class SuspectTracker:
    """Service that refuses a request which takes one target after the other down.

    An ask for a slot carries the request's hash to the pool's keeper; a suspect's node is told
    what is held against it, on the same link and before the grant. Suspects run apart from each
    other, so that the one that kills its next target as well is found.

    Parameters
    ----------
    age : float
        Seconds after which a death is forgotten.
    """

    __slots__ = (
        "_age",
        "_holders_by_pool",
        "_kernel",
        "_ledger_by_pool",
        "_lock",
        "_nodes_by_fingerprint",
        "_stopped",
        "_verdicts",
    )

    def __init__(self, kernel: Kernel, age: float = SUSPICION_AGE) -> None:
        self._age = age
        self._kernel = kernel
        self._holders_by_pool: dict[str, frozenset[tuple[str, int]]] = {}
        self._ledger_by_pool: dict[str, Ledger] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._nodes_by_fingerprint: OrderedDict[int, tuple[str, ...]] = OrderedDict()
        # A verdict of 0.0 stands for a suspect on trial, else it is the end of a refusal.
        self._verdicts: OrderedDict[int, float] = OrderedDict()

    def start(self) -> None:
        """Begin to judge."""
        peers = self._kernel.find("peers")
        peers.set_handler(SuspectNotice, self._on_verdict)
        peers.set_handler(TargetCrash, self._on_death)
        peers.set_handler(SuspectCleared, self._on_cleared)
        threading.Thread(target=self._run, name="suspicion", daemon=True).start()

    def stop(self) -> None:
        """End."""
        self._stopped.set()

    def on_slot_request(self, node: str, pool: str, fingerprint: int) -> None:
        """Tell a node that asks for a slot what is held against its request, before the grant.

        Parameters
        ----------
        node : str
            The node that asks this keeper.
        """
        with self._lock:
            nodes = self._nodes_by_fingerprint.pop(fingerprint, ())
            if node not in nodes:
                nodes = (*nodes, node)
            self._nodes_by_fingerprint[fingerprint] = nodes
            while len(self._nodes_by_fingerprint) > MAX_ASKS:
                self._nodes_by_fingerprint.popitem(last=False)
        self._answer(pool, fingerprint, (node,))

    def is_suspect(self, pool: str, fingerprint: int) -> bool:
        """Tell whether a target died with a request in flight, as far as this node knows."""
        with self._lock:
            ledger = self._ledger_by_pool.get(pool)
            return ledger is not None and fingerprint in ledger

    def refusal(self, fingerprint: int) -> Refusal | None:
        """Return the refusal of a request that must not take another target."""
        with self._lock:
            ends = self._verdicts.get(fingerprint, 0.0)
        remaining = ends - time.monotonic()
        return Refusal(503, "suspect", REMEDY, remaining) if remaining > 0 else None

    def report_crash(self, pool: str, target: str, fingerprint: int) -> None:
        """Note that a target died with a request in flight."""
        log.warning("target {} died with request {:x} in flight", target, fingerprint)
        self._keep(fingerprint, 0.0)
        self._tell(pool, TargetCrash(pool, target, fingerprint, 0.0), HOLDERS)

    def on_completed(self, pool: str, fingerprint: int) -> None:
        """Note that a request has completed."""
        with self._lock:
            suspect = self._verdicts.pop(fingerprint, None) is not None
        if suspect:
            self._tell(pool, SuspectCleared(pool, fingerprint), HOLDERS)

    def _tell(self, pool: str, message: TargetCrash | SuspectCleared, count: int) -> None:
        for name in self._holders(pool)[:count]:
            self._kernel.find("peers").send(name, message)

    def _holders(self, pool: str) -> list[str]:
        return rank(f"pool/{pool}", self._kernel.find("members").live())[:HOLDERS]

    def _run(self) -> None:
        while not self._stopped.wait(HOLDER_PERIOD):
            for pool in list(self._ledger_by_pool):
                self._tell_new_holders(pool)

    def _tell_new_holders(self, pool: str) -> None:
        """Pass on what is held against a pool's requests; a node started anew knows nothing."""
        members = self._kernel.find("members")
        by_name = members.by_name
        if members.me.name not in self._holders(pool):
            with self._lock:
                del self._ledger_by_pool[pool]
            return
        holders = frozenset(
            (name, by_name[name].incarnation) for name in self._holders(pool) if name in by_name
        )
        fresh = holders - self._holders_by_pool.get(pool, frozenset())
        self._holders_by_pool[pool] = holders
        now = time.monotonic()
        with self._lock:
            deaths = self._ledger_by_pool[pool].deaths(now) if fresh else []
        for name, _ in fresh:
            for fingerprint, death in deaths:
                message = TargetCrash(pool, death.target, fingerprint, now - death.time)
                self._kernel.find("peers").send(name, message)

    def _keep(self, fingerprint: int, ends: float) -> None:
        with self._lock:
            self._verdicts[fingerprint] = max(ends, self._verdicts.get(fingerprint, 0.0))
            self._verdicts.move_to_end(fingerprint)
            while len(self._verdicts) > MAX_REQUESTS:
                self._verdicts.popitem(last=False)

    def _on_death(self, sender: str, death: TargetCrash) -> None:
        with self._lock:
            ledger = self._ledger_by_pool.setdefault(death.pool, Ledger(self._age))
            ledger.report(death.fingerprint, death.target, time.monotonic() - death.age)
            check(len(ledger) <= MAX_REQUESTS, "suspicion-is-bounded")
            nodes = self._nodes_by_fingerprint.get(death.fingerprint, ())
        # Copies of it may wait for a slot already.
        self._answer(death.pool, death.fingerprint, nodes)

    def _answer(self, pool: str, fingerprint: int, nodes: tuple[str, ...]) -> None:
        with self._lock:
            ledger = self._ledger_by_pool.get(pool)
            if ledger is None:
                return
            verdict = ledger.judge(fingerprint, time.monotonic())
        if not verdict.deaths:
            return
        retry_after = verdict.retry_after if verdict.refused else 0.0
        for name in nodes:
            message = SuspectNotice(fingerprint, retry_after)
            self._kernel.find("peers").send(name, message)

    def _on_verdict(self, sender: str, verdict: SuspectNotice) -> None:
        ends = time.monotonic() + min(verdict.retry_after, self._age)
        self._keep(verdict.fingerprint, ends if verdict.retry_after > 0 else 0.0)

    def _on_cleared(self, sender: str, cleared: SuspectCleared) -> None:
        with self._lock:
            ledger = self._ledger_by_pool.get(cleared.pool)
            if ledger is not None:
                ledger.clear(cleared.fingerprint)
