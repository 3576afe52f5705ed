"""Cost of a keeper by requests that wait, and of a grant.

``python -m bench.keeper`` runs one keeper in this process before a link that seals and opens every
message, as between nodes, and prints processor time, memory and bytes.
"""

from __future__ import annotations

import argparse
import time
import tracemalloc
from types import SimpleNamespace
from typing import Any

from celeryrun.configuration import Pool
from celeryrun.kernel import Kernel
from celeryrun.pool import Keepers, Targets
from celeryrun.streams import Vm
from celeryrun.suspicion import SuspectTracker
from celeryrun.wire import (
    Envelope,
    Grant,
    HeldSlot,
    NodeHeartbeat,
    Sealer,
    SlotReleased,
    SlotRequest,
)

__all__ = ["main"]

NODES = 7
TARGETS = 5
WAITING = (10, 50, 200, 500, 1000, 2000)
GRANTS = 400
TICKS = 20
TIERS = 3
WORKSPACES = 5
FINGERPRINT = 1 << 55
PREFIX = (1 << 30, 1 << 31, 1 << 29, 12345)


class _Link:
    """Seals what the keeper sends, and counts it by type."""

    def __init__(self) -> None:
        self.sealer = Sealer("bench-keeper-key")
        self.bytes_by_type: dict[str, list[int]] = {}
        self.grants: list[Grant] = []
        self.seq = 0

    def set_handler(self, message_type: type, handler: Any) -> None:
        """Nothing is delivered."""

    def send(self, name: str, message: Any) -> bool:
        """Seal."""
        self.carry("node-0", name, message)
        if isinstance(message, Grant):
            self.grants.append(message)
        return True

    def carry(self, sender: str, receiver: str, message: Any) -> Any:
        """Seal, count, open and return a message."""
        self.seq += 1
        envelope = Envelope(sender, "10.20.30.40:7000", receiver, 1 << 31, self.seq, 1, 1, message)
        data = self.sealer.seal(envelope)
        self.bytes_by_type.setdefault(type(message).__name__, []).append(len(data))
        return self.sealer.open(data).message


class Bench:
    """One keeper with its pool full."""

    def __init__(self) -> None:
        self.link = _Link()
        self.kernel = Kernel()
        pool = Pool("drafts", "engine", ("all",))
        current = SimpleNamespace(pools_by_name={"drafts": pool}, plans_by_workspace={})
        members = SimpleNamespace(
            watchers=[],
            local_member=SimpleNamespace(name="node-0"),
            owner=lambda key: "node-0",
            is_owner=lambda key: True,
            all_listed_reachable=lambda: True,
        )
        targets = Targets(self.kernel)
        targets._on_list(
            [
                Vm(f"engine-{n}", "zone-0", f"10.0.0.{n}:80", "live", "target", "drafts")
                for n in range(TARGETS)
            ]
        )
        for name, service in {
            "peers": self.link,
            "configuration": SimpleNamespace(current=current),
            "members": members,
            "targets": targets,
            "suspicion": SuspectTracker(self.kernel),
        }.items():
            self.kernel.register(name, service)
        self.keepers = Keepers(self.kernel, 3600.0, 10**6)
        self.keepers._ensure_state("drafts").no_grants_until = 0.0
        self.asks = 0

    def ask(self) -> None:
        """Let one more request wait."""
        self.asks += 1
        node = f"node-{self.asks % NODES}"
        tier, workspace = 1 + self.asks % TIERS, f"workspace-{self.asks % WORKSPACES}"
        ask = SlotRequest(
            "drafts", self.asks, tier, workspace, 300.0, PREFIX, 3600.0, FINGERPRINT + self.asks
        )
        self.keepers._on_slot_request(node, self.link.carry(node, "node-0", ask))

    def done(self, grant: Grant) -> None:
        """End one request, which grants the next."""
        done = SlotReleased("drafts", grant.grant_id, 280.0, 0.2, 1.0, True)
        self.keepers._on_slot_released("node-1", self.link.carry("node-1", "node-0", done))

    def beat(self, holds: int) -> None:
        """Take a heartbeat."""
        held = tuple(
            HeldSlot(1 << 40 | n, "engine-0", 1, "workspace-1", 300.0) for n in range(holds)
        )
        beat = NodeHeartbeat("drafts", held)
        self.keepers._on_node_heartbeat("node-1", self.link.carry("node-1", "node-0", beat))


def measure(waiting: int) -> None:
    """Print one row."""
    bench = Bench()
    while len(bench.link.grants) < bench.asks + 1 and bench.asks < 10_000:
        bench.ask()
        if len(bench.link.grants) < bench.asks:
            break
    tracemalloc.start()
    begin = tracemalloc.get_traced_memory()[0]
    for _ in range(waiting):
        bench.ask()
    memory = (tracemalloc.get_traced_memory()[0] - begin) / waiting
    tracemalloc.stop()
    started = time.process_time()
    for _ in range(TICKS):
        bench.keepers._tick()
    tick = (time.process_time() - started) / TICKS
    started = time.process_time()
    for _ in range(GRANTS):
        bench.done(bench.link.grants.pop(0))
        bench.ask()
    grant = (time.process_time() - started) / GRANTS
    started = time.process_time()
    for _ in range(GRANTS):
        bench.beat(2)
    beat = (time.process_time() - started) / GRANTS
    state = bench.keepers.state_by_pool["drafts"]
    started = time.process_time()
    shares = state.node_states()
    hand_over = time.process_time() - started
    print(
        f"{waiting:7} {memory:12.0f} {tick * 1e6:9.0f} {grant * 1e6:21.0f} {beat * 1e6:11.0f} "
        f"{hand_over * 1e3:13.2f} {sum(len(share.slot_requests) for share in shares):10}",
        flush=True,
    )
    if waiting == WAITING[-1]:
        print("bytes a message, sealed:")
        for name, sizes in bench.link.bytes_by_type.items():
            print(f"  {name:12} {sum(sizes) / len(sizes):6.0f}")


def main() -> None:
    """Print a row for each number of waiting requests."""
    argparse.ArgumentParser(description="cost of a keeper").parse_args()
    print("waiting  bytes each   tick us  ask+done+grant us   beat us  hand over ms  of asks")
    for waiting in WAITING:
        measure(waiting)


if __name__ == "__main__":
    main()
