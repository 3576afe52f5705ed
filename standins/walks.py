"""Walkthroughs of three failing requests, each explained from the event log.

``python -m standins.walks`` prints the explanations that ``docs/OPERATIONS.md`` quotes.
"""

from __future__ import annotations

import asyncio

import msgspec

from celeryrun.cli._explain import explain_request
from standins.site import ReceivedResponse, Site, build_config, build_tenant

__all__ = ["collect_walkthroughs"]


async def collect_walkthroughs() -> dict[str, list[str]]:
    """Return the explanations of a refused request, a broken stream and an unknown outcome."""
    tenants = [
        build_tenant("cajas", "key-cajas"),
        build_tenant("herd", "key-herd", ratePerS=1, burst=10, plainTokens=10),
    ]
    async with Site(config=build_config(tenants=tenants)) as site:
        await site.send_request("/calls/first", key="key-herd")
        refused = await site.send_request("/calls/second", key="key-herd")
        for model in site.models:
            model.faults["cut"] = 1
        broken = await site.send_request("/drafts/a")
        for app in site.apps:
            app.faults["lost"] = 1
        await site.send_request("/bookings/a")
        lines = [msgspec.json.encode(line).decode() for line in site.events()]
        attempt_id_by_failure = {"refused": "a2", "broken off": "a3", "unknown": "a4"}
        _check_failures(refused, broken)
        return {
            name: explain_request(lines, attempt_id)
            for name, attempt_id in attempt_id_by_failure.items()
        }


def _check_failures(refused: ReceivedResponse, broken: ReceivedResponse) -> None:
    assert refused.status == 429
    assert not broken.complete


def main() -> None:
    """Print the explanation of each failure."""
    for name, lines in asyncio.run(collect_walkthroughs()).items():
        print(f"{name}:")
        for line in lines:
            print(f"    {line}")


if __name__ == "__main__":
    main()
