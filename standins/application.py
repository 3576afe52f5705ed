"""Stand-in application with idempotent stock checks and non-idempotent bookings.

Faults beside those of every stand-in:

- ``crash_on``: text in a path or body that ends the process.
- ``leaving``: every request is rejected with ``Target-Leaving``.
- ``late``: delay between execution and response, in seconds.
- ``short_answers``, ``crossed_answers``: run_number of responses that end early, or that
  carry the id of another request.
"""

from __future__ import annotations

import os
import threading
import time
from typing import Any

from standins._http import Handler, Recorder, base_parser, run_server

__all__ = ["ExecutionLog"]


class ExecutionLog:
    """In-memory record of the requests that the application executed."""

    def __init__(self, workers: int) -> None:
        self.workers = threading.Semaphore(workers)
        self.lock = threading.Lock()
        self.runs: list[dict[str, Any]] = []

    def execute(self, run: dict[str, Any], seconds: float) -> int:
        with self.workers:
            time.sleep(seconds)
            with self.lock:
                self.runs.append({**run, "time": time.time()})
                return len(self.runs)


class _Handler(Handler):
    execution_log: ExecutionLog
    recorder: Recorder
    seconds: float

    def respond(self) -> None:
        if self.url_path == "/record":
            self.send_json(200, {"runs": self.execution_log.runs})
            return
        if self.faults.get("leaving"):
            self.send_json(503, {"error": "leaving"}, {"Target-Leaving": "1"})
            return
        request_id = self.headers.get("Request-Id", "")
        run = {
            "method": self.command,
            "path": self.path,
            "request_id": request_id,
            "key": self.headers.get("Idempotency-Key", ""),
        }
        self.recorder.write(**run)
        crash_on = self.faults.get("crash_on", "")
        if crash_on and crash_on in self.path + self.body.decode(errors="replace"):
            os._exit(9)
        run_number = self.execution_log.execute(run, self.seconds)
        time.sleep(self.faults.get("late"))
        self.send_result(request_id, {"run": run_number, "path": self.path, "for": request_id})

    def send_result(self, request_id: str, content: dict[str, Any]) -> None:
        if self.faults.consume("crossed_answers"):
            self.send_json(200, {**content, "for": "another"}, {"Request-Id": "another"})
        elif self.faults.consume("short_answers"):
            self.send_response(200)
            self.send_header("Content-Length", "1000")
            self.end_headers()
            self.wfile.write(b'{"run"')
            self.close_connection = True
        else:
            self.send_json(200, content, {"Request-Id": request_id})


def main() -> None:
    """Run the stand-in."""
    parser = base_parser("stand-in application")
    parser.add_argument("--seconds", type=float, default=0.01, help="execution time of a request")
    parser.add_argument("--workers", type=int, default=16)
    options = parser.parse_args()
    execution_log = ExecutionLog(options.workers)
    recorder = Recorder(options.record)
    run_server(
        options.port,
        _Handler,
        execution_log=execution_log,
        recorder=recorder,
        seconds=options.seconds,
    )


if __name__ == "__main__":
    main()
