"""Runs one load under one policy: ``python -m bench._run`` prints its result as JSON."""

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

WARM_UP = 3.0  # s whose requests are not counted
SLOW_SPEED = 0.25  # factor on the speed of the slow engine


class Group(msgspec.Struct):
    """Results of the requests of one workspace in one pool, or of one tier.

    Parameters
    ----------
    first : list of float
        Seconds to the first byte of each response that was complete within its deadline, sorted.
    """

    offered: int = 0
    good: int = 0
    first: list[float] = []

    def goodput(self) -> float:
        """Return the fraction of requests answered completely within the deadline."""
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
        Work of on-time responses per second, as a fraction of the engines' capacity.
    offered_rate : float
        Work of offered requests per second, as a fraction of the engines' capacity.
    wasted : float
        Fraction of all prefill that no on-time response used.
    lag : float
        99th percentile of the load generator's lag, in seconds.
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


def percentile(values: list[float], fraction: float) -> float:
    """Return a quantile of sorted values, 0 if there are none.

    Examples
    --------
    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    3.0
    """
    return values[min(len(values) - 1, int(fraction * len(values)))] if values else 0.0


def run(
    deployment: Deployment, load: Load, policy: str, seed: int, seconds: float, previous: str
) -> Result:
    """Start a fleet, send a load, and summarize the outcomes."""
    with Fleet(_build_fleet_config(deployment, policy, previous)) as fleet:
        for name in fleet.port_by_name:
            if name.startswith(("engine", "application")):
                fleet.set_faults(name, slow=deployment.zone_latency)
        arrivals = plan_arrivals(load, WARM_UP + seconds, len(fleet.nodes), seed)
        ports = [fleet.port_by_name[node] for node in fleet.nodes]
        fault_timer = threading.Timer(WARM_UP + seconds / 2, _inject_fault, (fleet, load.fault))
        fault_timer.start()
        outcomes = asyncio.run(send_all(arrivals, ports, deployment.client_latency))
        fault_timer.join()
        prefill = _read_prefill(fleet)
    counted = [outcome for outcome in outcomes if outcome.arrival.at >= WARM_UP]
    capacity = deployment.capacity_by_pool["drafts"]
    return Result(
        deployment.name,
        load.name,
        policy,
        seed,
        _group_outcomes(
            counted,
            lambda outcome: f"{outcome.arrival.caller.workspace}/{outcome.arrival.caller.pool}",
        ),
        _group_outcomes(counted, lambda outcome: outcome.arrival.caller.tier),
        _group_outcomes(
            [outcome for outcome in counted if outcome.arrival.caller.workspace in load.outside],
            lambda _: "outside",
        ).get("outside", Group()),
        _finished_work(outcomes, seconds) / capacity / seconds,
        sum(outcome.arrival.caller.work for outcome in counted if outcome.arrival.caller.prompt)
        / capacity
        / seconds,
        _wasted_fraction(outcomes, prefill),
        percentile(sorted(outcome.lag for outcome in outcomes), 0.99),
        dict(Counter(outcome.status for outcome in counted)),
    )


def _build_fleet_config(deployment: Deployment, policy: str, previous: str) -> FleetConfig:
    config = deployment.fleet_config()
    if policy in BASELINES:
        config.node_command = (sys.executable, "-m", "bench._node", policy)
    elif policy == "previous":
        config.node_environment = {"PYTHONPATH": previous, "PYTHONSAFEPATH": "1"}
    return config


def _inject_fault(fleet: Fleet, fault: str) -> None:
    match fault:
        case "slow":
            fleet.set_faults("engine-0", speed=SLOW_SPEED)
        case "die":
            keeper = choose_owner("pool/drafts", fleet.nodes)
            assert keeper is not None
            fleet.send_signal("engine-0")
            fleet.send_signal(keeper)


def _read_prefill(fleet: Fleet) -> tuple[int, int]:
    records = [
        fleet.call_standin("GET", name, "/record")
        for name, process in fleet.process_by_name.items()
        if name.startswith("engine") and process.poll() is None
    ]
    return (
        sum(record["prefill_tokens"] for record in records),
        sum(record["prefill_wasted"] for record in records),
    )


def _wasted_fraction(outcomes: list[Outcome], prefill: tuple[int, int]) -> float:
    total, cancelled = prefill
    late = sum(
        outcome.arrival.caller.prompt
        for outcome in outcomes
        if outcome.complete and not outcome.good
    )
    return (cancelled + late) / total if total else 0.0


def _finished_work(outcomes: list[Outcome], seconds: float) -> float:
    """Return the work of on-time responses that ended after the warm-up and within the run."""
    return sum(
        outcome.arrival.caller.work
        for outcome in outcomes
        if outcome.good
        and outcome.arrival.caller.prompt
        and WARM_UP <= outcome.arrival.at + outcome.total < WARM_UP + seconds
    )


def _group_outcomes(outcomes: list[Outcome], key: object) -> dict:
    groups: dict = {}
    for outcome in outcomes:
        group = groups.setdefault(key(outcome), Group(first=[]))  # type: ignore[operator]
        group.offered += 1
        if outcome.good:
            group.good += 1
            group.first.append(round(outcome.first, 4))
    for group in groups.values():
        group.first.sort()
    return groups


def main() -> None:
    """Run one load and print the result as JSON."""
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
