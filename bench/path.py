"""Overhead of a node: ``python -m bench.path`` prints raw figures as JSON lines.

Alternates direct calls to a target with calls through a node, over pooled and over new connections.
Then measures requests per second through one and three nodes, and a node's memory.
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

STOCK_PATH = "/warehouse/stock/crates"
CLIENT_PROCESSES = 3
CLIENT_THREADS = 6
QUEUED_REQUESTS = 500
KIB_PER_MIB = 1024


def main() -> None:
    """Run the measurements named on the command line."""
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


def print_figures(what: str, **figures: object) -> None:
    """Print one line of figures."""
    print(json.dumps({"what": what, **figures}), flush=True)


def measure_latency(fleet: Fleet, turns: int) -> None:
    """Measure the latency of each way in turn, so that noise affects all ways equally."""
    address = fleet.url("application-0").removeprefix("http://")
    pool = urllib3.PoolManager(maxsize=1)
    target = f"http://{address}/stock/crates"
    close_header = {"Connection": "close"}

    def call_through_dispatch() -> None:
        deadline = time.monotonic() + 10.0
        result = call_application(address, "GET", "/stock", b"", {"Request-Id": "r"}, deadline)
        assert isinstance(result, ApplicationResponse)

    call_by_way: dict[str, Callable[[], object]] = {
        "direct, pooled": lambda: pool.request("GET", target),
        "direct, fresh": lambda: urllib3.PoolManager().request("GET", target, headers=close_header),
        "dispatch alone, fresh": call_through_dispatch,
    }
    for node in fleet.nodes:
        call_by_way[f"through {node}"] = make_node_call(fleet, node)
    seconds_by_way: dict[str, list[float]] = {way: [] for way in call_by_way}
    for _ in range(turns):
        for way, call in call_by_way.items():
            started = time.perf_counter()
            call()
            seconds_by_way[way].append(time.perf_counter() - started)
    for way, seconds in seconds_by_way.items():
        percentiles = statistics.quantiles(seconds, n=100)
        figures = {
            f"p{percent}_ms": round(percentiles[percent - 1] * 1000, 3) for percent in (50, 95, 99)
        }
        print_figures("latency", way=way, turns=turns, **figures)


def make_node_call(fleet: Fleet, node: str) -> Callable[[], object]:
    """Return a function that calls through one node over a persistent connection."""
    pool = urllib3.PoolManager(maxsize=1)
    url = fleet.url(node) + STOCK_PATH
    headers = {"Authorization": "Bearer key-bookings"}
    return lambda: pool.request("GET", url, headers=headers)


def measure_throughput(fleet: Fleet, seconds: float) -> None:
    """Measure the rate of calls to the targets alone, through one node, and through all nodes."""
    targets = [fleet.url(name) + "/stock" for name in fleet.port_by_name if "application" in name]
    print_figures("throughput", nodes=0, per_second=measure_rate(targets, seconds))
    for nodes in (fleet.nodes[:1], fleet.nodes):
        urls = [fleet.url(node) + STOCK_PATH for node in nodes]
        before = [read_cpu_seconds(fleet, node) for node in nodes]
        rate = measure_rate(urls, seconds)
        after = [read_cpu_seconds(fleet, node) for node in nodes]
        cpu_seconds = [round(end - start, 2) for start, end in zip(before, after, strict=True)]
        cost = round(sum(cpu_seconds) / (rate * seconds) * 1000, 2)
        print_figures(
            "throughput",
            nodes=len(nodes),
            per_second=rate,
            processor_seconds=cpu_seconds,
            processor_ms_each=cost,
        )


def measure_rate(urls: list[str], seconds: float) -> float:
    """Send calls from several processes, and return the successful calls per second."""
    with ProcessPoolExecutor(CLIENT_PROCESSES) as workers:
        counts = list(
            workers.map(send_calls, [urls] * CLIENT_PROCESSES, [seconds] * CLIENT_PROCESSES)
        )
    assert not any(failed for _, failed in counts)
    return round(sum(completed for completed, _ in counts) / seconds, 1)


def read_cpu_seconds(fleet: Fleet, node: str) -> float:
    """Return the processor time that a node's process has used, in seconds."""
    fields = (
        Path(f"/proc/{fleet.process_by_name[node].pid}/stat").read_text().split(") ")[1].split()
    )
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def send_calls(urls: list[str], seconds: float) -> tuple[int, int]:
    """Send calls from several threads, and return the numbers of successful and failed calls."""
    pool = urllib3.PoolManager(maxsize=CLIENT_THREADS, num_pools=len(urls))
    until = time.monotonic() + seconds
    headers = {"Authorization": "Bearer key-bookings"}

    def run(number: int) -> tuple[int, int]:
        completed = failed = 0
        while time.monotonic() < until:
            response = pool.request("GET", urls[number % len(urls)], headers=headers)
            completed += response.status == 200
            failed += response.status != 200
        return completed, failed

    with ThreadPoolExecutor(CLIENT_THREADS) as threads:
        counts = list(threads.map(run, range(CLIENT_THREADS)))
    return sum(count for count, _ in counts), sum(count for _, count in counts)


def measure_memory() -> None:
    """Measure the memory of a node when idle and with queued requests."""
    config = FleetConfig(nodes=1, engines=1, applications=0, threads=650, engine_step=1.0)
    config.max_outstanding = 2 * QUEUED_REQUESTS
    config.extra_settings = {"limits": {"max_waiting": str(2 * QUEUED_REQUESTS)}}
    with Fleet(config) as fleet:
        node = fleet.nodes[0]
        print_figures(
            "memory",
            state="idle",
            resident_mib=read_resident_mib(fleet, node),
            threads=config.threads,
        )
        callers = [send_draft(fleet, node, number) for number in range(QUEUED_REQUESTS)]
        time.sleep(5.0)
        waiting = sum(tier["waiting"] for tier in fleet.status(node)["pools"][0]["tiers"])
        print_figures(
            "memory", state="busy", resident_mib=read_resident_mib(fleet, node), waiting=waiting
        )
        for caller in callers:
            caller.close()


def send_draft(fleet: Fleet, node: str, number: int) -> socket.socket:
    """Send a long draft request without waiting for its response."""
    body = json.dumps({"prompt": f"{number} " * 200, "max_tokens": 1000}).encode()
    head = (
        "POST /drafts/v1/generate HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-contracts\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    connection = socket.create_connection(("127.0.0.1", fleet.port_by_name[node]))
    connection.sendall(head.encode() + body)
    return connection


def read_resident_mib(fleet: Fleet, node: str) -> float:
    """Return the resident memory of a node's process, in MiB."""
    status = Path(f"/proc/{fleet.process_by_name[node].pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmRSS")]
    return round(int(line.split()[1]) / KIB_PER_MIB, 1)


if __name__ == "__main__":
    main()
