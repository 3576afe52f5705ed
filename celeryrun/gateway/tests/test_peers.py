"""Access to a node's scheduler by registered nodes of the same protocol version only."""

import asyncio
import zlib

import pytest

from celeryrun.gateway._links import PROTOCOL, Feed, Heartbeat, Hello, Link
from celeryrun.history import Position
from celeryrun.platform import KeyedPage, KeyedRecord
from celeryrun.scheduling import Denial, Grant
from celeryrun.scheduling.tests.builders import build_slot_request
from celeryrun.settings import Address
from standins.site import Site, run

SLOT_REQUEST = build_slot_request(pool="app", charge=0.0)


async def dial(site, received):
    """Connect to the first gateway's peer address."""
    address = site.gateways[0].settings.node.peer_address
    loop = asyncio.get_running_loop()
    _, link = await loop.create_connection(
        lambda: Link(lambda _, message: received.append(message), lambda _: None),
        address.host,
        address.port,
    )
    return link


def is_reply(message):
    return isinstance(message, Grant | Denial)


def test_unregistered_node_is_rejected():
    async def scenario():
        async with Site() as site:
            received = []
            link = await dial(site, received)
            link.send(Hello("stranger"))
            link.send(Heartbeat(1))
            link.send(SLOT_REQUEST)
            await site.wait_until(lambda: link.closed)
            assert received == []
            (line,) = site.events("node-rejected")
            assert line["peer"] == "stranger"

    run(scenario())


def test_messages_are_handled_once_node_is_registered():
    async def scenario():
        async with Site() as site:
            received = []
            link = await dial(site, received)
            link.send(Hello("node-new"))
            link.send(SLOT_REQUEST)
            await asyncio.sleep(0.1)
            members = site.gateways[0].kernel.find("members")
            members.address_by_node["node-new"] = Address("127.0.0.1", 1)
            await site.wait_until(lambda: any(is_reply(message) for message in received))
            (reply,) = filter(is_reply, received)
            assert reply.slot_request_id == SLOT_REQUEST.id
            link.close()

    run(scenario())


def test_other_protocol_version_is_rejected():
    async def scenario():
        async with Site() as site:
            link = await dial(site, [])
            link.send(Hello("node-0", (), PROTOCOL + 1))
            await site.wait_until(lambda: link.closed)
            assert site.events("node-rejected")

    run(scenario())


def test_message_before_hello_closes_link():
    async def scenario():
        async with Site() as site:
            received = []
            link = await dial(site, received)
            link.send(SLOT_REQUEST)
            await site.wait_until(lambda: link.closed)
            assert received == []

    run(scenario())


@pytest.mark.parametrize(
    "compressed", [b"", b"nonsense", zlib.compress(b"nonsense"), zlib.compress(b"\0" * (8 << 20))]
)
def test_malformed_feed_raises_value_error(compressed):
    with pytest.raises(ValueError, match="records"):
        _ = Feed(0, 1, 0, 1, compressed).page


def test_feed_round_trips_records():
    records = (KeyedRecord("a", b"x" * 300_000), KeyedRecord("b", None))
    for start in (Position(2, 5), None):
        page = KeyedPage(records, Position(2, 7), is_snapshot=start is None, at_end=False)
        feed = Feed.from_page(1, start, page)
        assert len(feed.compressed) < 3000
        assert (feed.first, feed.page) == (start, page)


def test_nodes_that_start_together_do_not_all_dial_each_other():
    async def scenario():
        async with Site(gateways=6) as site:
            await site.wait_until(lambda: len(set(map(current_scheduler, site.gateways))) == 1)
            await asyncio.sleep(1.0)
            clients = [gateway.kernel.find("scheduler-client") for gateway in site.gateways]
            assert sum(len(client._links_by_node) for client in clients) == 5
            assert len({current_scheduler(gateway) for gateway in site.gateways}) == 1

    run(scenario())


def current_scheduler(gateway):
    return gateway.kernel.find("scheduler-client")._current_scheduler
