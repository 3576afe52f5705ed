"""Callers that keep their own record of what they sent and what came back."""

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

__all__ = ["Attempt", "Callers", "Sent"]

DEADLINE = 8.0  # s
HANG_LIMIT = 6.0  # s past the deadline that a caller waits
RETRIES = 3
RETRY_PAUSE = 0.3  # s


@dataclass(slots=True)
class Attempt:
    """One try of a request on one node.

    Parameters
    ----------
    outcome : str
        ``complete``, ``stream``, ``not-run``, ``unknown``, or ``broken`` if no whole answer came.
    elapsed : float
        Seconds.
    """

    node: str
    outcome: str
    status: int
    body: bytes
    elapsed: float
    reason: str = ""


@dataclass(slots=True)
class Sent:
    """One request with all its tries.

    Parameters
    ----------
    kind : str
        ``draft``, ``stream``, ``lookup`` or ``booking``.
    marker : str
        Unique text that the target records.
    """

    kind: str
    marker: str
    workspace: str
    tier: int
    key: str
    tokens: int
    attempts: list[Attempt] = field(default_factory=list)


class Callers(CallerThreads):
    """Threads that send requests of all kinds and tiers, and send again what broke.

    Parameters
    ----------
    fleet : Fleet
        What they call.
    seed : int
        Seed of every choice.
    count : int
        Threads.
    pause : float
        Mean seconds between two requests of one thread.
    """

    def __init__(self, fleet: Fleet, seed: int, count: int, pause: float) -> None:
        super().__init__(fleet)
        self.pause = pause
        self.sent: list[Sent] = []
        self.retired: set[str] = set()
        self.http = urllib3.PoolManager(retries=False, maxsize=count, num_pools=50)
        self.threads = [
            threading.Thread(target=self.run, args=(random.Random(f"{seed}/{number}"), number))
            for number in range(count)
        ]

    def run(self, choices: random.Random, number: int) -> None:
        """Send until stopped."""
        serial = 0
        while not self.stopped.is_set():
            serial += 1
            sent = self.build(choices, f"m{number}-{serial}-{choices.getrandbits(40):x}")
            self.sent.append(sent)
            self.send(choices, sent)
            self.stopped.wait(choices.expovariate(1 / self.pause))

    def build(self, choices: random.Random, marker: str) -> Sent:
        """Choose a request."""
        kind = choices.choices(("draft", "stream", "lookup", "booking"), (3, 3, 4, 4))[0]
        workspace = choices.choice(list(self.fleet.config.tier_by_workspace))
        key = new_idempotency_key(time.time(), choices.getrandbits(74)) if kind == "booking" else ""
        tier = self.fleet.config.tier_by_workspace[workspace]
        return Sent(kind, marker, workspace, tier, key, choices.randrange(1, 40))

    def send(self, choices: random.Random, sent: Sent) -> None:
        """Try on one node, and on others as long as the outcome is not a whole answer."""
        for _ in range(1 + RETRIES):
            nodes = [name for name in self.fleet.nodes if name not in self.retired]
            attempt = self.attempt(choices.choice(nodes), sent)
            sent.attempts.append(attempt)
            if attempt.outcome in ("complete", "stream") or self.stopped.is_set():
                return
            time.sleep(RETRY_PAUSE)

    def attempt(self, node: str, sent: Sent) -> Attempt:
        """Send once."""
        headers = {
            "Authorization": f"Bearer key-{sent.workspace}",
            "Request-Id": sent.marker,
            "Request-Timeout": str(DEADLINE),
        }
        if sent.key:
            headers["Idempotency-Key"] = sent.key
        method, path, content = self.content(sent)
        started = time.monotonic()
        try:
            response = self.http.request(
                method,
                self.fleet.url(node) + path,
                body=None if content is None else json.dumps(content).encode(),
                headers=headers,
                timeout=DEADLINE + HANG_LIMIT,
            )
        except urllib3.exceptions.HTTPError as error:
            elapsed = time.monotonic() - started
            return Attempt(node, "broken", 0, b"", elapsed, type(error).__name__)
        outcome = response.headers.get("Celeryrun-Outcome", "missing")
        elapsed = time.monotonic() - started
        if outcome == "stream" and not response.data.endswith(b"\n\n"):
            outcome = "broken"
        return Attempt(node, outcome, response.status, response.data, elapsed)

    def content(self, sent: Sent) -> tuple[str, str, dict[str, object] | None]:
        """Return method, path and JSON body of a request."""
        match sent.kind:
            case "lookup":
                return "GET", f"/warehouse/stock/{sent.marker}", None
            case "booking":
                return "POST", f"/warehouse/bookings/{sent.marker}", {"crates": 40}
        prompt = f"{sent.marker} A season contract"
        body = {"prompt": prompt, "max_tokens": sent.tokens, "stream": sent.kind == "stream"}
        return "POST", "/drafts/v1/generate", body
