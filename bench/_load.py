"""Open-loop load: seeded arrivals, one coroutine for each request, its own lag measured."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from dataclasses import dataclass

from bench._deployment import PREFIX_TOKENS, Caller, Load
from celeryrun.tests.builders import build_idempotency_key

__all__ = ["Arrival", "Outcome", "plan_arrivals", "send_all"]

CHARS_PER_TOKEN = 4
COMPLETE_EVENT = b'{"outcome":"complete"'
READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request to be sent.

    Parameters
    ----------
    at : float
        Seconds from the start.
    """

    at: float
    caller: Caller
    number: int
    node: int
    prefix: int
    write: bool


@dataclass(slots=True)
class Outcome:
    """What became of a request.

    Parameters
    ----------
    status : int
        Of the answer, 0 if there was none.
    first, total : float
        Seconds from the scheduled arrival, negative if it never came.
    """

    arrival: Arrival
    lag: float = 0.0
    status: int = 0
    whole: bool = False
    started: bool = False
    first: float = -1.0
    total: float = -1.0

    @property
    def good(self) -> bool:
        """Whether the answer was whole within the deadline."""
        return self.whole and self.total <= self.arrival.caller.deadline


def plan_arrivals(load: Load, seconds: float, nodes: int, seed: int) -> list[Arrival]:
    """Draw Poisson arrivals; a caller's draws do not depend on the other callers."""
    arrivals = []
    for index, (caller, rate) in enumerate(load.rate_by_caller):
        draw = random.Random(f"{seed}/{caller.workspace}/{caller.pool}")
        at, count = draw.expovariate(rate), 0
        while at < seconds:
            prefix = draw.randrange(caller.prefixes) if caller.prefixes else -1
            write = draw.random() < caller.writes
            number = index * 1_000_000 + count
            arrivals.append(Arrival(at, caller, number, draw.randrange(nodes), prefix, write))
            at, count = at + draw.expovariate(rate), count + 1
    return sorted(arrivals, key=lambda arrival: arrival.at)


async def send_all(arrivals: list[Arrival], ports: list[int], latency: float) -> list[Outcome]:
    """Send every request at its time, whatever becomes of the earlier ones.

    Parameters
    ----------
    ports : list of int
        Of the nodes.
    latency : float
        Seconds one way between callers and nodes.
    """
    started = time.monotonic()
    tasks = []
    for arrival in arrivals:
        wait = started + arrival.at - time.monotonic()
        if wait > 0:
            await asyncio.sleep(wait)
        tasks.append(asyncio.create_task(_send(arrival, started, ports, latency)))
    return list(await asyncio.gather(*tasks))


async def _send(arrival: Arrival, started: float, ports: list[int], latency: float) -> Outcome:
    outcome = Outcome(arrival, lag=time.monotonic() - started - arrival.at)
    due = started + arrival.at
    # A dead node's callers come back to another node, as behind the platform's balancer.
    for attempt in range(3):
        port = ports[(arrival.node + attempt) % len(ports)]
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            left = due + arrival.caller.deadline + 2 * latency - time.monotonic()
            async with asyncio.timeout(max(0.001, left)):
                await _exchange(outcome, due, port, latency)
        if outcome.status or outcome.started or time.monotonic() > due + arrival.caller.deadline:
            break
    return outcome


async def _exchange(outcome: Outcome, due: float, port: int, latency: float) -> None:
    await asyncio.sleep(latency)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(_request(outcome.arrival))
        head = await reader.readuntil(b"\r\n\r\n")
        outcome.started = True
        lines = head.decode("latin-1").split("\r\n")
        body = await reader.read(READ_BYTES)
        outcome.first = time.monotonic() + latency - due
        while part := await reader.read(READ_BYTES):
            body += part
        outcome.status = int(lines[0].split()[1])
        complete = "Celeryrun-Outcome: complete" in lines or COMPLETE_EVENT in body
        outcome.whole = outcome.status == 200 and complete
        outcome.total = time.monotonic() + latency - due
    finally:
        writer.close()


def _request(arrival: Arrival) -> bytes:
    caller = arrival.caller
    headers = [
        "Host: celeryrun",
        "Connection: close",
        f"Authorization: Bearer key-{caller.workspace}",
        f"Request-Timeout: {caller.deadline:g}",
    ]
    if caller.pool == "warehouse":
        body = b""
        line = "GET /warehouse/stock/crates HTTP/1.1"
        if arrival.write:
            line = "POST /warehouse/bookings HTTP/1.1"
            headers.append(f"Idempotency-Key: {build_idempotency_key()}")
    else:
        line = "POST /drafts/v1/generate HTTP/1.1"
        content = {"prompt": _prompt(arrival), "max_tokens": caller.tokens, "stream": True}
        body = json.dumps(content).encode()
    headers.append(f"Content-Length: {len(body)}")
    return "\r\n".join([line, *headers, "", ""]).encode() + body


def _prompt(arrival: Arrival) -> str:
    shared = ""
    if arrival.prefix >= 0:
        shared = f"prefix {arrival.prefix:03d} ".ljust(PREFIX_TOKENS * CHARS_PER_TOKEN, "p")
    own = f"request {arrival.caller.workspace} {arrival.number} "
    return shared + own.ljust(arrival.caller.prompt * CHARS_PER_TOKEN, "o")
