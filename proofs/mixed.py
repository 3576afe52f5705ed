"""Long seeded run that mixes all faults, judged from outside the nodes.

Run it with ``python -m proofs.mixed --seed 1 --seconds 60``; it exits with 1 on any violation.
"""

from __future__ import annotations

import sys
import time

import click

from proofs._callers import Callers, Sent
from proofs._faults import FaultInjector
from proofs._judge import count_outcomes, judge
from standins.fleet import Fleet, FleetConfig

__all__ = ["main"]

CALLERS = 24
CALLER_PAUSE = 0.15  # s
EXIT_INVARIANT = 70


@click.command()
@click.option("--seed", type=int, default=1)
@click.option("--seconds", type=float, default=60.0)
@click.option("--period", type=float, default=1.0, help="Mean seconds between two faults.")
def main(seed: int, seconds: float, period: float) -> None:
    """Run, judge, print counts, and fail on a violation."""
    config = FleetConfig(nodes=3, engines=3, applications=2, list_lag=1.0)
    with Fleet(config) as fleet:
        callers = Callers(fleet, seed, CALLERS, CALLER_PAUSE)
        faults = FaultInjector(fleet, callers, seed, period)
        callers.start()
        try:
            faults.run(seconds)
            time.sleep(2.0)
        finally:
            callers.stop()
        violations = judge(fleet, callers.sent) + stopped_nodes(fleet)
        report(seed, callers.sent, faults, violations)
        print("records kept in", fleet.folder)
    sys.exit(1 if violations else 0)


def stopped_nodes(fleet: Fleet) -> list[str]:
    """Return the nodes that an invariant stopped."""
    return [
        f"{name} stopped itself: an invariant was violated, see {fleet.folder}/{name}.log"
        for name in fleet.nodes
        if fleet.process_by_name[name].poll() == EXIT_INVARIANT
    ]


def report(seed: int, sent: list[Sent], faults: FaultInjector, violations: list[str]) -> None:
    """Print what was done and found."""
    print(f"seed {seed}: {len(sent)} requests, {sum(len(item.attempts) for item in sent)} tries")
    for name, count in sorted(count_outcomes(sent).items()):
        print(f"  {name}: {count}")
    print(f"{sum(faults.counts.values())} faults")
    for name, count in sorted(faults.counts.items()):
        print(f"  {name}: {count}")
    print(f"{len(violations)} violations")
    for violation in violations:
        print("  " + violation)


if __name__ == "__main__":
    main()
