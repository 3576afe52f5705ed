"""Cost of a configuration change for each node, by number of workspaces.

``python -m bench.configuration`` prints bytes between nodes, processor time and memory at 10, 100,
1,000 and 2,400 workspaces, and what three real nodes send while nothing and while much changes.
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
from standins.fleet import PEER_KEY, Fleet, FleetPlan

__all__ = ["main"]

SIZES = (10, 100, 1000, 2400)
POOLS = 22
REPEATS = 200
WINDOW = 10.0  # s
CHANGES = 20


def build_plan(number: int, tier: int) -> Plan:
    """Build a plan whose names are as long as real ones."""
    name = f"workspace-{number:05}"
    return Plan(name, f"plan-{number % 20:02}", tier, hash_key(name), 100)


def build_fold(workspaces: int) -> ConfigurationReplica:
    """Build the state of a node with so many workspaces and 22 pools."""
    fold = ConfigurationReplica(SnapshotSigner(PEER_KEY))
    plans = tuple(build_plan(number, 1 + number % 3) for number in range(workspaces))
    names = tuple(f"plan-{number:02}" for number in range(20))
    pools = tuple(Pool(f"model-{number:02}", "engine", names) for number in range(POOLS))
    change = Change("018f0000-0000-7000-8000-000000000000", 0, plans, (), pools, ())
    fold.apply_record(Record(0, 1.0, encode_record(change)))
    return fold


def build_record(fold: ConfigurationReplica, turn: int) -> Record:
    """Build the record of a change of one workspace."""
    change_id = f"018f0000-0000-7000-8000-{turn:012}"
    change = Change(change_id, fold.current.version, (build_plan(0, 1 + turn % 3),))
    return Record(fold.folded_to, 1.0, encode_record(change))


def wire_bytes(message: Any) -> int:
    """Return the size of a message as it goes between two nodes."""
    envelope = Envelope("entry-001", "10.0.0.1:8002", "entry-002", 1 << 31, 9999, 1, 9999, message)
    return len(Sealer(PEER_KEY).seal(envelope))


def median_us(work: Callable[[int], Any]) -> float:
    """Return the median processor time of some work, in microseconds."""
    spent = []
    for turn in range(1, REPEATS + 1):
        started = time.thread_time_ns()
        work(turn)
        spent.append((time.thread_time_ns() - started) / 1000)
    return statistics.median(spent)


def measure(workspaces: int) -> dict[str, float]:
    """Measure one size."""
    gc.collect()
    tracemalloc.start()
    fold = build_fold(workspaces)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    follower = ConfigurationReplica(SnapshotSigner(PEER_KEY))
    follower.apply_snapshot(fold.snapshot())
    fold_us = median_us(lambda turn: fold.apply_record(build_record(fold, turn)))
    snapshot = fold.snapshot()
    record = encode_record(snapshot)
    delta = fold.delta_from(fold.folded_to - 1)
    assert delta is not None
    notice = ConfigurationNotice(fold.current.version, fold.current.digest, 1.7e9)
    return {
        "workspaces": workspaces,
        "notice B": wire_bytes(notice),
        "delta B": wire_bytes(_encode_delta(delta)),
        "whole state B": wire_bytes(ConfigurationState(record)),
        "fold us": fold_us,
        "delta us": median_us(
            lambda _: _decode_delta(_encode_delta(fold.delta_from(fold.folded_to - 1)))
        ),
        "snapshot us": median_us(lambda _: encode_record(fold.snapshot())),
        "take whole us": median_us(lambda _: take_whole(snapshot)),
        "memory KiB": memory / 1024,
    }


def take_whole(snapshot: Any) -> None:
    """Take a whole state as a fresh node does."""
    ConfigurationReplica(SnapshotSigner(PEER_KEY)).apply_snapshot(snapshot)


def measure_metrics(workspaces: int) -> float:
    """Return the KiB that the metrics take once every workspace has been seen."""
    gc.collect()
    tracemalloc.start()
    metrics = Metrics()
    for number in range(workspaces):
        label = metrics.label(f"workspace-{number:05}")
        tier = str(1 + number % 3)
        for histogram in (metrics.queue_wait, metrics.first_byte, metrics.whole):
            histogram.labels(label, tier).observe(0.1)
        metrics.answers.labels(label, tier, "complete").inc()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return memory / 1024


def measure_fleet() -> None:
    """Print what three real nodes send between them with no change and with many."""
    with Fleet(FleetPlan(nodes=3, engines=0, applications=0)) as fleet:
        time.sleep(3.0)
        quiet = count_window(fleet, lambda: None)
        busy = count_window(fleet, lambda: publish_some(fleet))
    per_node = 1 / 3
    print(
        f"3 nodes, {WINDOW:g} s without a change: {quiet * per_node / WINDOW:.0f} B/s a node sent"
    )
    more = (busy - quiet) * per_node / CHANGES
    print(f"3 nodes, {CHANGES} changes in {WINDOW:g} s: {more:.0f} B a change and node on top")


def count_window(fleet: Fleet, work: Callable[[], None]) -> float:
    """Return the bytes that all nodes sent to peers in one window."""
    before, started = sent_bytes(fleet), time.monotonic()
    work()
    time.sleep(max(0.0, WINDOW - (time.monotonic() - started)))
    return sent_bytes(fleet) - before


def publish_some(fleet: Fleet) -> None:
    """Publish changes of one workspace each."""
    client = LogClient(fleet.url("platform"), 2.0)
    for turn in range(CHANGES):
        version = fleet.status(fleet.nodes[0])["version"]
        change = Change(f"bench-{turn:026}", version, (build_plan(turn, 1),))
        client.append("configuration", encode_record(change))
        time.sleep(WINDOW / CHANGES * 0.8)


def sent_bytes(fleet: Fleet) -> float:
    """Return the bytes that all nodes have sent to peers."""
    total = 0.0
    for name in fleet.nodes:
        url = f"http://127.0.0.1:{fleet.operator_by_name[name]}/metrics"
        for line in fleet.http.request("GET", url).data.decode().splitlines():
            if 'what="peer messages sent bytes"' in line:
                total += float(line.split()[-1])
    return total


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--no-fleet", action="store_true", help="leave the real nodes out")
    options = parser.parse_args()
    rows = [measure(size) for size in SIZES]
    print(" | ".join(rows[0]))
    for row in rows:
        print(" | ".join(f"{value:.0f}" for value in row.values()))
    for size in SIZES:
        print(f"metrics with {size} workspaces seen: {measure_metrics(size):.0f} KiB")
    if not options.no_fleet:
        measure_fleet()


if __name__ == "__main__":
    main()
