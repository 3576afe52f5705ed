"""Callers that never send one request twice, hang up and come back, and send poison."""

from __future__ import annotations

import json
import random
import socket
import threading
import time
from contextlib import suppress
from dataclasses import dataclass, field

import urllib3

from proofs._threads import CallerThreads
from standins.fleet import Fleet

__all__ = ["DEADLINE", "POISON", "DispatchCallers", "Marked", "Try"]

DEADLINE = 8.0  # s
PATIENCE = 14.0  # s
POISON = "poison"
POISON_TRIES = 8
KINDS = ("draft", "stream", "lookup", "leaver", "comes back")
WEIGHTS = (4, 4, 4, 1, 1)


@dataclass(slots=True)
class Try:
    """One call and what came of it.

    Parameters
    ----------
    outcome : str
        ``complete``, ``stream``, ``not-run``, ``unknown``, or ``broken``.
    life : int
        How often the node had been started.
    """

    node: str
    life: int
    outcome: str
    body: bytes = b""
    seconds: float = 0.0
    error: str = ""


@dataclass(slots=True)
class Marked:
    """One request, known to the targets by its marker."""

    kind: str
    marker: str
    tokens: int
    tries: list[Try] = field(default_factory=list)


class DispatchCallers(CallerThreads):
    """Threads that send marked requests.

    Parameters
    ----------
    fleet : Fleet
        What they call.
    seed : int
        Seed of every choice.
    count : int
        Threads; one more sends poison.
    """

    def __init__(self, fleet: Fleet, seed: int, count: int) -> None:
        super().__init__(fleet)
        self.marked: list[Marked] = []
        self.life_by_node: dict[str, int] = dict.fromkeys(fleet.nodes, 0)
        self.http = urllib3.PoolManager(retries=False, maxsize=count, num_pools=20)
        tasks = [self.send_many] * count + [self.send_poison]
        self.threads = [
            threading.Thread(target=task, args=(random.Random(f"{seed}/{number}"), number))
            for number, task in enumerate(tasks)
        ]

    def send_many(self, choices: random.Random, number: int) -> None:
        """Send requests of all kinds."""
        serial = 0
        while not self.stopped.wait(choices.expovariate(10.0)):
            serial += 1
            kind = choices.choices(KINDS, WEIGHTS)[0]
            item = Marked(kind, f"m{number}-{serial}", choices.randrange(1, 120))
            self.marked.append(item)
            node = choices.choice(self.fleet.nodes)
            if kind in ("leaver", "comes back"):
                self.hang_up(node, item, choices.uniform(0.0, 0.3))
            if kind != "leaver":
                self.call(node, item)

    def send_poison(self, choices: random.Random, number: int) -> None:
        """Send one poisonous request after the other, each through many nodes."""
        serial = 0
        while not self.stopped.wait(choices.uniform(2.0, 5.0)):
            serial += 1
            item = Marked(POISON, f"{POISON}{serial}", 4)
            self.marked.append(item)
            for _ in range(POISON_TRIES):
                self.call(choices.choice(self.fleet.nodes), item)
                time.sleep(0.3)

    def call(self, node: str, item: Marked) -> None:
        """Call and note what came."""
        life = self.life_by_node[node]
        method, path, content = self.content(item)
        body = None if content is None else json.dumps(content).encode()
        started = time.monotonic()
        result = Try(node, life, "broken")
        try:
            response = self.http.request(
                method, self.fleet.url(node) + path, body, headers=headers(item), timeout=PATIENCE
            )
            result.outcome = response.headers.get("Celeryrun-Outcome", "missing")
            result.body = response.data
            if result.outcome in ("not-run", "unknown"):
                result.error = json.loads(response.data)["error"]
        except urllib3.exceptions.HTTPError as error:
            result.error = type(error).__name__
        result.seconds = time.monotonic() - started
        item.tries.append(result)

    def hang_up(self, node: str, item: Marked, seconds: float) -> None:
        """Send the request, and close without an answer."""
        method, path, content = self.content(item)
        body = json.dumps(content).encode()
        lines = [f"{name}: {value}" for name, value in headers(item).items()]
        head = "\r\n".join(
            [f"{method} {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}", *lines]
        )
        item.tries.append(Try(node, self.life_by_node[node], "broken", error="hung up"))
        with suppress(OSError), socket.create_connection(self.address(node), 1.0) as connection:
            connection.sendall(f"{head}\r\n\r\n".encode() + body)
            time.sleep(seconds)

    def address(self, node: str) -> tuple[str, int]:
        """Return where a node takes callers."""
        return "127.0.0.1", self.fleet.port_by_name[node]

    def content(self, item: Marked) -> tuple[str, str, dict[str, object] | None]:
        """Return method, path and JSON body of a request."""
        if item.kind == "lookup":
            return "GET", f"/warehouse/stock/{item.marker}", None
        stream = item.kind == "stream"
        body = {"prompt": f"{item.marker} draft", "max_tokens": item.tokens, "stream": stream}
        return "POST", "/drafts/v1/generate", body


def headers(item: Marked) -> dict[str, str]:
    """Return the headers of a request; only one that may be asked for again is named."""
    given = {"Authorization": "Bearer key-contracts", "Request-Timeout": f"{DEADLINE:g}"}
    if item.kind == "comes back":
        given["Request-Id"] = item.marker
    return given
