"""A runner breaks off an answer whose length line ends with a space; is it passed on as whole?"""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.site2 import (
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Arrival,
    Record,
    Runner,
    Site2,
    answer_head,
    ask,
    request_bytes,
    run_case,
)

REQUESTS = 1800
AT_ONCE = 16
WHOLE = b"x" * 800
KEPT = 500  # bytes of the body that a spoiled answer has
SPOILED = 0.02  # of the answers of one of four runners


class BreakingRunner(Runner):
    """Runner that breaks off some of its answers."""

    def is_spoiled(self) -> bool:
        """Return whether the present answer is broken off."""
        return TROUBLE and len(self.runs) % round(1 / SPOILED) == 0


async def answer(runner: Runner, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    """Answer with 800 bytes, or break the body off behind some of them."""
    is_spoiled = isinstance(runner, BreakingRunner) and runner.is_spoiled()
    await asyncio.sleep(0.02)
    body = WHOLE[:KEPT] if is_spoiled else WHOLE
    writer.write(answer_head(arrival, f"Content-Length: {len(WHOLE)} ") + body)
    await writer.drain()


def build_runner(kind: type[Runner], number: int) -> Runner:
    """Return a runner of the application."""
    return kind(
        f"ledger-{number}",
        "ledger",
        lambda arrival, writer: answer(runners[number], arrival, writer),
    )


runners = [build_runner(BreakingRunner if n < 1 else Runner, n) for n in range(4)]


async def case(record: Record) -> int:
    """Send requests and compare each success with what its runner meant to send."""
    successes = 0
    wrong = 0
    numbers = iter(range(REQUESTS))
    async with Site2(runners) as site:
        port = site.gateways[0].caller_port

        async def send_some() -> None:
            nonlocal successes, wrong
            for number in numbers:
                attempt = f"a-{number}"
                answered = await ask(port, request_bytes(attempt, f"/posts/{number}", b"entry"))
                is_wrong = answered.is_success and answered.body != WHOLE
                successes += answered.is_success
                wrong += is_wrong
                seal = answered.headers.get("celeryrun-response-seal", "none")
                remark = ", not the whole body" if is_wrong else ""
                record.note(
                    f"{attempt}: status {answered.status}, seal {seal}, "
                    f"{len(answered.body)} bytes, complete {answered.complete}{remark}"
                )

        await asyncio.gather(*(send_some() for _ in range(AT_ONCE)))
    runs = sum(len(runner.runs) for runner in runners)
    record.note(f"{runs} runs, {successes} successes, {wrong} of them without the whole body")
    if not successes:
        return NOT_RUN
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
