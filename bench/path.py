"""Cost of the path: ``python -m bench.path`` prints raw figures as JSON lines.

Compares, in one run and by turns, calls straight to a target with calls through a node, and fresh
connections with pooled ones; then requests a second through one and three nodes, and memory.
"""

from __future__ import annotations

import argparse
import json
import os
import socket
import statistics
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from pathlib import Path

import urllib3

from celeryrun.dispatch import ApplicationResponse, call_application
from standins.fleet import Fleet, FleetConfig

__all__ = ["main"]

STOCK = "/warehouse/stock/crates"
WORKERS = 3
THREADS = 6
WAITING = 500
MIB = 1024


def main() -> None:
    """Run the measurements asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--turns", type=int, default=500)
    parser.add_argument("--seconds", type=float, default=6.0, help="of each throughput run")
    parser.add_argument("parts", nargs="*", default=["latency", "throughput", "memory"])
    options = parser.parse_args()
    if "latency" in options.parts:
        with Fleet(FleetConfig(engines=1, applications=1, application_seconds=0.0)) as fleet:
            measure_latency(fleet, options.turns)
    if "throughput" in options.parts:
        with Fleet(FleetConfig(engines=1, applications=3, application_seconds=0.0)) as fleet:
            measure_throughput(fleet, options.seconds)
    if "memory" in options.parts:
        measure_memory()


def show(what: str, **figures: object) -> None:
    """Print one line of figures."""
    print(json.dumps({"what": what, **figures}), flush=True)


def measure_latency(fleet: Fleet, turns: int) -> None:
    """Take each way by turns, so that noise falls on all alike."""
    address = fleet.url("application-0").removeprefix("http://")
    pool = urllib3.PoolManager(maxsize=1)
    target = f"http://{address}/stock/crates"
    fresh = {"Connection": "close"}

    def through_dispatch() -> None:
        deadline = time.monotonic() + 10.0
        result = call_application(address, "GET", "/stock", b"", {"Request-Id": "r"}, deadline)
        assert isinstance(result, ApplicationResponse)

    ways: dict[str, Callable[[], object]] = {
        "direct, pooled": lambda: pool.request("GET", target),
        "direct, fresh": lambda: urllib3.PoolManager().request("GET", target, headers=fresh),
        "dispatch alone, fresh": through_dispatch,
    }
    for node in fleet.nodes:
        ways[f"through {node}"] = through_node(fleet, node)
    seconds_by_way: dict[str, list[float]] = {way: [] for way in ways}
    for _ in range(turns):
        for way, call in ways.items():
            started = time.perf_counter()
            call()
            seconds_by_way[way].append(time.perf_counter() - started)
    for way, seconds in seconds_by_way.items():
        cuts = statistics.quantiles(seconds, n=100)
        figures = {f"p{cut}_ms": round(cuts[cut - 1] * 1000, 3) for cut in (50, 95, 99)}
        show("latency", way=way, turns=turns, **figures)


def through_node(fleet: Fleet, node: str) -> Callable[[], object]:
    """Return a call through one node over a connection kept alive."""
    pool = urllib3.PoolManager(maxsize=1)
    url = fleet.url(node) + STOCK
    headers = {"Authorization": "Bearer key-bookings"}
    return lambda: pool.request("GET", url, headers=headers)


def measure_throughput(fleet: Fleet, seconds: float) -> None:
    """Keep callers busy on the targets alone, on one node, and on all nodes."""
    targets = [fleet.url(name) + "/stock" for name in fleet.port_by_name if "application" in name]
    show("throughput", nodes=0, per_second=drive_all(targets, seconds))
    for nodes in (fleet.nodes[:1], fleet.nodes):
        urls = [fleet.url(node) + STOCK for node in nodes]
        before = [processor_seconds(fleet, node) for node in nodes]
        rate = drive_all(urls, seconds)
        after = [processor_seconds(fleet, node) for node in nodes]
        used = [round(end - start, 2) for start, end in zip(before, after, strict=True)]
        cost = round(sum(used) / (rate * seconds) * 1000, 2)
        show(
            "throughput",
            nodes=len(nodes),
            per_second=rate,
            processor_seconds=used,
            processor_ms_each=cost,
        )


def drive_all(urls: list[str], seconds: float) -> float:
    """Drive from several processes; returns whole answers a second."""
    with ProcessPoolExecutor(WORKERS) as workers:
        counts = list(workers.map(drive, [urls] * WORKERS, [seconds] * WORKERS))
    assert not any(other for _, other in counts)
    return round(sum(whole for whole, _ in counts) / seconds, 1)


def processor_seconds(fleet: Fleet, node: str) -> float:
    """Read the processor time that a process has used."""
    fields = (
        Path(f"/proc/{fleet.process_by_name[node].pid}/stat").read_text().split(") ")[1].split()
    )
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def drive(urls: list[str], seconds: float) -> tuple[int, int]:
    """Send calls from several threads; count the whole answers and the others."""
    pool = urllib3.PoolManager(maxsize=THREADS, num_pools=len(urls))
    until = time.monotonic() + seconds
    headers = {"Authorization": "Bearer key-bookings"}

    def run(number: int) -> tuple[int, int]:
        whole = other = 0
        while time.monotonic() < until:
            response = pool.request("GET", urls[number % len(urls)], headers=headers)
            whole += response.status == 200
            other += response.status != 200
        return whole, other

    with ThreadPoolExecutor(THREADS) as threads:
        counts = list(threads.map(run, range(THREADS)))
    return sum(count for count, _ in counts), sum(count for _, count in counts)


def measure_memory() -> None:
    """Compare a node that is idle with one where requests wait."""
    config = FleetConfig(nodes=1, engines=1, applications=0, threads=650, engine_step=1.0)
    config.max_outstanding = 2 * WAITING
    config.extra_settings = {"limits": {"max_waiting": str(2 * WAITING)}}
    with Fleet(config) as fleet:
        node = fleet.nodes[0]
        show("memory", state="idle", resident_mib=resident_mib(fleet, node), threads=config.threads)
        callers = [send_draft(fleet, node, number) for number in range(WAITING)]
        time.sleep(5.0)
        waiting = sum(tier["waiting"] for tier in fleet.status(node)["pools"][0]["tiers"])
        show("memory", state="busy", resident_mib=resident_mib(fleet, node), waiting=waiting)
        for caller in callers:
            caller.close()


def send_draft(fleet: Fleet, node: str, number: int) -> socket.socket:
    """Send a draft of some length and do not wait for its answer."""
    body = json.dumps({"prompt": f"{number} " * 200, "max_tokens": 1000}).encode()
    head = (
        "POST /drafts/v1/generate HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-contracts\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    connection = socket.create_connection(("127.0.0.1", fleet.port_by_name[node]))
    connection.sendall(head.encode() + body)
    return connection


def resident_mib(fleet: Fleet, node: str) -> float:
    """Read the resident memory of a process."""
    status = Path(f"/proc/{fleet.process_by_name[node].pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmRSS")]
    return round(int(line.split()[1]) / MIB, 1)


if __name__ == "__main__":
    main()
