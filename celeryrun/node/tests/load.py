"""Concurrent callers that keep a fleet busy and record every response."""

import json
import threading
import time
from dataclasses import dataclass, field

import urllib3

DRAFT = {"prompt": "A season contract", "max_tokens": 20, "stream": True}


@dataclass(slots=True)
class SentRequest:
    """Request with its outcome."""

    node: str
    workspace: str
    started_at: float
    ended_at: float = 0.0
    status: int = 0
    error: str = ""
    complete: bool = False
    refused: bool = False


@dataclass(slots=True)
class Load:
    """Threads that send drafts and stock lookups to all nodes, including draining ones."""

    fleet: object
    nodes: list
    requests: list = field(default_factory=list)
    stopped: threading.Event = field(default_factory=threading.Event)
    threads: list = field(default_factory=list)

    def run(self, callers):
        for number in range(callers):
            thread = threading.Thread(target=self.call, args=(number,), daemon=True)
            self.threads.append(thread)
            thread.start()
        return self

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join(60)

    def call(self, number):
        http = urllib3.PoolManager(retries=False, maxsize=4)
        workspace = list(self.fleet.config.tier_by_workspace)[
            number % len(self.fleet.config.tier_by_workspace)
        ]
        turn = number
        while not self.stopped.is_set():
            turn += 1
            request = SentRequest(self.nodes[turn % len(self.nodes)], workspace, time.monotonic())
            self.requests.append(request)
            self.send(http, request, turn)
            request.ended_at = time.monotonic()

    def send(self, http, request, turn):
        url = self.fleet.url(request.node)
        headers = {"Authorization": f"Bearer key-{request.workspace}"}
        try:
            if turn % 2:
                body = json.dumps(DRAFT).encode()
                path = f"{url}/drafts/v1/generate"
                response = http.request("POST", path, body=body, headers=headers, timeout=30.0)
                request.complete = (
                    b"event: outcome" in response.data and b'"complete"' in response.data
                )
            else:
                response = http.request("GET", f"{url}/warehouse/stock/a", headers=headers)
                request.complete = response.headers["Celeryrun-Outcome"] == "complete"
            request.status = response.status
            request.refused = response.headers["Celeryrun-Outcome"] == "not-run"
        except urllib3.exceptions.NewConnectionError:
            # Nothing was sent, so a load balancer would try the next node.
            request.refused = True
            time.sleep(0.02)
        except urllib3.exceptions.HTTPError as error:
            request.error = f"{type(error).__name__}: {error}"

    def interrupted(self):
        """Return the requests with neither a complete response nor a refusal."""
        return [
            request for request in self.requests if not request.complete and not request.refused
        ]
