"""Gap in service when a pool's keeper leaves, crashes or is paused.

``python -m bench.handover [--runs N]`` sends stock checks to two of three nodes, drains, kills or
pauses the third, which is the pool's keeper, and prints the longest time without a response.
"""

from __future__ import annotations

import argparse
import itertools
import signal
import threading
import time
from dataclasses import dataclass, field

import urllib3

from standins.fleet import Fleet, FleetConfig

__all__ = ["main"]

CALLERS = 8
WARM_UP = 2.0  # s of load before the keeper's fault
OBSERVATION_TIME = 6.0  # s of load after the fault


@dataclass(slots=True)
class StockChecks:
    """Stock checks sent back to back to some nodes, with the times of their responses."""

    fleet: Fleet
    nodes: list[str]
    answered_at: list[float] = field(default_factory=list)
    refused: int = 0
    slowest: float = 0.0
    stopped: threading.Event = field(default_factory=threading.Event)

    def send_until_stopped(self, number: int) -> None:
        """Send stock checks until stopped."""
        http = urllib3.PoolManager(retries=False)
        headers = {"Authorization": "Bearer key-bookings"}
        for turn in itertools.count(number):
            if self.stopped.is_set():
                return
            url = self.fleet.url(self.nodes[turn % len(self.nodes)])
            started = time.monotonic()
            response = http.request(
                "GET", f"{url}/warehouse/stock/a", headers=headers, timeout=30.0
            )
            now = time.monotonic()
            self.slowest = max(self.slowest, now - started)
            if response.status == 200:
                self.answered_at.append(now)
            else:
                self.refused += 1


def find_keeper(fleet: Fleet, pool: str) -> str:
    """Return the keeper of a pool, as reported by the first node."""
    status = fleet.status(fleet.nodes[0])
    return str(next(item["keeper"] for item in status["pools"] if item["name"] == pool))


def measure(signal_number: int) -> tuple[float, float, int, int]:
    """Send a signal to the keeper during load.

    Returns
    -------
    tuple
        Longest gap and slowest response in seconds, and the numbers answered and refused.
    """
    with Fleet(FleetConfig()) as fleet:
        keeper = find_keeper(fleet, "warehouse")
        others = [name for name in fleet.nodes if name != keeper]
        checks = StockChecks(fleet, others)
        threads = [
            threading.Thread(target=checks.send_until_stopped, args=(n,)) for n in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(WARM_UP)
        checks.slowest = 0.0
        fleet.send_signal(keeper, signal_number)
        time.sleep(OBSERVATION_TIME)
        checks.stopped.set()
        for thread in threads:
            thread.join()
    times = sorted(checks.answered_at)
    gap = max(later - earlier for earlier, later in itertools.pairwise(times))
    return gap, checks.slowest, len(times), checks.refused


def main() -> None:
    """Print one line per run."""
    parser = argparse.ArgumentParser(description="gap in service on a keeper's fault")
    parser.add_argument("--runs", type=int, default=3)
    options = parser.parse_args()
    print("fault    run  gap s  slowest s  answered  refused")
    signal_by_fault = {"drain": signal.SIGTERM, "kill -9": signal.SIGKILL, "pause": signal.SIGSTOP}
    for fault, number in signal_by_fault.items():
        for run in range(options.runs):
            gap, slowest, answered, refused = measure(number)
            print(
                f"{fault:8} {run:3} {gap:6.3f} {slowest:10.3f} {answered:9} {refused:8}", flush=True
            )


if __name__ == "__main__":
    main()
