"""Claims: memory and folding for each key, claims for each append, latency beside a lookup.

Run ``python -m bench.claims``.
"""

from __future__ import annotations

import random
import statistics
import threading
import time
import tracemalloc

import msgspec

from celeryrun.claims import ClaimRegistry, ClaimTable, ClaimWon
from celeryrun.claims._key import new_idempotency_key
from celeryrun.claims._records import Batch, Claim, new_claim_id
from celeryrun.streams import LogClient
from standins.fleet import Fleet, FleetConfig

__all__ = ["main"]

RETENTION = 3600.0  # s
TABLE_SIZES = (1_000, 10_000, 100_000)  # keys
BATCH = 20  # claims a record
RATES = (10, 50, 200, 500, 1_000)  # claims a second
SECONDS = 4.0  # for each rate
NODES = (1, 7)  # whose appends share the log's rate
CALLS = 300  # of each kind
BOOKERS = 80  # callers at once, more than the applications' slots
LOOKERS = 4


class _Members:
    """Stands for the service that counts live nodes."""

    def __init__(self, count: int) -> None:
        self.count = count

    def eligible_nodes(self) -> list[str]:
        return [str(number) for number in range(self.count)]


class _Kernel:
    def __init__(self, nodes: int) -> None:
        self.members = _Members(nodes)

    def find(self, name: str) -> _Members:
        return self.members


def build_records(rng: random.Random, count: int, now: float) -> list[bytes]:
    """Build records with some claims."""
    records = []
    for _ in range(count // BATCH):
        claims = tuple(
            Claim(
                f"cajas/{new_idempotency_key(now, rng.getrandbits(74))}",
                new_claim_id(rng.randbytes(8)),
                f"node-{rng.randrange(7)}",
            )
            for _ in range(BATCH)
        )
        records.append(msgspec.json.encode(Batch(claims)))
    return records


def measure_table(count: int) -> None:
    """Print memory, size in the log and folding time of each claim."""
    now = time.time()
    records = build_records(random.Random(count), count, now)
    decoder = msgspec.json.Decoder(Batch)
    table = ClaimTable(RETENTION)
    started = time.process_time()
    for record in records:
        table.apply_batch(decoder.decode(record), now)
    seconds = time.process_time() - started
    tracemalloc.start()
    table = ClaimTable(RETENTION)
    for record in records:
        table.apply_batch(decoder.decode(record), now)
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    size = sum(map(len, records)) / count
    print(
        f"{count:>8} keys: {taken / count:6.0f} B a key in memory, {size:5.0f} B a claim in the"
        f" log, {seconds / count * 1e6:5.1f} us of processor to fold one"
    )


def measure_rate(url: str, nodes: int, rate: int) -> None:
    """Print claims for each append and the time that a claim takes."""
    clients = [LogClient(url, 2.0) for _ in range(3)]
    book = ClaimRegistry(_Kernel(nodes), "bench", ClaimTable(RETENTION), *clients)  # type: ignore
    book.start()
    while not book.is_ready():
        time.sleep(0.01)
    latencies: list[float] = []
    lost: list[object] = []

    def claim(key: str) -> None:
        started = time.monotonic()
        verdict = book.claim(f"cajas/{key}", b"8 bytes.", started + 10.0)
        latencies.append(time.monotonic() - started)
        if not isinstance(verdict, ClaimWon):
            lost.append(verdict)

    rng = random.Random(rate)
    threads = []
    started, used = time.monotonic(), time.process_time()
    for number in range(int(rate * SECONDS)):
        time.sleep(max(0.0, started + number / rate - time.monotonic()))
        key = new_idempotency_key(time.time(), rng.getrandbits(74))
        threads.append(threading.Thread(target=claim, args=(key,)))
        threads[-1].start()
    for thread in threads:
        thread.join()
    elapsed, used = time.monotonic() - started, time.process_time() - used
    book.stop()
    latencies.sort()
    print(
        f"{nodes:>2} nodes, {rate:>5} claims/s asked, {len(latencies) / elapsed:6.0f} had:"
        f" {len(latencies) / book.append_count:5.1f} claims an append,"
        f" {book.append_count / elapsed:5.0f} appends/s, latency p50 {at(latencies, 0.5):6.1f} ms,"
        f" p95 {at(latencies, 0.95):6.1f} ms, {used / len(latencies) * 1e6:5.0f} us of processor"
        f" a claim, {len(lost)} not won"
    )


def at(ordered: list[float], share: float) -> float:
    """Return a quantile in milliseconds."""
    return ordered[int(share * (len(ordered) - 1))] * 1000


def measure_latency(fleet: Fleet) -> None:
    """Print the time of a lookup, of a lookup under a request id, and of a booking, in turns."""
    times: dict[str, list[float]] = {"lookup": [], "lookup with Request-Id": [], "booking": []}
    rng = random.Random(1)
    for number in range(CALLS):
        node = fleet.nodes[number % len(fleet.nodes)]
        for kind, samples in times.items():
            started = time.monotonic()
            status = call(fleet, node, kind, rng)
            samples.append(time.monotonic() - started)
            assert status == 200, (kind, status)
    base = statistics.median(times["lookup"])
    for kind, samples in times.items():
        samples.sort()
        print(
            f"{kind}: p50 {at(samples, 0.5):.1f} ms, p95 {at(samples, 0.95):.1f} ms,"
            f" p50 beside a lookup {statistics.median(samples) / base:.2f}"
        )


def measure_outage(fleet: Fleet) -> None:
    """Print how lookups fare beside many bookings, before and in an outage of the log."""
    times: dict[str, list[float]] = {"before": [], "in the outage": []}
    phase = ["before"]
    stopped = threading.Event()

    def repeat(kind: str, seed: int) -> None:
        rng = random.Random(seed)
        while not stopped.is_set():
            now = phase[0]
            started = time.monotonic()
            call(fleet, rng.choice(fleet.nodes), kind, rng)
            if kind == "lookup":
                times[now].append(time.monotonic() - started)

    kinds = ["booking"] * BOOKERS + ["lookup"] * LOOKERS
    threads = [
        threading.Thread(target=repeat, args=(kind, seed)) for seed, kind in enumerate(kinds)
    ]
    for thread in threads:
        thread.start()
    time.sleep(SECONDS)
    fleet.set_faults("platform", outage=True)
    phase[0] = "in the outage"
    time.sleep(SECONDS)
    stopped.set()
    fleet.set_faults("platform", outage=False)
    for thread in threads:
        thread.join()
    for name, samples in times.items():
        samples.sort()
        print(
            f"lookups {name}: {len(samples) / SECONDS:.0f}/s, p50 {at(samples, 0.5):.0f} ms,"
            f" p95 {at(samples, 0.95):.0f} ms, longest {at(samples, 1.0):.0f} ms"
        )


def call(fleet: Fleet, node: str, kind: str, rng: random.Random) -> int:
    """Make one call and return its status."""
    if kind == "booking":
        key = new_idempotency_key(time.time(), rng.getrandbits(74))
        path = "/warehouse/bookings"
        return fleet.request(node, "bookings", "POST", path, {}, Idempotency_Key=key).status
    named = {"Request_Id": f"lookup-{rng.getrandbits(60)}"} if "Id" in kind else {}
    return fleet.request(node, "bookings", "GET", "/warehouse/stock", **named).status


def main() -> None:
    """Measure everything once."""
    for count in TABLE_SIZES:
        measure_table(count)
    with Fleet(FleetConfig(engines=0)) as fleet:
        measure_latency(fleet)
    with Fleet(FleetConfig(engines=0)) as fleet:
        measure_outage(fleet)
    for nodes in NODES:
        for rate in RATES:
            with Fleet(FleetConfig(nodes=1, engines=0, applications=0)) as fleet:
                measure_rate(fleet.url("platform"), nodes, rate)


if __name__ == "__main__":
    main()
