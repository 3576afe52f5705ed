"""Callers that record every request they send and every response they receive."""

from __future__ import annotations

import json
import random
import threading
import time
from dataclasses import dataclass, field

import urllib3

from celeryrun.claims._key import new_idempotency_key
from proofs._threads import CallerThreads
from standins.fleet import Fleet

__all__ = ["Attempt", "Callers", "SentRequest"]

REQUEST_TIMEOUT = 8.0  # s, sent as the Request-Timeout header
CLIENT_TIMEOUT_MARGIN = 6.0  # s past the deadline after which the HTTP client gives up
MAX_RETRIES = 3
RETRY_DELAY = 0.3  # s


@dataclass(slots=True)
class Attempt:
    """One attempt to send a request to one node.

    Parameters
    ----------
    outcome : str
        Value of ``Celeryrun-Outcome``, ``missing`` if the header is absent, or ``broken`` if the
        response was incomplete.
    elapsed : float
        Seconds.
    reason : str
        Class of the exception of a broken attempt.
    """

    node: str
    outcome: str
    status: int
    body: bytes
    elapsed: float
    reason: str = ""


@dataclass(slots=True)
class SentRequest:
    """One request and all attempts to send it.

    Parameters
    ----------
    kind : str
        ``draft``, ``stream``, ``lookup`` or ``booking``.
    marker : str
        Unique text in the prompt or path, by which the target's record identifies the request.
    key : str
        Idempotency key of a booking, otherwise empty.
    tokens : int
        Limit of generated tokens.
    """

    kind: str
    marker: str
    workspace: str
    tier: int
    key: str
    tokens: int
    attempts: list[Attempt] = field(default_factory=list)


class Callers(CallerThreads):
    """Threads that send requests of all kinds and tiers, and retry those that fail.

    Parameters
    ----------
    fleet : Fleet
        Fleet that receives the requests.
    seed : int
        Seed of the random generators.
    count : int
        Number of threads.
    mean_interval : float
        Mean number of seconds between two requests of one thread.
    """

    def __init__(self, fleet: Fleet, seed: int, count: int, mean_interval: float) -> None:
        super().__init__(fleet)
        self.mean_interval = mean_interval
        self.requests: list[SentRequest] = []
        self.excluded_nodes: set[str] = set()
        self.http = urllib3.PoolManager(retries=False, maxsize=count, num_pools=50)
        self.threads = [
            threading.Thread(target=self.run, args=(random.Random(f"{seed}/{number}"), number))
            for number in range(count)
        ]

    def run(self, rng: random.Random, number: int) -> None:
        """Send requests until stopped."""
        serial = 0
        while not self.stopped.is_set():
            serial += 1
            request = self.draw_request(rng, f"m{number}-{serial}-{rng.getrandbits(40):x}")
            self.requests.append(request)
            self.send_with_retries(rng, request)
            self.stopped.wait(rng.expovariate(1 / self.mean_interval))

    def draw_request(self, rng: random.Random, marker: str) -> SentRequest:
        """Draw a random request."""
        kind = rng.choices(("draft", "stream", "lookup", "booking"), (3, 3, 4, 4))[0]
        workspace = rng.choice(list(self.fleet.config.tier_by_workspace))
        key = new_idempotency_key(time.time(), rng.getrandbits(74)) if kind == "booking" else ""
        tier = self.fleet.config.tier_by_workspace[workspace]
        return SentRequest(kind, marker, workspace, tier, key, rng.randrange(1, 40))

    def send_with_retries(self, rng: random.Random, request: SentRequest) -> None:
        """Send a request to random nodes until a response is complete or the retries run out."""
        for _ in range(1 + MAX_RETRIES):
            nodes = [name for name in self.fleet.nodes if name not in self.excluded_nodes]
            attempt = self.send_once(rng.choice(nodes), request)
            request.attempts.append(attempt)
            if attempt.outcome in ("complete", "stream") or self.stopped.is_set():
                return
            time.sleep(RETRY_DELAY)

    def send_once(self, node: str, request: SentRequest) -> Attempt:
        """Send a request to one node and return the attempt."""
        headers = {
            "Authorization": f"Bearer key-{request.workspace}",
            "Request-Id": request.marker,
            "Request-Timeout": str(REQUEST_TIMEOUT),
        }
        if request.key:
            headers["Idempotency-Key"] = request.key
        method, path, content = self.build_content(request)
        started = time.monotonic()
        try:
            response = self.http.request(
                method,
                self.fleet.url(node) + path,
                body=None if content is None else json.dumps(content).encode(),
                headers=headers,
                timeout=REQUEST_TIMEOUT + CLIENT_TIMEOUT_MARGIN,
            )
        except urllib3.exceptions.HTTPError as error:
            elapsed = time.monotonic() - started
            return Attempt(node, "broken", 0, b"", elapsed, type(error).__name__)
        outcome = response.headers.get("Celeryrun-Outcome", "missing")
        elapsed = time.monotonic() - started
        if outcome == "stream" and not response.data.endswith(b"\n\n"):
            outcome = "broken"
        return Attempt(node, outcome, response.status, response.data, elapsed)

    def build_content(self, request: SentRequest) -> tuple[str, str, dict[str, object] | None]:
        """Return the method, path and JSON body of a request."""
        match request.kind:
            case "lookup":
                return "GET", f"/warehouse/stock/{request.marker}", None
            case "booking":
                return "POST", f"/warehouse/bookings/{request.marker}", {"crates": 40}
        prompt = f"{request.marker} A season contract"
        body = {"prompt": prompt, "max_tokens": request.tokens, "stream": request.kind == "stream"}
        return "POST", "/drafts/v1/generate", body
