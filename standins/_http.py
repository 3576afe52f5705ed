"""HTTP server shared by the stand-ins, with faults on command.

``POST /control`` takes a JSON object of faults: ``outage`` (connections are closed unanswered),
``slow`` (seconds before each answer), ``lose_answers`` (effect without answer, a count), ``silent``
(connections open now go silent for good; new ones work), and what each stand-in adds. A call with
the header ``Stand-In-Control`` comes from the tester and meets no fault.
"""

from __future__ import annotations

import argparse
import json
import socket
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

__all__ = ["Faults", "Handler", "Recorder", "base_parser", "run_server"]

CONTROL_HEADER = "Stand-In-Control"


class Faults:
    """Faults now commanded."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.by_name: dict[str, Any] = {}
        self.silent_generation = 0

    def set(self, faults: dict[str, Any]) -> None:
        """Set some faults; a false value ends one."""
        with self.lock:
            if faults.pop("silent", None):
                self.silent_generation += 1
            self.by_name.update(faults)

    def get(self, name: str, default: Any = 0) -> Any:
        """Return the value of a fault."""
        return self.by_name.get(name, default)

    def take(self, name: str) -> bool:
        """Use up one of a counted fault."""
        with self.lock:
            left = self.by_name.get(name, 0)
            if left > 0:
                self.by_name[name] = left - 1
            return left > 0


class Recorder:
    """Lines of JSON in a file, which outlive the process."""

    def __init__(self, path: str) -> None:
        self.file = open(path, "ab", buffering=0) if path else None

    def write(self, **content: Any) -> None:
        """Append one line."""
        if self.file is not None:
            self.file.write(json.dumps({"time": time.time(), **content}).encode() + b"\n")


class Handler(BaseHTTPRequestHandler):
    """One connection; subclasses implement ``answer``."""

    protocol_version = "HTTP/1.1"
    faults: Faults
    timeout = 120

    def setup(self) -> None:
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.generation = self.faults.silent_generation

    def handle_any(self) -> None:
        parts = urlsplit(self.path)
        self.query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        self.path_only = parts.path
        length = int(self.headers.get("Content-Length") or 0)
        self.body = self.rfile.read(length) if length else b""
        self.by_tester = True
        if self.path_only == "/control":
            self.faults.set(json.loads(self.body))
            self.send_json(200, {})
            return
        self.by_tester = CONTROL_HEADER in self.headers
        if self.by_tester:
            self.answer()
            return
        self.stay_silent_if_told()
        if self.faults.get("outage"):
            self.close_connection = True
            return
        if self.faults.get("slow"):
            time.sleep(self.faults.get("slow"))
        self.answer()

    do_GET = do_HEAD = do_POST = do_PUT = do_DELETE = handle_any  # noqa: N815

    def answer(self) -> None:
        raise NotImplementedError

    def stay_silent_if_told(self) -> None:
        """Never answer on a connection that a fault has silenced."""
        while self.generation < self.faults.silent_generation:
            time.sleep(3600)

    def send_json(self, status: int, content: Any, headers: dict[str, str] | None = None) -> None:
        self.send_bytes(status, json.dumps(content).encode(), "application/json", headers)

    def send_bytes(
        self, status: int, body: bytes, content_type: str, headers: dict[str, str] | None = None
    ) -> None:
        if not self.by_tester:
            if self.faults.take("lose_answers"):
                self.close_connection = True
                return
            self.stay_silent_if_told()
        self.send_response(status)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(body)))
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        if self.close_connection:
            self.send_header("Connection", "close")
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)

    def log_message(self, *args: Any) -> None:
        pass


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request: Any, client_address: Any) -> None:
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)


def base_parser(note: str) -> argparse.ArgumentParser:
    """Return a parser with what all stand-ins take."""
    parser = argparse.ArgumentParser(description=note)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", default="stand-in")
    parser.add_argument("--record", default="", help="file for a record of what was received")
    return parser


def run_server(port: int, handler: type[Handler], **attributes: Any) -> None:
    """Serve on loopback until killed."""
    threading.stack_size(256 * 1024)
    bound = type("Bound", (handler,), {"faults": Faults(), **attributes})
    _Server(("127.0.0.1", port), bound).serve_forever()
