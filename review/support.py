"""Gateway processes, a strict HTTP client and a record for the scripts of the review."""

from __future__ import annotations

import asyncio
import os
import re
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from standins.ports import lease_ports
from standins.runner import RecordedRequest
from standins.site import format_settings
from standins.store import HOST, StoreStandIn

__all__ = [
    "GATEWAYS",
    "Answer",
    "CaseNotRunError",
    "Connection",
    "Deployment",
    "Record",
    "describe_run",
    "format_request",
    "main",
    "start_process",
]

ROOT = Path(__file__).parents[1]
GATEWAYS = 3
START_TIMEOUT = 30.0  # s, on a busy machine
ANSWER_TIMEOUT = 20.0  # s, beyond every deadline of the scripts
TIME_LIMIT = 100.0  # s, which leaves time to stop within 120 s
STOP_TIMEOUT = 12.0  # s, the stop grace of 8 s and a margin
# The figures of the small deployments' sheets.
BOUNDS = """configuration_lag = 2000ms
revocation_lag = 5000ms
drain_lag = 2000ms
stop_grace = 8s
retry_ratio = 0.2
retry_window = 10s
retry_slack = 52
quota_window = 8s
quota_over = 0.1
quota_slack = 140000"""
MACHINE = """core_share = 0.537
cores = 2
memory = 300MiB
descriptors = 4100"""
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5][0-9][0-9]) [^\r\n]*\r\n")
MIN_FINAL_STATUS = 200
BODILESS_STATUSES = (204, 304)


class CaseNotRunError(Exception):
    """The case could not be set up, so it shows nothing."""


class Record:
    """Record of what was sent, answered and run, with times since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        line = f"{time.monotonic() - self._started_at:8.3f} s  {text}"
        print(line, file=self._file, flush=True)


@dataclass
class Answer:
    """Answer as a client reads it.

    Parameters
    ----------
    whole : bool
        Whether its head and body end as HTTP/1.1 says.
    unreadable : bytes
        Bytes that stand where an answer is due and are none.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    unreadable: bytes = b""

    def __str__(self) -> str:
        ending = "whole" if self.whole else "not whole"
        if self.unreadable:
            ending = f"no answer in the protocol: {self.unreadable!r}"
        attempt = self.headers.get("celeryrun-attempt-id")
        seal = self.headers.get("celeryrun-response-seal")
        body = self.body if len(self.body) <= 120 else self.body[:120] + b"..."
        return f"{self.status}, {ending}, attempt id {attempt}, seal {seal}, body {body!r}"


def format_request(
    attempt_id: str, path: str, key: str, method: str = "POST", body: bytes = b"", **headers: str
) -> bytes:
    """Return the bytes of a request; ``_`` stands for ``-`` in names of headers."""
    fields = {
        "Host": "site.example",
        "Celeryrun-Attempt-Id": attempt_id,
        "Celeryrun-Deadline-Ms": "12000",
        "Authorization": f"Bearer {key}",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    if body:
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Connection:
    """A client's connection, which reads answers strictly as HTTP/1.1 frames them."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, port: int) -> Connection:
        """Connect to a gateway."""
        return cls(*await asyncio.open_connection(HOST, port))

    async def ask(self, request: bytes) -> Answer:
        """Send a request and read its answer."""
        self._writer.write(request)
        return await self.read(request.partition(b" ")[0])

    async def read(self, method: bytes) -> Answer:
        """Read one answer to a request of a method."""
        answer = Answer()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                await self._read_head(answer)
                if not answer.unreadable:
                    await self._read_body(answer, method)
        except (asyncio.IncompleteReadError, OSError, TimeoutError):
            pass
        return answer

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def _read_head(self, answer: Answer) -> None:
        while answer.status < MIN_FINAL_STATUS:
            line = await self._reader.readuntil(b"\n")
            found = STATUS_LINE.fullmatch(line)
            if found is None:
                answer.unreadable = line
                return
            answer.status = int(found[1])
            while (line := await self._reader.readuntil(b"\r\n")) != b"\r\n":
                name, _, value = line.decode("latin-1").partition(":")
                answer.headers[name.lower()] = value.strip()

    async def _read_body(self, answer: Answer, method: bytes) -> None:
        if method == b"HEAD" or answer.status in BODILESS_STATUSES:
            pass
        elif answer.headers.get("transfer-encoding") == "chunked":
            while size := int(await self._reader.readuntil(b"\r\n"), 16):
                answer.body += (await self._reader.readexactly(size + 2))[:-2]
            await self._reader.readuntil(b"\r\n")
        elif "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            answer.body = await self._reader.readexactly(length)
        else:
            answer.body = await self._reader.read()
        answer.whole = True


async def start_process(*words: str, log: Path) -> asyncio.subprocess.Process:
    """Start a program of the repository with the libraries of the deploy file's build."""
    environment = {
        name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
    }
    environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
    environment["PYTHONDONTWRITEBYTECODE"] = "1"
    with log.open("ab") as output:
        return await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.PIPE,
            stdout=output,
            stderr=output,
        )


class Deployment:
    """A store and gateway processes; the runners are the script's."""

    def __init__(self, config: dict) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = StoreStandIn()
        self.config = config
        self.processes: list[asyncio.subprocess.Process] = []
        self.gateways: dict[int, asyncio.subprocess.Process] = {}
        self.store_port_by_gateway: dict[int, int] = {}
        self.ports: list[list[int]] = []

    async def start_store(self) -> None:
        """Start the store and write the first configuration."""
        await self.store.start()
        self.store.put("keyed.op", "config", self.config)

    async def start_gateways(self) -> None:
        """Start the gateways and wait until all say that they are ready."""
        for number in range(GATEWAYS):
            self.ports.append(lease_ports(4))
            await self._start_gateway(number, "yes")
        await self.wait_until(self._are_ready, "the gateways are not ready")

    async def _start_gateway(self, number: int, first_start: str) -> None:
        name = f"gateway-{number}"
        path = self.folder / f"{name}.ini"
        ports = tuple(self.ports[number])
        store_port = self.store_port_by_gateway.get(number, self.store.port)
        path.write_text(format_settings(name, ports, store_port, BOUNDS, MACHINE, first_start))
        self.gateways[number] = await self.run("python3", "-m", "celeryrun", "gateway", str(path))

    async def kill_all_gateways(self, restart_after: float) -> None:
        """Kill all gateways at once, and start them again after some seconds."""
        for process in self.gateways.values():
            process.kill()
        for process in self.gateways.values():
            await process.wait()
        await asyncio.sleep(restart_after)
        for number in range(GATEWAYS):
            await self._start_gateway(number, "no")

    async def run(self, *words: str) -> asyncio.subprocess.Process:
        """Start a process that is ended with the deployment."""
        log = self.folder / f"process-{len(self.processes)}.log"
        process = await start_process(*words, log=log)
        self.processes.append(process)
        return process

    async def wait_until(self, condition: Callable[[], Awaitable[bool]], problem: str) -> None:
        """Wait until a condition holds, or raise an error with the problem."""
        deadline = time.monotonic() + START_TIMEOUT
        while not await condition():
            if time.monotonic() > deadline:
                raise CaseNotRunError(problem)
            await asyncio.sleep(0.1)

    async def _are_ready(self) -> bool:
        return all([await _is_ready(ports[1]) for ports in self.ports])

    async def stop(self) -> None:
        """End all processes and remove the folder."""
        for process in self.processes:
            if process.returncode is None:
                process.terminate()
        for process in self.processes:
            try:
                async with asyncio.timeout(STOP_TIMEOUT):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()
        self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


async def _is_ready(port: int) -> bool:
    try:
        connection = await Connection.open(port)
    except OSError:
        return False
    answer = await connection.ask(b"GET /celeryrun/readiness HTTP/1.1\r\nHost: platform\r\n\r\n")
    connection.close()
    return answer.status == 200


def describe_run(runner: str, run: RecordedRequest) -> str:
    """Return a line of the record on a request that a runner ran."""
    target = run.request_target.decode()
    return f"{runner} runs {run.attempt_id}: {run.method.decode()} {target}, body {run.body!r}"


async def _run_limited(case: Awaitable[list[str]]) -> list[str]:
    """Run a case that a stop signal, or too long a time, ends with all its processes."""
    task = asyncio.ensure_future(case)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, task.cancel)
    try:
        async with asyncio.timeout(TIME_LIMIT):
            return await task
    except asyncio.CancelledError as error:
        raise CaseNotRunError("it was stopped from outside") from error


def main(
    case: Callable[[Record, bool], Awaitable[list[str]]], folder: Path, with_trouble: bool
) -> None:
    """Run a case and exit with 1 if it returns broken rules, 0 if none, 2 if it could not run."""
    record = Record(folder / "record.txt")
    record.write(f"the disruption is {'played' if with_trouble else 'left out'}")
    try:
        broken = asyncio.run(_run_limited(case(record, with_trouble)))
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        sys.exit(2)
    for text in broken:
        record.write(f"BROKEN {text}")
        print(f"BROKEN {text}")
    record.write("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
