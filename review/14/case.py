"""Each gateway that is cut off from the others admits a whole quota."""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path

from celeryrun.kernel import rank
from review.kit3 import (
    TROUBLE,
    Arrival,
    Node,
    Proxy,
    Record,
    Runner,
    exchange,
    format_request,
    run_case,
    start_nodes,
)
from review.store3 import StoreBehindProxies
from standins.site import build_config, build_tenant

NAMES = [f"front-{zone}-{number}" for zone in "abc" for number in (1, 2)]
UPTIME = 33.0  # s of undisturbed service before the disruption
CUT_TIME = 12.0  # s, as a `node_cut` has on the site
CUT_NODES = 2  # of 6; the largest share of a `node_cut` there is 0.35
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


def most_in_window(times: list[float]) -> int:
    """Return the most of the times that lie in one window."""
    most = start = 0
    for end, time in enumerate(times):
        while time - times[start] >= WINDOW:
            start += 1
        most = max(most, end - start + 1)
    return most


async def scenario(record: Record, folder: Path, nodes: list[Node]) -> bool:
    """Cut two of six nodes off from the others while a tenant presses."""
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

    store = StoreBehindProxies()
    await store.start()
    tenant = build_tenant("hot", "key-hot", ratePerS=RATE, burst=BURST, plainTokens=200)

    def change_configuration(version: int) -> None:
        record.note(f"the operator writes version {version}")
        store.put("keyed.op", "config", build_config(version, tenants=[tenant]))

    change_configuration(1)
    runners = [Runner(store, f"i-app{n}", "app", serve) for n in range(4)]
    for runner in runners:
        await runner.start()
    # None of the two is the node that schedules for all.
    cut_off = rank("scheduler", NAMES)[-CUT_NODES:]
    lone_nodes = [Node(name, folder, store.other_port) for name in NAMES if name in cut_off]
    others = [Node(name, folder, store.port) for name in NAMES if name not in cut_off]
    nodes += [*others, *lone_nodes]
    proxies = []
    for node in nodes:
        proxy = Proxy(node.ports[2])
        await proxy.start()
        proxies.append(proxy)
        store.port_by_peer_port[node.ports[2]] = proxy.port
    await start_nodes(others)
    await asyncio.sleep(1.0)
    await start_nodes(lone_nodes)
    ids = itertools.count(1)
    size = sum(TOKENS)
    usual = [
        asyncio.create_task(send_requests(node, "key-hot", USUAL / size / len(nodes), record, ids))
        for node in nodes
    ]
    await asyncio.sleep(UPTIME)
    if TROUBLE:
        record.note(f"{[node.name for node in lone_nodes]} are cut off from the other nodes")
        for proxy in proxies:
            proxy.cut()
    record.note("the tenant presses")
    press = [
        asyncio.create_task(
            send_requests(node, "key-hot", (PRESS - 1) * USUAL / size / len(nodes), record, ids)
        )
        for node in nodes
    ]
    await asyncio.sleep(PRESS_TIME / 2)
    change_configuration(2)
    await asyncio.sleep(PRESS_TIME / 2)
    for task in press:
        task.cancel()
    await asyncio.sleep(CUT_TIME - PRESS_TIME)
    if TROUBLE:
        for proxy in proxies:
            await proxy.start()
        record.note("the cut has ended")
    change_configuration(5)
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
