"""Callers that send each request once, disconnect and reconnect, and send poison requests."""

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

__all__ = ["POISON", "REQUEST_TIMEOUT", "Attempt", "DispatchCallers", "MarkedRequest"]

REQUEST_TIMEOUT = 8.0  # s, sent as the Request-Timeout header
CLIENT_TIMEOUT = 14.0  # s
POISON = "poison"  # kind of request that crashes every engine that receives it
POISON_ATTEMPTS = 8
REQUEST_KINDS = ("draft", "stream", "lookup", "disconnect", "reconnect")
KIND_WEIGHTS = (4, 4, 4, 1, 1)


@dataclass(slots=True)
class Attempt:
    """One attempt to send a request to one node.

    Parameters
    ----------
    outcome : str
        Value of ``Celeryrun-Outcome``, ``missing`` if the header is absent, or ``broken`` if the
        response was incomplete.
    restarts : int
        Number of times that the node had been restarted before the attempt.
    """

    node: str
    restarts: int
    outcome: str
    body: bytes = b""
    seconds: float = 0.0
    error: str = ""


@dataclass(slots=True)
class MarkedRequest:
    """One request, identified in the targets' records by its marker."""

    kind: str
    marker: str
    tokens: int
    attempts: list[Attempt] = field(default_factory=list)


class DispatchCallers(CallerThreads):
    """Threads that send marked requests to random nodes.

    Parameters
    ----------
    fleet : Fleet
        Fleet that receives the requests.
    seed : int
        Seed of the random generators.
    count : int
        Number of threads for ordinary requests; one further thread sends poison requests.
    """

    def __init__(self, fleet: Fleet, seed: int, count: int) -> None:
        super().__init__(fleet)
        self.requests: list[MarkedRequest] = []
        self.restarts_by_node: dict[str, int] = dict.fromkeys(fleet.nodes, 0)
        self.http = urllib3.PoolManager(retries=False, maxsize=count, num_pools=20)
        tasks = [self.send_mixed] * count + [self.send_poison_requests]
        self.threads = [
            threading.Thread(target=task, args=(random.Random(f"{seed}/{number}"), number))
            for number, task in enumerate(tasks)
        ]

    def send_mixed(self, rng: random.Random, number: int) -> None:
        """Send requests of all kinds until stopped."""
        serial = 0
        while not self.stopped.wait(rng.expovariate(10.0)):
            serial += 1
            kind = rng.choices(REQUEST_KINDS, KIND_WEIGHTS)[0]
            request = MarkedRequest(kind, f"m{number}-{serial}", rng.randrange(1, 120))
            self.requests.append(request)
            node = rng.choice(self.fleet.nodes)
            if kind in ("disconnect", "reconnect"):
                self.send_and_disconnect(node, request, rng.uniform(0.0, 0.3))
            if kind != "disconnect":
                self.send(node, request)

    def send_poison_requests(self, rng: random.Random, number: int) -> None:
        """Send poison requests one by one, each several times to random nodes."""
        serial = 0
        while not self.stopped.wait(rng.uniform(2.0, 5.0)):
            serial += 1
            request = MarkedRequest(POISON, f"{POISON}{serial}", 4)
            self.requests.append(request)
            for _ in range(POISON_ATTEMPTS):
                self.send(rng.choice(self.fleet.nodes), request)
                time.sleep(0.3)

    def send(self, node: str, request: MarkedRequest) -> None:
        """Send a request and record the attempt."""
        restarts = self.restarts_by_node[node]
        method, path, content = self.build_content(request)
        body = None if content is None else json.dumps(content).encode()
        started = time.monotonic()
        attempt = Attempt(node, restarts, "broken")
        try:
            response = self.http.request(
                method,
                self.fleet.url(node) + path,
                body,
                headers=build_headers(request),
                timeout=CLIENT_TIMEOUT,
            )
            attempt.outcome = response.headers.get("Celeryrun-Outcome", "missing")
            attempt.body = response.data
            if attempt.outcome in ("not-run", "unknown"):
                attempt.error = json.loads(response.data)["error"]
        except urllib3.exceptions.HTTPError as error:
            attempt.error = type(error).__name__
        attempt.seconds = time.monotonic() - started
        request.attempts.append(attempt)

    def send_and_disconnect(self, node: str, request: MarkedRequest, seconds: float) -> None:
        """Send a request, and disconnect after some seconds without reading the response."""
        method, path, content = self.build_content(request)
        body = json.dumps(content).encode()
        lines = [f"{name}: {value}" for name, value in build_headers(request).items()]
        head = "\r\n".join(
            [f"{method} {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}", *lines]
        )
        request.attempts.append(
            Attempt(node, self.restarts_by_node[node], "broken", error="disconnected")
        )
        with (
            suppress(OSError),
            socket.create_connection(self.caller_address(node), 1.0) as connection,
        ):
            connection.sendall(f"{head}\r\n\r\n".encode() + body)
            time.sleep(seconds)

    def caller_address(self, node: str) -> tuple[str, int]:
        """Return the address at which a node listens for callers."""
        return "127.0.0.1", self.fleet.port_by_name[node]

    def build_content(self, request: MarkedRequest) -> tuple[str, str, dict[str, object] | None]:
        """Return the method, path and JSON body of a request."""
        if request.kind == "lookup":
            return "GET", f"/warehouse/stock/{request.marker}", None
        stream = request.kind == "stream"
        body = {"prompt": f"{request.marker} draft", "max_tokens": request.tokens, "stream": stream}
        return "POST", "/drafts/v1/generate", body


def build_headers(request: MarkedRequest) -> dict[str, str]:
    """Return the headers of a request; only a ``reconnect`` request has a ``Request-Id``."""
    headers = {"Authorization": "Bearer key-contracts", "Request-Timeout": f"{REQUEST_TIMEOUT:g}"}
    if request.kind == "reconnect":
        headers["Request-Id"] = request.marker
    return headers
