"""Parts that the scripts of the third review share: gateways as processes, stand-ins, a record."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import httptools

from standins.ports import lease_ports
from standins.site import format_settings
from standins.store import HOST, StoreStandIn

ROOT = Path(__file__).parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes
# The bounds of the sheet of `chru-tally`, and the size of its VMs.
BOUNDS = """\
configuration_lag = 2000ms
revocation_lag = 5000ms
drain_lag = 2000ms
stop_grace = 8s
retry_ratio = 0.2
retry_window = 10s
retry_slack = 52
quota_window = 8s
quota_over = 0.1
quota_slack = 140000"""
VM = "core_share = 0.537\ncores = 2\nmemory = 300MiB\ndescriptors = 4100"
HEARTBEAT = 1.2  # s between two entries of a runner
EXIT_TIMEOUT = 10.0  # s


class NotRunnableError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, each line with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


class Node:
    """Gateway as a process of its own, started with the command of the deploy file."""

    def __init__(
        self,
        name: str,
        folder: Path,
        store_port: int,
        bounds: str = BOUNDS,
        first_start: str = "yes",
    ) -> None:
        self.name = name
        self.ports = lease_ports(4)
        self.store_port = store_port
        self.bounds = bounds
        self.first_start = first_start
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None

    @property
    def caller_port(self) -> int:
        """Port for callers."""
        return self.ports[0]

    async def start(self) -> None:
        """Write the settings and start the process."""
        path = self._folder / f"{self.name}.ini"
        path.write_text(
            format_settings(
                self.name, tuple(self.ports), self.store_port, self.bounds, VM, self.first_start
            )
        )
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "celeryrun",
                "gateway",
                str(path),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.first_start = "no"

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        answer = await exchange(
            self.ports[1], b"GET /celeryrun/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        return answer.status == 200

    def log(self) -> str:
        """Return what the process has written."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


@dataclass
class Answer:
    """Answer as far as a client has received it."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    lost: bool = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Note the end."""
        self.complete = True


async def exchange(
    port: int,
    request: bytes,
    seconds: float = 5.0,
) -> Answer:
    """Send a request on a new connection, and return the answer or what came of it."""
    answer = Answer()
    parser = httptools.HttpResponseParser(answer)
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(request)
            while not answer.complete and (data := await reader.read(65536)):
                parser.feed_data(data)
                answer.status = parser.get_status_code()
    except (OSError, TimeoutError, httptools.HttpParserError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    answer.lost = not answer.complete
    return answer


def format_request(
    method: str, path: str, id: str, key: str, deadline_ms: int, body: bytes = b"", **headers: str
) -> bytes:
    """Return the bytes of a client's request; ``_`` stands for ``-`` in names."""
    fields = {
        "Host": "site.example",
        "Celeryrun-Attempt-Id": id,
        "Celeryrun-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {key}",
        "Content-Length": str(len(body)),
    }
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items()), "", ""]
    return "\r\n".join(lines).encode() + body


@dataclass
class Arrival:
    """Request as a runner has read it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Id of the client attempt."""
        return self.headers.get("celeryrun-attempt-id", "")


class Runner:
    """Runner that renews its entry in the store, and serves requests by a given function.

    Parameters
    ----------
    serve : callable
        Coroutine function called with this runner, a request meant for it and the connection.
    """

    def __init__(
        self,
        store: StoreStandIn,
        id: str,
        service: str,
        serve: Callable[[Runner, Arrival, asyncio.StreamWriter], Awaitable[None]],
        slots: int = 8,
        version: str = "v1",
    ) -> None:
        self.store, self.id, self.service, self.slots = store, id, service, slots
        self.version = version
        self.address = ""
        self._serve = serve
        self._free_slots = asyncio.Semaphore(slots)
        self._writers: set[asyncio.StreamWriter] = set()
        self.on_arrival: Callable[[Arrival], None] = lambda arrival: None
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._state = "ready"
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serve on a free port, and write the entry every heartbeat."""
        (port,) = lease_ports(1)
        self._server = await asyncio.start_server(self._on_connection, HOST, port)
        self.address = f"{HOST}:{port}"
        self._task = asyncio.create_task(self._renew())
        await asyncio.sleep(0)

    def stop(self) -> None:
        """Stop without a word, as after a crash."""
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def drain(self) -> None:
        """Say that the runner leaves; it goes on serving."""
        self._state = "draining"
        self._write_entry()

    async def _renew(self) -> None:
        while True:
            self._write_entry()
            await asyncio.sleep(HEARTBEAT)

    def _write_entry(self) -> None:
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": self._state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        self.store.put("keyed.servers", self.id, entry)

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        watch: asyncio.Task[bytes] | None = None
        self._writers.add(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            method, path, _ = head[0].split(" ")
            headers = {
                name.strip().lower(): value.strip()
                for name, _, value in (line.partition(":") for line in head[1:] if line)
            }
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            arrival = Arrival(method, path, headers, body)
            if headers.get("celeryrun-expect-instance", self.id) != self.id:
                writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                return
            self.on_arrival(arrival)
            work = asyncio.create_task(self._serve_in_turn(arrival, writer))
            watch = asyncio.create_task(reader.read(1))  # work stops when the connection closes
            await asyncio.wait([work, watch], return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            if watch is not None:
                watch.cancel()
            self._writers.discard(writer)
            writer.close()

    async def _serve_in_turn(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        async with self._free_slots:
            # The other end may have closed the connection.
            with contextlib.suppress(ConnectionError):
                await self._serve(self, arrival, writer)

    def head(self, arrival: Arrival, status: str = "200 OK", **headers: str) -> bytes:
        """Return the head of an answer."""
        fields = {
            "Celeryrun-Attempt-Id": arrival.id,
            "Celeryrun-Response-Seal": f"seal-{self.id}",
            "Celeryrun-Weight-Versions": "1",
        }
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines = [f"HTTP/1.1 {status}", *(f"{k}: {v}" for k, v in fields.items()), "", ""]
        return "\r\n".join(lines).encode()


class Proxy:
    """Forwards connections to a loopback port until it is cut off, with a reset, or healed."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        (self.port,) = lease_ports(1)

    async def start(self) -> None:
        """Accept and forward connections."""
        self._server = await asyncio.start_server(self._forward_both, HOST, self.port)

    def cut(self) -> None:
        """Reset all connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _forward_both(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ends = {writer}
        with contextlib.suppress(OSError):
            other_reader, other_writer = await asyncio.open_connection(HOST, self._target_port)
            ends.add(other_writer)
            self._writers |= ends
            directions = [
                asyncio.create_task(_forward(reader, other_writer)),
                asyncio.create_task(_forward(other_reader, writer)),
            ]
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            for direction in directions:
                direction.cancel()
        self._writers -= ends
        for end in ends:
            end.transport.abort()


async def _forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()


async def wait_until(condition: Callable[[], Awaitable[bool]], seconds: float = 20.0) -> None:
    """Wait until a condition holds, or give the case up."""
    try:
        async with asyncio.timeout(seconds):
            while not await condition():
                await asyncio.sleep(0.05)
    except TimeoutError as error:
        raise NotRunnableError("the gateways did not become ready") from error


async def start_nodes(nodes: list[Node]) -> None:
    """Start gateways and wait until all are ready."""
    for node in nodes:
        await node.start()
    for node in nodes:
        await wait_until(node.is_ready)


def run_case(folder: Path, scenario: Callable[[Record, Path, list[Node]], Awaitable[bool]]) -> None:
    """Run a case and exit with its code.

    Parameters
    ----------
    scenario : callable
        Coroutine function that appends the gateways that it starts to a list, and returns whether
        the rule held.
    """
    record = Record(folder / "record.txt")
    nodes: list[Node] = []

    async def run(temporary: Path) -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(110):
                return await scenario(record, temporary, nodes)
        finally:
            for node in nodes:
                node.send_signal(signal.SIGCONT)
                await node.kill()
            if os.environ.get("LOGS"):
                for node in nodes:
                    Path(os.environ["LOGS"], f"{node.name}.log").write_text(node.log())

    code = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:
            code = HELD if asyncio.run(run(Path(temporary))) else BROKEN
    except (Exception, asyncio.CancelledError) as error:
        record.note(f"the case could not run: {error!r}")
    outcome = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "could not run"}[code]
    record.note(f"{outcome} ({'with' if TROUBLE else 'without'} the disruption)")
    print(f"{folder.name}: {outcome}")
    sys.exit(code)
