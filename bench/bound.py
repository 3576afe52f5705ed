"""Upper bound on the worth that any planner could serve on the days of a site file.

``python -m bench.bound SITE`` prints, for each day, the share of all worth that engines without
waste could answer on time, in total and by class of request, with the highest worth per work first.
"""

from __future__ import annotations

import sys
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

__all__ = ["RequestClass", "plan_window", "worth_bound"]

MS = 0.001  # s
WINDOW = 6  # s within which the work of a stream may be shifted; most streams are shorter


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests of one class of the site file, with their mean size.

    Parameters
    ----------
    work : float
        Seconds of an engine of speed 1 with a full batch.
    worth : float
        Worth of an answer on time.
    """

    name: str
    work: float
    worth: float


def plan_window(
    offered: Mapping[RequestClass, float], capacity: float
) -> dict[RequestClass, float]:
    """Return the number of requests served in a window, highest worth per work first.

    Parameters
    ----------
    offered : mapping
        Number of requests of each class.
    capacity : float
        Engine seconds.

    Examples
    --------
    >>> small, large = RequestClass("small", 0.1, 1.0), RequestClass("large", 1.0, 2.0)
    >>> plan_window({large: 2, small: 5}, 1.5)[large]
    1.0
    """
    served = {}
    for request_class in sorted(
        offered, key=lambda request_class: -request_class.worth / request_class.work
    ):
        served[request_class] = min(offered[request_class], capacity / request_class.work)
        capacity -= served[request_class] * request_class.work
    return served


def worth_bound(site: dict[str, Any], day: dict[str, Any]) -> tuple[float, dict[str, float]]:
    """Return the share of worth that can be served on a day, in total and by class.

    Work is pooled over windows, at the best phase. Variation within a second, faults of anything
    but engines, and the worst periods and zones are ignored, so the result remains an upper bound.
    """
    return max(
        (_worth_bound_at(site, day, phase) for phase in range(WINDOW)), key=lambda result: result[0]
    )


def _worth_bound_at(
    site: dict[str, Any], day: dict[str, Any], phase: int
) -> tuple[float, dict[str, float]]:
    engine = next(service for service in site["services"] if "llm" in service)
    classes = [_build_class(entry, engine["llm"]) for entry in site["classes"] if "stream" in entry]
    served_worth = dict.fromkeys(classes, 0.0)
    offered_worth = dict.fromkeys(classes, 0.0)
    duration = int(site["length_s"])
    for begin in range(phase - WINDOW, duration, WINDOW):
        seconds = [second for second in range(begin, begin + WINDOW) if 0 <= second < duration]
        offered = {
            request_class: sum(_rate(site, day, request_class.name, second) for second in seconds)
            for request_class in classes
        }
        served = plan_window(
            offered, sum(_capacity(site, day, engine, second) for second in seconds)
        )
        for request_class in classes:
            offered_worth[request_class] += offered[request_class] * request_class.worth
            served_worth[request_class] += served[request_class] * request_class.worth
    return (
        sum(served_worth.values()) / sum(offered_worth.values()),
        {
            request_class.name: served_worth[request_class] / offered_worth[request_class]
            for request_class in classes
        },
    )


def _build_class(entry: dict[str, Any], engine: dict[str, Any]) -> RequestClass:
    stream = entry["stream"]
    tokens = stream["pieces"]["mean"] * engine["stride"]
    step_time = engine["step_ms"] + engine["batch"] * engine["step_ms_per_slot"]
    prefill_time = stream["prompt_tokens"]["mean"] / engine["prefill_tokens_per_ms"]
    return RequestClass(
        entry["name"], MS * (prefill_time + tokens * step_time / engine["batch"]), entry["worth"]
    )


def _rate(site: dict[str, Any], day: dict[str, Any], name: str, second: int) -> float:
    rate = 0.0
    for traffic in day.get("traffic", site["traffic"]):
        mix = traffic["mix"]
        rate += traffic["per_s"] * mix.get(name, 0.0) / sum(mix.values())
    for fault in day.get("faults", []):
        if fault["kind"] == "burst" and _is_active(fault, second):
            rate *= fault["x"] if fault.get("class", name) == name else 1.0
    return rate * site["thin"]


def _capacity(
    site: dict[str, Any], day: dict[str, Any], engine: dict[str, Any], second: int
) -> float:
    speeds = engine["speeds"]
    count = site["thin"] * sum(servers["count"] for servers in engine["servers"])
    # A speed in the site file is a factor on the step time.
    capacity = count * sum(1 / speed for speed in speeds) / len(speeds)
    for fault in day.get("faults", []):
        is_engine_crash = (
            fault["kind"] == "srv_crash" and fault.get("service", engine["name"]) == engine["name"]
        )
        if is_engine_crash and _is_active(fault, second):
            capacity *= 1 - fault.get("share", 0.0)
    return capacity


def _is_active(fault: dict[str, Any], second: int) -> bool:
    return bool(fault["at"] <= second < fault["at"] + fault.get("for_s", 0.0))


def main() -> None:
    """Print the table of one site file."""
    site = tomllib.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))
    print(f"{'day':12} bound  by class")
    for day in site["day"]:
        total_share, share_by_class = worth_bound(site, day)
        shares = ", ".join(f"{name} {share:.2f}" for name, share in share_by_class.items())
        print(f"{day['name']:12} {total_share:.2f}   {shares}")


if __name__ == "__main__":
    main()
