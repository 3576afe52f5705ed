"""Command line of the soak: ``python -m soak --seeds 1-50 --seconds 20``."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections import Counter
from pathlib import Path

import click

from soak._faults import KINDS
from soak._soak import Report, Soak

__all__ = ["main"]


@click.command()
@click.option("--seeds", default="1-3", help="first and last seed, such as 1-50")
@click.option("--seconds", default=20.0, help="duration of the faults")
@click.option("--nodes", default=3, help="gateways per soak")
@click.option("--jobs", default=2, help="concurrent soaks")
@click.option("--faults", "only", help="kinds of faults to play, with commas; all if omitted")
@click.option("--without", default="", help="kinds of faults to leave out, with commas")
@click.option("--folder", type=click.Path(path_type=Path), help="folder of settings and logs")
def main(
    seeds: str,
    seconds: float,
    nodes: int,
    jobs: int,
    only: str | None,
    without: str,
    folder: Path | None,
) -> None:
    """Run soaks, print the result of each, and exit with 1 if a guarantee was violated."""
    kinds = frozenset(KINDS if only is None else _parse_kinds(only)) - _parse_kinds(without)
    first, _, last = seeds.partition("-")
    seed_range = range(int(first), int(last or first) + 1)
    root = folder or Path(tempfile.mkdtemp(prefix="soak-"))
    reports = asyncio.run(_run_all(list(seed_range), seconds, nodes, jobs, root, kinds))
    faults = sum((Counter(report.faults) for report in reports), Counter())
    requests = sum(report.requests for report in reports)
    violation_count = sum(len(report.violations) for report in reports)
    click.echo(
        f"{len(reports)} seeds, {requests} requests, {violation_count} violations; logs in {root}"
    )
    click.echo(", ".join(f"{kind} {count}" for kind, count in sorted(faults.items())))
    sys.exit(1 if violation_count else 0)


def _parse_kinds(text: str) -> frozenset[str]:
    kinds = frozenset(filter(None, text.split(",")))
    if unknown := kinds.difference(KINDS):
        raise click.BadParameter(f"{', '.join(sorted(unknown))}; known are {', '.join(KINDS)}")
    return kinds


async def _run_all(
    seeds: list[int], seconds: float, nodes: int, jobs: int, root: Path, kinds: frozenset[str]
) -> list[Report]:
    job_slots = asyncio.Semaphore(jobs)

    async def run_soak(seed: int) -> Report:
        async with job_slots:
            folder = root / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            report = await Soak(seed, seconds, folder, nodes, kinds).run()
            click.echo(f"seed {seed}: {report.requests} requests, {report.statuses}")
            for violation in report.violations:
                click.echo(f"  {violation.guarantee} {violation.attempt_id}: {violation.text}")
            return report

    return list(await asyncio.gather(*(run_soak(seed) for seed in seeds)))


if __name__ == "__main__":
    main()
