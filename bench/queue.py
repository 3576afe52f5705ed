"""Measures the queue's cost for each decision: ``python -m bench.queue``."""

from __future__ import annotations

import argparse
import importlib.util
import random
import statistics
import sys
import time
from pathlib import Path
from typing import Any

import celeryrun.pool._queue as current

__all__ = ["main"]

SIZES = ((10, 10), (100, 100), (500, 600), (2000, 10), (2000, 2400))  # waiting, workspaces
DECISIONS = 2000
REPEATS = 5
NEVER = 1e12
ACTIONS = (
    "push and pop",
    "push and shed",
    "push and remove",
    "count_of_workspace",
    "expired, none due",
)


def load_queue(path: str) -> Any:
    """Load the queue's module from another worktree."""
    file = Path(path) / "celeryrun/pool/_queue.py"
    spec = importlib.util.spec_from_file_location("previous_queue", file)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


def measure(module: Any, waiting: int, workspaces: int, decisions: int) -> dict[str, float]:
    """Return microseconds for each action, the median of some repeats."""
    times: dict[str, list[float]] = {action: [] for action in ACTIONS}
    for seed in range(REPEATS):
        draw = random.Random(seed)
        queue = module.FairQueue()

        def ask(number: int, draw: random.Random = draw) -> Any:
            workspace = f"workspace-{draw.randrange(workspaces)}"
            tier, cost = draw.choice((1, 2, 3)), draw.uniform(1, 400)
            return module.QueuedRequest(
                f"node-{number % 400}", number, tier, workspace, cost, (), NEVER + number
            )

        for number in range(waiting):
            queue.push(ask(number))
        for action in ACTIONS:
            asks = [ask(waiting + number) for number in range(decisions)]
            started = time.perf_counter()
            for item in asks:
                match action:
                    case "push and pop":
                        queue.push(item)
                        queue.pop()
                    case "push and shed":
                        queue.push(item)
                        queue.shed()
                    case "push and remove":
                        queue.push(item)
                        queue.remove(item.node, item.slot_request_id)
                    case "count_of_workspace":
                        queue.count_of_workspace(item.workspace)
                    case _:
                        queue.pop_expired(0.0)
            times[action].append((time.perf_counter() - started) / decisions * 1e6)
    return {action: statistics.median(values) for action, values in times.items()}


def main() -> None:
    """Print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--previous", default="", help="worktree of an earlier commit")
    parser.add_argument("--decisions", type=int, default=DECISIONS)
    options = parser.parse_args()
    modules = {"now": current}
    if options.previous:
        modules["previous"] = load_queue(options.previous)
    print("| queue | waiting | workspaces | " + " | ".join(ACTIONS) + " |")
    print("|---" * (len(ACTIONS) + 3) + "|")
    for name, module in modules.items():
        for waiting, workspaces in SIZES:
            cost_by_action = measure(module, waiting, workspaces, options.decisions)
            cells = " | ".join(f"{cost_by_action[action]:.1f}" for action in ACTIONS)
            print(f"| {name} | {waiting} | {workspaces} | {cells} |", flush=True)


if __name__ == "__main__":
    main()
