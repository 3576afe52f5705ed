"""A gateway is stopped while clients send one stream after the other over kept connections."""

from __future__ import annotations

import asyncio
import os
import time
from dataclasses import dataclass
from pathlib import Path

from review.support import (
    Answer,
    CaseNotRunError,
    Connection,
    Deployment,
    Record,
    format_request,
    main,
)
from standins.runner import RunnerStandIn
from standins.site import build_config

CLIENTS = 6
RUNNERS = 6
EVENTS = 50  # of each stream
EVENT_INTERVAL = 0.1  # s
FIRST_HINT = 250  # tokens, exact
SECOND_HINT = 190  # tokens, where the stream has 250
STOP_AT_EVENT = 19  # of the first streams, so that they end after three seconds more
NEXT_REQUEST = 0.03  # s after the end of an answer
CALM = 3.5  # s after the start of the gateways; stabilityWindowMs is 3 s
EXCUSED = 3.0  # s after SIGTERM, until which a request may be cut at the end of the grace
TIMEOUT_MS = 15_000


@dataclass
class Sent:
    """A stream as its client saw it."""

    sent_at: float
    answer: Answer
    ended_at: float = 0.0


def build_configuration() -> dict:
    """Return a configuration whose streams may last for 15 s."""
    config = build_config()
    for route in config["routes"]:
        route["timeoutMs"] = TIMEOUT_MS
    return config


async def send_two(
    client: int, port: int, record: Record, sent: dict[str, Sent], running: asyncio.Event
) -> None:
    """Send two streams over one connection, the second as soon as the first has ended."""
    connection = await Connection.open(port)
    for number, hint in ((1, FIRST_HINT), (2, SECOND_HINT)):
        attempt_id = f"c{client}-{number}"
        request = format_request(
            attempt_id,
            "/drafts/1",
            "key-cajas",
            body=b"{}",
            Celeryrun_Deadline_Ms=str(TIMEOUT_MS),
            Celeryrun_Token_Usage="600,400",
            Celeryrun_Length_Hint=str(hint),
        )
        record.write(f"sent {attempt_id}: POST /drafts/1, length hint {hint}")
        entry = sent[attempt_id] = Sent(time.monotonic(), Answer())
        running.set()
        entry.answer = await connection.ask(request)
        entry.ended_at = time.monotonic()
        events = entry.answer.body.count(b"id: ")
        record.write(f"answered {attempt_id}: {events} events, {entry.answer}")
        if not entry.answer.whole or entry.answer.headers.get("connection") == "close":
            break
        await asyncio.sleep(NEXT_REQUEST)
    connection.close()


async def play(deployment: Deployment, record: Record, with_trouble: bool) -> list[str]:
    """Play the case and return the broken rules."""
    await deployment.start_store()
    runners = [
        RunnerStandIn(deployment.store, f"model-{n}", "model", EVENTS, EVENT_INTERVAL)
        for n in range(RUNNERS)
    ]
    for runner in runners:
        await runner.start()
    await deployment.start_gateways()
    await asyncio.sleep(CALM)
    sent: dict[str, Sent] = {}
    running = asyncio.Event()
    clients = [
        asyncio.create_task(send_two(n, deployment.ports[0][0], record, sent, running))
        for n in range(CLIENTS)
    ]
    await running.wait()
    await asyncio.sleep(STOP_AT_EVENT * EVENT_INTERVAL)
    stopped_at = time.monotonic()
    if with_trouble:
        deployment.processes[0].terminate()
        record.write("gateway-0 gets SIGTERM; graceS is 8 s")
    await asyncio.gather(*clients)
    ran = set()
    for runner in runners:
        for run in runner.executed_requests:
            ran.add(run.attempt_id)
            cut = ", broken off by the runner" if run.broken_off else ""
            record.write(f"{runner.id} ran {run.attempt_id}{cut}")
            if run.broken_off:
                raise CaseNotRunError("a runner broke off an answer")
        runner.stop()
    broken = []
    for attempt_id, entry in sent.items():
        after_stop = entry.sent_at - stopped_at
        lasted = entry.ended_at - entry.sent_at
        if entry.answer.whole:
            continue
        record.write(f"{attempt_id} was sent {after_stop:.3f} s after SIGTERM, lasted {lasted:.3f}")
        if attempt_id in ran and after_stop > EXCUSED and lasted < TIMEOUT_MS / 1000:
            broken.append(
                f"LOST: {attempt_id}, sent {after_stop:.2f} s after SIGTERM and passed on to a "
                f"runner, is cut after {lasted:.2f} s with {entry.answer.body.count(b'id: ')} of "
                f"{EVENTS} events"
            )
    return broken


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
