"""Table printed by ``celeryrun status``."""

from __future__ import annotations

from collections.abc import Iterator

from celeryrun.front import PoolStatus, Status

__all__ = ["format_statuses"]


def format_statuses(statuses: dict[str, Status | None]) -> Iterator[str]:
    """Yield the lines of the table: one per node, then the pools that each node keeps.

    Examples
    --------
    >>> list(format_statuses({"node-0": None}))[1]
    'node-0          no response; check its VM or wait for the VM list'
    """
    yield (
        f"{'node':16}{'zone':10}{'version':>8} {'digest':17}{'ready':9}{'members':>8}"
        f"{'waiting':>8}{'holding':>8}{'faults':>7}"
    )
    for name, item in statuses.items():
        if item is None:
            yield f"{name:16}no response; check its VM or wait for the VM list"
            continue
        ready = "draining" if item.draining else "yes" if item.ready else "no"
        live_members = sum(member.state in ("alive", "suspect") for member in item.members)
        yield (
            f"{name:16}{item.zone:10}{item.version:8} {item.digest:17}{ready:9}{live_members:8}"
            f"{item.waiting:8}{item.holding:8}{sum(item.violations.values()):7}"
        )
    for name, item in statuses.items():
        for pool in item.pools if item is not None else ():
            if pool.keeper == name:
                yield from _format_pool(pool)


def _format_pool(pool: PoolStatus) -> Iterator[str]:
    waiting = " ".join(f"tier {tier.tier}: {tier.waiting}" for tier in pool.tiers)
    yield f"pool {pool.name} kept by {pool.keeper}; pressure {pool.pressure:.2f}; waiting {waiting}"
    for target in pool.targets:
        state = "leaving" if target.leaving else "live"
        used = f"{target.in_flight}/{target.slots:.0f} slots"
        yield f"  {target.name:20}{target.zone:10}{state:9}{used}"
