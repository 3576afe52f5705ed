"""Long, seeded run of a changing fleet under overload, checked from outside the nodes.

Run it with ``python -m proofs.fleet --seed 1 --seconds 60``; it exits with 1 on any violation.

The checks compare three records: the callers' (start, end and outcome of each request), the
targets' (arrival of each request) and the intervals of the faults. Violations are

- a request that is shed while a request of a lower tier, sent earlier and dispatched later, waits;
  a request that waits on a paused node does not count until the keeper has had time to detect
  that the node is silent,
- a request without a complete response, or with an unknown outcome before its deadline, on a node
  that is not killed meanwhile,
- a request that reaches a target later than a bound after the list marked the target as leaving,
- a response long after the deadline, and a node that exits because of a violated invariant.
"""

from __future__ import annotations

import sys
import time
from collections import Counter

import click

from proofs._fleet_faults import FaultInterval, FleetFaultInjector
from proofs._tiers import REQUEST_TIMEOUT, TierCall, TierCallers
from proofs.mixed import find_stopped_nodes
from standins.fleet import Fleet, FleetConfig

__all__ = ["main"]

MESSAGE_DELAY_MARGIN = 0.25  # s, delay of a message on a busy machine
LIST_LAG = 1.0  # s until a change of the list of VMs is visible
MAX_LEAVING_DELAY = 4.0  # s from the visible change of the list to the last new request
MAX_DETECTION_DELAY = 3.0  # s until a keeper detects a silent node
DEADLINE_TOLERANCE = 4.0  # s past the deadline that a response may take
THREADS_BY_TIER = {1: 70, 2: 16, 3: 16}


@click.command()
@click.option("--seed", type=int, default=1)
@click.option("--seconds", type=float, default=60.0)
@click.option("--period", type=float, default=1.5, help="Mean seconds between two faults.")
def main(seed: int, seconds: float, period: float) -> None:
    """Run the fleet under faults, print the counts, and exit with 1 on any violation."""
    config = FleetConfig(
        nodes=4,
        engines=0,
        applications=3,
        application_seconds=1.0,
        list_lag=LIST_LAG,
        extra_settings={"limits": {"max_waiting": "24"}},
    )
    with Fleet(config) as fleet:
        callers = TierCallers(fleet, seed, THREADS_BY_TIER)
        injector = FleetFaultInjector(fleet, seed, period)
        injector.unready_nodes = callers.unready_nodes
        callers.start()
        try:
            injector.run(seconds)
        finally:
            callers.stop()
        dispatched_at_by_marker = read_dispatch_times(fleet)
        violations = [
            *check_shedding(callers.calls, dispatched_at_by_marker, injector.intervals),
            *check_failures(callers.calls, injector.intervals),
            *check_leaving_targets(fleet, injector.intervals),
            *find_stopped_nodes(fleet),
        ]
        report(seed, callers.calls, injector, violations)
    sys.exit(1 if violations else 0)


def read_dispatch_times(fleet: Fleet) -> dict[str, float]:
    """Return the time at which a target first received each request, by marker."""
    dispatched_at_by_marker: dict[str, float] = {}
    for vm in fleet.vms:
        if vm["role"] == "target":
            for entry in fleet.recorded_requests(vm["name"]):
                dispatched_at_by_marker.setdefault(entry["path"].split("/")[-1], entry["time"])
    return dispatched_at_by_marker


def check_shedding(
    calls: list[TierCall], dispatched_at_by_marker: dict[str, float], intervals: list[FaultInterval]
) -> list[str]:
    """Return the requests that were shed while a request of a lower tier waited."""
    pauses = [interval for interval in intervals if interval.fault == "pause"]
    waiting_calls = [
        (
            call.started_at + MESSAGE_DELAY_MARGIN,
            dispatched_at_by_marker.get(call.marker, call.ended_at) - MESSAGE_DELAY_MARGIN,
            call,
        )
        for call in calls
        if call.outcome in ("complete", "not-run") and call.tier > 1
    ]
    violations = []
    for shed in calls:
        if not shed.is_shed():
            continue
        passed_over = [
            call
            for begin, end, call in waiting_calls
            if call.tier > shed.tier and begin < shed.started_at and shed.ended_at < end
            if not is_undetected(call.node, shed, pauses)
        ]
        if passed_over:
            lower = passed_over[0]
            violations.append(
                f"tier {shed.tier} shed by {shed.node} at {shed.ended_at:.2f}, "
                f"while {lower.marker} waited on {lower.node} from {lower.started_at:.2f} "
                f"({len(passed_over)} such)"
            )
    return violations


def is_undetected(node: str, shed: TierCall, pauses: list[FaultInterval]) -> bool:
    """Return whether a node was paused too shortly before a shed for the keeper to detect it."""
    return any(
        pause.name == node and pause.begin <= shed.ended_at <= pause.begin + MAX_DETECTION_DELAY
        for pause in pauses
    )


def check_failures(calls: list[TierCall], intervals: list[FaultInterval]) -> list[str]:
    """Return the requests that failed on nodes that were not killed, and late responses."""
    kills = [interval for interval in intervals if interval.fault == "kill"]
    pauses = [interval for interval in intervals if interval.fault == "pause"]
    violations = []
    for call in calls:
        name = f"{call.marker} on {call.node} at {call.started_at:.2f}"
        killed = any(
            kill.name == call.node and kill.overlaps(call.started_at, call.ended_at)
            for kill in kills
        )
        paused = any(
            pause.name == call.node and pause.overlaps(call.started_at, call.ended_at)
            for pause in pauses
        )
        expired = call.outcome == "unknown" and call.ended_at - call.started_at >= REQUEST_TIMEOUT
        if call.outcome in ("broken", "unknown", "missing") and not (killed or expired):
            violations.append(f"{name} failed: {call.outcome} {call.error} {call.reason}")
        if call.error == "caller-gone":
            violations.append(f"{name} ended with caller-gone, but its caller was connected")
        late = call.ended_at - call.started_at > REQUEST_TIMEOUT + DEADLINE_TOLERANCE
        if late and not (killed or paused):
            violations.append(f"{name} took {call.ended_at - call.started_at:.1f} s")
    return violations


def check_leaving_targets(fleet: Fleet, intervals: list[FaultInterval]) -> list[str]:
    """Return the targets that received requests long after the list marked them as leaving."""
    outages = [interval for interval in intervals if interval.fault == "list down"]
    violations = []
    for interval in intervals:
        begin = interval.begin + LIST_LAG + MAX_LEAVING_DELAY
        list_was_down = any(outage.overlaps(interval.begin, begin) for outage in outages)
        if interval.fault != "leaves by list" or list_was_down:
            continue
        late = [
            entry
            for entry in fleet.recorded_requests(interval.name)
            if begin < entry["time"] < interval.end + LIST_LAG
        ]
        if late:
            violations.append(
                f"{interval.name} got {len(late)} requests after it should have left at {begin:.2f}"
            )
    return violations


def report(
    seed: int, calls: list[TierCall], injector: FleetFaultInjector, violations: list[str]
) -> None:
    """Print the counts and the violations."""
    print(f"seed {seed}: {len(calls)} requests, ended {time.strftime('%H:%M:%S')}")
    outcomes = Counter(f"tier {call.tier} {call.outcome} {call.error}".strip() for call in calls)
    for name, count in sorted(outcomes.items()):
        print(f"  {name}: {count}")
    print("  faults:", ", ".join(f"{name} {count}" for name, count in injector.counts.items()))
    for interval in injector.intervals if violations else []:
        print(f"  {interval.fault} {interval.name} from {interval.begin:.2f} to {interval.end:.2f}")
    print(f"  violations: {len(violations)}")
    for violation in violations[:20]:
        print("   ", violation)


if __name__ == "__main__":
    main()
