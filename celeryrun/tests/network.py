"""Simulated network of nodes in one process, with partitions and crashed nodes."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from celeryrun.configuration import Pool
from celeryrun.kernel import Kernel
from celeryrun.membership import Members
from celeryrun.pool import Keepers, PoolClient, Targets
from celeryrun.settings import Address, Settings
from celeryrun.settings._schema import LimitSettings, NodeSettings, PeerSettings, PlatformSettings
from celeryrun.streams import Vm
from celeryrun.suspicion import SuspectTracker

__all__ = ["FakeNode", "FakePeers", "Network", "build_peer_settings"]


def build_peer_settings(name: str, zone: str = "zone-0", port: int = 1) -> Settings:
    """Build settings with short probe periods and timeouts."""
    address = Address("127.0.0.1", port)
    return Settings(
        NodeSettings(name, zone, address, address, address),
        PlatformSettings("http://127.0.0.1:9", "http://127.0.0.1:9"),
        PeerSettings(
            "0" * 16, probe_period=0.05, probe_timeout=0.04, suspect_timeout=0.4, lease=1.0
        ),
        LimitSettings(),
    )


class FakePeers:
    """Fake of `Peers` that delivers messages in order on its own thread."""

    def __init__(self, name: str, network: Network) -> None:
        self.name = name
        self.network = network
        self.address_by_name: dict[str, str] = {}
        self.handler_by_type: dict[type, Callable[[str, Any], None]] = {}
        self.inbox: queue.SimpleQueue[tuple[str, Any] | None] = queue.SimpleQueue()
        self.sent: list[tuple[str, Any]] = []

    def set_handler(self, message_type: type, handler: Callable[[str, Any], None]) -> None:
        self.handler_by_type[message_type] = handler

    def start(self) -> None:
        threading.Thread(target=self.run, daemon=True).start()

    def stop(self) -> None:
        self.inbox.put(None)

    def run(self) -> None:
        while (item := self.inbox.get()) is not None:
            sender, message = item
            handler = self.handler_by_type.get(type(message))
            if handler is not None and self.name not in self.network.crashed_nodes:
                handler(sender, message)

    def send(self, name: str, message: Any) -> bool:
        self.sent.append((name, message))
        self.network.deliver(self.name, name, self.address_by_name.get(name), message)
        return True


class FakeNode:
    """Node with real membership, targets, pools and suspicion, and fakes for the rest."""

    def __init__(self, name: str, network: Network, port: int = 1) -> None:
        self.kernel = Kernel()
        self.peers = FakePeers(name, network)
        self.vms = SimpleNamespace(watchers=[], start=lambda: None, stop=lambda: None)
        current_configuration = SimpleNamespace(
            version=0, pools_by_name=network.pools_by_name, plans_by_workspace={}
        )
        configuration = SimpleNamespace(
            current=current_configuration, on_peer_version=lambda *_: None
        )
        configuration.start = configuration.stop = lambda: None
        self.configuration = configuration
        settings = build_peer_settings(name, port=port)
        self.members = Members.from_config(self.kernel, settings)
        self.targets = Targets(self.kernel)
        self.keepers = Keepers(self.kernel, settings.peers.lease, network.max_waiting)
        self.pools = PoolClient(self.kernel)
        for service_name, service in {
            "peers": self.peers,
            "vms": self.vms,
            "configuration": configuration,
            "targets": self.targets,
            "members": self.members,
            "keepers": self.keepers,
            "suspicion": SuspectTracker(self.kernel),
            "pools": self.pools,
        }.items():
            self.kernel.register(service_name, service)

    def update_vms(self, vms: list[Vm]) -> None:
        """Report the platform's VM list to the node."""
        for watcher in self.vms.watchers:
            watcher(vms)

    def member_states(self) -> dict[str, str]:
        """Return the state of every other member by name."""
        return {
            name: member.state
            for name, member in list(self.members.by_name.items())
            if member is not self.members.local_member
        }


class Network:
    """Nodes by name, and the simulated network between them.

    Parameters
    ----------
    pools : tuple of Pool
        Pools in the configuration of every node.
    max_waiting : int
        Largest number of slot requests that a keeper queues for one pool.
    """

    def __init__(self, pools: tuple[Pool, ...] = (), max_waiting: int = 400) -> None:
        self.pools_by_name = {pool.name: pool for pool in pools}
        self.max_waiting = max_waiting
        self.node_by_name: dict[str, FakeNode] = {}
        self.crashed_nodes: set[str] = set()
        self.partition_by_node: dict[str, int] = {}

    def add(self, name: str, port: int | None = None) -> FakeNode:
        """Start a node, which replaces an earlier node of the same name."""
        port = port if port is not None else len(self.node_by_name) + 1
        node = self.node_by_name[name] = FakeNode(name, self, port)
        self.crashed_nodes.discard(name)
        node.kernel.start()
        return node

    def vms(self) -> list[Vm]:
        """Return the platform's VM list, with the current node of each name ever added."""
        return [
            Vm(name, "zone-0", node.members.local_member.address, "live", "node")
            for name, node in self.node_by_name.items()
        ]

    def deliver(self, sender: str, receiver: str, address: str | None, message: Any) -> None:
        """Deliver a message unless a node has crashed, is in another partition or has moved.

        A node has moved if the address is not its current one.
        """
        node = self.node_by_name.get(receiver)
        group = self.partition_by_node.get
        if node is None or address != node.members.local_member.address:
            if receiver != sender:
                return
        if {sender, receiver} & self.crashed_nodes or group(sender, 0) != group(receiver, 0):
            return
        if node is not None:
            node.peers.inbox.put((sender, message))

    def stop(self) -> None:
        """Stop every node."""
        for node in self.node_by_name.values():
            node.kernel.stop()


def wait_until(condition: Callable[[], bool], timeout: float = 10.0) -> bool:
    """Return whether a condition becomes true within the timeout in seconds."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.02)
    return True
