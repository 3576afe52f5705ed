"""Callers of three tiers that keep one pool overloaded, and note when each answer came."""

from __future__ import annotations

import json
import random
import threading
import time
from dataclasses import dataclass

import urllib3

from proofs._threads import CallerThreads
from standins.fleet import Fleet

__all__ = ["DEADLINE", "TierCall", "TierCallers"]

DEADLINE = 10.0  # s
PATIENCE = 8.0  # s past the deadline
REFUSED_PAUSE = 0.15  # s


@dataclass(slots=True)
class TierCall:
    """One stock check and what became of it.

    Parameters
    ----------
    outcome : str
        The node's word, ``refused`` if it did not listen, or ``broken`` if no whole answer came.
    error : str
        Typed error of a refusal, or what broke.
    started, ended : float
        Seconds since the epoch.
    """

    marker: str
    node: str
    tier: int
    started: float
    ended: float = 0.0
    outcome: str = ""
    error: str = ""
    reason: str = ""

    def is_shed(self) -> bool:
        """Tell whether the fleet refused it because too much waits."""
        return self.error == "overload"


class TierCallers(CallerThreads):
    """Threads that send stock checks to all nodes, also to those that leave.

    Parameters
    ----------
    fleet : Fleet
        What they call.
    seed : int
        Seed of every choice.
    count_by_tier : dict
        Threads of each tier.
    """

    def __init__(self, fleet: Fleet, seed: int, count_by_tier: dict[int, int]) -> None:
        super().__init__(fleet)
        self.calls: list[TierCall] = []
        self.unready: set[str] = set()
        tiers = [tier for tier, count in count_by_tier.items() for _ in range(count)]
        self.workspace_by_tier = {
            tier: name for name, tier in fleet.config.tier_by_workspace.items()
        }
        self.threads = [
            threading.Thread(target=self.run, args=(tier, random.Random(f"{seed}/{number}")))
            for number, tier in enumerate(tiers)
        ]

    def run(self, tier: int, choices: random.Random) -> None:
        """Send until stopped."""
        http = urllib3.PoolManager(retries=False, num_pools=50)
        while not self.stopped.is_set():
            node = choices.choice([n for n in self.fleet.nodes if n not in self.unready])
            marker = f"t{tier}-{choices.getrandbits(48):x}"
            call = TierCall(marker, node, tier, time.time())
            self.calls.append(call)
            self.send(http, call)
            call.ended = time.time()
            if call.outcome != "complete":
                time.sleep(REFUSED_PAUSE * (0.5 + choices.random()))

    def send(self, http: urllib3.PoolManager, call: TierCall) -> None:
        """Send once."""
        url = f"{self.fleet.url(call.node)}/warehouse/stock/{call.marker}"
        headers = {
            "Authorization": f"Bearer key-{self.workspace_by_tier[call.tier]}",
            "Request-Timeout": str(DEADLINE),
        }
        try:
            answer = http.request("GET", url, headers=headers, timeout=DEADLINE + PATIENCE)
        except urllib3.exceptions.NewConnectionError:
            call.outcome = "refused"
        except urllib3.exceptions.HTTPError as error:
            call.outcome, call.error = "broken", type(error).__name__
        else:
            call.outcome = answer.headers.get("Celeryrun-Outcome", "missing")
            if call.outcome != "complete":
                body = json.loads(answer.data)
                call.error = body["error"]
                call.reason = body.get("reason", "")
