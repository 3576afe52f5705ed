"""Registry of the fleet's nodes in the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Annotated

import msgspec

from celeryrun.gateway._events import EventLog
from celeryrun.gateway._topic_follower import MAX_REASON_CHARS, TopicFollower
from celeryrun.kernel import Kernel, rank
from celeryrun.platform import NODES_TOPIC, KeyedPage, KeyedRecord, Store, StoreUnavailableError
from celeryrun.settings import Address, GatewaySettings

__all__ = ["SCHEDULER_KEY", "ListedNode", "Members"]

MAX_READ_WAIT = 10.0  # s that the store may hold a read; nodes rarely join or leave
READ_DELAY = 0.3  # s between reads; nodes that start together are read together
REGISTER_RETRY_DELAY = 0.5  # s between attempts
SCHEDULER_KEY = "scheduler"  # rendezvous hashing key that ranks the candidates
KEY_PREFIX = "node."
MAX_SPEED = 1e6  # cores


Speed = Annotated[float, msgspec.Meta(ge=0, le=MAX_SPEED)]


class _NodeRecord(msgspec.Struct):
    address: str
    zone: str
    speed: Speed = 1.0


class ListedNode(msgspec.Struct, array_like=True):
    """Peer address and processor speed of a node, as kept in the copy of the registry."""

    address: str
    speed: Speed


class Members:
    """Service that registers this node and follows the registry of all nodes.

    Attributes
    ----------
    address_by_node : dict
        Peer address of each node, including this one once it is registered.
    follower : TopicFollower
        Follower of the registry.
    on_registration : callable
        Called with the name of each node that has registered since the last read.
    page_watchers : list of callable
        Called with each page of the registry, which also holds records of other services.
    speed_by_node : dict
        Processor speed of each node, in cores.
    zone_by_node : dict
        Availability zone of each node whose record was read.
    """

    __slots__ = (
        "_copied_nodes",
        "_events",
        "_registered_era",
        "_settings",
        "_store",
        "_task",
        "address_by_node",
        "follower",
        "on_change",
        "on_registration",
        "page_watchers",
        "speed_by_node",
        "zone_by_node",
    )

    def __init__(self, kernel: Kernel, settings: GatewaySettings) -> None:
        self._store: Store = kernel.find("store")
        self._events: EventLog = kernel.find("events")
        self._settings = settings
        self._task: asyncio.Task[None] | None = None
        self.follower = TopicFollower(
            self._store, self._events, NODES_TOPIC, MAX_READ_WAIT, READ_DELAY, self._apply_page
        )
        self._copied_nodes: set[str] = set()
        self.address_by_node: dict[str, Address] = {}
        self.speed_by_node: dict[str, float] = {}
        self.zone_by_node: dict[str, str] = {}
        self.on_change: Callable[[], None] = lambda: None
        self.on_registration: Callable[[str], None] = lambda node: None
        self._registered_era: int | None = None
        self.page_watchers: list[Callable[[KeyedPage], None]] = []

    def start(self) -> None:
        """Start the follower and the registration."""
        self.follower.start()
        self._task = asyncio.get_running_loop().create_task(self._register())

    def stop(self) -> None:
        """Stop; the registration stays, since a stopped node is usually started again."""
        self.follower.stop()
        if self._task is not None:
            self._task.cancel()

    def scheduler_candidates(self, key: str, own_name: str) -> list[str]:
        """Return all nodes and ``own_name``, fastest first, then by rendezvous hashing of a key."""
        nodes = rank(key, {*self.address_by_node, own_name})
        return sorted(nodes, key=lambda node: -self.speed_by_node.get(node, 0.0))

    def is_loaded(self) -> bool:
        """Return whether the registry was read."""
        return self.follower.confirmed_at > float("-inf")

    def is_known(self) -> bool:
        """Return whether the registry or its copy was read, so that the fleet is known."""
        return self.is_loaded() or bool(self._copied_nodes)

    def listed_nodes(self) -> dict[str, ListedNode]:
        """Return the registry by node, for its copy."""
        return {
            node: ListedNode(str(address), self.speed_by_node[node])
            for node, address in self.address_by_node.items()
        }

    def apply_copy(self, nodes: Mapping[str, ListedNode]) -> None:
        """Use the copy of the registry until the registry is read.

        Raises
        ------
        ValueError
            If it holds an address that is none.
        """
        if self.is_loaded():
            return
        address_by_node = {name: Address.from_text(node.address) for name, node in nodes.items()}
        self._copied_nodes = set(nodes)
        self.address_by_node |= address_by_node
        self.speed_by_node |= {name: node.speed for name, node in nodes.items()}
        self.on_change()

    def _drop_copy(self, page: KeyedPage) -> None:
        """Forget the nodes of the copy that the registry does not have."""
        listed = {record.key for record in page.records}
        for node in self._copied_nodes:
            if KEY_PREFIX + node not in listed:
                self.address_by_node.pop(node, None)
                self.speed_by_node.pop(node, None)
        self._copied_nodes.clear()

    def _own_record(self) -> KeyedRecord:
        node = self._settings.node
        node_record = _NodeRecord(str(node.peer_address), node.zone, round(node.speed, 1))
        return KeyedRecord(KEY_PREFIX + node.name, msgspec.json.encode(node_record))

    async def _register(self) -> None:
        own = self._own_record()
        while True:
            try:
                self._registered_era = await self._store.put(NODES_TOPIC, own.key, own.value or b"")
            except StoreUnavailableError as error:
                self._events.emit("register-failed", why=str(error))
                await asyncio.sleep(REGISTER_RETRY_DELAY)
                continue
            self._events.emit("registered", era=self._registered_era)
            return

    def _register_again_if_lost(self, page: KeyedPage) -> None:
        """Register again if a snapshot of a later era lacks this node's record."""
        if (
            page.is_snapshot
            and self._registered_era is not None
            and page.end.era > self._registered_era
        ):
            if self._own_record() in page.records:
                self._registered_era = page.end.era
            else:
                self._registered_era = None
                self._task = asyncio.get_running_loop().create_task(self._register())

    def _apply_page(self, page: KeyedPage) -> None:
        self._register_again_if_lost(page)
        if page.is_snapshot:
            self._drop_copy(page)
        for watcher in self.page_watchers:
            watcher(page)
        for record in page.records:
            if not record.key.startswith(KEY_PREFIX):
                continue
            name = record.key.removeprefix(KEY_PREFIX)
            if record.value is None:
                self.address_by_node.pop(name, None)
                self.speed_by_node.pop(name, None)
                self.zone_by_node.pop(name, None)
                continue
            try:
                node_record = msgspec.json.decode(record.value, type=_NodeRecord)
                address = Address.from_text(node_record.address)
            except (msgspec.MsgspecError, RecursionError, ValueError) as error:
                reason = str(error)[:MAX_REASON_CHARS]
                self._events.emit("node-unreadable", peer=name, why=reason)
                continue
            self.address_by_node[name] = address
            self.speed_by_node[name] = node_record.speed
            self.zone_by_node[name] = node_record.zone
            if not page.is_snapshot:
                self.on_registration(name)
        self.on_change()
