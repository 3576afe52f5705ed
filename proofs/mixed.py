"""Long, seeded run with all kinds of faults, checked from outside the nodes.

Run it with ``python -m proofs.mixed --seed 1 --seconds 60``; it exits with 1 on any violation.
"""

from __future__ import annotations

import sys
import time

import click

from proofs._callers import Callers, SentRequest
from proofs._checks import count_outcomes, find_violations
from proofs._faults import FaultInjector
from standins.fleet import Fleet, FleetConfig

__all__ = ["main"]

CALLER_THREADS = 24
MEAN_CALLER_INTERVAL = 0.15  # s
INVARIANT_EXIT_CODE = 70  # of a node that stops after a violated invariant


@click.command()
@click.option("--seed", type=int, default=1)
@click.option("--seconds", type=float, default=60.0)
@click.option("--period", type=float, default=1.0, help="Mean seconds between two faults.")
def main(seed: int, seconds: float, period: float) -> None:
    """Run the fleet under faults, print the counts, and exit with 1 on any violation."""
    config = FleetConfig(nodes=3, engines=3, applications=2, list_lag=1.0)
    with Fleet(config) as fleet:
        callers = Callers(fleet, seed, CALLER_THREADS, MEAN_CALLER_INTERVAL)
        injector = FaultInjector(fleet, callers, seed, period)
        callers.start()
        try:
            injector.run(seconds)
            time.sleep(2.0)
        finally:
            callers.stop()
        violations = find_violations(fleet, callers.requests) + find_stopped_nodes(fleet)
        report(seed, callers.requests, injector, violations)
        print("records are kept in", fleet.folder)
    sys.exit(1 if violations else 0)


def find_stopped_nodes(fleet: Fleet) -> list[str]:
    """Return one violation for each node that exited because of a violated invariant."""
    return [
        f"{name} exited: an invariant was violated, see {fleet.folder}/{name}.log"
        for name in fleet.nodes
        if fleet.process_by_name[name].poll() == INVARIANT_EXIT_CODE
    ]


def report(
    seed: int, requests: list[SentRequest], injector: FaultInjector, violations: list[str]
) -> None:
    """Print the counts and the violations."""
    print(
        f"seed {seed}: {len(requests)} requests, "
        f"{sum(len(request.attempts) for request in requests)} attempts"
    )
    for name, count in sorted(count_outcomes(requests).items()):
        print(f"  {name}: {count}")
    print(f"{sum(injector.counts.values())} faults")
    for name, count in sorted(injector.counts.items()):
        print(f"  {name}: {count}")
    print(f"{len(violations)} violations")
    for violation in violations:
        print("  " + violation)


if __name__ == "__main__":
    main()
