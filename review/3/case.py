"""All gateways are killed just after the only runner of its version has left the list."""

from __future__ import annotations

import asyncio
import os
import re
import time
from dataclasses import dataclass, field
from pathlib import Path

from review.support import Connection, Deployment, Record, format_request, main
from standins.runner import RunnerStandIn
from standins.site import build_config

STREAMS = 42
EVENTS = 58  # of each stream
EVENT_INTERVAL = 0.1  # s
SLOTS = 8
OLD_RUNNERS = 5  # of version v1; one runner is of version v2
TIMEOUT_MS = 12_000
AGE = 26.0  # s of the runners at the first request, more than two timeouts
LEAVES_AFTER = 1.0  # s after the first request
KILLED_AFTER = 1.0  # s after the runner has left the list
RESTART_DELAY = 1.0  # s
RETRY_DELAY = 0.3  # s of a client between two tries
MAX_CONNECTS = 12  # a client's attempts to connect, while the gateways are down
MAX_TRIES = 4  # requests of a client
ALLOWED = 2  # streams that may hold events of two versions
SEAL = "celeryrun-response-seal"
EVENT = re.compile(rb"id: (\d+)\nevent: (\w+)\n")


@dataclass
class Stream:
    """A stream over all tries of its client."""

    id: str
    events: list[tuple[int, str]] = field(default_factory=list)
    is_complete: bool = False

    @property
    def versions(self) -> list[str]:
        """Versions of the runners that made its events."""
        return sorted({version for _, version in self.events})


def build_configuration() -> dict:
    """Return a configuration whose streams may last for 12 s."""
    config = build_config()
    for route in config["routes"]:
        route["timeoutMs"] = TIMEOUT_MS
    return config


async def read_stream(number: int, deployment: Deployment, record: Record, stream: Stream) -> None:
    """Read a stream; take it up again at another gateway when it breaks or is refused."""
    tries = 0
    for attempt in range(MAX_CONNECTS):
        attempt_id = f"{stream.id}-{tries}"
        headers = {"Celeryrun_Token_Usage": f"100,{5 * EVENTS}"}
        if stream.events:
            headers["Last_Event_Id"] = str(stream.events[-1][0])
            headers["Resumes"] = stream.id + "-0"
        try:
            connection = await Connection.open(deployment.ports[(number + attempt) % 3][0])
        except OSError:
            await asyncio.sleep(RETRY_DELAY)
            continue
        tries += 1
        after = headers.get("Last_Event_Id")
        record.write(f"sent {attempt_id}" + (f", to go on after event {after}" if after else ""))
        answer = await connection.ask(
            format_request(attempt_id, "/chats/1", "key-cajas", body=b"{}", **headers)
        )
        connection.close()
        found = EVENT.findall(answer.body) if answer.status == 200 else []
        stream.events += [(int(id), version.decode()) for id, version in found]
        versions = sorted({version.decode() for _, version in found})
        ending = "whole" if answer.whole else "not whole"
        record.write(f"answered {attempt_id}: {answer.status}, {len(found)} events, {ending}")
        record.write(f"    of the versions {versions}, seal {answer.headers.get(SEAL)}")
        stream.is_complete = answer.whole and answer.status == 200
        if stream.is_complete or tries == MAX_TRIES:
            return
        await asyncio.sleep(float(answer.headers.get("retry-after", RETRY_DELAY)))


async def play(deployment: Deployment, record: Record, with_trouble: bool) -> list[str]:
    """Play the case and return the broken rules."""
    await deployment.start_store()
    versions = ["v1"] * OLD_RUNNERS + ["v2"]
    runners = [
        RunnerStandIn(
            deployment.store, f"model-{n}", "model", EVENTS, EVENT_INTERVAL, SLOTS, version
        )
        for n, version in enumerate(versions)
    ]
    for runner in runners:
        # The stand-in names no real time of its start by itself.
        runner._born = int(time.time() * 1000)
        await runner.start()
    started_at = time.monotonic()
    await deployment.start_gateways()
    await asyncio.sleep(started_at + AGE - time.monotonic())
    record.write(f"the runners have run for {AGE} s")
    streams = [Stream(f"s{number}") for number in range(STREAMS)]
    clients = [
        asyncio.create_task(read_stream(number, deployment, record, stream))
        for number, stream in enumerate(streams)
    ]
    await asyncio.sleep(LEAVES_AFTER)
    runners[-1].register(None)
    record.write(f"{runners[-1].id}, the only runner of v2, leaves the list and goes on serving")
    await asyncio.sleep(KILLED_AFTER)
    if with_trouble:
        record.write("all gateways are killed")
        await deployment.kill_all_gateways(RESTART_DELAY)
        record.write("all gateways are started again")
    await asyncio.gather(*clients)
    for runner in runners:
        for run in runner.executed_requests:
            after = run.headers.get(b"last-event-id", b"").decode()
            record.write(
                f"{runner.id} ({runner.version}) ran {run.attempt_id}"
                + (f" after event {after}" if after else "")
            )
        runner.stop()
    mixed = [stream for stream in streams if len(stream.versions) > 1]
    record.write(f"complete: {sum(stream.is_complete for stream in streams)} of {STREAMS}")
    for stream in mixed:
        record.write(f"{stream.id} holds events of {stream.versions}: {stream.events}")
    if len(mixed) <= ALLOWED:
        return []
    return [
        f"ORDER: {len(mixed)} of {STREAMS} streams hold events of two versions: "
        + ", ".join(stream.id for stream in mixed)
    ]


async def case(record: Record, with_trouble: bool) -> list[str]:
    """Play the case in a deployment that is stopped at its end."""
    deployment = Deployment(build_configuration())
    try:
        return await play(deployment, record, with_trouble)
    finally:
        await deployment.stop()


if __name__ == "__main__":
    # TROUBLE=0 leaves the disruption out.
    main(case, Path(__file__).parent, with_trouble=os.environ.get("TROUBLE", "1") != "0")
