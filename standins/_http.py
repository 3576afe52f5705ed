"""HTTP server of the stand-ins, with fault injection.

``POST /control`` sets faults from a JSON object:

- ``outage``: connections are closed without a response.
- ``slow``: delay before each response, in seconds.
- ``lose_answers``: number of requests that are executed but get no response.
- ``silent``: connections that are open now never carry a response again; new ones work.

Each stand-in adds faults of its own. Requests with the header ``Stand-In-Control`` come from the
test harness and are exempt from faults.
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
    """Active faults of one stand-in."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.by_name: dict[str, Any] = {}
        self.silent_generation = 0

    def set(self, faults: dict[str, Any]) -> None:
        """Set faults by name; a false value clears a fault."""
        with self.lock:
            if faults.pop("silent", None):
                self.silent_generation += 1
            self.by_name.update(faults)

    def get(self, name: str, default: Any = 0) -> Any:
        """Return the value of a fault, or `default` if it was never set."""
        return self.by_name.get(name, default)

    def consume(self, name: str) -> bool:
        """Consume one occurrence of a counted fault; return False if none remains."""
        with self.lock:
            remaining = self.by_name.get(name, 0)
            if remaining > 0:
                self.by_name[name] = remaining - 1
            return remaining > 0


class Recorder:
    """JSON lines file that survives a crash of the process."""

    def __init__(self, path: str) -> None:
        self.file = open(path, "ab", buffering=0) if path else None

    def write(self, **content: Any) -> None:
        """Append one line."""
        if self.file is not None:
            self.file.write(json.dumps({"time": time.time(), **content}).encode() + b"\n")


class Handler(BaseHTTPRequestHandler):
    """Handler of one connection; subclasses implement ``respond``."""

    protocol_version = "HTTP/1.1"
    faults: Faults
    timeout = 120

    def setup(self) -> None:
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.generation = self.faults.silent_generation

    def handle_method(self) -> None:
        url = urlsplit(self.path)
        self.query = {key: values[0] for key, values in parse_qs(url.query).items()}
        self.url_path = url.path
        length = int(self.headers.get("Content-Length") or 0)
        self.body = self.rfile.read(length) if length else b""
        self.from_harness = True
        if self.url_path == "/control":
            self.faults.set(json.loads(self.body))
            self.send_json(200, {})
            return
        self.from_harness = CONTROL_HEADER in self.headers
        if self.from_harness:
            self.respond()
            return
        self.block_if_silenced()
        if self.faults.get("outage"):
            self.close_connection = True
            return
        if self.faults.get("slow"):
            time.sleep(self.faults.get("slow"))
        self.respond()

    do_GET = do_HEAD = do_POST = do_PUT = do_DELETE = handle_method  # noqa: N815

    def respond(self) -> None:
        raise NotImplementedError

    def block_if_silenced(self) -> None:
        """Block forever if the fault ``silent`` was set after this connection opened."""
        while self.generation < self.faults.silent_generation:
            time.sleep(3600)

    def send_json(self, status: int, content: Any, headers: dict[str, str] | None = None) -> None:
        self.send_bytes(status, json.dumps(content).encode(), "application/json", headers)

    def send_bytes(
        self, status: int, body: bytes, content_type: str, headers: dict[str, str] | None = None
    ) -> None:
        if not self.from_harness:
            if self.faults.consume("lose_answers"):
                self.close_connection = True
                return
            self.block_if_silenced()
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


def base_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", default="stand-in")
    parser.add_argument("--record", default="", help="file in which received requests are recorded")
    return parser


def run_server(port: int, handler: type[Handler], **attributes: Any) -> None:
    """Serve on the loopback address until the process is killed."""
    threading.stack_size(256 * 1024)
    bound_handler = type("BoundHandler", (handler,), {"faults": Faults(), **attributes})
    _Server(("127.0.0.1", port), bound_handler).serve_forever()
