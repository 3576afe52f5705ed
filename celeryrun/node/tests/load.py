"""Callers that keep a fleet busy and remember every answer."""

import json
import threading
import time
from dataclasses import dataclass, field

import urllib3

DRAFT = {"prompt": "A season contract", "max_tokens": 20, "stream": True}


@dataclass(slots=True)
class Sent:
    """One request and what became of it."""

    node: str
    workspace: str
    started: float
    ended: float = 0.0
    status: int = 0
    error: str = ""
    whole: bool = False
    refused: bool = False


@dataclass(slots=True)
class Load:
    """Threads that send drafts and stock checks to all nodes, whether they leave or not."""

    fleet: object
    nodes: list
    sent: list = field(default_factory=list)
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
            sent = Sent(self.nodes[turn % len(self.nodes)], workspace, time.monotonic())
            self.sent.append(sent)
            self.send(http, sent, turn)
            sent.ended = time.monotonic()

    def send(self, http, sent, turn):
        url = self.fleet.url(sent.node)
        headers = {"Authorization": f"Bearer key-{sent.workspace}"}
        try:
            if turn % 2:
                body = json.dumps(DRAFT).encode()
                path = f"{url}/drafts/v1/generate"
                answer = http.request("POST", path, body=body, headers=headers, timeout=30.0)
                sent.whole = b"event: outcome" in answer.data and b'"complete"' in answer.data
            else:
                answer = http.request("GET", f"{url}/warehouse/stock/a", headers=headers)
                sent.whole = answer.headers["Celeryrun-Outcome"] == "complete"
            sent.status = answer.status
            sent.refused = answer.headers["Celeryrun-Outcome"] == "not-run"
        except urllib3.exceptions.NewConnectionError:
            # A balancer tries the next node: nothing was sent.
            sent.refused = True
            time.sleep(0.02)
        except urllib3.exceptions.HTTPError as error:
            sent.error = f"{type(error).__name__}: {error}"

    def cut(self):
        """Return the requests that got no whole answer, and were not told that they did not run."""
        return [sent for sent in self.sent if not sent.whole and not sent.refused]
