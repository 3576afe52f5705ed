"""Callers of three tiers that overload one pool and record the time of each response."""

from __future__ import annotations

import json
import random
import threading
import time
from dataclasses import dataclass

import urllib3

from proofs._threads import CallerThreads
from standins.fleet import Fleet

__all__ = ["REQUEST_TIMEOUT", "TierCall", "TierCallers"]

REQUEST_TIMEOUT = 10.0  # s, sent as the Request-Timeout header
CLIENT_TIMEOUT_MARGIN = 8.0  # s past the deadline after which the HTTP client gives up
REFUSAL_DELAY = 0.15  # s, mean delay of a caller after a call that is not complete


@dataclass(slots=True)
class TierCall:
    """One stock check and its result.

    Parameters
    ----------
    outcome : str
        Value of ``Celeryrun-Outcome``, ``missing`` if the header is absent, ``refused`` if the
        connection was refused, or ``broken`` if the response was incomplete.
    error : str
        Error kind of the response, or class of the exception of a broken call.
    started_at, ended_at : float
        Seconds since the epoch.
    """

    marker: str
    node: str
    tier: int
    started_at: float
    ended_at: float = 0.0
    outcome: str = ""
    error: str = ""
    reason: str = ""

    def is_shed(self) -> bool:
        """Return whether the fleet shed the request because of overload."""
        return self.error == "overload"


class TierCallers(CallerThreads):
    """Threads that send stock checks to all nodes, including draining ones.

    Nodes in ``unready_nodes`` receive no requests.

    Parameters
    ----------
    fleet : Fleet
        Fleet that receives the requests.
    seed : int
        Seed of the random generators.
    threads_by_tier : dict
        Number of threads of each tier.
    """

    def __init__(self, fleet: Fleet, seed: int, threads_by_tier: dict[int, int]) -> None:
        super().__init__(fleet)
        self.calls: list[TierCall] = []
        self.unready_nodes: set[str] = set()
        tiers = [tier for tier, count in threads_by_tier.items() for _ in range(count)]
        self.workspace_by_tier = {
            tier: name for name, tier in fleet.config.tier_by_workspace.items()
        }
        self.threads = [
            threading.Thread(target=self.run, args=(tier, random.Random(f"{seed}/{number}")))
            for number, tier in enumerate(tiers)
        ]

    def run(self, tier: int, rng: random.Random) -> None:
        """Send stock checks until stopped."""
        http = urllib3.PoolManager(retries=False, num_pools=50)
        while not self.stopped.is_set():
            node = rng.choice([n for n in self.fleet.nodes if n not in self.unready_nodes])
            marker = f"t{tier}-{rng.getrandbits(48):x}"
            call = TierCall(marker, node, tier, time.time())
            self.calls.append(call)
            self.send(http, call)
            call.ended_at = time.time()
            if call.outcome != "complete":
                time.sleep(REFUSAL_DELAY * (0.5 + rng.random()))

    def send(self, http: urllib3.PoolManager, call: TierCall) -> None:
        """Send one stock check and record its outcome."""
        url = f"{self.fleet.url(call.node)}/warehouse/stock/{call.marker}"
        headers = {
            "Authorization": f"Bearer key-{self.workspace_by_tier[call.tier]}",
            "Request-Timeout": str(REQUEST_TIMEOUT),
        }
        try:
            response = http.request(
                "GET", url, headers=headers, timeout=REQUEST_TIMEOUT + CLIENT_TIMEOUT_MARGIN
            )
        except urllib3.exceptions.NewConnectionError:
            call.outcome = "refused"
        except urllib3.exceptions.HTTPError as error:
            call.outcome, call.error = "broken", type(error).__name__
        else:
            call.outcome = response.headers.get("Celeryrun-Outcome", "missing")
            if call.outcome != "complete":
                body = json.loads(response.data)
                call.error = body["error"]
                call.reason = body.get("reason", "")
