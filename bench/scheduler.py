"""Cost of one planning round of the gateway's scheduler, by targets and by queued requests.

``python -m bench.scheduler`` prints the microseconds per request that is granted and released.
"""

from __future__ import annotations

import time

from celeryrun.catalog import Pool, Target
from celeryrun.scheduling import COMPLETE, FleetLimits, Scheduler, SlotReleased, SlotRequest

__all__ = ["measure"]

ROUNDS = 400
SLOTS = 8
LIMITS = FleetLimits(0.2, 50.0, 10.0, 0.1, 140_000.0, 8.0)


def measure(targets: int, waiting: int) -> float:
    """Return the microseconds per request while others are queued.

    Parameters
    ----------
    targets, waiting : int
        Number of targets of the pool, whose slots are all in use, and of requests that stay
        queued.
    """
    pool_targets = [Target(f"t{n}", "m", "127.0.0.1", 1, "z", SLOTS, True) for n in range(targets)]
    pool = Pool("m", engine=True)
    scheduler = Scheduler(LIMITS, lambda name: pool_targets, lambda name: pool, seed=1)
    grants: list[int] = []
    number = 0
    for number in range(targets * SLOTS + waiting):
        scheduler.submit("n", _build_request(number), 0.0)
    grants += [grant.grant_id for _, grant in scheduler.plan("m", 0.0)[0]]
    started = time.perf_counter()
    for turn in range(ROUNDS):
        scheduler.release(SlotReleased(grants[turn % len(grants)], COMPLETE, 0.2, 10), 0.0)
        number += 1
        scheduler.submit("n", _build_request(number), 0.0)
        new_grants, _ = scheduler.plan("m", 0.0, full_scan=False)
        grants[turn % len(grants)] = new_grants[0][1].grant_id
    return (time.perf_counter() - started) / ROUNDS * 1e6


def _build_request(number: int) -> SlotRequest:
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
    """Print one row per number of targets and queued requests."""
    print("targets waiting us/request")
    for targets in (5, 20, 80, 790):
        for waiting in (0, 10, 40):
            print(f"{targets:7} {waiting:7} {measure(targets, waiting):10.0f}")


if __name__ == "__main__":
    main()
