"""Each gateway that starts without the registry of nodes admits a whole quota."""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path

from review.kit3 import (
    TROUBLE,
    Arrival,
    Node,
    Record,
    Runner,
    exchange,
    format_request,
    run_case,
    start_nodes,
)
from standins.site import build_config, build_tenant
from standins.store import StoreStandIn

NAMES = [f"front-{zone}-{number}" for zone in "abc" for number in (1, 2)]
UPTIME = 8.0  # s of undisturbed service before the disruption
OUTAGE_TIME = 4.5  # s, as `platform_down` (busy, for a share of the partitions) has on the site
RESTART_DELAY = 0.3  # s until the platform starts a process again
RATE, BURST = 36_000, 36_000  # tokens a second, and tokens
USUAL = RATE / 1.8  # tokens a second that the tenant usually asks for
PRESS = 7.5  # times that, as `hot_tenant` has on the site
PRESS_TIME = 11.0  # s, as there
TOKENS = (1800, 30)  # of a request: prompt, output
WINDOW, OVER, SLACK = 8.0, 0.1, 140_000  # of the rule


async def send_requests(
    node: Node, key: str, rate: float, record: Record, ids: itertools.count[int]
) -> None:
    """Send a number of requests a second to one node."""
    loop = asyncio.get_running_loop()
    tasks = []
    due = loop.time()
    while True:
        id = f"r{next(ids)}"
        tasks.append(asyncio.create_task(send_request(node, key, id, record)))
        due += 1 / rate
        await asyncio.sleep(max(0.0, due - loop.time()))


async def send_request(node: Node, key: str, id: str, record: Record) -> None:
    """Send a request and note the answer."""
    usage = f"{TOKENS[0]},{TOKENS[1]}"
    request = format_request(
        "POST", "/calls/x", id, key, 2000, b"{}", Celeryrun_Token_Usage=usage, Celeryrun_Model="m"
    )
    record.note(f"client sends {id} of tenant {key} to {node.name}")
    answer = await exchange(node.caller_port, request, 2.5)
    record.note(f"client gets {answer.status} for {id}")


class PartialStore(StoreStandIn):
    """Store of which the partition with the registry of nodes may be down."""

    is_status_down = False

    async def _handle_call(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        if self.is_status_down and query.get("topic") == "keyed.status":
            return 503, b"{}"
        return await super()._handle_call(path, query, body)


def most_in_window(times: list[float]) -> int:
    """Return the most of the times that lie in one window."""
    most = start = 0
    for end, time in enumerate(times):
        while time - times[start] >= WINDOW:
            start += 1
        most = max(most, end - start + 1)
    return most


async def scenario(record: Record, folder: Path, nodes: list[Node]) -> bool:
    """Kill all gateways while the registry can't be read and a tenant presses."""
    arrivals: list[float] = []
    loop = asyncio.get_running_loop()

    async def serve(runner: Runner, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        record.note(
            f"runner {runner.id} runs {arrival.id} of {arrival.headers['celeryrun-tenant']}"
        )
        arrivals.append(loop.time())
        await asyncio.sleep(0.02)
        writer.write(runner.head(arrival, Content_Length="2") + b"ok")
        await writer.drain()

    store = PartialStore()
    await store.start()
    tenant = build_tenant("hot", "key-hot", ratePerS=RATE, burst=BURST, plainTokens=200)
    store.put("keyed.op", "config", build_config(tenants=[tenant]))
    runners = [Runner(store, f"i-app{n}", "app", serve) for n in range(4)]
    for runner in runners:
        await runner.start()
    nodes += [Node(name, folder, store.port) for name in NAMES]
    await start_nodes(nodes)
    ids = itertools.count(1)
    size = sum(TOKENS)
    usual = [
        asyncio.create_task(send_requests(node, "key-hot", USUAL / size / len(nodes), record, ids))
        for node in nodes
    ]
    await asyncio.sleep(UPTIME)
    record.note("the tenant presses")
    press = [
        asyncio.create_task(
            send_requests(node, "key-hot", (PRESS - 1) * USUAL / size / len(nodes), record, ids)
        )
        for node in nodes
    ]
    await asyncio.sleep(1.0)
    if TROUBLE:
        record.note("one partition of the store answers 503, that of keyed.status")
        store.is_status_down = True
        await asyncio.sleep(0.2)
        record.note("all gateways are killed")
        await asyncio.gather(*(node.kill() for node in nodes))
        await asyncio.sleep(RESTART_DELAY)
        record.note("all gateways are started again")
        await asyncio.gather(*(node.start() for node in nodes))
        await asyncio.sleep(OUTAGE_TIME - 0.2 - RESTART_DELAY)
        store.is_status_down = False
        record.note("the partition answers again")
    await asyncio.sleep(PRESS_TIME - OUTAGE_TIME - 1.0)
    for task in press:
        task.cancel()
    await asyncio.sleep(3.0)
    for task in usual:
        task.cancel()
    await asyncio.sleep(2.5)
    used = size * most_in_window(sorted(arrivals))
    allowed = (RATE * WINDOW + BURST) * (1 + OVER) + SLACK
    record.note(f"most tokens run in {WINDOW:g} s: {used}; the rule allows {allowed:g}")
    for runner in runners:
        runner.stop()
    store.stop()
    return used <= allowed


if __name__ == "__main__":
    run_case(Path(__file__).parent, scenario)
