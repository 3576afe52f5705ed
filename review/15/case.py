"""A scheduler that takes over spends the whole budget of repeats once more."""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path

from celeryrun.kernel import rank
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
from standins.site import build_config
from standins.store import StoreStandIn

NAMES = [f"front-{zone}-{number}" for zone in "abc" for number in (1, 2)]
PER_SECOND = 100  # requests of all clients
CALM_TIME = 14.0  # s of undisturbed service before the disruption
GREY_TIME = (
    4.0  # s, as `srv_grey` (errors all) has on the site; it comes twice, one after the other
)
GREY_SHARE = 0.45  # of the requests, as there
RESTART_DELAY = 0.3  # s until the platform starts a process again
WINDOW, RATIO, SLACK = 10.0, 0.2, 52  # of the rule


async def send_request(node: Node, id: str, record: Record) -> None:
    """Send a request and note the answer."""
    request = format_request("POST", "/calls/x", id, "key-cajas", 2000, b"{}")
    record.note(f"client sends {id} to {node.name}")
    answer = await exchange(node.caller_port, request, 2.5)
    record.note(f"client gets {answer.status} for {id}")


def count(times: list[float], start: float) -> int:
    """Return how many of the times lie in the window that begins at a time."""
    return sum(start <= time < start + WINDOW for time in times)


async def scenario(record: Record, folder: Path, nodes: list[Node]) -> bool:
    """Kill the scheduling node while the runners of a service fail part of their requests."""
    sent: list[float] = []
    repeats: list[float] = []
    arrived: set[str] = set()
    loop = asyncio.get_running_loop()
    is_grey = False
    shares = itertools.count(1)

    async def serve(runner: Runner, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        if arrival.id in arrived:
            repeats.append(loop.time())
        arrived.add(arrival.id)
        number = next(shares)
        fails = is_grey and int(number * GREY_SHARE) > int((number - 1) * GREY_SHARE)
        status = "500 Internal Server Error" if fails else "200 OK"
        record.note(f"runner {runner.id} runs {arrival.id}, answers {status[:3]}")
        await asyncio.sleep(0.02)
        writer.write(runner.head(arrival, status, Content_Length="2") + b"ok")
        await writer.drain()

    store = StoreStandIn()
    await store.start()
    store.put("keyed.op", "config", build_config())
    runners = [Runner(store, f"i-app{n}", "app", serve) for n in range(4)]
    for runner in runners:
        await runner.start()
    nodes += [Node(name, folder, store.port) for name in NAMES]
    await start_nodes(nodes)
    leader = next(node for node in nodes if node.name == rank("scheduler", NAMES)[0])
    others = [node for node in nodes if node is not leader]

    async def send_all() -> None:
        tasks = []
        due = loop.time()
        for number in itertools.count():
            # Clients reach the node that schedules as little as they can, as it is killed.
            node = others[number % len(others)]
            sent.append(loop.time())
            tasks.append(asyncio.create_task(send_request(node, f"r{number}", record)))
            due += 1 / PER_SECOND
            await asyncio.sleep(max(0.0, due - loop.time()))

    sending = asyncio.create_task(send_all())
    await asyncio.sleep(CALM_TIME)
    if TROUBLE:
        is_grey = True
        record.note(f"the runners fail {GREY_SHARE} of their requests")
        await asyncio.sleep(GREY_TIME)
        record.note(f"{leader.name}, which schedules, is killed")
        await leader.kill()
        await asyncio.sleep(RESTART_DELAY)
        await leader.start()
        record.note(f"{leader.name} is started again")
        await asyncio.sleep(GREY_TIME - RESTART_DELAY)
        is_grey = False
        record.note("the runners are sound again")
    await asyncio.sleep(WINDOW)
    sending.cancel()
    await asyncio.sleep(2.5)
    for runner in runners:
        runner.stop()
    store.stop()
    worst = 0.0
    for start in sorted(sent):
        most_sent = max(count(sent, start - back) for back in (0.0, WINDOW / 2, WINDOW))
        allowed = RATIO * most_sent + SLACK
        again = count(repeats, start)
        if again / allowed > worst:
            worst = again / allowed
            record.note(f"in {WINDOW:g} s: {again} repeats, the rule allows {allowed:g}")
    return worst <= 1


if __name__ == "__main__":
    run_case(Path(__file__).parent, scenario)
