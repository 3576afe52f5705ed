"""Starts a whole fleet on loopback: platform, targets and nodes, each a process of its own."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3

from celeryrun.configuration import hash_key

__all__ = ["Fleet", "FleetConfig", "free_ports"]

PEER_KEY = "stand-in-peer-key-0123456789"
START_PATIENCE = 30.0  # s
PORT_RANGE = (10_000, 32_000)


def free_ports(count: int) -> list[int]:
    """Return ports that are free now, outside the range from which clients get theirs."""
    choices = random.SystemRandom()
    ports: list[int] = []
    while len(ports) < count:
        port = choices.randrange(*PORT_RANGE)
        if port not in ports and _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


@dataclass(slots=True)
class FleetConfig:
    """What to start.

    Parameters
    ----------
    engines, applications : int
        Targets of the pools ``drafts`` and ``warehouse``.
    tier_by_workspace : dict
        Tier by workspace; each workspace's key is ``key-WORKSPACE``.
    extra_settings : dict
        Further keys of a node's settings, by section.
    engine_arguments : list of str
        Further arguments of the stand-in engines, by number.
    application_arguments : str
        Further arguments of every stand-in application.
    max_outstanding_by_workspace : dict
        Plans whose limit differs from `max_outstanding`.
    node_command : tuple of str
        What runs a node, without its settings file.
    node_environment : dict
        Further environment of a node.
    """

    nodes: int = 3
    engines: int = 2
    applications: int = 2
    zones: int = 3
    tier_by_workspace: dict[str, int] = field(
        default_factory=lambda: {"bookings": 1, "routes": 2, "contracts": 3}
    )
    max_outstanding: int = 100
    engine_step: float = 0.005
    application_seconds: float = 0.005
    retention: float = 3600.0
    list_lag: float = 0.3
    threads: int = 100
    strict: bool = True
    extra_settings: dict[str, dict[str, str]] = field(default_factory=dict)
    engine_arguments: list[str] = field(default_factory=list)
    application_arguments: str = ""
    max_outstanding_by_workspace: dict[str, int] = field(default_factory=dict)
    node_command: tuple[str, ...] = (sys.executable, "-m", "celeryrun", "node")
    node_environment: dict[str, str] = field(default_factory=dict)


class Fleet:
    """The running processes; use as a context manager."""

    def __init__(self, config: FleetConfig) -> None:
        self.config = config
        self.http = urllib3.PoolManager(retries=False, maxsize=64)
        self.folder = Path(tempfile.mkdtemp(prefix="celeryrun-"))
        self.process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.command_by_name: dict[str, list[str]] = {}
        self.port_by_name: dict[str, int] = {}
        self.operator_port_by_name: dict[str, int] = {}
        self.vms: list[dict[str, Any]] = []

    def __enter__(self) -> Fleet:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def nodes(self) -> list[str]:
        """Names of the nodes."""
        return list(self.operator_port_by_name)

    def start(self) -> None:
        """Start everything, publish the lists, and wait until every node is ready."""
        self.start_standins()
        for number in range(self.config.nodes):
            self.add_node(f"node-{number}")
        self.put_vms()
        self.publish()
        self.wait_ready()

    def start_standins(self) -> None:
        config = self.config
        arguments = ["--retention", str(config.retention), "--lag", str(config.list_lag)]
        self.add_standin("platform", "standins.platform", arguments)
        for number in range(config.engines):
            name = f"engine-{number}"
            further = config.engine_arguments[number].split() if config.engine_arguments else []
            step = ["--step", str(config.engine_step)]
            self.add_standin(name, "standins.engine", [*step, *further])
            self.add_target(name, "drafts", number)
        for number in range(config.applications):
            name = f"application-{number}"
            seconds = ["--seconds", str(config.application_seconds)]
            further = config.application_arguments.split()
            self.add_standin(name, "standins.application", [*seconds, *further])
            self.add_target(name, "warehouse", number)

    def add_standin(self, name: str, module: str, arguments: list[str]) -> None:
        (port,) = free_ports(1)
        self.port_by_name[name] = port
        common = ["-m", module, "--port", str(port), "--name", name]
        common += ["--record", str(self.folder / f"{name}.record")]
        self.start_process(name, [sys.executable, *common, *arguments])
        self.wait_port(port)

    def add_target(self, name: str, pool: str, number: int) -> None:
        self.vms.append(
            {
                "name": name,
                "zone": f"zone-{number % self.config.zones}",
                "address": f"127.0.0.1:{self.port_by_name[name]}",
                "state": "live",
                "role": "target",
                "pool": pool,
            }
        )

    def add_node(self, name: str) -> None:
        """Start a node."""
        caller, operator, peer = free_ports(3)
        zone = f"zone-{len(self.operator_port_by_name) % self.config.zones}"
        sections = {
            "node": {
                "name": name,
                "zone": zone,
                "caller_address": f"127.0.0.1:{caller}",
                "operator_address": f"127.0.0.1:{operator}",
                "peer_address": f"127.0.0.1:{peer}",
                "threads": str(self.config.threads),
                "drain_lag": "1s",
            },
            "platform": {
                "log_url": self.url("platform"),
                "list_url": self.url("platform"),
                "list_period": "300ms",
                "retention": f"{self.config.retention:g}s",
            },
            "peers": {"key": PEER_KEY},
        }
        for section, values in self.config.extra_settings.items():
            sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines.extend(f"{key} = {value}" for key, value in values.items())
        path = self.settings_path(name)
        path.write_text("\n".join(lines) + "\n")
        self.port_by_name[name] = caller
        self.operator_port_by_name[name] = operator
        self.vms.append(
            {
                "name": name,
                "zone": zone,
                "address": f"127.0.0.1:{peer}",
                "state": "live",
                "role": "node",
                "operator": f"127.0.0.1:{operator}",
            }
        )
        strict = ["--strict"] if self.config.strict else []
        self.start_process(name, [*self.config.node_command, str(path), *strict])

    def settings_path(self, name: str) -> Path:
        """Return the path of a node's settings."""
        return self.folder / f"{name}.ini"

    def start_process(self, name: str, command: list[str]) -> None:
        self.command_by_name[name] = command
        environment = {**os.environ, "CELERYRUN_STRICT_EXIT": "1"}
        if name in self.operator_port_by_name:
            environment.update(self.config.node_environment)
        with open(self.folder / f"{name}.log", "ab") as output:
            self.process_by_name[name] = subprocess.Popen(
                command, stdout=output, stderr=output, env=environment
            )

    def put_vms(self) -> None:
        """Put the list of VMs as it is now on the platform."""
        self.call_standin("PUT", "platform", "/vms", self.vms)

    def set_vm_state(self, name: str, state: str) -> None:
        """Change a VM's state on the platform's list."""
        for vm in self.vms:
            if vm["name"] == name:
                vm["state"] = state
        self.put_vms()

    def publish(self, *options: str, check: bool = True) -> subprocess.CompletedProcess[str]:
        """Publish the plan's lists through the command line."""
        plans, uses = self.write_lists()
        command = [sys.executable, "-m", "celeryrun", "publish"]
        settings = str(self.settings_path(self.nodes[0]))
        lists = ["--plans", str(plans), "--uses", str(uses)]
        return subprocess.run(
            [*command, settings, *lists, *options], capture_output=True, text=True, check=check
        )

    def write_lists(self) -> tuple[Path, Path]:
        plans, uses = self.folder / "plans.ini", self.folder / "uses.ini"
        plans.write_text(
            "".join(
                f"[{workspace}]\nplan = {workspace}\ntier = {tier}\n"
                f"key_hash = {hash_key('key-' + workspace)}\n"
                f"max_outstanding = {self.max_outstanding(workspace)}\n\n"
                for workspace, tier in self.config.tier_by_workspace.items()
            )
        )
        everyone = ", ".join(self.config.tier_by_workspace)
        uses.write_text(
            f"[drafts]\nkind = engine\nplans = {everyone}\n\n"
            f"[warehouse]\nkind = application\nplans = {everyone}\n"
            "non_idempotent = POST /bookings\n"
        )
        return plans, uses

    def max_outstanding(self, workspace: str) -> int:
        """Return the limit of a workspace's plan."""
        return self.config.max_outstanding_by_workspace.get(workspace, self.config.max_outstanding)

    def wait_ready(self, names: list[str] | None = None) -> None:
        """Wait until nodes are ready, know each other and their targets."""
        until = time.monotonic() + START_PATIENCE
        for name in names or self.nodes:
            while not self.is_settled(name):
                if time.monotonic() > until:
                    log = (self.folder / f"{name}.log").read_text()[-3000:]
                    raise TimeoutError(f"{name} is not ready: {log}")
                time.sleep(0.1)

    def is_settled(self, name: str) -> bool:
        try:
            status = self.status(name)
        except (urllib3.exceptions.HTTPError, ValueError):
            return False
        live = sum(1 for vm in self.vms if vm["role"] == "node" and vm["state"] == "live")
        if "pools" not in status:  # another process has the port
            return False
        targets = sum(len(pool["targets"]) for pool in status["pools"])
        wanted = sum(1 for vm in self.vms if vm["role"] == "target")
        alive = sum(1 for member in status["members"] if member["state"] == "alive")
        return bool(status["ready"] and alive >= live and targets >= wanted)

    def status(self, name: str) -> Any:
        """Return a node's status, on a connection of its own: a kept one may just be closing."""
        url = f"http://127.0.0.1:{self.operator_port_by_name[name]}/status"
        headers = {"Connection": "close"}
        return json.loads(self.http.request("GET", url, headers=headers, timeout=2.0).data)

    def url(self, name: str) -> str:
        """Return the base URL of a process."""
        return f"http://127.0.0.1:{self.port_by_name[name]}"

    def call_standin(self, method: str, name: str, path: str, content: Any = None) -> Any:
        """Call a stand-in and return its JSON."""
        body = None if content is None else json.dumps(content).encode()
        headers = {"Stand-In-Control": "1", "Connection": "close"}
        response = self.http.request(
            method, self.url(name) + path, body=body, headers=headers, timeout=10.0
        )
        return json.loads(response.data or b"{}")

    def set_faults(self, name: str, **faults: Any) -> None:
        """Command faults of a stand-in."""
        self.call_standin("POST", name, "/control", faults)

    def request(
        self,
        node: str,
        workspace: str,
        method: str,
        path: str,
        content: Any = None,
        timeout: float = 30.0,
        **headers: str,
    ) -> urllib3.BaseHTTPResponse:
        """Send a caller's request through a node; header names take ``_`` for ``-``."""
        body = None if content is None else json.dumps(content).encode()
        all_headers = {"Authorization": f"Bearer key-{workspace}"}
        all_headers.update({key.replace("_", "-"): value for key, value in headers.items()})
        return self.http.request(
            method, self.url(node) + path, body=body, headers=all_headers, timeout=timeout
        )

    def recorded_requests(self, name: str) -> list[dict[str, Any]]:
        """Return what a target received, in this and earlier lives."""
        path = self.folder / f"{name}.record"
        lines = path.read_text().splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]

    def send_signal(self, name: str, signal_number: int = signal.SIGKILL) -> None:
        """Send a signal to a process that this fleet started."""
        self.process_by_name[name].send_signal(signal_number)

    def restart(self, name: str) -> None:
        """Start a killed process again with the same command."""
        self.process_by_name[name].wait()
        self.start_process(name, self.command_by_name[name])
        self.wait_port(self.port_by_name[name])

    def wait_port(self, port: int) -> None:
        until = time.monotonic() + START_PATIENCE
        while time.monotonic() < until:
            try:
                socket.create_connection(("127.0.0.1", port), 1.0).close()
                return
            except OSError:
                time.sleep(0.02)
        raise TimeoutError(f"nothing listens on port {port}")

    def stop(self) -> None:
        """End every process that this fleet started."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            process.wait()
