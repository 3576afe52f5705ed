"""Cost of a configuration change per node, by number of workspaces.

``python -m bench.configuration`` prints bytes between nodes, processor time and memory at 10, 100,
1,000 and 2,400 workspaces, and the bytes that three real nodes send with and without changes.
"""

from __future__ import annotations

import argparse
import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from celeryrun.configuration import (
    Change,
    ConfigurationReplica,
    Plan,
    Pool,
    SnapshotSigner,
    hash_key,
)
from celeryrun.configuration._model import encode_record
from celeryrun.configuration._service import _decode_delta, _encode_delta
from celeryrun.observe import Metrics
from celeryrun.streams import LogClient, Record
from celeryrun.wire import ConfigurationNotice, ConfigurationState, Envelope, Sealer
from standins.fleet import PEER_KEY, Fleet, FleetConfig

__all__ = ["main"]

WORKSPACE_COUNTS = (10, 100, 1000, 2400)
POOL_COUNT = 22
REPEATS = 200
WINDOW = 10.0  # s
CHANGE_COUNT = 20


def build_plan(number: int, tier: int) -> Plan:
    """Build a plan with names of realistic length."""
    name = f"workspace-{number:05}"
    return Plan(name, f"plan-{number % 20:02}", tier, hash_key(name), 100)


def build_replica(workspaces: int) -> ConfigurationReplica:
    """Build a configuration replica with a number of workspaces and 22 pools."""
    replica = ConfigurationReplica(SnapshotSigner(PEER_KEY))
    plans = tuple(build_plan(number, 1 + number % 3) for number in range(workspaces))
    names = tuple(f"plan-{number:02}" for number in range(20))
    pools = tuple(Pool(f"model-{number:02}", "engine", names) for number in range(POOL_COUNT))
    change = Change("018f0000-0000-7000-8000-000000000000", 0, plans, (), pools, ())
    replica.apply_record(Record(0, 1.0, encode_record(change)))
    return replica


def build_record(replica: ConfigurationReplica, turn: int) -> Record:
    """Build the log record of a change of one workspace."""
    change_id = f"018f0000-0000-7000-8000-{turn:012}"
    change = Change(change_id, replica.current.version, (build_plan(0, 1 + turn % 3),))
    return Record(replica.folded_to, 1.0, encode_record(change))


def wire_bytes(message: Any) -> int:
    """Return the size of a sealed message between two nodes, in bytes."""
    envelope = Envelope("entry-001", "10.0.0.1:8002", "entry-002", 1 << 31, 9999, 1, 9999, message)
    return len(Sealer(PEER_KEY).seal(envelope))


def median_us(work: Callable[[int], Any]) -> float:
    """Return the median processor time of a function, in microseconds."""
    times_us = []
    for turn in range(1, REPEATS + 1):
        started = time.thread_time_ns()
        work(turn)
        times_us.append((time.thread_time_ns() - started) / 1000)
    return statistics.median(times_us)


def measure(workspaces: int) -> dict[str, float]:
    """Return the figures for one number of workspaces."""
    gc.collect()
    tracemalloc.start()
    replica = build_replica(workspaces)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    follower = ConfigurationReplica(SnapshotSigner(PEER_KEY))
    follower.apply_snapshot(replica.snapshot())
    replay_us = median_us(lambda turn: replica.apply_record(build_record(replica, turn)))
    snapshot = replica.snapshot()
    record = encode_record(snapshot)
    delta = replica.delta_from(replica.folded_to - 1)
    assert delta is not None
    notice = ConfigurationNotice(replica.current.version, replica.current.digest, 1.7e9)
    return {
        "workspaces": workspaces,
        "notice B": wire_bytes(notice),
        "delta B": wire_bytes(_encode_delta(delta)),
        "full state B": wire_bytes(ConfigurationState(record)),
        "replay us": replay_us,
        "delta us": median_us(
            lambda _: _decode_delta(_encode_delta(replica.delta_from(replica.folded_to - 1)))
        ),
        "snapshot us": median_us(lambda _: encode_record(replica.snapshot())),
        "apply full state us": median_us(lambda _: apply_full_state(snapshot)),
        "memory KiB": memory / 1024,
    }


def apply_full_state(snapshot: Any) -> None:
    """Apply a full state to an empty replica, as a new node does."""
    ConfigurationReplica(SnapshotSigner(PEER_KEY)).apply_snapshot(snapshot)


def measure_metrics(workspaces: int) -> float:
    """Return the memory of the metrics with labels of every workspace, in KiB."""
    gc.collect()
    tracemalloc.start()
    metrics = Metrics()
    for number in range(workspaces):
        label = metrics.label(f"workspace-{number:05}")
        tier = str(1 + number % 3)
        for histogram in (metrics.queue_wait, metrics.first_byte, metrics.whole_answer):
            histogram.labels(label, tier).observe(0.1)
        metrics.answers.labels(label, tier, "complete").inc()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return memory / 1024


def measure_fleet() -> None:
    """Print the bytes that three real nodes send to each other without and with changes."""
    with Fleet(FleetConfig(nodes=3, engines=0, applications=0)) as fleet:
        time.sleep(3.0)
        idle_bytes = count_sent_bytes(fleet, lambda: None)
        busy_bytes = count_sent_bytes(fleet, lambda: publish_changes(fleet))
    per_node = 1 / 3
    print(
        f"3 nodes, {WINDOW:g} s without a change: "
        f"{idle_bytes * per_node / WINDOW:.0f} B/s sent per node"
    )
    bytes_per_change = (busy_bytes - idle_bytes) * per_node / CHANGE_COUNT
    print(
        f"3 nodes, {CHANGE_COUNT} changes in {WINDOW:g} s: "
        f"{bytes_per_change:.0f} more B sent per change and node"
    )


def count_sent_bytes(fleet: Fleet, work: Callable[[], None]) -> float:
    """Return the bytes that all nodes send to peers in one window."""
    before, started = read_sent_bytes(fleet), time.monotonic()
    work()
    time.sleep(max(0.0, WINDOW - (time.monotonic() - started)))
    return read_sent_bytes(fleet) - before


def publish_changes(fleet: Fleet) -> None:
    """Publish changes, each of one workspace."""
    client = LogClient(fleet.url("platform"), 2.0)
    for turn in range(CHANGE_COUNT):
        version = fleet.status(fleet.nodes[0])["version"]
        change = Change(f"bench-{turn:026}", version, (build_plan(turn, 1),))
        client.append("configuration", encode_record(change))
        time.sleep(WINDOW / CHANGE_COUNT * 0.8)


def read_sent_bytes(fleet: Fleet) -> float:
    """Return the bytes that all nodes have sent to peers."""
    total = 0.0
    for name in fleet.nodes:
        url = f"http://127.0.0.1:{fleet.operator_port_by_name[name]}/metrics"
        for line in fleet.http.request("GET", url).data.decode().splitlines():
            if 'what="peer messages sent bytes"' in line:
                total += float(line.split()[-1])
    return total


def main() -> None:
    """Run the measurements and print their figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--no-fleet", action="store_true", help="skip the measurement with real nodes"
    )
    options = parser.parse_args()
    rows = [measure(size) for size in WORKSPACE_COUNTS]
    print(" | ".join(rows[0]))
    for row in rows:
        print(" | ".join(f"{value:.0f}" for value in row.values()))
    for size in WORKSPACE_COUNTS:
        print(f"metrics with {size} workspaces: {measure_metrics(size):.0f} KiB")
    if not options.no_fleet:
        measure_fleet()


if __name__ == "__main__":
    main()
