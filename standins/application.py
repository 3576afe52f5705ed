"""Stand-in plain application: stock checks may be repeated, bookings may not.

Further faults: ``crash_on`` (text in a path or body that ends the process), ``leaving``,
``late`` (seconds between effect and answer), ``short_answers`` and ``crossed_answers`` (counts).
"""

from __future__ import annotations

import os
import threading
import time
from typing import Any

from standins._http import Handler, Recorder, base_parser, run_server

__all__ = ["Book"]


class Book:
    """The application's own record of what it ran."""

    def __init__(self, workers: int) -> None:
        self.workers = threading.Semaphore(workers)
        self.lock = threading.Lock()
        self.runs: list[dict[str, Any]] = []

    def run(self, run: dict[str, Any], seconds: float) -> int:
        with self.workers:
            time.sleep(seconds)
            with self.lock:
                self.runs.append({**run, "time": time.time()})
                return len(self.runs)


class _Handler(Handler):
    book: Book
    recorder: Recorder
    seconds: float

    def answer(self) -> None:
        if self.path_only == "/record":
            self.send_json(200, {"runs": self.book.runs})
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
        number = self.book.run(run, self.seconds)
        time.sleep(self.faults.get("late"))
        self.send_run(request_id, {"run": number, "path": self.path, "for": request_id})

    def send_run(self, request_id: str, content: dict[str, Any]) -> None:
        if self.faults.take("crossed_answers"):
            self.send_json(200, {**content, "for": "another"}, {"Request-Id": "another"})
        elif self.faults.take("short_answers"):
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
    parser.add_argument("--seconds", type=float, default=0.01, help="for each call")
    parser.add_argument("--workers", type=int, default=16)
    options = parser.parse_args()
    book = Book(options.workers)
    recorder = Recorder(options.record)
    run_server(options.port, _Handler, book=book, recorder=recorder, seconds=options.seconds)


if __name__ == "__main__":
    main()
