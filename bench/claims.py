"""Cost of claims: memory and replay time per key, claims per append, latency against lookups.

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

RETENTION = 3600.0  # s of the log
TABLE_SIZES = (1_000, 10_000, 100_000)  # keys
CLAIMS_PER_RECORD = 20
RATES = (10, 50, 200, 500, 1_000)  # claims per second
MEASUREMENT_DURATION = 4.0  # s, per rate or phase
NODE_COUNTS = (1, 7)  # nodes that share the log's append rate
CALLS_PER_KIND = 300
BOOKING_CALLERS = 80  # concurrent callers, more than the applications' slots
LOOKUP_CALLERS = 4


class _FakeMembers:
    """Fake membership service with a fixed number of live nodes."""

    def __init__(self, count: int) -> None:
        self.count = count

    def eligible_nodes(self) -> list[str]:
        return [str(number) for number in range(self.count)]


class _FakeKernel:
    def __init__(self, nodes: int) -> None:
        self.members = _FakeMembers(nodes)

    def find(self, name: str) -> _FakeMembers:
        return self.members


def build_records(rng: random.Random, count: int, now: float) -> list[bytes]:
    """Build log records with `count` claims in total."""
    records = []
    for _ in range(count // CLAIMS_PER_RECORD):
        claims = tuple(
            Claim(
                f"cajas/{new_idempotency_key(now, rng.getrandbits(74))}",
                new_claim_id(rng.randbytes(8)),
                f"node-{rng.randrange(7)}",
            )
            for _ in range(CLAIMS_PER_RECORD)
        )
        records.append(msgspec.json.encode(Batch(claims)))
    return records


def measure_table(count: int) -> None:
    """Print the memory, log size and replay time per claim."""
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
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    record_bytes = sum(map(len, records)) / count
    print(
        f"{count:>8} keys: {memory / count:6.0f} B per key in memory, {record_bytes:5.0f} B per"
        f" claim in the log, {seconds / count * 1e6:5.1f} us CPU to replay one"
    )


def measure_rate(url: str, nodes: int, rate: int) -> None:
    """Print the claims per append and the latency of a claim."""
    clients = [LogClient(url, 2.0) for _ in range(3)]
    registry = ClaimRegistry(_FakeKernel(nodes), "bench", ClaimTable(RETENTION), *clients)  # type: ignore
    registry.start()
    while not registry.is_ready():
        time.sleep(0.01)
    latencies: list[float] = []
    not_won: list[object] = []

    def claim(key: str) -> None:
        started = time.monotonic()
        result = registry.claim(f"cajas/{key}", b"8 bytes.", started + 10.0)
        latencies.append(time.monotonic() - started)
        if not isinstance(result, ClaimWon):
            not_won.append(result)

    rng = random.Random(rate)
    threads = []
    started, cpu_seconds = time.monotonic(), time.process_time()
    for number in range(int(rate * MEASUREMENT_DURATION)):
        time.sleep(max(0.0, started + number / rate - time.monotonic()))
        key = new_idempotency_key(time.time(), rng.getrandbits(74))
        threads.append(threading.Thread(target=claim, args=(key,)))
        threads[-1].start()
    for thread in threads:
        thread.join()
    elapsed, cpu_seconds = time.monotonic() - started, time.process_time() - cpu_seconds
    registry.stop()
    latencies.sort()
    print(
        f"{nodes:>2} nodes, {rate:>5} claims/s offered, {len(latencies) / elapsed:6.0f} claims/s"
        f" completed: {len(latencies) / registry.append_count:5.1f} claims per append,"
        f" {registry.append_count / elapsed:5.0f} appends/s,"
        f" latency p50 {quantile_ms(latencies, 0.5):6.1f} ms,"
        f" p95 {quantile_ms(latencies, 0.95):6.1f} ms,"
        f" {cpu_seconds / len(latencies) * 1e6:5.0f} us CPU"
        f" per claim, {len(not_won)} not won"
    )


def quantile_ms(ordered: list[float], fraction: float) -> float:
    """Return a quantile of sorted seconds, in milliseconds."""
    return ordered[int(fraction * (len(ordered) - 1))] * 1000


def measure_latency(fleet: Fleet) -> None:
    """Print the latency of lookups, of lookups with a Request-Id, and of bookings, in turn."""
    times: dict[str, list[float]] = {"lookup": [], "lookup with Request-Id": [], "booking": []}
    rng = random.Random(1)
    for number in range(CALLS_PER_KIND):
        node = fleet.nodes[number % len(fleet.nodes)]
        for kind, samples in times.items():
            started = time.monotonic()
            status = send_call(fleet, node, kind, rng)
            samples.append(time.monotonic() - started)
            assert status == 200, (kind, status)
    lookup_median = statistics.median(times["lookup"])
    for kind, samples in times.items():
        samples.sort()
        print(
            f"{kind}: p50 {quantile_ms(samples, 0.5):.1f} ms,"
            f" p95 {quantile_ms(samples, 0.95):.1f} ms,"
            f" p50 relative to a lookup {statistics.median(samples) / lookup_median:.2f}"
        )


def measure_outage(fleet: Fleet) -> None:
    """Print the latency of lookups beside many bookings, before and during a log outage."""
    times: dict[str, list[float]] = {"before": [], "during the outage": []}
    phase = ["before"]
    stopped = threading.Event()

    def run_caller(kind: str, seed: int) -> None:
        rng = random.Random(seed)
        while not stopped.is_set():
            now = phase[0]
            started = time.monotonic()
            send_call(fleet, rng.choice(fleet.nodes), kind, rng)
            if kind == "lookup":
                times[now].append(time.monotonic() - started)

    kinds = ["booking"] * BOOKING_CALLERS + ["lookup"] * LOOKUP_CALLERS
    threads = [
        threading.Thread(target=run_caller, args=(kind, seed)) for seed, kind in enumerate(kinds)
    ]
    for thread in threads:
        thread.start()
    time.sleep(MEASUREMENT_DURATION)
    fleet.set_faults("platform", outage=True)
    phase[0] = "during the outage"
    time.sleep(MEASUREMENT_DURATION)
    stopped.set()
    fleet.set_faults("platform", outage=False)
    for thread in threads:
        thread.join()
    for name, samples in times.items():
        samples.sort()
        print(
            f"lookups {name}: {len(samples) / MEASUREMENT_DURATION:.0f}/s,"
            f" p50 {quantile_ms(samples, 0.5):.0f} ms, p95 {quantile_ms(samples, 0.95):.0f} ms,"
            f" longest {quantile_ms(samples, 1.0):.0f} ms"
        )


def send_call(fleet: Fleet, node: str, kind: str, rng: random.Random) -> int:
    """Send one call and return its status."""
    if kind == "booking":
        key = new_idempotency_key(time.time(), rng.getrandbits(74))
        path = "/warehouse/bookings"
        return fleet.request(node, "bookings", "POST", path, {}, Idempotency_Key=key).status
    headers = {"Request_Id": f"lookup-{rng.getrandbits(60)}"} if "Id" in kind else {}
    return fleet.request(node, "bookings", "GET", "/warehouse/stock", **headers).status


def main() -> None:
    """Run every measurement once."""
    for count in TABLE_SIZES:
        measure_table(count)
    with Fleet(FleetConfig(engines=0)) as fleet:
        measure_latency(fleet)
    with Fleet(FleetConfig(engines=0)) as fleet:
        measure_outage(fleet)
    for nodes in NODE_COUNTS:
        for rate in RATES:
            with Fleet(FleetConfig(nodes=1, engines=0, applications=0)) as fleet:
                measure_rate(fleet.url("platform"), nodes, rate)


if __name__ == "__main__":
    main()
