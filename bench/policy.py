"""Compares the policy with baselines: ``python -m bench.policy --deployment cajas``.

Each run starts the whole deployment: unmodified node processes, stand-in targets, and one load
generator. Results are kept as JSON lines, from which the tables and plots are written.
"""

from __future__ import annotations

import argparse
import itertools
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from bench._deployment import DEPLOYMENTS
from bench._policies import BASELINES
from bench._report import print_summary, write_report
from bench._run import Result

__all__ = ["main"]

LOADS = (
    "steady-60",
    "steady-95",
    "flood-low",
    "flood-high",
    "alone",
    "large-20x",
    "checks-beside-long",
    "slow-engine",
    "deaths",
    "prefixes",
)
RUN_TIMEOUT = 120.0  # s
MAX_LAG = 0.05  # s, limit of the load generator's 99th percentile lag
MAX_ATTEMPTS = 3  # a fleet fails to start if another process takes one of its ports
PRODUCT = "celeryrun"


def measure(
    deployment: str, load: str, policy: str, seed: int, seconds: float, previous: str
) -> Result:
    """Run one case in a process of its own."""
    command = [sys.executable, "-m", "bench._run", "--deployment", deployment, "--load", load]
    command += ["--policy", policy, "--seed", str(seed), "--seconds", str(seconds)]
    command += ["--previous", previous]
    completed = subprocess.run(
        command, stdout=subprocess.PIPE, timeout=RUN_TIMEOUT, check=True, text=True
    )
    result = msgspec.json.decode(completed.stdout, type=Result)
    print_summary(result)
    return result


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", action="append", choices=sorted(DEPLOYMENTS))
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--loads", default=",".join(LOADS))
    parser.add_argument("--policies", default=",".join([PRODUCT, *BASELINES]))
    parser.add_argument("--previous", default="", help="worktree of an earlier commit")
    parser.add_argument("--seconds", type=float, default=8.0, help="measured seconds per run")
    parser.add_argument("--jobs", type=int, default=1, help="number of concurrent deployments")
    parser.add_argument("--report", type=Path, help="folder of the tables and plots")
    parser.add_argument(
        "--results", type=Path, help="file of JSON lines that is read first and appended to"
    )
    return parser.parse_args()


def main() -> None:
    """Measure the cases without a result, and write the report."""
    options = _parse_options()
    policies = options.policies.split(",") + (["previous"] if options.previous else [])
    cases = itertools.product(
        [int(seed) for seed in options.seeds.split(",")],
        options.deployment or sorted(DEPLOYMENTS),
        options.loads.split(","),
        policies,
    )
    results: list[Result] = []
    if options.results and options.results.exists():
        lines = options.results.read_bytes().splitlines()
        results = [msgspec.json.decode(line, type=Result) for line in lines]
    measured_cases = {
        (result.deployment, result.load, result.policy, result.seed) for result in results
    }

    def measure_case(seed: int, deployment: str, load: str, policy: str) -> Result | None:
        if (deployment, load, policy, seed) in measured_cases:
            return None
        for _ in range(MAX_ATTEMPTS):
            try:
                result = measure(deployment, load, policy, seed, options.seconds, options.previous)
            except (subprocess.SubprocessError, msgspec.MsgspecError) as error:
                print(f"{deployment} {load} {policy} seed {seed}: no result ({error})", flush=True)
                continue
            if result.lag > MAX_LAG:
                print(
                    f"{deployment} {load} {policy} seed {seed}: dropped, the load generator lagged"
                )
                continue
            if options.results:
                with open(options.results, "ab") as file:
                    file.write(msgspec.json.encode(result) + b"\n")
            return result
        return None

    with ThreadPoolExecutor(options.jobs) as pool:
        results += [
            result for result in pool.map(lambda case: measure_case(*case), cases) if result
        ]
    if options.report:
        write_report(results, options.report, " ".join(sys.argv))


if __name__ == "__main__":
    main()
