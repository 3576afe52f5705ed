"""A gateway that is cut off continues streams at runners of another version than began them."""

from __future__ import annotations

import asyncio
from pathlib import Path

from celeryrun.kernel import rank
from review.kit3 import (
    TROUBLE,
    Answer,
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
from standins.site import build_config

NAMES = [f"front-{zone}-{number}" for zone in "abc" for number in (1, 2)]
EVENT_GAP = 0.04  # s
EVENTS = 150
STREAMS = 14  # that begin on one node
OTHER_STREAMS = 32  # that are in progress on a third node; they leave few slots of v1
OLD_RUNNERS = 5
RESTART_DELAY = 0.3  # s until the platform starts a process again
CUT_TIME = 5.5  # s, as `core_cut` has on the site
UPTIME = 33.0  # s of undisturbed service before the disruption
MAX_MIXED = 2  # streams with events of two versions, from the rule


async def serve(runner: Runner, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    """Send a stream, from the event on after the one that the request names."""
    record.note(
        f"runner {runner.id} ({runner.version}) runs {arrival.id} "
        f"from event {arrival.headers.get('last-event-id', 'none')} on"
    )
    writer.write(
        runner.head(arrival, Content_Type="text/event-stream", Transfer_Encoding="chunked")
    )
    for number in range(int(arrival.headers.get("last-event-id", "0")) + 1, EVENTS + 1):
        event = f"id: {number}\ndata: {runner.version} {number}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_GAP)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


def versions(answer: Answer) -> list[str]:
    """Return the version of each whole event."""
    events = answer.body.decode().split("\n\n")[:-1]
    return [event.partition("data: ")[2].partition(" ")[0] for event in events]


async def stream(node: Node, id: str, resumes: str = "", last: int = 0) -> Answer:
    """Send a streaming request, or take one up again."""
    headers = {"Celeryrun_Token_Usage": "628,290", "Celeryrun_Prompt_Prefix": f"5c1e:60,{id}:568"}
    headers["Celeryrun_Model"] = "m"
    if resumes:
        headers |= {"Last_Event_Id": str(last), "Resumes": resumes}
    record.note(
        f"client sends {id} to {node.name}" + (f", resumes {resumes} at {last}" * bool(resumes))
    )
    request = format_request("POST", "/chats/x", id, "key-cajas", 12_000, b"{}", **headers)
    answer = await exchange(node.caller_port, request, 12.0)
    seen = {version: versions(answer).count(version) for version in dict.fromkeys(versions(answer))}
    record.note(f"client gets {answer.status} for {id}, events {seen}, complete {answer.complete}")
    return answer


async def heal(store: StoreBehindProxies, proxies: list[Proxy]) -> None:
    """End the cut."""
    await asyncio.sleep(CUT_TIME)
    await store.heal()
    for proxy in proxies:
        await proxy.start()
    record.note("the cut has ended")


async def restart(node: Node, record: Record) -> None:
    """Start a killed process again, as the platform does."""
    await asyncio.sleep(RESTART_DELAY)
    await node.start()
    record.note(f"{node.name} is started again")


async def scenario(record: Record, folder: Path, nodes: list[Node]) -> bool:
    """Cut one node off while a release begins, and kill the other node of its zone."""
    store = StoreBehindProxies()
    await store.start()
    config = build_config()
    for route in config["routes"]:
        if route["resumable"]:
            route |= {"timeoutMs": 12_000, "targetLatencyMs": 400}
    store.put("keyed.op", "config", config)
    runners = [Runner(store, f"i-old{n}", "model", serve) for n in range(OLD_RUNNERS)]
    for runner in runners:
        await runner.start()
    # The node that schedules for all is another one, in another zone.
    lone_name = next(name for name in reversed(rank("scheduler", NAMES)) if name.endswith("2"))
    assert rank("scheduler", NAMES)[0][:-1] != lone_name[:-1]
    others = [Node(name, folder, store.port) for name in NAMES if name != lone_name]
    (neighbour,) = (node for node in others if node.name[:-1] == lone_name[:-1])
    lone = Node(lone_name, folder, store.other_port)
    nodes += [*others, lone]
    proxies = []
    for node in others:
        proxy = Proxy(node.ports[2])
        await proxy.start()
        proxies.append(proxy)
        store.port_by_peer_port[node.ports[2]] = proxy.port
    await start_nodes(others)
    await asyncio.sleep(1.0)
    await start_nodes([lone])
    await asyncio.sleep(UPTIME)
    third = next(node for node in others if node is not neighbour)
    tasks = [asyncio.create_task(stream(third, f"t{n}")) for n in range(OTHER_STREAMS)]
    await asyncio.sleep(3.0)
    healing: asyncio.Task[None] | None = None
    restarting: asyncio.Task[None] | None = None
    if TROUBLE:
        record.note(f"{lone.name} is cut off from the store and from the other nodes")
        store.cut()
        for proxy in proxies:
            proxy.cut()
        healing = asyncio.create_task(heal(store, proxies))
    await asyncio.sleep(0.2)
    record.note("a release begins: a runner of version v2 starts, one of v1 drains")
    runners.append(Runner(store, "i-new0", "model", serve, version="v2"))
    await runners[-1].start()
    runners[0].drain()
    await asyncio.sleep(1.0)
    begun = {f"s{n}": asyncio.create_task(stream(neighbour, f"s{n}")) for n in range(STREAMS)}
    await asyncio.sleep(0.7)
    mixed = 0
    if TROUBLE:
        record.note(f"{lone.name} says that it is ready: {await lone.is_ready()}")
        record.note(f"{neighbour.name} is killed")
        await neighbour.kill()
        restarting = asyncio.create_task(restart(neighbour, record))
        resumed = []
        for id, task in begun.items():
            earlier = await task
            if versions(earlier):
                # The balancer has one other node in the zone of the clients.
                again = stream(lone, f"{id}r", id, len(versions(earlier)))
                resumed.append((id, earlier, asyncio.create_task(again)))
        for id, earlier, task in resumed:
            both = versions(earlier) + versions(await task)
            if len(set(both)) > 1:
                mixed += 1
                record.note(f"stream {id} holds events of {sorted(set(both))}")
    answers = await asyncio.gather(*begun.values(), *tasks)
    mixed += sum(len(set(versions(answer))) > 1 for answer in answers)
    for runner in runners:
        runner.stop()
    for background in (healing, restarting):
        if background is not None:
            background.cancel()
    store.stop()
    record.note(f"{mixed} streams hold events of two versions; the rule allows {MAX_MIXED}")
    return mixed <= MAX_MIXED


if __name__ == "__main__":

    async def run(own: Record, folder: Path, nodes: list[Node]) -> bool:
        """Keep the record for the stand-ins."""
        global record
        record = own
        return await scenario(own, folder, nodes)

    run_case(Path(__file__).parent, run)
