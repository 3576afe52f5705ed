"""One run of one load under one policy: ``python -m bench._run`` prints its result as JSON."""

from __future__ import annotations

import argparse
import asyncio
import sys
import threading
from collections import Counter

import msgspec

from bench._deployment import DEPLOYMENTS, Deployment, Load, build_load
from bench._load import Outcome, plan_arrivals, send_all
from bench._policies import BASELINES
from celeryrun.membership import choose_owner
from standins.fleet import Fleet, FleetConfig

__all__ = ["Group", "Result", "percentile", "run"]

WARM_UP = 3.0  # s that are not counted
SLOW_SPEED = 0.25


class Group(msgspec.Struct):
    """What one workspace, or one tier, got in one pool.

    Parameters
    ----------
    first : list of float
        Seconds to the first byte of each whole answer within its deadline, sorted.
    """

    offered: int = 0
    good: int = 0
    first: list[float] = []

    def part(self) -> float:
        """Return the part of the requests answered whole within the deadline."""
        return self.good / self.offered if self.offered else 1.0

    def p95(self) -> float:
        """Return the 95th percentile of the time to the first byte, in seconds."""
        return percentile(self.first, 0.95)


class Result(msgspec.Struct):
    """Figures of one run.

    Parameters
    ----------
    by_workspace : dict
        Keyed by ``WORKSPACE/POOL``.
    work_rate : float
        Work of good answers a second as a part of the engines' capacity.
    offered_rate : float
        Work asked for a second as a part of the engines' capacity.
    wasted : float
        Part of all prefill that no good answer used.
    lag : float
        99th percentile of the load tool's lag, in seconds.
    """

    deployment: str
    load: str
    policy: str
    seed: int
    by_workspace: dict[str, Group]
    by_tier: dict[int, Group]
    outside: Group
    work_rate: float
    offered_rate: float
    wasted: float
    lag: float
    statuses: dict[int, int]


def percentile(values: list[float], part: float) -> float:
    """Return a percentile of sorted values, 0 of none.

    Examples
    --------
    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    3.0
    """
    return values[min(len(values) - 1, int(part * len(values)))] if values else 0.0


def run(
    deployment: Deployment, load: Load, policy: str, seed: int, seconds: float, previous: str
) -> Result:
    """Start a fleet, send a load, and sum up."""
    with Fleet(_fleet_plan(deployment, policy, previous)) as fleet:
        for name in fleet.port_by_name:
            if name.startswith(("engine", "application")):
                fleet.set_faults(name, slow=deployment.zone_latency)
        arrivals = plan_arrivals(load, WARM_UP + seconds, len(fleet.nodes), seed)
        ports = [fleet.port_by_name[node] for node in fleet.nodes]
        middle = threading.Timer(WARM_UP + seconds / 2, _break, (fleet, load.fault))
        middle.start()
        outcomes = asyncio.run(send_all(arrivals, ports, deployment.client_latency))
        middle.join()
        prefill = _prefill(fleet)
    counted = [item for item in outcomes if item.arrival.at >= WARM_UP]
    capacity = deployment.capacity_by_pool["drafts"]
    return Result(
        deployment.name,
        load.name,
        policy,
        seed,
        _group(counted, lambda item: f"{item.arrival.caller.workspace}/{item.arrival.caller.pool}"),
        _group(counted, lambda item: item.arrival.caller.tier),
        _group(
            [item for item in counted if item.arrival.caller.workspace in load.outside],
            lambda _: "outside",
        ).get("outside", Group()),
        _finished_work(outcomes, seconds) / capacity / seconds,
        sum(item.arrival.caller.work for item in counted if item.arrival.caller.prompt)
        / capacity
        / seconds,
        _wasted(outcomes, prefill),
        percentile(sorted(item.lag for item in outcomes), 0.99),
        dict(Counter(item.status for item in counted)),
    )


def _fleet_plan(deployment: Deployment, policy: str, previous: str) -> FleetConfig:
    config = deployment.fleet_plan()
    if policy in BASELINES:
        config.node_command = (sys.executable, "-m", "bench._node", policy)
    elif policy == "previous":
        config.node_environment = {"PYTHONPATH": previous, "PYTHONSAFEPATH": "1"}
    return config


def _break(fleet: Fleet, fault: str) -> None:
    match fault:
        case "slow":
            fleet.set_faults("engine-0", speed=SLOW_SPEED)
        case "die":
            keeper = choose_owner("pool/drafts", fleet.nodes)
            assert keeper is not None
            fleet.send_signal("engine-0")
            fleet.send_signal(keeper)


def _prefill(fleet: Fleet) -> tuple[int, int]:
    records = [
        fleet.call_standin("GET", name, "/record")
        for name, process in fleet.process_by_name.items()
        if name.startswith("engine") and process.poll() is None
    ]
    return (
        sum(record["prefill_tokens"] for record in records),
        sum(record["prefill_wasted"] for record in records),
    )


def _wasted(outcomes: list[Outcome], prefill: tuple[int, int]) -> float:
    total, cancelled = prefill
    late = sum(item.arrival.caller.prompt for item in outcomes if item.whole and not item.good)
    return (cancelled + late) / total if total else 0.0


def _finished_work(outcomes: list[Outcome], seconds: float) -> float:
    """Sum the work of good answers that ended while requests were counted."""
    return sum(
        item.arrival.caller.work
        for item in outcomes
        if item.good
        and item.arrival.caller.prompt
        and WARM_UP <= item.arrival.at + item.total < WARM_UP + seconds
    )


def _group(outcomes: list[Outcome], key: object) -> dict:
    groups: dict = {}
    for item in outcomes:
        group = groups.setdefault(key(item), Group(first=[]))  # type: ignore[operator]
        group.offered += 1
        if item.good:
            group.good += 1
            group.first.append(round(item.first, 4))
    for group in groups.values():
        group.first.sort()
    return groups


def main() -> None:
    """Run one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), required=True)
    parser.add_argument("--load", required=True)
    parser.add_argument("--policy", default="celeryrun")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--previous", default="")
    options = parser.parse_args()
    deployment = DEPLOYMENTS[options.deployment]
    load = build_load(deployment, options.load)
    result = run(deployment, load, options.policy, options.seed, options.seconds, options.previous)
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
