"""Copy of the registry in a store, without targets or other nodes."""

import asyncio
from types import SimpleNamespace

import pytest

from celeryrun.gateway._members import Members
from celeryrun.gateway._registry_copy import KEY, RegistryCopy
from celeryrun.kernel import Kernel
from celeryrun.platform import FLEET_TOPIC, NODES_TOPIC, Store
from celeryrun.settings import Address, parse_gateway_settings
from standins.site import format_settings, run
from standins.store import HOST, StoreStandIn

RECORD = {"address": "127.0.0.1:7600", "zone": "zone-a", "speed": 2.0}
PAUSE = 0.2  # s, more than two writes


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    monkeypatch.setattr("celeryrun.gateway._registry_copy.WRITE_INTERVAL", 0.05)
    monkeypatch.setattr("celeryrun.gateway._members.READ_DELAY", 0.01)


class Node:
    """Registry and its copy, as one node has them."""

    def __init__(self, store, name="node-0", is_writer=True):
        self.events = []
        kernel = Kernel()
        self.store = Store(Address(HOST, store.port))
        kernel.register("store", self.store)
        log = SimpleNamespace(emit=lambda event, **fields: self.events.append(event))
        kernel.register("events", log)
        settings = parse_gateway_settings(format_settings(name))
        self.members = Members(kernel, settings)
        kernel.register("members", self.members)
        self.copy = RegistryCopy(kernel)
        self.copy.is_writer = lambda: is_writer
        self.members.start()
        self.copy.start()

    @property
    def nodes(self):
        return set(self.members.address_by_node)

    def stop(self):
        self.members.stop()
        self.copy.stop()


def run_with_store(scenario):
    """Run a scenario with a store whose registry has two other nodes."""

    async def run_scenario():
        store = StoreStandIn()
        await store.start()
        for name in ("node-1", "node-2"):
            store.put(NODES_TOPIC, f"node.{name}", RECORD)
        await scenario(store)
        store.stop()

    run(run_scenario())


def count_copies(store):
    return len(store.topics[FLEET_TOPIC].records) if FLEET_TOPIC in store.topics else 0


def test_registry_is_copied_when_it_has_changed():
    async def scenario(store):
        node = Node(store)
        await asyncio.sleep(PAUSE)
        copies = count_copies(store)
        assert 1 <= copies <= 2
        await asyncio.sleep(PAUSE)
        assert count_copies(store) == copies
        store.put(NODES_TOPIC, "node.node-3", RECORD)
        await asyncio.sleep(PAUSE)
        assert count_copies(store) == copies + 1
        node.stop()

    run_with_store(scenario)


def test_only_the_scheduler_of_most_nodes_copies():
    async def scenario(store):
        node = Node(store, is_writer=False)
        await asyncio.sleep(PAUSE)
        assert count_copies(store) == 0
        node.stop()

    run_with_store(scenario)


def test_copy_is_written_again_after_the_store_was_restored():
    async def scenario(store):
        before = store.take_copy()
        node = Node(store)
        await asyncio.sleep(PAUSE)
        store.restore(before)
        assert count_copies(store) == 0
        # Another call has shown the new era.
        node.store.advance_era(store.era)
        await asyncio.sleep(2 * PAUSE)
        assert count_copies(store) >= 1
        node.stop()

    run_with_store(scenario)


def test_copy_stands_for_a_registry_that_cannot_be_read():
    async def scenario(store):
        first = Node(store)
        await asyncio.sleep(PAUSE)
        first.stop()
        store.busy_topics.add(NODES_TOPIC)
        node = Node(store, "node-3")
        await asyncio.sleep(PAUSE)
        assert node.members.is_known() and not node.members.is_loaded()
        assert node.nodes == {"node-0", "node-1", "node-2"}
        assert node.members.speed_by_node["node-1"] == 2.0
        node.stop()

    run_with_store(scenario)


def test_registry_replaces_its_copy():
    async def scenario(store):
        first = Node(store)
        await asyncio.sleep(PAUSE)
        first.stop()
        store.put(NODES_TOPIC, "node.node-1", None)
        store.busy_topics.add(NODES_TOPIC)
        node = Node(store, "node-3", is_writer=False)
        await asyncio.sleep(PAUSE)
        assert "node-1" in node.nodes
        store.busy_topics.clear()
        await asyncio.sleep(1.0)
        assert node.members.is_loaded()
        assert node.nodes == {"node-0", "node-2", "node-3"}
        node.stop()

    run_with_store(scenario)


def test_registry_that_can_be_read_needs_no_copy():
    async def scenario(store):
        node = Node(store, is_writer=False)
        await asyncio.sleep(PAUSE)
        assert node.members.is_loaded()
        assert FLEET_TOPIC not in store.topics
        node.stop()

    run_with_store(scenario)


@pytest.mark.parametrize(
    "value", [b"\xff", b"[]", b'{"node-1":["no address",1]}', b'{"node-1":["127.0.0.1:1",-1]}']
)
def test_copy_that_cannot_be_read_names_no_node(value):
    async def scenario(store):
        store.put(FLEET_TOPIC, KEY, value)
        store.busy_topics.add(NODES_TOPIC)
        node = Node(store)
        await asyncio.sleep(PAUSE)
        assert not node.members.is_known() and node.nodes == set()
        assert "registry-copy-not-read" in node.events
        node.stop()

    run_with_store(scenario)
