"""Deployment in one event loop: gateways with stand-ins of the store and the runners."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import httptools

from celeryrun.gateway import Gateway
from celeryrun.gateway._events import EventLog
from celeryrun.settings import parse_gateway_settings
from standins.ports import lease_ports
from standins.runner import RunnerStandIn
from standins.store import HOST, StoreStandIn

ROOT = Path(__file__).parents[1]

SETTINGS = """
[node]
name = {name}
zone = zone-a
first_start = {first_start}
caller_address = {host}:{caller}
readiness_address = {host}:{ready}
peer_address = {host}:{peer}
metrics_address = {host}:{metrics}
{node}

[store]
address = {host}:{store}

[bounds]
{bounds}
"""


def format_settings(
    name="node-0", ports=(1, 2, 3, 4), store=5, bounds="", node="", first_start="yes"
):
    """Return the text of a gateway's settings.

    Parameters
    ----------
    ports : tuple of int
        Ports for callers, readiness, peers and metrics.
    store : int
        Port of the store.
    bounds, node : str
        Additional lines of these sections.
    first_start : str
        Whether the whole system starts for the first time, ``yes`` or ``no``.
    """
    caller, ready, peer, metrics = ports
    return SETTINGS.format(
        name=name,
        host=HOST,
        caller=caller,
        ready=ready,
        peer=peer,
        metrics=metrics,
        store=store,
        bounds=bounds,
        node=node,
        first_start=first_start,
    )


def build_config(version=1, **overrides):
    """Return a configuration in the operators' format, with some keys replaced."""
    routes = [
        _route("/calls/", "app", "idempotent", maxAttempts=2),
        _route("/bookings/", "app", "non_idempotent"),
        _route("/drafts/", "model", "streaming", gapAimMs=250),
        _route("/chats/", "model", "streaming", maxAttempts=2, resumable=True, gapAimMs=250),
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "app", "healthPath": "/health", "maxConnections": 100},
            {
                "name": "model",
                "healthPath": "/health",
                "maxConnections": 100,
                "engine": {"slots": 4, "stride": 5},
            },
        ],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 300,
            "idleTimeoutMs": 4000,
        },
        "tenants": [
            build_tenant("cajas", "key-cajas"),
            build_tenant("herd", "key-herd"),
        ],
    } | overrides


def build_tenant(name, *keys, **overrides):
    """Return a workspace in the operators' format, with some keys replaced."""
    return {
        "name": name,
        "apiKeys": list(keys),
        "unit": "token_count",
        "plainTokens": 10,
    } | overrides


def _route(prefix, service, kind, **overrides):
    return {
        "name": f"r{prefix.strip('/')}",
        "host": "site.example",
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "priority": 0,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "resumable": False,
    } | overrides


@dataclass
class ReceivedResponse:
    """Response as received by a caller.

    Parameters
    ----------
    complete : bool
        Whether the whole response was received.
    """

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False

    def on_status(self, reason):
        pass

    def on_header(self, name, value):
        self.headers[name.lower().decode()] = value.decode()

    def on_body(self, data):
        self.body += data

    def on_message_complete(self):
        self.complete = True

    @property
    def event_ids(self):
        """Ids of the events in the body of a stream."""
        lines = self.body.decode().splitlines()
        return [int(line[3:]) for line in lines if line.startswith("id:")]

    @property
    def versions(self):
        """Versions of the runners that made the events of a stream."""
        lines = self.body.decode().splitlines()
        return {line[7:] for line in lines if line.startswith("event: ")}


class Site:
    """Gateways with a store and runners, as an asynchronous context manager.

    Parameters
    ----------
    gateways, apps, models : int
        Numbers of gateways and of runners of the services ``app`` and ``model``.
    bounds, node : str
        Additional lines of these sections of the gateways' settings.
    events : int
        Events of each stream.
    """

    def __init__(self, gateways=1, apps=2, models=2, config=None, bounds="", events=6, node=""):
        self.store = StoreStandIn()
        self.config = config or build_config()
        self.bounds = bounds
        self.node = node
        self.apps = [RunnerStandIn(self.store, f"app-{n}", "app") for n in range(apps)]
        self.models = [
            RunnerStandIn(self.store, f"model-{n}", "model", events=events, slots=4)
            for n in range(models)
        ]
        self.gateways = []
        self.gateway_count = gateways
        self.attempt_count = 0
        self.log_file = tempfile.TemporaryFile()

    async def __aenter__(self):
        await self.store.start()
        self.store.put("keyed.op", "config", self.config)
        for runner in (*self.apps, *self.models):
            await runner.start()
        for number in range(self.gateway_count):
            await self.add_gateway(f"node-{number}")
        await self.wait_until(lambda: all(gateway.is_ready() for gateway in self.gateways))
        return self

    async def __aexit__(self, *_):
        for gateway in self.gateways:
            gateway.kernel.stop()
        for runner in (*self.apps, *self.models):
            runner.stop()
        self.store.stop()
        self.log_file.close()

    async def add_gateway(self, name, first_start="yes", ports=None):
        """Start and return another gateway, on free ports by default."""
        ports = ports or lease_ports(4)
        text = format_settings(name, ports, self.store.port, self.bounds, self.node, first_start)
        settings = parse_gateway_settings(text)
        events = EventLog(name, os.dup(self.log_file.fileno()))
        gateway = Gateway.from_config(settings, f"{name}.ini", events)
        await gateway.start()
        self.gateways.append(gateway)
        return gateway

    async def wait_until(self, condition, seconds=20.0):
        """Wait until a condition is true."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    def events(self, kind=None):
        """Return the events logged so far by all gateways, optionally of one kind."""
        for gateway in self.gateways:
            gateway.kernel.find("events").flush()
        self.log_file.seek(0)
        lines = [json.loads(line) for line in self.log_file.read().splitlines()]
        return [line for line in lines if kind is None or line["event"] == kind]

    async def connect(self, gateway=0):
        """Open a connection to a gateway's caller listener."""
        address = self.gateways[gateway].settings.node.caller_address
        return await asyncio.open_connection(address.host, address.port)

    def format_request(
        self, path, key="key-cajas", method="POST", body=b"", deadline=2000, **headers
    ):
        """Return the bytes of a request; ``_`` stands for ``-`` in header names."""
        self.attempt_count += 1
        fields = {
            "Host": "site.example",
            "Celeryrun-Attempt-Id": f"a{self.attempt_count}",
            "Celeryrun-Deadline-Ms": str(deadline),
            "Content-Length": str(len(body)),
        }
        if key is not None:
            fields["Authorization"] = f"Bearer {key}"
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items()), "", ""]
        return "\r\n".join(lines).encode() + body

    async def send_request(self, path, gateway=0, **options):
        """Send one request over a new connection and return the response."""
        return await self.send_bytes(self.format_request(path, **options), gateway)

    async def send_bytes(self, data, gateway=0):
        """Send bytes over a new connection and return the response."""
        reader, writer = await self.connect(gateway)
        writer.write(data)
        response = await read_response(reader)
        writer.close()
        return response


async def read_response(reader, seconds=10.0):
    """Read one response, or the part of it that arrives before the connection closes."""
    response = ReceivedResponse()
    parser = httptools.HttpResponseParser(response)
    try:
        async with asyncio.timeout(seconds):
            while not response.complete and (data := await reader.read(65536)):
                parser.feed_data(data)
    except ConnectionResetError:
        pass
    response.status = parser.get_status_code() if response.headers else 0
    return response


def run(scenario):
    """Run the coroutine of an asynchronous test."""
    asyncio.run(scenario)
