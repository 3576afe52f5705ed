"""Test fleet on the loopback address: platform, targets and nodes, one process each."""

from __future__ import annotations

import json
import os
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
from standins.ports import lease_ports

__all__ = ["Fleet", "FleetConfig"]

PEER_KEY = "stand-in-peer-key-0123456789"
START_TIMEOUT = 30.0  # s


@dataclass(slots=True)
class FleetConfig:
    """Size and settings of a fleet.

    Parameters
    ----------
    engines, applications : int
        Numbers of targets in the pools ``drafts`` and ``warehouse``.
    tier_by_workspace : dict
        Tier of each workspace, whose API key is ``key-WORKSPACE``.
    engine_step, application_seconds : float
        Seconds of an engine step without load, and of the execution of an application's request.
    retention, list_lag : float
        Seconds after which the platform drops records, and shows changes of the list of VMs.
    extra_settings : dict
        Additional settings of every node, by section and key.
    engine_arguments : list of str
        Additional command line arguments of each stand-in engine, or empty.
    application_arguments : str
        Additional command line arguments of every stand-in application.
    max_outstanding_by_workspace : dict
        Limit of each workspace that differs from `max_outstanding`.
    node_command : tuple of str
        Command of a node, without the path of its settings.
    node_environment : dict
        Additional environment variables of every node.
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
    """Processes of a test fleet, as a context manager."""

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
        """Start all processes, publish the lists of plans and uses, and wait for every node."""
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
            extra_arguments = (
                config.engine_arguments[number].split() if config.engine_arguments else []
            )
            step = ["--step", str(config.engine_step)]
            self.add_standin(name, "standins.engine", [*step, *extra_arguments])
            self.add_target(name, "drafts", number)
        for number in range(config.applications):
            name = f"application-{number}"
            seconds = ["--seconds", str(config.application_seconds)]
            extra_arguments = config.application_arguments.split()
            self.add_standin(name, "standins.application", [*seconds, *extra_arguments])
            self.add_target(name, "warehouse", number)

    def add_standin(self, name: str, module: str, arguments: list[str]) -> None:
        (port,) = lease_ports(1)
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
        """Write the settings of a node, add it to the list of VMs, and start it."""
        caller_port, operator_port, peer_port = lease_ports(3)
        zone = f"zone-{len(self.operator_port_by_name) % self.config.zones}"
        sections = {
            "node": {
                "name": name,
                "zone": zone,
                "caller_address": f"127.0.0.1:{caller_port}",
                "operator_address": f"127.0.0.1:{operator_port}",
                "peer_address": f"127.0.0.1:{peer_port}",
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
        self.port_by_name[name] = caller_port
        self.operator_port_by_name[name] = operator_port
        self.vms.append(
            {
                "name": name,
                "zone": zone,
                "address": f"127.0.0.1:{peer_port}",
                "state": "live",
                "role": "node",
                "operator": f"127.0.0.1:{operator_port}",
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
        """Upload the current list of VMs to the platform."""
        self.call_standin("PUT", "platform", "/vms", self.vms)

    def set_vm_state(self, name: str, state: str) -> None:
        """Change the state of a VM in the platform's list."""
        for vm in self.vms:
            if vm["name"] == name:
                vm["state"] = state
        self.put_vms()

    def publish(self, *options: str, check: bool = True) -> subprocess.CompletedProcess[str]:
        """Publish the lists of plans and uses with ``celeryrun publish``."""
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
        all_plans = ", ".join(self.config.tier_by_workspace)
        uses.write_text(
            f"[drafts]\nkind = engine\nplans = {all_plans}\n\n"
            f"[warehouse]\nkind = application\nplans = {all_plans}\n"
            "non_idempotent = POST /bookings\n"
        )
        return plans, uses

    def max_outstanding(self, workspace: str) -> int:
        """Return the limit of outstanding requests of a workspace."""
        return self.config.max_outstanding_by_workspace.get(workspace, self.config.max_outstanding)

    def wait_ready(self, names: list[str] | None = None) -> None:
        """Wait until nodes are ready and know all live nodes and all targets."""
        deadline = time.monotonic() + START_TIMEOUT
        for name in names or self.nodes:
            while not self.is_node_ready(name):
                if time.monotonic() > deadline:
                    log = (self.folder / f"{name}.log").read_text()[-3000:]
                    raise TimeoutError(f"{name} is not ready: {log}")
                time.sleep(0.1)

    def is_node_ready(self, name: str) -> bool:
        try:
            status = self.status(name)
        except (urllib3.exceptions.HTTPError, ValueError):
            return False
        live_nodes = sum(1 for vm in self.vms if vm["role"] == "node" and vm["state"] == "live")
        if "pools" not in status:  # another process listens on the port
            return False
        known_targets = sum(len(pool["targets"]) for pool in status["pools"])
        listed_targets = sum(1 for vm in self.vms if vm["role"] == "target")
        alive_nodes = sum(1 for member in status["members"] if member["state"] == "alive")
        return bool(
            status["ready"] and alive_nodes >= live_nodes and known_targets >= listed_targets
        )

    def status(self, name: str) -> Any:
        """Return a node's status over a new connection, as the node may be closing a pooled one."""
        url = f"http://127.0.0.1:{self.operator_port_by_name[name]}/status"
        headers = {"Connection": "close"}
        return json.loads(self.http.request("GET", url, headers=headers, timeout=2.0).data)

    def url(self, name: str) -> str:
        """Return the base URL of a process."""
        return f"http://127.0.0.1:{self.port_by_name[name]}"

    def call_standin(self, method: str, name: str, path: str, content: Any = None) -> Any:
        """Call a stand-in, exempt from faults, and return its JSON response."""
        body = None if content is None else json.dumps(content).encode()
        headers = {"Stand-In-Control": "1", "Connection": "close"}
        response = self.http.request(
            method, self.url(name) + path, body=body, headers=headers, timeout=10.0
        )
        return json.loads(response.data or b"{}")

    def set_faults(self, name: str, **faults: Any) -> None:
        """Set faults of a stand-in."""
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
        """Send a caller's request to a node; ``_`` stands for ``-`` in header names."""
        body = None if content is None else json.dumps(content).encode()
        all_headers = {"Authorization": f"Bearer key-{workspace}"}
        all_headers.update({key.replace("_", "-"): value for key, value in headers.items()})
        return self.http.request(
            method, self.url(node) + path, body=body, headers=all_headers, timeout=timeout
        )

    def recorded_requests(self, name: str) -> list[dict[str, Any]]:
        """Return the requests that a target received, including those before a restart."""
        path = self.folder / f"{name}.record"
        lines = path.read_text().splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]

    def send_signal(self, name: str, signal_number: int = signal.SIGKILL) -> None:
        """Send a signal to a process of the fleet."""
        self.process_by_name[name].send_signal(signal_number)

    def restart(self, name: str) -> None:
        """Wait for a process to exit and start it again with the same command."""
        self.process_by_name[name].wait()
        self.start_process(name, self.command_by_name[name])
        self.wait_port(self.port_by_name[name])

    def wait_port(self, port: int) -> None:
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline:
            try:
                socket.create_connection(("127.0.0.1", port), 1.0).close()
                return
            except OSError:
                time.sleep(0.02)
        raise TimeoutError(f"nothing listens on port {port}")

    def stop(self) -> None:
        """Kill every process of the fleet and wait for it to exit."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            process.wait()
