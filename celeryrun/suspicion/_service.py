"""Distributed tracking of suspect requests, assessed by the keeper of each pool."""

from __future__ import annotations

import hashlib
import threading
import time
from collections import OrderedDict

import logbook

from celeryrun.exception import Refusal
from celeryrun.kernel import Kernel, check_invariant
from celeryrun.kernel._rendezvous import rank
from celeryrun.scheduling._crash_history import MAX_TRACKED_REQUESTS, CrashHistory
from celeryrun.wire import (
    SuspectCleared,
    SuspectNotice,
    TargetCrash,
)

__all__ = ["SuspectTracker", "request_fingerprint"]

MAX_CRASH_AGE = 120.0  # s
REPLICA_COUNT = 2  # the pool's keeper and its successor
REPLICA_CHECK_INTERVAL = 0.3  # s
MAX_REQUESTER_ENTRIES = 2048  # requests whose requesting nodes are remembered
FINGERPRINT_BYTES = 7

REMEDY = "targets died while they ran this request; change it, or send it again later"

log = logbook.Logger("suspicion")


def request_fingerprint(workspace: str, path: str, body: bytes) -> int:
    """Return a hash that identifies a request and its repetitions.

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
    """Service that refuses a request which crashes one target after another.

    A slot request carries the fingerprint of its request to the pool's keeper. The keeper notifies
    the requesting node of a suspect request on the same link before the grant, so the notice
    arrives first. Suspect requests run apart from each other, so that a second crash identifies
    its cause.

    Parameters
    ----------
    age : float
        Time in seconds after which a crash no longer counts.
    """

    __slots__ = (
        "_age",
        "_crash_history_by_pool",
        "_kernel",
        "_lock",
        "_refused_until_by_fingerprint",
        "_replicas_by_pool",
        "_requesters_by_fingerprint",
        "_stopped",
    )

    def __init__(self, kernel: Kernel, age: float = MAX_CRASH_AGE) -> None:
        self._age = age
        self._kernel = kernel
        self._replicas_by_pool: dict[str, frozenset[tuple[str, int]]] = {}
        self._crash_history_by_pool: dict[str, CrashHistory] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._requesters_by_fingerprint: OrderedDict[int, tuple[str, ...]] = OrderedDict()
        # Monotonic time at which a refusal ends; 0.0 for a suspect request that may still run.
        self._refused_until_by_fingerprint: OrderedDict[int, float] = OrderedDict()

    def start(self) -> None:
        """Register the message handlers and start the replication thread."""
        peers = self._kernel.find("peers")
        peers.set_handler(SuspectNotice, self._on_notice)
        peers.set_handler(TargetCrash, self._on_crash)
        peers.set_handler(SuspectCleared, self._on_cleared)
        threading.Thread(target=self._run, name="suspicion", daemon=True).start()

    def stop(self) -> None:
        """Stop the replication thread."""
        self._stopped.set()

    def on_slot_request(self, node: str, pool: str, fingerprint: int) -> None:
        """Notify a node that requests a slot, before the grant, if its request is suspect.

        Parameters
        ----------
        node : str
            Node that sent the slot request to this keeper.
        """
        with self._lock:
            nodes = self._requesters_by_fingerprint.pop(fingerprint, ())
            if node not in nodes:
                nodes = (*nodes, node)
            self._requesters_by_fingerprint[fingerprint] = nodes
            while len(self._requesters_by_fingerprint) > MAX_REQUESTER_ENTRIES:
                self._requesters_by_fingerprint.popitem(last=False)
        self._notify(pool, fingerprint, (node,))

    def is_suspect(self, pool: str, fingerprint: int) -> bool:
        """Return whether this node knows of a crash with a request in flight."""
        with self._lock:
            crash_history = self._crash_history_by_pool.get(pool)
            return crash_history is not None and fingerprint in crash_history

    def refusal(self, fingerprint: int) -> Refusal | None:
        """Return the refusal of a request that must not run on another target, if it is refused."""
        with self._lock:
            refused_until = self._refused_until_by_fingerprint.get(fingerprint, 0.0)
        remaining = refused_until - time.monotonic()
        return Refusal(503, "suspect", REMEDY, remaining) if remaining > 0 else None

    def report_crash(self, pool: str, target: str, fingerprint: int) -> None:
        """Report that a target crashed with a request in flight."""
        log.warning("target {} crashed with request {:x} in flight", target, fingerprint)
        self._record_suspect(fingerprint, 0.0)
        self._send_to_replicas(pool, TargetCrash(pool, target, fingerprint, 0.0), REPLICA_COUNT)

    def on_completed(self, pool: str, fingerprint: int) -> None:
        """Clear a request that has completed."""
        with self._lock:
            was_suspect = self._refused_until_by_fingerprint.pop(fingerprint, None) is not None
        if was_suspect:
            self._send_to_replicas(pool, SuspectCleared(pool, fingerprint), REPLICA_COUNT)

    def _send_to_replicas(
        self, pool: str, message: TargetCrash | SuspectCleared, count: int
    ) -> None:
        for name in self._replicas(pool)[:count]:
            self._kernel.find("peers").send(name, message)

    def _replicas(self, pool: str) -> list[str]:
        return rank(f"pool/{pool}", self._kernel.find("members").eligible_nodes())[:REPLICA_COUNT]

    def _run(self) -> None:
        while not self._stopped.wait(REPLICA_CHECK_INTERVAL):
            for pool in list(self._crash_history_by_pool):
                self._update_new_replicas(pool)

    def _update_new_replicas(self, pool: str) -> None:
        """Send the crashes of a pool to replicas that are new or were restarted without state."""
        members = self._kernel.find("members")
        by_name = members.by_name
        if members.local_member.name not in self._replicas(pool):
            with self._lock:
                del self._crash_history_by_pool[pool]
            return
        replicas = frozenset(
            (name, by_name[name].incarnation) for name in self._replicas(pool) if name in by_name
        )
        added = replicas - self._replicas_by_pool.get(pool, frozenset())
        self._replicas_by_pool[pool] = replicas
        now = time.monotonic()
        with self._lock:
            crashes = self._crash_history_by_pool[pool].crashes(now) if added else []
        for name, _ in added:
            for fingerprint, crash in crashes:
                message = TargetCrash(pool, crash.target, fingerprint, now - crash.time)
                self._kernel.find("peers").send(name, message)

    def _record_suspect(self, fingerprint: int, refused_until: float) -> None:
        with self._lock:
            self._refused_until_by_fingerprint[fingerprint] = max(
                refused_until, self._refused_until_by_fingerprint.get(fingerprint, 0.0)
            )
            self._refused_until_by_fingerprint.move_to_end(fingerprint)
            while len(self._refused_until_by_fingerprint) > MAX_TRACKED_REQUESTS:
                self._refused_until_by_fingerprint.popitem(last=False)

    def _on_crash(self, sender: str, crash: TargetCrash) -> None:
        with self._lock:
            crash_history = self._crash_history_by_pool.setdefault(
                crash.pool, CrashHistory(self._age)
            )
            crash_history.record_crash(
                crash.fingerprint, crash.target, time.monotonic() - crash.age
            )
            check_invariant(len(crash_history) <= MAX_TRACKED_REQUESTS, "suspicion-is-bounded")
            nodes = self._requesters_by_fingerprint.get(crash.fingerprint, ())
        # Repetitions of the request may already wait for a slot.
        self._notify(crash.pool, crash.fingerprint, nodes)

    def _notify(self, pool: str, fingerprint: int, nodes: tuple[str, ...]) -> None:
        with self._lock:
            crash_history = self._crash_history_by_pool.get(pool)
            if crash_history is None:
                return
            assessment = crash_history.assess(fingerprint, time.monotonic())
        if not assessment.crashes:
            return
        retry_after = assessment.retry_after if assessment.refused else 0.0
        for name in nodes:
            message = SuspectNotice(fingerprint, retry_after)
            self._kernel.find("peers").send(name, message)

    def _on_notice(self, sender: str, notice: SuspectNotice) -> None:
        refused_until = time.monotonic() + min(notice.retry_after, self._age)
        self._record_suspect(notice.fingerprint, refused_until if notice.retry_after > 0 else 0.0)

    def _on_cleared(self, sender: str, cleared: SuspectCleared) -> None:
        with self._lock:
            crash_history = self._crash_history_by_pool.get(cleared.pool)
            if crash_history is not None:
                crash_history.clear(cleared.fingerprint)
