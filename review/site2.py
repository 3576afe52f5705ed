"""Small deployment for the scripts of the second review: the deploy file's process, stand-ins.

The gateways are separate processes on loopback addresses; the store is the project's stand-in. The
runners here are raw TCP servers, so that a case can choose each byte that they send.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.ports import lease_ports
from standins.store import HOST, StoreStandIn

ROOT = Path(__file__).parents[1]
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MIB = 300  # of a machine of the two small deployments
DESCRIPTORS = 4100
HOSTNAME = "site.example"
KEY = "key-herd"

SETTINGS = """[node]
name = {name}
zone = zone-a
core_share = 0.537
cores = 2
memory = {memory}MiB
descriptors = {descriptors}
first_start = yes
caller_address = {host}:{caller}
readiness_address = {host}:{ready}
peer_address = {host}:{peer}
metrics_address = {host}:{metrics}

[store]
address = {host}:{store}

[bounds]
configuration_lag = 2000ms
revocation_lag = 5000ms
drain_lag = 2000ms
stop_grace = 8s
retry_ratio = 0.2
retry_window = 10s
retry_slack = 52
quota_window = 8s
quota_over = 0.1
quota_slack = 140000
"""


class Record:
    """Record of what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._began = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def note(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} s  {text}\n")
        self._file.flush()


@dataclass
class Arrival:
    """Request that a runner has received whole."""

    attempt: str
    head: bytes
    body: bytes
    runner: str = ""

    def header(self, name: str) -> str:
        """Return the first value of a header, empty without one."""
        for line in self.head.decode("latin-1").split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name.lower():
                return value.strip()
        return ""


Answer = Callable[[Arrival, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Runner:
    """Runner that registers itself and leaves each answer to the case."""

    id: str
    service: str
    answer: Answer
    slots: int = 6
    version: str = "v1"
    port: int = 0
    born: int = 1_700_000_000_000
    runs: list[Arrival] = field(default_factory=list)
    server: asyncio.Server | None = None
    reaches_store: bool = True
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Start to listen, again on the same port."""
        self.port = self.port or lease_ports(1)[0]
        self.server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the entry of the store."""
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": len(self.runs),
            "born": self.born,
        }

    def crash(self) -> None:
        """End all that runs, as a crash does."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()

    async def start_again(self, version: str) -> None:
        """Start under the same id and address, perhaps with other software."""
        self.version, self.born = version, int(time.time() * 1000)
        await self.start()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            with contextlib.suppress(asyncio.CancelledError):  # by a crash
                await self._serve_one(reader, writer)
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n"))[:-4]
            arrival = Arrival("", head, b"", self.id)
            arrival.attempt = arrival.header("Celeryrun-Attempt-Id")
            arrival.body = await reader.readexactly(int(arrival.header("Content-Length") or 0))
            self.runs.append(arrival)
            await self.answer(arrival, writer)
        writer.close()


def answer_head(arrival: Arrival, *lines: str, status: str = "200 OK") -> bytes:
    """Return the head of a runner's answer."""
    fixed = [
        f"HTTP/1.1 {status}",
        f"Celeryrun-Attempt-Id: {arrival.attempt}",
        f"Celeryrun-Response-Seal: seal.{arrival.runner}.{arrival.attempt}",
    ]
    return "\r\n".join([*fixed, *lines, "", ""]).encode()


def build_config(version: int = 1, **overrides: Any) -> dict[str, Any]:
    """Return a configuration like those of the two small deployments."""

    def route(prefix: str, service: str, kind: str, **more: Any) -> dict[str, Any]:
        return {
            "name": f"r-{prefix.strip('/')}",
            "host": HOSTNAME,
            "pathPrefix": prefix,
            "kind": kind,
            "timeoutMs": 2000,
            "targetLatencyMs": 300,
            "priority": 2,
            "service": service,
            "maxAttempts": 1,
            "public": False,
            "resumable": False,
        } | more

    return {
        "version": version,
        "routes": [
            route("/reads/", "ledger", "idempotent", maxAttempts=2),
            route("/posts/", "ledger", "non_idempotent"),
            route("/recons/", "model", "streaming", timeoutMs=15000, gapAimMs=250),
            route(
                "/queries/",
                "model",
                "streaming",
                timeoutMs=12000,
                maxAttempts=2,
                resumable=True,
                gapAimMs=250,
            ),
        ],
        "services": [
            {"name": "ledger", "healthPath": "/health", "maxConnections": 96},
            {
                "name": "model",
                "healthPath": "/health",
                "maxConnections": 360,
                "engine": {"slots": 8, "stride": 5},
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "herd", "apiKeys": [KEY], "unit": "token_count", "plainTokens": 200}],
    } | overrides


@dataclass
class GatewayProcess:
    """One process of the system."""

    name: str
    ports: tuple[int, ...]
    process: asyncio.subprocess.Process

    @property
    def caller_port(self) -> int:
        """Port for callers."""
        return self.ports[0]

    def resident_mib(self) -> float:
        """Return the memory in use, in MiB."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Site2:
    """Gateways as processes, with a store and runners, as an asynchronous context manager."""

    def __init__(
        self,
        runners: list[Runner],
        gateways: int = 1,
        store: StoreStandIn | None = None,
        **config: Any,
    ) -> None:
        self.store = store or StoreStandIn()
        self.runners = runners
        self.gateways: list[GatewayProcess] = []
        self._count = gateways
        self._config = build_config(**config)
        self.folder = Path(tempfile.mkdtemp(prefix="celeryrun-review-"))
        self._heartbeat: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Site2:
        await self.store.start()
        self.store.put("keyed.op", "config", self._config)
        for runner in self.runners:
            await runner.start()
            self.register(runner)
        self._heartbeat = asyncio.create_task(self._beat())
        for number in range(self._count):
            await self.start_gateway(f"front-{number}")
        for gateway in self.gateways:
            await self.wait_ready(gateway)
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        for gateway in self.gateways:
            with contextlib.suppress(ProcessLookupError):
                gateway.process.send_signal(signal.SIGKILL)
            await gateway.process.wait()
        self.store.stop()
        for runner in self.runners:
            if runner.server is not None:
                runner.server.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            for runner in self.runners:
                self.register(runner)

    def register(self, runner: Runner) -> None:
        """Write a runner's entry, if it reaches the store."""
        if runner.reaches_store:
            self.store.put("keyed.servers", runner.id, runner.entry())

    async def start_gateway(self, name: str, ports: tuple[int, ...] = ()) -> GatewayProcess:
        """Start a process with the run command of the deploy file."""
        ports = ports or tuple(lease_ports(4))
        caller, ready, peer, metrics = ports
        settings = self.folder / f"{name}.ini"
        settings.write_text(
            SETTINGS.format(
                name=name,
                memory=MEMORY_MIB,
                descriptors=DESCRIPTORS,
                host=HOST,
                caller=caller,
                ready=ready,
                peer=peer,
                metrics=metrics,
                store=self.store.port,
            ),
            encoding="utf-8",
        )
        environment = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "celeryrun",
                "gateway",
                str(settings),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        gateway = GatewayProcess(name, ports, process)
        self.gateways.append(gateway)
        return gateway

    async def is_ready(self, gateway: GatewayProcess) -> bool:
        """Ask the readiness page once."""
        request = b"GET /celeryrun/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, gateway.ports[1])
                writer.write(request)
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def kill(self, gateway: GatewayProcess) -> None:
        """Kill a process."""
        gateway.process.send_signal(signal.SIGKILL)
        await gateway.process.wait()
        self.gateways.remove(gateway)

    async def wait_ready(self, gateway: GatewayProcess) -> None:
        """Wait until a gateway says that it is ready."""
        async with asyncio.timeout(20):
            while not await self.is_ready(gateway):
                await asyncio.sleep(0.1)

    def log(self, gateway: GatewayProcess) -> str:
        """Return what a gateway has written."""
        return (self.folder / f"{gateway.name}.log").read_text(errors="replace")


def request_bytes(
    attempt: str,
    path: str,
    body: bytes = b"",
    method: str = "POST",
    deadline: int = 4000,
    **more: str,
) -> bytes:
    """Return a client's request; ``_`` stands for ``-`` in header names."""
    fields = {
        "Host": HOSTNAME,
        "Celeryrun-Attempt-Id": attempt,
        "Celeryrun-Deadline-Ms": str(deadline),
        "Authorization": f"Bearer {KEY}",
    }
    if method == "POST":
        fields["Content-Length"] = str(len(body))
    fields |= {name.replace("_", "-"): value for name, value in more.items()}
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items()), "", ""]
    return "\r\n".join(lines).encode() + body


@dataclass
class Answered:
    """Answer as a client's parser took it."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    is_closed: bool = False

    @property
    def is_success(self) -> bool:
        """Whether it is a complete success with a runner's seal."""
        return self.complete and self.status // 100 == 2


async def read_answer(reader: asyncio.StreamReader, seconds: float) -> Answered:
    """Read one answer, or what of it comes in time."""
    answered = Answered()
    try:
        async with asyncio.timeout(seconds):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            answered.status = int(head[0].split(" ")[1])
            for line in head[1:-2]:
                name, _, value = line.partition(":")
                answered.headers[name.lower()] = value.strip()
            if "chunked" in answered.headers.get("transfer-encoding", ""):
                while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                    answered.body += await reader.readexactly(size)
                    await reader.readexactly(2)
                await reader.readuntil(b"\r\n")
                answered.complete = True
            else:
                length = int(answered.headers.get("content-length", "0"))
                answered.body = await reader.readexactly(length)
                answered.complete = True
    except (ConnectionError, asyncio.IncompleteReadError):
        answered.is_closed = True
    except (TimeoutError, asyncio.LimitOverrunError):
        pass
    return answered


async def ask(port: int, data: bytes, seconds: float = 6.0) -> Answered:
    """Send one request over a new connection."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(HOST, port)
    except (OSError, TimeoutError) as error:
        return Answered(is_closed=isinstance(error, ConnectionError))
    try:
        writer.write(data)
        return await read_answer(reader, seconds)
    finally:
        writer.close()


def run_case(case: Callable[[Record], Awaitable[int]], folder: Path) -> None:
    """Run a case within its time and exit with its result."""
    record = Record(folder)

    async def limited() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(115):
            return await case(record)

    try:
        result = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:
        record.note(f"the case could not run: {error!r}")
        result = NOT_RUN
    record.note({HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "not run"))
    sys.exit(result)
