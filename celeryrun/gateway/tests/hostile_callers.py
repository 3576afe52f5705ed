"""Callers that send what fits no limit, and a gateway process that they are sent to."""

import asyncio
import contextlib
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

from celeryrun.catalog import CallerLimits
from celeryrun.kernel import now
from celeryrun.transport import CallerConnection
from standins.ports import lease_ports
from standins.runner import RunnerStandIn
from standins.site import Site, build_config, format_settings, read_response
from standins.store import HOST, send_response

MEMORY = 64 << 20  # bytes that the settings give the process
DESCRIPTORS = 700
HEADER_BYTES = 16_384
BODY_BYTES = 4 << 20
CROWD = 120  # callers at a time
SETTLE_TIME = 0.5  # s without a new peak after which all that was sent counts as read
ANSWER_BYTES = 200_000  # of a large answer
REQUEST_LINE = "POST {path} HTTP/1.1\r\n"
HEAD = (
    "Host: site.example\r\nCeleryrun-Attempt-Id: {id}\r\nCeleryrun-Deadline-Ms: 8000\r\n"
    "Authorization: Bearer key-cajas\r\n"
)
SLOW_PATH = "/drafts/a"  # of the pool whose target reads nothing


def build_limited_config():
    """Return a configuration whose limits are those of the tests."""
    config = build_config()
    config["limits"] |= {
        "maxHeaderBytes": HEADER_BYTES,
        "maxBodyBytes": BODY_BYTES,
        "headerTimeoutMs": 8000,
        "idleTimeoutMs": 12_000,
    }
    for route in config["routes"]:
        route["timeoutMs"] = 8000
    return config


@dataclass(frozen=True)
class Form:
    """What each caller of a crowd sends.

    Parameters
    ----------
    start : str
        Request head up to, but not including, the headers that make the form.
    parts : tuple of (bytes, int)
        Data to send, each that many times in a row.
    pause : float
        Seconds between two sendings of a part, so that the gateway reads each by itself.
    listener : str
        Listener of the gateway: ``caller``, ``ready`` or ``metrics``.
    reads : bool
        Whether the callers read what they are sent.
    callers : int
        Number of callers.
    """

    start: bytes
    parts: tuple[tuple[bytes, int], ...] = ()
    pause: float = 0.0
    listener: str = "caller"
    reads: bool = True
    callers: int = CROWD


def head(extra="", path=SLOW_PATH):
    """Return a request head without its last line, with additional headers."""
    return (REQUEST_LINE + HEAD).format(path=path, id="{id}").encode() + extra.encode()


class LargeBodyRunner(RunnerStandIn):
    """Runner that takes bodies of any size."""

    async def start(self):
        loop = asyncio.get_running_loop()
        limits = CallerLimits(body_bytes=2 * BODY_BYTES, idle_timeout=60.0)
        self._server = await loop.create_server(
            lambda: CallerConnection(
                self._serve, lambda: limits, lambda: False, lambda connection: None
            ),
            HOST,
            0,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.register("ready")


class LargeAnswerRunner(RunnerStandIn):
    """Runner of large plain answers."""

    async def _execute(self, connection, recorded):
        headers = {
            "Celeryrun_Attempt_Id": recorded.attempt_id,
            "Celeryrun_Response_Seal": f"seal-{self.id}",
        }
        send_response(connection, 200, b"a" * ANSWER_BYTES, **headers)


class StalledRunner(RunnerStandIn):
    """Runner that accepts connections and reads nothing of them."""

    async def start(self):
        self._server = await asyncio.start_server(self._accept, HOST, 0, limit=1)
        self.port = self._server.sockets[0].getsockname()[1]
        self.register("ready")

    async def _accept(self, reader, writer):
        writer.transport.pause_reading()


@dataclass
class GatewayProcess:
    """A gateway as a process of its own, before the stand-ins of a site.

    Parameters
    ----------
    ports : tuple of int
        Ports for callers, readiness, peers and metrics.
    """

    site: Site
    process: asyncio.subprocess.Process
    ports: tuple
    peak_descriptors: int = 0
    _crowd: list = field(default_factory=list)

    @property
    def is_alive(self):
        """Whether the process has not ended."""
        return self.process.returncode is None

    def peak_memory(self):
        """Return the peak of the resident memory in bytes."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        (peak,) = (line for line in lines if line.startswith("VmHWM:"))
        return int(peak.split()[1]) * 1024

    def count_descriptors(self):
        """Return the number of open descriptors, and note the peak."""
        count = len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))
        self.peak_descriptors = max(self.peak_descriptors, count)
        return count

    def port_of(self, listener):
        """Return the port of a listener."""
        return dict(zip(("caller", "ready", "peer", "metrics"), self.ports, strict=True))[listener]

    async def send_crowd(self, form):
        """Let a crowd send, and wait until the process has read what it reads of it."""
        sent = asyncio.gather(*(self._send(form, number) for number in range(form.callers)))
        while not sent.done():
            self.count_descriptors()
            await asyncio.wait([sent], timeout=0.1)
        await sent
        await self.settle()

    async def settle(self):
        """Wait until the peak of the memory stays as it is."""
        known, since = 0, now()
        while self.is_alive and now() - since < SETTLE_TIME:
            self.count_descriptors()
            if (peak := self.peak_memory()) > known:
                known, since = peak, now()
            await asyncio.sleep(0.05)

    async def _send(self, form, number):
        """Send one caller's part and leave the connection open."""
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(HOST, self.port_of(form.listener))
            self._crowd.append(writer)
            writer.transport.set_write_buffer_limits(0)
            if form.reads:
                self._crowd.append(asyncio.create_task(drop_all(reader)))
            else:
                reader._transport.pause_reading()
            writer.write(form.start.replace(b"{id}", b"h%d" % number))
            for data, count in form.parts:
                for _ in range(count):
                    writer.write(data)
                    await writer.drain()
                    if form.pause:
                        await asyncio.sleep(form.pause)

    def close_crowd(self):
        """End the connections of all crowds."""
        for member in self._crowd:
            if isinstance(member, asyncio.Task):
                member.cancel()
            else:
                member.transport.abort()
        self._crowd.clear()

    async def send_until_answered(self, path="/calls/a", body=b"", seconds=20.0):
        """Send one request until its answer is a success, as refused callers do."""
        async with asyncio.timeout(seconds):
            while True:
                with contextlib.suppress(OSError):
                    data = self.site.format_request(path, body=body, deadline=8000)
                    reader, writer = await asyncio.open_connection(HOST, self.ports[0])
                    writer.write(data)
                    response = await read_response(reader)
                    writer.close()
                    if response.status == 200 and response.complete:
                        return response
                assert self.is_alive
                await asyncio.sleep(0.2)


async def drop_all(reader):
    """Read and drop what comes until the connection ends."""
    with contextlib.suppress(OSError):
        while await reader.read(65_536):
            pass


@contextlib.asynccontextmanager
async def gateway_process(path, memory=MEMORY, descriptors=DESCRIPTORS, apps=()):
    """Run a gateway as a process, with a pool that reads nothing and one that serves.

    Parameters
    ----------
    path : pathlib.Path
        Settings file.
    apps : sequence of type
        Classes of the targets of the pool ``app``.
    """
    config = build_limited_config()
    async with Site(gateways=0, apps=0, models=0, config=config) as site:
        site.models = [StalledRunner(site.store, "model-0", "model", slots=CROWD)]
        site.apps = [
            kind(site.store, f"app-{number}", "app") for number, kind in enumerate(apps)
        ] or [LargeBodyRunner(site.store, "app-0", "app", slots=CROWD)]
        for runner in (*site.models, *site.apps):
            await runner.start()
        ports = tuple(lease_ports(4))
        node = f"memory = {memory >> 20}MiB\ndescriptors = {descriptors}"
        path.write_text(format_settings("node-0", ports, site.store.port, node=node))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "celeryrun",
            "gateway",
            str(path),
            stdout=asyncio.subprocess.DEVNULL,
        )
        gateway = GatewayProcess(site, process, ports)
        try:
            await gateway.send_until_answered()
            yield gateway
        finally:
            gateway.close_crowd()
            if gateway.is_alive:
                process.send_signal(signal.SIGKILL)
            await process.wait()
