"""Tables, target checks and plots of measured runs."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable
from pathlib import Path

from bench._deployment import DEPLOYMENTS, build_load
from bench._run import Result

__all__ = ["print_summary", "write_report"]

PRODUCT = "celeryrun"
MIN_GOODPUT_RATIO = 0.95
MAX_LATENCY_RATIO = 1.5
MAX_WASTE = 0.02
FLOODS = ("flood-low", "flood-high", "deaths")


def print_summary(result: Result) -> None:
    """Print one line for a run."""
    tiers = " ".join(
        f"{tier}:{group.goodput():.3f}" for tier, group in sorted(result.by_tier.items())
    )
    print(
        f"{result.deployment:10} {result.load:18} {result.policy:17} seed {result.seed}"
        f" tiers {tiers} outside {result.outside.goodput():.3f} p95 {_format_p95s(result)}"
        f" work {result.work_rate:.3f}/{result.offered_rate:.2f} wasted {result.wasted:.3f}"
        f" lag {result.lag * 1000:.0f}ms {result.statuses}",
        flush=True,
    )


def _format_p95s(result: Result) -> str:
    return " ".join(
        f"{name[:-7]}:{group.p95():.3f}"
        for name, group in sorted(result.by_workspace.items())
        if name.endswith("/drafts")
    )


class ResultTable:
    """Results by deployment, load, policy and seed."""

    def __init__(self, results: Iterable[Result]) -> None:
        self.result_by_case = {
            (result.deployment, result.load, result.policy, result.seed): result
            for result in results
        }

    def results_of_seeds(self, deployment: str, load: str, policy: str) -> list[Result]:
        """Return the results of all seeds."""
        return [
            result
            for (result_deployment, name, result_policy, _), result in sorted(
                self.result_by_case.items()
            )
            if (result_deployment, name, result_policy) == (deployment, load, policy)
        ]

    def mean(
        self, deployment: str, load: str, policy: str, measure: Callable[[Result], float | None]
    ) -> float | None:
        """Return the mean of a measure over the seeds."""
        found = [measure(result) for result in self.results_of_seeds(deployment, load, policy)]
        values = [value for value in found if value is not None]
        return statistics.mean(values) if values else None

    def reference(self, result: Result) -> Result | None:
        """Return the result without the flood for the same seed and policy."""
        load = build_load(DEPLOYMENTS[result.deployment], result.load)
        case = (result.deployment, load.reference, result.policy, result.seed)
        return self.result_by_case.get(case)


def _goodput_ratio_outside(table: ResultTable) -> Callable[[Result], float | None]:
    def measure(result: Result) -> float | None:
        reference = table.reference(result)
        return result.outside.goodput() / reference.outside.goodput() if reference else None

    return measure


def _worst_latency_ratio(table: ResultTable) -> Callable[[Result], float | None]:
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


def _small_goodput_ratio(table: ResultTable) -> Callable[[Result], float | None]:
    return lambda result: _small_ratio(table, result, lambda group: group.goodput())


def _small_latency_ratio(table: ResultTable) -> Callable[[Result], float | None]:
    return lambda result: _small_ratio(table, result, lambda group: group.p95())


def _small_ratio(table: ResultTable, result: Result, read_figure: Callable) -> float | None:
    reference = table.reference(result)
    name = f"{DEPLOYMENTS[result.deployment].small_workspace}/drafts"
    if reference is None or not read_figure(reference.by_workspace[name]):
        return None
    return read_figure(result.by_workspace[name]) / read_figure(reference.by_workspace[name])


def _goodput_to_bound(result: Result) -> float:
    """Return the ratio of goodput to its bound.

    The ratio is capped at 1, which work carried over from the warm-up could exceed.
    """
    return min(1.0, result.work_rate / min(1.0, result.offered_rate))


def _slowest_p95(result: Result) -> float:
    outside = build_load(DEPLOYMENTS[result.deployment], result.load).outside
    return max(
        group.p95()
        for name, group in result.by_workspace.items()
        if name.endswith("/drafts") and name.partition("/")[0] in outside
    )


def _tier_goodput(number: int) -> Callable[[Result], float | None]:
    def measure(result: Result) -> float | None:
        group = result.by_tier.get(number)
        return group.goodput() if group else None

    return measure


def write_report(results: list[Result], folder: Path, command: str) -> None:
    """Write ``README.md`` and a plot for each deployment."""
    folder.mkdir(parents=True, exist_ok=True)
    table = ResultTable(results)
    deployments = sorted({result.deployment for result in results})
    lines = ["# Policy under load: measured", "", f"Command: `{command}`", ""]
    lines += _notes(results)
    for deployment in deployments:
        lines += _deployment_tables(table, deployment)
        _plot(table, deployment, folder / f"{deployment}.png")
        lines += [f"![goodput outside the flood and by load]({deployment}.png)", ""]
    (folder / "README.md").write_text("\n".join(lines) + "\n")


def _notes(results: list[Result]) -> list[str]:
    seeds = ", ".join(str(seed) for seed in sorted({result.seed for result in results}))
    worst = max(result.lag for result in results)
    return [
        f"Seeds {seeds}; {len(results)} runs. Worst 99th percentile of the load generator's lag: "
        f"{worst * 1000:.0f} ms.",
        "",
        "Scale: a step of an engine takes 12 ms when idle and 24 ms at its knee of 4 to 12 streams "
        "(proportionally longer on slower engines); beyond the knee, streams share the steps. An "
        "engine prefills 128 prompt tokens per step. An application has 4 workers of 100 ms per "
        "call. The bound is the engines' capacity in token steps, or the offered work where that "
        "is less; a ratio above 1, from work carried over from the warm-up, counts as 1. "
        "Percentiles are of responses complete within the deadline. The stand-ins and the load "
        "generator sleep for the latency between zones and to callers; messages between nodes "
        "pass over loopback without delay.",
        "",
    ]


def _deployment_tables(table: ResultTable, deployment: str) -> list[str]:
    cases = list(table.result_by_case)
    loads = list(dict.fromkeys(case[1] for case in cases if case[0] == deployment))
    policies = sorted({case[2] for case in cases if case[0] == deployment})
    policies.sort(key=lambda policy: policy != PRODUCT)
    lines = [f"## {deployment}", ""]
    for title, measure, best_of in _measures(table):
        lines += [f"### {title}", ""]
        lines += ["| load | " + " | ".join(policies) + " | ratio to the best baseline |"]
        lines += ["|---" * (len(policies) + 2) + "|"]
        for load in loads:
            values = [table.mean(deployment, load, policy, measure) for policy in policies]
            if any(value is not None for value in values):
                cells = ["-" if value is None else f"{value:.3f}" for value in values]
                lines.append(f"| {load} | {' | '.join(cells)} | {_format_ratio(values, best_of)} |")
        lines.append("")
    return lines + _target_rows(table, deployment, loads, policies)


def _measures(table: ResultTable) -> list[tuple[str, Callable[[Result], float | None], Callable]]:
    return [
        (
            "Goodput of tier 1, fraction answered completely within the deadline",
            _tier_goodput(1),
            max,
        ),
        ("Goodput of tier 2", _tier_goodput(2), max),
        ("Goodput of tier 3", _tier_goodput(3), max),
        ("Engines' goodput, ratio to the bound", _goodput_to_bound, max),
        (
            "Goodput outside the flood, ratio to the run without it",
            _goodput_ratio_outside(table),
            max,
        ),
        (
            "Worst p95 of first byte outside the flood, ratio to the run without it",
            _worst_latency_ratio(table),
            min,
        ),
        (
            "Small caller's goodput beside the large one, ratio to the run without it",
            _small_goodput_ratio(table),
            max,
        ),
        (
            "Small caller's p95 of first byte, ratio to the run without it",
            _small_latency_ratio(table),
            min,
        ),
        ("Slowest p95 of first byte of an engine's caller outside the flood, s", _slowest_p95, min),
        ("Wasted prefill, fraction of all", lambda result: result.wasted, min),
    ]


def _format_ratio(values: list[float | None], best_of: Callable) -> str:
    others = [value for value in values[1:] if value is not None]
    if values[0] is None or not others:
        return "-"
    best = best_of(others)
    return f"{values[0] / best:.3f}" if best else f"{values[0]:.3f} to 0"


def _target_rows(
    table: ResultTable, deployment: str, loads: list[str], policies: list[str]
) -> list[str]:
    goodput_ratio, latency_ratio = _goodput_ratio_outside(table), _worst_latency_ratio(table)
    rows: list[tuple[str, float | None, bool, float]] = []

    def add(name: str, load: str, measure: Callable, is_upper_bound: bool, bound: float) -> None:
        if load in loads:
            rows.append(
                (name, table.mean(deployment, load, PRODUCT, measure), is_upper_bound, bound)
            )

    for load in FLOODS:
        add(
            f"{load}: goodput ratio outside the flood",
            load,
            goodput_ratio,
            False,
            MIN_GOODPUT_RATIO,
        )
        add(
            f"{load}: worst p95 ratio outside the flood",
            load,
            latency_ratio,
            True,
            MAX_LATENCY_RATIO,
        )
    add(
        "small caller's goodput ratio",
        "large-20x",
        _small_goodput_ratio(table),
        False,
        MIN_GOODPUT_RATIO,
    )
    add(
        "small caller's p95 ratio",
        "large-20x",
        _small_latency_ratio(table),
        True,
        MAX_LATENCY_RATIO,
    )
    for load in ("flood-low", "flood-high", "large-20x"):
        add(f"{load}: goodput to capacity", load, _goodput_to_bound, False, MIN_GOODPUT_RATIO)
    for load in loads:
        add(f"{load}: wasted prefill", load, lambda result: result.wasted, True, MAX_WASTE)
    lines = ["### Targets", "", "| target | bound | measured | |", "|---|---|---|---|"]
    for name, value, is_upper_bound, bound in rows:
        if value is not None:
            met = value <= bound if is_upper_bound else value >= bound
            relation = "at most" if is_upper_bound else "at least"
            lines.append(
                f"| {name} | {relation} {bound} | {value:.3f} | {'met' if met else 'NOT met'} |"
            )
    lines += ["", *_regressions(table, deployment, loads, policies), ""]
    return lines


def _regressions(
    table: ResultTable, deployment: str, loads: list[str], policies: list[str]
) -> list[str]:
    """List every measure in which a baseline is better."""
    found, cells = [], 0
    for title, measure, best_of in _measures(table):
        for load in loads:
            values = [table.mean(deployment, load, policy, measure) for policy in policies]
            others = [value for value in values[1:] if value is not None]
            if values[0] is None or not others:
                continue
            cells += 1
            if best_of(values[0], best_of(others)) != values[0]:
                found.append(
                    f"- {load}, {title}: {values[0]:.3f}, best baseline {best_of(others):.3f}"
                )
    head = f"Comparison with the best baseline: {len(found)} of {cells} cells are worse"
    return [head + (":" if found else "."), "", *found]


def _plot(table: ResultTable, deployment: str, path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    cases = [case for case in table.result_by_case if case[0] == deployment]
    loads = list(dict.fromkeys(case[1] for case in cases))
    policies = sorted({case[2] for case in cases}, key=lambda policy: (policy != PRODUCT, policy))
    figure, axes = pyplot.subplots(3, 1, figsize=(11, 11), sharex=True)
    panels = [
        ("goodput outside the flood", lambda result: result.outside.goodput()),
        ("slowest p95 of first byte of an engine's caller outside the flood, s", _slowest_p95),
        ("engines' goodput, ratio to the bound", _goodput_to_bound),
    ]
    for axis, (title, measure) in zip(axes, panels, strict=True):
        for index, policy in enumerate(policies):
            values = [table.mean(deployment, load, policy, measure) or 0.0 for load in loads]
            positions = [
                result_deployment + index * 0.8 / len(policies)
                for result_deployment in range(len(loads))
            ]
            axis.bar(positions, values, 0.8 / len(policies), label=policy)
        axis.set_title(f"{deployment}: {title}")
    axes[0].legend(fontsize=8)
    axes[-1].set_xticks(range(len(loads)), loads, rotation=20)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
