"""Cost of a gateway's path: ``python -m bench.callers`` prints raw figures as JSON lines.

Sends requests one after the other through a gateway process to a stand-in target, and prints the
processor time that the gateway took for each. To compare two versions, run it in both checkouts in
turn.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import tempfile
from pathlib import Path

from celeryrun.gateway.tests.hostile_callers import GatewayProcess, gateway_process
from standins.site import read_response, run
from standins.store import HOST

__all__ = ["main"]

MEMORY = 256 << 20  # bytes of the gateway
TURNS_BY_BODY_BYTES = {200: 400, 65_536: 200, 1 << 20: 100}


def main() -> None:
    """Run the measurement for each size of a body."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    run(measure(options.rounds))


async def measure(rounds: int) -> None:
    """Print the processor time for a request by the size of its body."""
    with tempfile.TemporaryDirectory() as folder:
        async with gateway_process(Path(folder) / "node.ini", memory=MEMORY) as gateway:
            for _ in range(rounds):
                for size, turns in TURNS_BY_BODY_BYTES.items():
                    microseconds = await measure_body(gateway, size, turns)
                    print(json.dumps({"body": size, "microseconds": microseconds}), flush=True)


async def measure_body(gateway: GatewayProcess, size: int, turns: int) -> float:
    """Return the gateway's processor time for a request in microseconds."""
    data = gateway.site.format_request("/calls/a", body=b"a" * size, deadline=8000)
    reader, writer = await asyncio.open_connection(HOST, gateway.ports[0])
    began = processor_seconds(gateway.process.pid)
    for _ in range(turns):
        writer.write(data)
        await writer.drain()
        response = await read_response(reader)
        if response.status != 200:
            raise RuntimeError(f"answered by {response.status}")
    used = processor_seconds(gateway.process.pid) - began
    writer.close()
    return round(1e6 * used / turns, 1)


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


if __name__ == "__main__":
    main()
