"""Runners fall silent for half a second and go on, while idempotent requests are in progress."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

from review.support import Answer, Connection, Deployment, Record, format_request, main
from standins.runner import RunnerStandIn
from standins.site import build_config

RUNNERS = 4
ROUNDS = 4
ROUND_INTERVAL = 11.0  # s, longer than the window of the retry budget
REQUESTS = 32  # of each round
CALM_INTERVAL = 0.1  # s between two requests outside the rounds
SILENCE = 0.5  # s
MAX_ATTEMPTS = 2  # of the route
ALLOWED = 3  # requests that may run on more runners


async def send(attempt_id: str, port: int, record: Record, answers: dict[str, Answer]) -> None:
    """Send one lookup on a connection of its own and record the answer."""
    connection = await Connection.open(port)
    record.write(f"sent {attempt_id}: POST /calls/1 to the gateway at port {port}")
    request = format_request(attempt_id, "/calls/1", "key-cajas", body=attempt_id.encode())
    answers[attempt_id] = await connection.ask(request)
    record.write(f"answered {attempt_id}: {answers[attempt_id]}")
    connection.close()


async def play(deployment: Deployment, record: Record, with_trouble: bool) -> list[str]:
    """Play the case and return the broken rules."""
    await deployment.start_store()
    runners = [
        RunnerStandIn(deployment.store, f"app-{number}", "app", work=0.03)
        for number in range(RUNNERS)
    ]
    for runner in runners:
        await runner.start()
    await deployment.start_gateways()
    answers: dict[str, Answer] = {}
    for number in range(ROUNDS):
        sends = [
            asyncio.create_task(
                send(f"a{number}-{each}", deployment.ports[each % 3][0], record, answers)
            )
            for each in range(REQUESTS)
        ]
        if with_trouble:
            for runner in runners:
                runner.fall_silent(SILENCE)
            record.write(f"all runners are silent for {SILENCE} s")
        await asyncio.gather(*sends)
        ended_at = asyncio.get_running_loop().time()
        calm = 0
        while asyncio.get_running_loop().time() < ended_at + ROUND_INTERVAL:
            calm += 1
            attempt_id = f"b{number}-{calm}"
            await send(attempt_id, deployment.ports[calm % 3][0], record, answers)
            await asyncio.sleep(CALM_INTERVAL)
    runs: Counter[str] = Counter()
    for runner in runners:
        for run in runner.executed_requests:
            record.write(f"{runner.id} ran {run.attempt_id}")
            runs[run.attempt_id] += 1
        runner.stop()
    over = sorted(attempt_id for attempt_id, count in runs.items() if count > MAX_ATTEMPTS)
    record.write(f"{len(over)} requests ran on more than {MAX_ATTEMPTS} runners: {over}")
    if len(over) <= ALLOWED:
        return []
    return [
        f"BUDGET: {len(over)} of {len(runs)} requests ran on more runners than their route's "
        f"maxAttempts, {MAX_ATTEMPTS}: {', '.join(over[:8])}, ..."
    ]


async def case(record: Record, with_trouble: bool) -> list[str]:
    """Play the case in a deployment that is stopped at its end."""
    deployment = Deployment(build_config())
    try:
        return await play(deployment, record, with_trouble)
    finally:
        await deployment.stop()


if __name__ == "__main__":
    main(case, Path(__file__).parent)
