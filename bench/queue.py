"""Measures the cost of each queue operation: ``python -m bench.queue``."""

from __future__ import annotations

import argparse
import importlib.util
import random
import statistics
import sys
import time
from pathlib import Path
from typing import Any

import celeryrun.pool._queue as current_queue

__all__ = ["main"]

# numbers of queued requests and workspaces
QUEUE_SIZES = ((10, 10), (100, 100), (500, 600), (2000, 10), (2000, 2400))
DECISIONS = 2000
REPEATS = 5
FAR_DEADLINE = 1e12
ACTIONS = (
    "push and pop",
    "push and shed",
    "push and remove",
    "count_of_workspace",
    "expired, none due",
)


def load_queue(path: str) -> Any:
    """Load the queue module of another worktree."""
    file = Path(path) / "celeryrun/pool/_queue.py"
    spec = importlib.util.spec_from_file_location("previous_queue", file)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


def measure(module: Any, waiting: int, workspaces: int, decisions: int) -> dict[str, float]:
    """Return the median microseconds of each action over some repeats."""
    times: dict[str, list[float]] = {action: [] for action in ACTIONS}
    for seed in range(REPEATS):
        rng = random.Random(seed)
        queue = module.FairQueue()

        def build_request(number: int, rng: random.Random = rng) -> Any:
            workspace = f"workspace-{rng.randrange(workspaces)}"
            tier, cost = rng.choice((1, 2, 3)), rng.uniform(1, 400)
            return module.QueuedRequest(
                f"node-{number % 400}", number, tier, workspace, cost, (), FAR_DEADLINE + number
            )

        for number in range(waiting):
            queue.push(build_request(number))
        for action in ACTIONS:
            requests = [build_request(waiting + number) for number in range(decisions)]
            started = time.perf_counter()
            for request in requests:
                match action:
                    case "push and pop":
                        queue.push(request)
                        queue.pop()
                    case "push and shed":
                        queue.push(request)
                        queue.shed()
                    case "push and remove":
                        queue.push(request)
                        queue.remove(request.node, request.slot_request_id)
                    case "count_of_workspace":
                        queue.count_of_workspace(request.workspace)
                    case _:
                        queue.pop_expired(0.0)
            times[action].append((time.perf_counter() - started) / decisions * 1e6)
    return {action: statistics.median(values) for action, values in times.items()}


def main() -> None:
    """Print a table of microseconds per action."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--previous", default="", help="worktree of an earlier commit")
    parser.add_argument("--decisions", type=int, default=DECISIONS)
    options = parser.parse_args()
    modules = {"now": current_queue}
    if options.previous:
        modules["previous"] = load_queue(options.previous)
    print("| queue | waiting | workspaces | " + " | ".join(ACTIONS) + " |")
    print("|---" * (len(ACTIONS) + 3) + "|")
    for name, module in modules.items():
        for waiting, workspaces in QUEUE_SIZES:
            cost_by_action = measure(module, waiting, workspaces, options.decisions)
            cells = " | ".join(f"{cost_by_action[action]:.1f}" for action in ACTIONS)
            print(f"| {name} | {waiting} | {workspaces} | {cells} |", flush=True)


if __name__ == "__main__":
    main()
