"""Three requests that fail before stand-ins, and what the log tells of each.

``python -m standins.walks`` prints the lines that ``docs/OPERATIONS.md`` walks through.
"""

from __future__ import annotations

import asyncio

import msgspec

from celeryrun.cli._explain import explain_request
from standins.site import ReceivedResponse, Site, build_config, build_tenant

__all__ = ["walk"]


async def walk() -> dict[str, list[str]]:
    """Return the lines about a refused request, a broken stream and an unknown booking."""
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
        ids = {"refused": "a2", "broken off": "a3", "unknown": "a4"}
        _check(refused, broken)
        return {name: explain_request(lines, request) for name, request in ids.items()}


def _check(refused: ReceivedResponse, broken: ReceivedResponse) -> None:
    assert refused.status == 429
    assert not broken.complete


def main() -> None:
    """Print the three stories."""
    for name, lines in asyncio.run(walk()).items():
        print(f"{name}:")
        for line in lines:
            print(f"    {line}")


if __name__ == "__main__":
    main()
