"""Table, targets and plots of measured runs."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable
from pathlib import Path

from bench._deployment import DEPLOYMENTS, build_load
from bench._run import Result

__all__ = ["print_summary", "write_report"]

PRODUCT = "celeryrun"
KEPT_TARGET = 0.95
SLOWER_TARGET = 1.5
WASTE_TARGET = 0.02
FLOODS = ("flood-low", "flood-high", "deaths")


def print_summary(result: Result) -> None:
    """Print one line for a run."""
    tiers = " ".join(f"{tier}:{group.part():.3f}" for tier, group in sorted(result.by_tier.items()))
    print(
        f"{result.deployment:10} {result.load:18} {result.policy:17} seed {result.seed}"
        f" tiers {tiers} outside {result.outside.part():.3f} p95 {_p95s(result)}"
        f" work {result.work_rate:.3f}/{result.offered_rate:.2f} wasted {result.wasted:.3f}"
        f" lag {result.lag * 1000:.0f}ms {result.statuses}",
        flush=True,
    )


def _p95s(result: Result) -> str:
    return " ".join(
        f"{name[:-7]}:{group.p95():.3f}"
        for name, group in sorted(result.by_workspace.items())
        if name.endswith("/drafts")
    )


class Table:
    """Runs found by deployment, load, policy and seed."""

    def __init__(self, results: Iterable[Result]) -> None:
        self.by_case = {
            (item.deployment, item.load, item.policy, item.seed): item for item in results
        }

    def seeds(self, deployment: str, load: str, policy: str) -> list[Result]:
        """Return the runs of all seeds."""
        return [
            item
            for (place, name, rule, _), item in sorted(self.by_case.items())
            if (place, name, rule) == (deployment, load, policy)
        ]

    def mean(
        self, deployment: str, load: str, policy: str, measure: Callable[[Result], float | None]
    ) -> float | None:
        """Return a measure's mean over the seeds."""
        found = [measure(item) for item in self.seeds(deployment, load, policy)]
        values = [value for value in found if value is not None]
        return statistics.mean(values) if values else None

    def reference(self, result: Result) -> Result | None:
        """Return the run of the same seed and policy without the flood."""
        load = build_load(DEPLOYMENTS[result.deployment], result.load)
        case = (result.deployment, load.reference, result.policy, result.seed)
        return self.by_case.get(case)


def _outside_kept(table: Table) -> Callable[[Result], float | None]:
    def measure(result: Result) -> float | None:
        reference = table.reference(result)
        return result.outside.part() / reference.outside.part() if reference else None

    return measure


def _worst_slower(table: Table) -> Callable[[Result], float | None]:
    def measure(result: Result) -> float | None:
        reference = table.reference(result)
        if reference is None:
            return None
        outside = build_load(DEPLOYMENTS[result.deployment], result.load).outside
        ratios = [
            group.p95() / reference.by_workspace[name].p95()
            for name, group in result.by_workspace.items()
            if name.partition("/")[0] in outside and reference.by_workspace[name].p95()
        ]
        return max(ratios)

    return measure


def _small_kept(table: Table) -> Callable[[Result], float | None]:
    return lambda result: _small(table, result, lambda group: group.part())


def _small_slower(table: Table) -> Callable[[Result], float | None]:
    return lambda result: _small(table, result, lambda group: group.p95())


def _small(table: Table, result: Result, read: Callable) -> float | None:
    reference = table.reference(result)
    name = f"{DEPLOYMENTS[result.deployment].small}/drafts"
    if reference is None or not read(reference.by_workspace[name]):
        return None
    return read(result.by_workspace[name]) / read(reference.by_workspace[name])


def _against_bound(result: Result) -> float:
    """Return goodput to the bound; work carried over from the warm-up could bring it above 1."""
    return min(1.0, result.work_rate / min(1.0, result.offered_rate))


def _slowest_p95(result: Result) -> float:
    outside = build_load(DEPLOYMENTS[result.deployment], result.load).outside
    return max(
        group.p95()
        for name, group in result.by_workspace.items()
        if name.endswith("/drafts") and name.partition("/")[0] in outside
    )


def _tier(number: int) -> Callable[[Result], float | None]:
    def measure(result: Result) -> float | None:
        group = result.by_tier.get(number)
        return group.part() if group else None

    return measure


def write_report(results: list[Result], folder: Path, command: str) -> None:
    """Write ``README.md`` and a plot for each deployment."""
    folder.mkdir(parents=True, exist_ok=True)
    table = Table(results)
    deployments = sorted({item.deployment for item in results})
    lines = ["# Policy under load: measured", "", f"Command: `{command}`", ""]
    lines += _notes(results)
    for deployment in deployments:
        lines += _deployment_tables(table, deployment)
        _plot(table, deployment, folder / f"{deployment}.png")
        lines += [f"![goodput outside the flood and by load]({deployment}.png)", ""]
    (folder / "README.md").write_text("\n".join(lines) + "\n")


def _notes(results: list[Result]) -> list[str]:
    seeds = ", ".join(str(seed) for seed in sorted({item.seed for item in results}))
    worst = max(item.lag for item in results)
    return [
        f"Seeds {seeds}; {len(results)} runs. Worst 99th percentile of the load tool's lag: "
        f"{worst * 1000:.0f} ms.",
        "",
        "Scale: an engine takes 12 ms a step idle and 24 ms at its knee of 4 to 12 streams (slower "
        "engines longer in proportion), beyond the knee streams share; it reads 128 tokens of "
        "prompt a step; an application has 4 workers of 100 ms. The bound is the engines' "
        "capacity in token steps, or what was asked for where that is less; goodput above it, from "
        "work carried over from the warm-up, counts as 1. Percentiles are of answers whole within "
        "the deadline. Latency between "
        "zones and to callers is slept in the stand-ins and the load tool; messages between "
        "nodes pass loopback undelayed.",
        "",
    ]


def _deployment_tables(table: Table, deployment: str) -> list[str]:
    cases = list(table.by_case)
    loads = list(dict.fromkeys(case[1] for case in cases if case[0] == deployment))
    policies = sorted({case[2] for case in cases if case[0] == deployment})
    policies.sort(key=lambda policy: policy != PRODUCT)
    lines = [f"## {deployment}", ""]
    for title, measure, better in _measures(table):
        lines += [f"### {title}", ""]
        lines += ["| load | " + " | ".join(policies) + " | to the best baseline |"]
        lines += ["|---" * (len(policies) + 2) + "|"]
        for load in loads:
            values = [table.mean(deployment, load, policy, measure) for policy in policies]
            if any(value is not None for value in values):
                cells = ["-" if value is None else f"{value:.3f}" for value in values]
                lines.append(f"| {load} | {' | '.join(cells)} | {_ratio(values, better)} |")
        lines.append("")
    return lines + _targets(table, deployment, loads, policies)


def _measures(table: Table) -> list[tuple[str, Callable[[Result], float | None], Callable]]:
    return [
        ("Goodput of tier 1, part answered whole within the deadline", _tier(1), max),
        ("Goodput of tier 2", _tier(2), max),
        ("Goodput of tier 3", _tier(3), max),
        ("Engines' goodput to the bound", _against_bound, max),
        ("Goodput kept outside the flood, to the same without it", _outside_kept(table), max),
        (
            "Worst p95 of first byte outside the flood, to the same without it",
            _worst_slower(table),
            min,
        ),
        (
            "Small caller's goodput beside the large, to the same without it",
            _small_kept(table),
            max,
        ),
        ("Small caller's p95 of first byte, to the same without it", _small_slower(table), min),
        ("Slowest p95 of first byte of an engine's caller outside the flood, s", _slowest_p95, min),
        ("Wasted prefill, part of all", lambda result: result.wasted, min),
    ]


def _ratio(values: list[float | None], better: Callable) -> str:
    others = [value for value in values[1:] if value is not None]
    if values[0] is None or not others:
        return "-"
    best = better(others)
    return f"{values[0] / best:.3f}" if best else f"{values[0]:.3f} to 0"


def _targets(table: Table, deployment: str, loads: list[str], policies: list[str]) -> list[str]:
    kept, slower = _outside_kept(table), _worst_slower(table)
    rows: list[tuple[str, float | None, bool, float]] = []

    def add(name: str, load: str, measure: Callable, most: bool, bound: float) -> None:
        if load in loads:
            rows.append((name, table.mean(deployment, load, PRODUCT, measure), most, bound))

    for load in FLOODS:
        add(f"{load}: goodput kept outside", load, kept, False, KEPT_TARGET)
        add(f"{load}: worst p95 outside", load, slower, True, SLOWER_TARGET)
    add("small caller's goodput", "large-20x", _small_kept(table), False, KEPT_TARGET)
    add("small caller's p95", "large-20x", _small_slower(table), True, SLOWER_TARGET)
    for load in ("flood-low", "flood-high", "large-20x"):
        add(f"{load}: goodput to capacity", load, _against_bound, False, KEPT_TARGET)
    for load in loads:
        add(f"{load}: wasted prefill", load, lambda result: result.wasted, True, WASTE_TARGET)
    lines = ["### Targets", "", "| target | bound | measured | |", "|---|---|---|---|"]
    for name, value, most, bound in rows:
        if value is not None:
            met = value <= bound if most else value >= bound
            sign = "at most" if most else "at least"
            lines.append(
                f"| {name} | {sign} {bound} | {value:.3f} | {'met' if met else 'NOT met'} |"
            )
    lines += ["", *_worse(table, deployment, loads, policies), ""]
    return lines


def _worse(table: Table, deployment: str, loads: list[str], policies: list[str]) -> list[str]:
    """List every measure on which a baseline is better."""
    found, cells = [], 0
    for title, measure, better in _measures(table):
        for load in loads:
            values = [table.mean(deployment, load, policy, measure) for policy in policies]
            others = [value for value in values[1:] if value is not None]
            if values[0] is None or not others:
                continue
            cells += 1
            if better(values[0], better(others)) != values[0]:
                found.append(f"- {load}, {title}: {values[0]:.3f} against {better(others):.3f}")
    head = f"Never worse than the best baseline: {len(found)} of {cells} cells are worse"
    return [head + (":" if found else "."), "", *found]


def _plot(table: Table, deployment: str, path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    cases = [case for case in table.by_case if case[0] == deployment]
    loads = list(dict.fromkeys(case[1] for case in cases))
    policies = sorted({case[2] for case in cases}, key=lambda policy: (policy != PRODUCT, policy))
    figure, axes = pyplot.subplots(3, 1, figsize=(11, 11), sharex=True)
    panels = [
        ("goodput outside the flood", lambda result: result.outside.part()),
        ("slowest p95 of first byte of an engine's caller outside the flood, s", _slowest_p95),
        ("engines' goodput to the bound", _against_bound),
    ]
    for axis, (title, measure) in zip(axes, panels, strict=True):
        for index, policy in enumerate(policies):
            values = [table.mean(deployment, load, policy, measure) or 0.0 for load in loads]
            places = [place + index * 0.8 / len(policies) for place in range(len(loads))]
            axis.bar(places, values, 0.8 / len(policies), label=policy)
        axis.set_title(f"{deployment}: {title}")
    axes[0].legend(fontsize=8)
    axes[-1].set_xticks(range(len(loads)), loads, rotation=20)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
