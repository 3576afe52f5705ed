"""Open-loop load generator: seeded arrivals, one coroutine per request, and its own lag."""

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
    """One request of the load.

    Parameters
    ----------
    at : float
        Scheduled time in seconds from the start.
    number : int
        Number that makes the prompt unique.
    node : int
        Index of the node that receives the first attempt.
    prefix : int
        Index of the shared prompt prefix, -1 for none.
    write : bool
        Whether the call is not idempotent.
    """

    at: float
    caller: Caller
    number: int
    node: int
    prefix: int
    write: bool


@dataclass(slots=True)
class Outcome:
    """Result of one request.

    Parameters
    ----------
    lag : float
        Seconds by which the load generator was late in sending.
    status : int
        HTTP status of the response, 0 if there was none.
    complete : bool
        Whether the status is 200 and the response ended as complete.
    started : bool
        Whether the head of the response arrived.
    first, total : float
        Seconds from the scheduled arrival to the first byte and to the end of the response,
        negative if it did not arrive.
    """

    arrival: Arrival
    lag: float = 0.0
    status: int = 0
    complete: bool = False
    started: bool = False
    first: float = -1.0
    total: float = -1.0

    @property
    def good(self) -> bool:
        """Whether the response was complete within the deadline."""
        return self.complete and self.total <= self.arrival.caller.deadline


def plan_arrivals(load: Load, seconds: float, nodes: int, seed: int) -> list[Arrival]:
    """Draw Poisson arrivals; each caller's arrivals are independent of the other callers."""
    arrivals = []
    for index, (caller, rate) in enumerate(load.rate_by_caller):
        rng = random.Random(f"{seed}/{caller.workspace}/{caller.pool}")
        at, count = rng.expovariate(rate), 0
        while at < seconds:
            prefix = rng.randrange(caller.prefixes) if caller.prefixes else -1
            write = rng.random() < caller.writes
            number = index * 1_000_000 + count
            arrivals.append(Arrival(at, caller, number, rng.randrange(nodes), prefix, write))
            at, count = at + rng.expovariate(rate), count + 1
    return sorted(arrivals, key=lambda arrival: arrival.at)


async def send_all(arrivals: list[Arrival], ports: list[int], latency: float) -> list[Outcome]:
    """Send every request at its scheduled time, without waiting for earlier responses.

    Parameters
    ----------
    ports : list of int
        Callers' ports of the nodes.
    latency : float
        Seconds one way between callers and nodes.
    """
    started = time.monotonic()
    tasks = []
    for arrival in arrivals:
        delay = started + arrival.at - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)
        tasks.append(asyncio.create_task(_send_with_retries(arrival, started, ports, latency)))
    return list(await asyncio.gather(*tasks))


async def _send_with_retries(
    arrival: Arrival, started: float, ports: list[int], latency: float
) -> Outcome:
    outcome = Outcome(arrival, lag=time.monotonic() - started - arrival.at)
    due = started + arrival.at
    # Like the platform's load balancer, moves on to another node if one is dead.
    for attempt in range(3):
        port = ports[(arrival.node + attempt) % len(ports)]
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            timeout = due + arrival.caller.deadline + 2 * latency - time.monotonic()
            async with asyncio.timeout(max(0.001, timeout)):
                await _exchange(outcome, due, port, latency)
        if outcome.status or outcome.started or time.monotonic() > due + arrival.caller.deadline:
            break
    return outcome


async def _exchange(outcome: Outcome, due: float, port: int, latency: float) -> None:
    await asyncio.sleep(latency)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(_build_request(outcome.arrival))
        head = await reader.readuntil(b"\r\n\r\n")
        outcome.started = True
        lines = head.decode("latin-1").split("\r\n")
        body = await reader.read(READ_BYTES)
        outcome.first = time.monotonic() + latency - due
        while chunk := await reader.read(READ_BYTES):
            body += chunk
        outcome.status = int(lines[0].split()[1])
        marked_complete = "Celeryrun-Outcome: complete" in lines or COMPLETE_EVENT in body
        outcome.complete = outcome.status == 200 and marked_complete
        outcome.total = time.monotonic() + latency - due
    finally:
        writer.close()


def _build_request(arrival: Arrival) -> bytes:
    caller = arrival.caller
    headers = [
        "Host: celeryrun",
        "Connection: close",
        f"Authorization: Bearer key-{caller.workspace}",
        f"Request-Timeout: {caller.deadline:g}",
    ]
    if caller.pool == "warehouse":
        body = b""
        request_line = "GET /warehouse/stock/crates HTTP/1.1"
        if arrival.write:
            request_line = "POST /warehouse/bookings HTTP/1.1"
            headers.append(f"Idempotency-Key: {build_idempotency_key()}")
    else:
        request_line = "POST /drafts/v1/generate HTTP/1.1"
        content = {"prompt": _build_prompt(arrival), "max_tokens": caller.tokens, "stream": True}
        body = json.dumps(content).encode()
    headers.append(f"Content-Length: {len(body)}")
    return "\r\n".join([request_line, *headers, "", ""]).encode() + body


def _build_prompt(arrival: Arrival) -> str:
    prefix_text = ""
    if arrival.prefix >= 0:
        prefix_text = f"prefix {arrival.prefix:03d} ".ljust(PREFIX_TOKENS * CHARS_PER_TOKEN, "p")
    own_text = f"request {arrival.caller.workspace} {arrival.number} "
    return prefix_text + own_text.ljust(arrival.caller.prompt * CHARS_PER_TOKEN, "o")
