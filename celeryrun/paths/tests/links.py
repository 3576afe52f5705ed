"""Nodes that carry connections to a scripted target, within one process."""

import asyncio

from celeryrun.paths import Carrier, PathOpener, Peer
from celeryrun.settings import Address

HOST = "127.0.0.1"
CLOSED_PORT = 1  # nothing listens on it


class CarryingNode(asyncio.Protocol):
    """Peer that carries each connection to the target that its first line names."""

    def __init__(self, carrier):
        self.carrier = carrier

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.carrier.accept(self.transport, data.decode().strip())


class Links:
    """A scripted target, nodes that reach it, and one that does not.

    Parameters
    ----------
    serve : coroutine function
        Called with the reader and writer of each connection to the target.
    nodes : int
        Number of nodes that may carry.
    is_up : bool
        Whether the target accepts connections.
    """

    def __init__(self, serve, nodes=1, is_up=True):
        self.serve = serve
        self.node_count = nodes
        self.is_up = is_up
        self.target_address = Address(HOST, CLOSED_PORT)
        self.carriers = []
        self.changes = []
        self.carried_by = []

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self.servers = []
        if self.is_up:
            self.servers.append(await asyncio.start_server(self.serve, HOST, 0))
            self.target_address = Address(*self.servers[0].sockets[0].getsockname())
        peers = []
        for number in range(self.node_count):
            carrier = Carrier(lambda target: self.target_address if target == "t" else None)
            self.carriers.append(carrier)
            server = await loop.create_server(lambda node=carrier: CarryingNode(node), HOST, 0)
            self.servers.append(server)
            peers.append(Peer(f"n{number}", Address(*server.sockets[0].getsockname()), "zone-a"))
        self.opener = PathOpener(
            "zone-a",
            lambda: peers,
            lambda target: f"{target}\n".encode(),
            lambda target, is_lost: self.changes.append((target, is_lost)),
            lambda target, peer: self.carried_by.append(peer),
        )
        return self

    async def __aexit__(self, *_):
        for carrier in self.carriers:
            carrier.close()
        for server in self.servers:
            server.close()

    async def open(self, target="t", direct=False):
        """Open a connection, by a lost path unless ``direct``."""
        address = self.target_address if direct else Address(HOST, CLOSED_PORT)
        return await self.opener.open(target, address)
