"""Gap in service when a pool's keeper leaves or dies.

``python -m bench.handover [--runs N]`` keeps three nodes busy with stock checks, drains or kills
the keeper of the pool, and prints the longest time in which no other node had an answer.
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
SETTLE = 2.0  # s of load before the keeper goes
WATCH = 6.0  # s of load after


@dataclass(slots=True)
class Checks:
    """Stock checks sent without pause; the times of their answers."""

    fleet: Fleet
    nodes: list[str]
    answered: list[float] = field(default_factory=list)
    refused: int = 0
    slowest: float = 0.0
    stopped: threading.Event = field(default_factory=threading.Event)

    def call(self, number: int) -> None:
        """Send until stopped."""
        http = urllib3.PoolManager(retries=False)
        headers = {"Authorization": "Bearer key-bookings"}
        for turn in itertools.count(number):
            if self.stopped.is_set():
                return
            url = self.fleet.url(self.nodes[turn % len(self.nodes)])
            started = time.monotonic()
            answer = http.request("GET", f"{url}/warehouse/stock/a", headers=headers, timeout=30.0)
            now = time.monotonic()
            self.slowest = max(self.slowest, now - started)
            if answer.status == 200:
                self.answered.append(now)
            else:
                self.refused += 1


def keeper_of(fleet: Fleet, pool: str) -> str:
    """Return the node that keeps a pool, as the first node sees it."""
    status = fleet.status(fleet.nodes[0])
    return str(next(item["keeper"] for item in status["pools"] if item["name"] == pool))


def measure(signal_number: int) -> tuple[float, float, int, int]:
    """Return longest gap and slowest answer in seconds, and the counts answered and refused."""
    with Fleet(FleetConfig()) as fleet:
        keeper = keeper_of(fleet, "warehouse")
        others = [name for name in fleet.nodes if name != keeper]
        checks = Checks(fleet, others)
        threads = [threading.Thread(target=checks.call, args=(n,)) for n in range(CALLERS)]
        for thread in threads:
            thread.start()
        time.sleep(SETTLE)
        checks.slowest = 0.0
        fleet.send_signal(keeper, signal_number)
        time.sleep(WATCH)
        checks.stopped.set()
        for thread in threads:
            thread.join()
    times = sorted(checks.answered)
    gap = max(later - earlier for earlier, later in itertools.pairwise(times))
    return gap, checks.slowest, len(times), checks.refused


def main() -> None:
    """Print one line a run."""
    parser = argparse.ArgumentParser(description="gap when a keeper goes")
    parser.add_argument("--runs", type=int, default=3)
    options = parser.parse_args()
    print("how      run  gap s  slowest s  answered  refused")
    faults = {"drain": signal.SIGTERM, "kill -9": signal.SIGKILL, "pause": signal.SIGSTOP}
    for how, number in faults.items():
        for run in range(options.runs):
            gap, slowest, answered, refused = measure(number)
            print(
                f"{how:8} {run:3} {gap:6.3f} {slowest:10.3f} {answered:9} {refused:8}", flush=True
            )


if __name__ == "__main__":
    main()
