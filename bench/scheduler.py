"""Cost of one pass of the gateway's scheduler by targets and by asks that wait.

``python -m bench.scheduler`` prints microseconds for each request granted and ended.
"""

from __future__ import annotations

import time

from celeryrun.catalog import Pool, Target
from celeryrun.scheduling import COMPLETE, FleetLimits, Scheduler, SlotReleased, SlotRequest

__all__ = ["measure"]

ROUNDS = 400
SLOTS = 8
BOUNDS = FleetLimits(0.2, 50.0, 10.0, 0.1, 140_000.0, 8.0)


def measure(targets: int, waiting: int) -> float:
    """Return the microseconds for one request while others wait.

    Parameters
    ----------
    targets, waiting : int
        Targets of the pool, all slots taken, and asks that wait throughout.
    """
    listed = [Target(f"t{n}", "m", "127.0.0.1", 1, "z", SLOTS, True) for n in range(targets)]
    pool = Pool("m", engine=True)
    scheduler = Scheduler(BOUNDS, lambda name: listed, lambda name: pool, seed=1)
    grants: list[int] = []
    number = 0
    for number in range(targets * SLOTS + waiting):
        scheduler.submit("n", _ask(number), 0.0)
    grants += [grant.grant_id for _, grant in scheduler.plan("m", 0.0)[0]]
    began = time.perf_counter()
    for turn in range(ROUNDS):
        scheduler.release(SlotReleased(grants[turn % len(grants)], COMPLETE, 0.2, 10), 0.0)
        number += 1
        scheduler.submit("n", _ask(number), 0.0)
        found, _ = scheduler.plan("m", 0.0, full_scan=False)
        grants[turn % len(grants)] = found[0][1].grant_id
    return (time.perf_counter() - began) / ROUNDS * 1e6


def _ask(number: int) -> SlotRequest:
    return SlotRequest(
        id=number,
        pool="m",
        tier=0,
        rank=number % 3,
        workspace="w",
        prompt_tokens=1000,
        expected_events=10.0,
        objective=1e6,
        patience=1e6,
        deadline=1e6,
        max_pause=0.25,
        fingerprint=number,
    )


def main() -> None:
    """Print the table."""
    print("targets waiting us/request")
    for targets in (5, 20, 80, 790):
        for waiting in (0, 10, 40):
            print(f"{targets:7} {waiting:7} {measure(targets, waiting):10.0f}")


if __name__ == "__main__":
    main()
