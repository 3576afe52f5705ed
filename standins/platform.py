"""Stand-in platform: append-only log, lagging list of VMs, rate-limited weight store.

Faults of its own: ``list_outage`` and ``log_outage``, for the list or the log alone.
"""

from __future__ import annotations

import base64
import json
import threading
import time
from typing import Any

from standins._http import Handler, base_parser, run_server

__all__ = ["LaggingList", "Log"]


class Log:
    """Streams of records with offsets and limited retention."""

    def __init__(self, retention: float, appends_per_second: float) -> None:
        self.retention = retention
        self.rate = appends_per_second
        self.tokens = appends_per_second
        self.refilled = time.monotonic()
        self.changed = threading.Condition()
        self.first: dict[str, int] = {}
        self.records: dict[str, list[tuple[float, bytes]]] = {}
        self.appends = 0

    def append(self, stream: str, body: bytes) -> int | None:
        """Append; None if the rate is exceeded."""
        with self.changed:
            now = time.monotonic()
            self.tokens = min(self.rate, self.tokens + (now - self.refilled) * self.rate)
            self.refilled = now
            if self.tokens < 1:
                return None
            self.tokens -= 1
            self.appends += 1
            records = self.records.setdefault(stream, [])
            records.append((time.time(), body))
            self.changed.notify_all()
            return self.first.setdefault(stream, 0) + len(records) - 1

    def read(self, stream: str, start: int, most: int, wait: float) -> dict[str, Any]:
        """Read from an offset, waiting while there is nothing new."""
        with self.changed:
            self.changed.wait_for(lambda: self.end(stream) > start, wait)
            self.forget(stream)
            first = self.first.get(stream, 0)
            begin = max(start, first)
            chosen = self.records.get(stream, [])[begin - first : begin - first + most]
            records = [
                {
                    "offset": begin + index,
                    "written": written,
                    "body": base64.b64encode(body).decode(),
                }
                for index, (written, body) in enumerate(chosen)
            ]
            end = self.end(stream)
        return {"first": first, "end": end, "now": time.time(), "records": records}

    def end(self, stream: str) -> int:
        return self.first.get(stream, 0) + len(self.records.get(stream, []))

    def forget(self, stream: str) -> None:
        oldest = time.time() - self.retention
        records = self.records.get(stream, [])
        count = sum(1 for written, _ in records if written < oldest)
        if count:
            del records[:count]
            self.first[stream] += count


class LaggingList:
    """List of VMs that shows changes after a lag."""

    def __init__(self, lag: float) -> None:
        self.lag = lag
        self.versions: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    def set(self, vms: list[dict[str, Any]]) -> None:
        self.versions.append((time.monotonic(), vms))

    def shown(self) -> list[dict[str, Any]]:
        oldest = time.monotonic() - self.lag
        return next(vms for when, vms in reversed(self.versions) if when <= oldest or when == 0.0)


class _Handler(Handler):
    log: Log
    vms: LaggingList
    weight_bytes_per_second: float

    def answer(self) -> None:
        parts = self.path_only.strip("/").split("/")
        if parts[:2] == ["v1", "streams"] and self.faults.get("log_outage"):
            self.close_connection = True
            return
        match (self.command, parts):
            case ("POST", ["v1", "streams", stream, "records"]):
                offset = self.log.append(stream, self.body)
                if offset is None:
                    self.send_json(429, {"error": "append rate exceeded"})
                else:
                    self.send_json(200, {"offset": offset})
            case ("GET", ["v1", "streams", stream, "records"]):
                start, most = int(self.query["start"]), int(self.query.get("max", 100))
                wait = float(self.query.get("wait", 0))
                self.send_json(200, self.log.read(stream, start, most, wait))
            case ("GET", ["v1", "vms"]):
                if self.faults.get("list_outage"):
                    self.close_connection = True
                else:
                    self.send_json(200, {"vms": self.vms.shown()})
            case ("PUT", ["vms"]):
                self.vms.set(json.loads(self.body))
                self.send_json(200, {})
            case ("GET", ["appends"]):
                self.send_json(200, {"appends": self.log.appends})
            case ("GET", ["v1", "weights", _]):
                size = int(self.query.get("bytes", 1_000_000))
                time.sleep(size / self.weight_bytes_per_second)
                self.send_json(200, {"bytes": size})
            case _:
                self.send_json(404, {"error": "unknown call"})


def main() -> None:
    """Run the stand-in."""
    parser = base_parser("stand-in platform")
    parser.add_argument("--retention", type=float, default=3600.0, help="seconds")
    parser.add_argument("--appends", type=float, default=400.0, help="a second")
    parser.add_argument("--lag", type=float, default=1.0, help="seconds that the list lags")
    options = parser.parse_args()
    run_server(
        options.port,
        _Handler,
        log=Log(options.retention, options.appends),
        vms=LaggingList(options.lag),
        weight_bytes_per_second=50e6,
    )


if __name__ == "__main__":
    main()
