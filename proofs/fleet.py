"""Long seeded run of a shifting fleet under overload, judged from outside the nodes.

Run it with ``python -m proofs.fleet --seed 1 --seconds 60``; it exits with 1 on any violation.

The judge compares three records: the callers' (when each request began and how it ended), the
targets' (when each request arrived) and the list of faults. It looks for

- a higher tier that was shed while a lower one, sent before and served after, waited; what waits
  on a stopped node counts once the fleet has had time to notice that it hears nothing from it,
- a request that broke or whose outcome was unknown before its deadline, on a node that was not
  killed meanwhile,
- work that reached a target more than a bound after the list said that it leaves,
- answers that came long after the deadline, and nodes that an invariant stopped.
"""

from __future__ import annotations

import sys
import time
from collections import Counter

import click

from proofs._shifts import Shifts, Span
from proofs._tiers import DEADLINE, TierCall, TierCallers
from proofs.mixed import stopped_nodes
from standins.fleet import Fleet, FleetConfig

__all__ = ["main"]

MARGIN = 0.25  # s that a message may be on its way on a busy machine
LIST_LAG = 1.0  # s
LEAVE_BOUND = 4.0  # s from the change on the list to the last new work
NOTICE_BOUND = 3.0  # s until a silent node is noticed by a keeper
HANG_TOLERANCE = 4.0  # s past the deadline
COUNT_BY_TIER = {1: 70, 2: 16, 3: 16}


@click.command()
@click.option("--seed", type=int, default=1)
@click.option("--seconds", type=float, default=60.0)
@click.option("--period", type=float, default=1.5, help="Mean seconds between two faults.")
def main(seed: int, seconds: float, period: float) -> None:
    """Run, judge, print counts, and fail on a violation."""
    config = FleetConfig(
        nodes=4,
        engines=0,
        applications=3,
        application_seconds=1.0,
        list_lag=LIST_LAG,
        extra_settings={"limits": {"max_waiting": "24"}},
    )
    with Fleet(config) as fleet:
        callers = TierCallers(fleet, seed, COUNT_BY_TIER)
        shifts = Shifts(fleet, seed, period)
        shifts.unready = callers.unready
        callers.start()
        try:
            shifts.run(seconds)
        finally:
            callers.stop()
        dispatched = read_dispatches(fleet)
        violations = [
            *judge_order(callers.calls, dispatched, shifts.spans),
            *judge_cuts(callers.calls, shifts.spans),
            *judge_leaving(fleet, shifts.spans),
            *stopped_nodes(fleet),
        ]
        report(seed, callers.calls, shifts, violations)
    sys.exit(1 if violations else 0)


def read_dispatches(fleet: Fleet) -> dict[str, float]:
    """Return when a target first received each request, by its marker."""
    dispatched: dict[str, float] = {}
    for vm in fleet.vms:
        if vm["role"] == "target":
            for line in fleet.recorded_requests(vm["name"]):
                dispatched.setdefault(line["path"].split("/")[-1], line["time"])
    return dispatched


def judge_order(
    calls: list[TierCall], dispatched: dict[str, float], spans: list[Span]
) -> list[str]:
    """Find requests that were shed while a lower tier waited."""
    pauses = [span for span in spans if span.what == "pause"]
    waiting = [
        (call.started + MARGIN, dispatched.get(call.marker, call.ended) - MARGIN, call)
        for call in calls
        if call.outcome in ("complete", "not-run") and call.tier > 1
    ]
    violations = []
    for shed in calls:
        if not shed.is_shed():
            continue
        passed_over = [
            call
            for begin, end, call in waiting
            if call.tier > shed.tier and begin < shed.started and shed.ended < end
            if not is_unnoticed(call.node, shed, pauses)
        ]
        if passed_over:
            low = passed_over[0]
            violations.append(
                f"tier {shed.tier} shed by {shed.node} at {shed.ended:.2f}, while {low.marker} "
                f"waited on {low.node} from {low.started:.2f} ({len(passed_over)} such)"
            )
    return violations


def is_unnoticed(node: str, shed: TierCall, pauses: list[Span]) -> bool:
    """Tell whether a node had stopped so shortly before a shed that no keeper could know."""
    return any(
        pause.name == node and pause.begin <= shed.ended <= pause.begin + NOTICE_BOUND
        for pause in pauses
    )


def judge_cuts(calls: list[TierCall], spans: list[Span]) -> list[str]:
    """Find requests without a whole answer on nodes that were not killed, and late answers."""
    kills = [span for span in spans if span.what == "kill"]
    pauses = [span for span in spans if span.what == "pause"]
    violations = []
    for call in calls:
        name = f"{call.marker} on {call.node} at {call.started:.2f}"
        killed = any(k.name == call.node and k.overlaps(call.started, call.ended) for k in kills)
        paused = any(p.name == call.node and p.overlaps(call.started, call.ended) for p in pauses)
        expired = call.outcome == "unknown" and call.ended - call.started >= DEADLINE
        if call.outcome in ("broken", "unknown", "missing") and not (killed or expired):
            violations.append(f"{name} was cut: {call.outcome} {call.error} {call.reason}")
        if call.error == "caller-gone":
            violations.append(f"{name} was told that its caller hung up")
        late = call.ended - call.started > DEADLINE + HANG_TOLERANCE
        if late and not (killed or paused):
            violations.append(f"{name} hung for {call.ended - call.started:.1f} s")
    return violations


def judge_leaving(fleet: Fleet, spans: list[Span]) -> list[str]:
    """Find work that reached a target long after the list said that it leaves."""
    outages = [span for span in spans if span.what == "list down"]
    violations = []
    for span in spans:
        begin = span.begin + LIST_LAG + LEAVE_BOUND
        lists_down = any(outage.overlaps(span.begin, begin) for outage in outages)
        if span.what != "leaves by list" or lists_down:
            continue
        late = [
            line
            for line in fleet.recorded_requests(span.name)
            if begin < line["time"] < span.end + LIST_LAG
        ]
        if late:
            violations.append(f"{span.name} got {len(late)} requests after it left at {begin:.2f}")
    return violations


def report(seed: int, calls: list[TierCall], shifts: Shifts, violations: list[str]) -> None:
    """Print what was done and found."""
    print(f"seed {seed}: {len(calls)} requests, ended {time.strftime('%H:%M:%S')}")
    outcomes = Counter(f"tier {call.tier} {call.outcome} {call.error}".strip() for call in calls)
    for name, count in sorted(outcomes.items()):
        print(f"  {name}: {count}")
    print("  faults:", ", ".join(f"{name} {count}" for name, count in shifts.counts.items()))
    for span in shifts.spans if violations else []:
        print(f"  {span.what} {span.name} from {span.begin:.2f} to {span.end:.2f}")
    print(f"  violations: {len(violations)}")
    for violation in violations[:20]:
        print("   ", violation)


if __name__ == "__main__":
    main()
