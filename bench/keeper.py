"""Cost of a keeper by the number of queued requests.

``python -m bench.keeper`` runs one keeper in this process with fake peers that seal and open every
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
QUEUED_COUNTS = (10, 50, 200, 500, 1000, 2000)
GRANTS = 400
TICKS = 20
TIERS = 3
WORKSPACES = 5
FINGERPRINT = 1 << 55
PREFIX = (1 << 30, 1 << 31, 1 << 29, 12345)


class _FakePeers:
    """Fake peers service that seals messages and records their sizes by type."""

    def __init__(self) -> None:
        self.sealer = Sealer("bench-keeper-key")
        self.bytes_by_type: dict[str, list[int]] = {}
        self.grants: list[Grant] = []
        self.seq = 0

    def set_handler(self, message_type: type, handler: Any) -> None:
        """Do nothing; the benchmark calls the handlers itself."""

    def send(self, name: str, message: Any) -> bool:
        """Seal a message of the keeper, and keep it if it is a grant."""
        self.transfer("node-0", name, message)
        if isinstance(message, Grant):
            self.grants.append(message)
        return True

    def transfer(self, sender: str, receiver: str, message: Any) -> Any:
        """Seal and open a message, record its size, and return it."""
        self.seq += 1
        envelope = Envelope(sender, "10.20.30.40:7000", receiver, 1 << 31, self.seq, 1, 1, message)
        data = self.sealer.seal(envelope)
        self.bytes_by_type.setdefault(type(message).__name__, []).append(len(data))
        return self.sealer.open(data).message


class KeeperBench:
    """One keeper of one pool, with the requests that are sent to it."""

    def __init__(self) -> None:
        self.peers = _FakePeers()
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
            "peers": self.peers,
            "configuration": SimpleNamespace(current=current),
            "members": members,
            "targets": targets,
            "suspicion": SuspectTracker(self.kernel),
        }.items():
            self.kernel.register(name, service)
        self.keepers = Keepers(self.kernel, 3600.0, 10**6)
        self.keepers._ensure_state("drafts").no_grants_until = 0.0
        self.request_count = 0

    def submit_request(self) -> None:
        """Send one more slot request to the keeper."""
        self.request_count += 1
        node = f"node-{self.request_count % NODES}"
        tier, workspace = (
            1 + self.request_count % TIERS,
            f"workspace-{self.request_count % WORKSPACES}",
        )
        slot_request = SlotRequest(
            "drafts",
            self.request_count,
            tier,
            workspace,
            300.0,
            PREFIX,
            3600.0,
            FINGERPRINT + self.request_count,
        )
        self.keepers._on_slot_request(node, self.peers.transfer(node, "node-0", slot_request))

    def release_slot(self, grant: Grant) -> None:
        """Release one slot, so that the keeper grants the next request."""
        slot_released = SlotReleased("drafts", grant.grant_id, 280.0, 0.2, 1.0, True)
        self.keepers._on_slot_released(
            "node-1", self.peers.transfer("node-1", "node-0", slot_released)
        )

    def send_heartbeat(self, held_slot_count: int) -> None:
        """Send a heartbeat with some held slots to the keeper."""
        held_slots = tuple(
            HeldSlot(1 << 40 | n, "engine-0", 1, "workspace-1", 300.0)
            for n in range(held_slot_count)
        )
        heartbeat = NodeHeartbeat("drafts", held_slots)
        self.keepers._on_node_heartbeat(
            "node-1", self.peers.transfer("node-1", "node-0", heartbeat)
        )


def measure(queued: int) -> None:
    """Print the figures for one number of queued requests."""
    keeper_bench = KeeperBench()
    while (
        len(keeper_bench.peers.grants) < keeper_bench.request_count + 1
        and keeper_bench.request_count < 10_000
    ):
        keeper_bench.submit_request()
        if len(keeper_bench.peers.grants) < keeper_bench.request_count:
            break
    tracemalloc.start()
    memory_before = tracemalloc.get_traced_memory()[0]
    for _ in range(queued):
        keeper_bench.submit_request()
    memory = (tracemalloc.get_traced_memory()[0] - memory_before) / queued
    tracemalloc.stop()
    started = time.process_time()
    for _ in range(TICKS):
        keeper_bench.keepers._tick()
    tick_time = (time.process_time() - started) / TICKS
    started = time.process_time()
    for _ in range(GRANTS):
        keeper_bench.release_slot(keeper_bench.peers.grants.pop(0))
        keeper_bench.submit_request()
    grant = (time.process_time() - started) / GRANTS
    started = time.process_time()
    for _ in range(GRANTS):
        keeper_bench.send_heartbeat(2)
    heartbeat = (time.process_time() - started) / GRANTS
    state = keeper_bench.keepers.state_by_pool["drafts"]
    started = time.process_time()
    node_states = state.node_states()
    handover_time = time.process_time() - started
    print(
        f"{queued:7} {memory:12.0f} {tick_time * 1e6:9.0f} {grant * 1e6:21.0f} "
        f"{heartbeat * 1e6:11.0f} "
        f"{handover_time * 1e3:13.2f} "
        f"{sum(len(node_state.slot_requests) for node_state in node_states):10}",
        flush=True,
    )
    if queued == QUEUED_COUNTS[-1]:
        print("bytes per sealed message:")
        for name, sizes in keeper_bench.peers.bytes_by_type.items():
            print(f"  {name:12} {sum(sizes) / len(sizes):6.0f}")


def main() -> None:
    """Print one row per number of queued requests."""
    argparse.ArgumentParser(description="cost of a keeper by queued requests").parse_args()
    print(" queued  bytes each   tick us    release+grant us  heartbeat us  handover ms  requests")
    for queued in QUEUED_COUNTS:
        measure(queued)


if __name__ == "__main__":
    main()
