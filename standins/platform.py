"""Stand-in platform: append-only log, delayed list of VMs, rate-limited weight store.

Faults beside those of every stand-in: ``list_outage`` and ``log_outage``, outages of the list of
VMs or of the log only.
"""

from __future__ import annotations

import base64
import json
import threading
import time
from typing import Any

from standins._http import Handler, base_parser, run_server

__all__ = ["DelayedVMList", "Log"]


class Log:
    """Append-only streams of records with limited retention.

    Parameters
    ----------
    retention : float
        Seconds after which a record is dropped.
    """

    def __init__(self, retention: float, append_rate: float) -> None:
        self.retention = retention
        self.append_rate = append_rate
        self.append_tokens = append_rate
        self.refilled_at = time.monotonic()
        self.changed = threading.Condition()
        self.first_offset_by_stream: dict[str, int] = {}
        self.records_by_stream: dict[str, list[tuple[float, bytes]]] = {}
        self.append_count = 0
        self.era = 1
        self.copy: dict[str, tuple[int, list[tuple[float, bytes]]]] = {}

    def append(self, stream: str, body: bytes) -> int | None:
        """Append a record and return its offset, or None if the append rate is exceeded."""
        with self.changed:
            now = time.monotonic()
            self.append_tokens = min(
                self.append_rate, self.append_tokens + (now - self.refilled_at) * self.append_rate
            )
            self.refilled_at = now
            if self.append_tokens < 1:
                return None
            self.append_tokens -= 1
            self.append_count += 1
            records = self.records_by_stream.setdefault(stream, [])
            records.append((time.time(), body))
            self.changed.notify_all()
            return self.first_offset_by_stream.setdefault(stream, 0) + len(records) - 1

    def read(self, stream: str, start: int, limit: int, wait: float) -> dict[str, Any]:
        """Read up to `limit` records from an offset, waiting up to `wait` seconds for a new one."""
        with self.changed:
            self.changed.wait_for(lambda: self.end_offset(stream) > start, wait)
            self.drop_expired(stream)
            first_offset = self.first_offset_by_stream.get(stream, 0)
            begin = max(start, first_offset)
            selected = self.records_by_stream.get(stream, [])[
                begin - first_offset : begin - first_offset + limit
            ]
            records = [
                {
                    "offset": begin + index,
                    "written": written,
                    "body": base64.b64encode(body).decode(),
                }
                for index, (written, body) in enumerate(selected)
            ]
            end_offset = self.end_offset(stream)
        return {"first": first_offset, "end": end_offset, "now": time.time(), "records": records}

    def take_copy(self) -> None:
        """Keep a copy of all streams, to which `restore` goes back."""
        with self.changed:
            self.copy = {
                stream: (self.first_offset_by_stream.get(stream, 0), list(records))
                for stream, records in self.records_by_stream.items()
            }

    def restore(self) -> None:
        """Go back to the copy, and lose all that was appended since it was taken."""
        with self.changed:
            self.first_offset_by_stream = {name: first for name, (first, _) in self.copy.items()}
            self.records_by_stream = {name: list(kept) for name, (_, kept) in self.copy.items()}
            self.era += 1
            self.changed.notify_all()

    def end_offset(self, stream: str) -> int:
        return self.first_offset_by_stream.get(stream, 0) + len(
            self.records_by_stream.get(stream, [])
        )

    def drop_expired(self, stream: str) -> None:
        oldest = time.time() - self.retention
        records = self.records_by_stream.get(stream, [])
        count = sum(1 for written, _ in records if written < oldest)
        if count:
            del records[:count]
            self.first_offset_by_stream[stream] += count


class DelayedVMList:
    """List of VMs whose changes become visible after `lag` seconds."""

    def __init__(self, lag: float) -> None:
        self.lag = lag
        self.versions: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    def set(self, vms: list[dict[str, Any]]) -> None:
        self.versions.append((time.monotonic(), vms))

    def visible_vms(self) -> list[dict[str, Any]]:
        visible_before = time.monotonic() - self.lag
        return next(
            vms
            for changed_at, vms in reversed(self.versions)
            if changed_at <= visible_before or changed_at == 0.0
        )


class _Handler(Handler):
    log: Log
    vm_list: DelayedVMList
    weight_bytes_per_second: float

    def era_header(self) -> dict[str, str]:
        return {"Store-Era": str(self.log.era)}

    def respond(self) -> None:
        parts = self.url_path.strip("/").split("/")
        if parts[:2] == ["v1", "streams"] and self.faults.get("log_outage"):
            self.close_connection = True
            return
        match (self.command, parts):
            case ("POST", ["v1", "streams", stream, "records"]):
                offset = self.log.append(stream, self.body)
                if offset is None:
                    self.send_json(429, {"error": "append rate exceeded"})
                else:
                    self.send_json(200, {"offset": offset}, self.era_header())
            case ("GET", ["v1", "streams", stream, "records"]):
                start, limit = int(self.query["start"]), int(self.query.get("max", 100))
                wait = float(self.query.get("wait", 0))
                page = self.log.read(stream, start, limit, wait)
                self.send_json(200, page, self.era_header())
            case ("GET", ["v1", "vms"]):
                if self.faults.get("list_outage"):
                    self.close_connection = True
                else:
                    self.send_json(200, {"vms": self.vm_list.visible_vms()})
            case ("PUT", ["vms"]):
                self.vm_list.set(json.loads(self.body))
                self.send_json(200, {})
            case ("PUT", ["log", "copy"]):
                self.log.take_copy()
                self.send_json(200, {})
            case ("PUT", ["log", "restore"]):
                self.log.restore()
                self.send_json(200, {})
            case ("GET", ["appends"]):
                self.send_json(200, {"appends": self.log.append_count})
            case ("GET", ["v1", "weights", _]):
                size = int(self.query.get("bytes", 1_000_000))
                time.sleep(size / self.weight_bytes_per_second)
                self.send_json(200, {"bytes": size})
            case _:
                self.send_json(404, {"error": "unknown call"})


def main() -> None:
    """Run the stand-in."""
    parser = base_parser("stand-in platform")
    parser.add_argument(
        "--retention", type=float, default=3600.0, help="seconds before records are dropped"
    )
    parser.add_argument("--appends", type=float, default=400.0, help="limit of appends per second")
    parser.add_argument(
        "--lag",
        type=float,
        default=1.0,
        help="seconds before changes of the list of VMs become visible",
    )
    options = parser.parse_args()
    run_server(
        options.port,
        _Handler,
        log=Log(options.retention, options.appends),
        vm_list=DelayedVMList(options.lag),
        weight_bytes_per_second=50e6,
    )


if __name__ == "__main__":
    main()
