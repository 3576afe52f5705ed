"""Who may ask a node's scheduler: listed nodes of the same protocol, nobody else."""

import asyncio
import zlib

import pytest

from celeryrun.gateway._links import PROTOCOL, Beat, Feed, Hello, Link
from celeryrun.scheduling.tests.builders import build_slot_request
from celeryrun.settings import Address
from standins.site import Site, run

ASK = build_slot_request(pool="app", charge=0.0)


async def dial(site, received):
    """Connect to the first gateway's internal port."""
    address = site.gateways[0].settings.node.peer_address
    loop = asyncio.get_running_loop()
    _, link = await loop.create_connection(
        lambda: Link(lambda _, message: received.append(message), lambda _: None),
        address.host,
        address.port,
    )
    return link


def test_stranger_gets_no_slot_and_is_cut_off():
    async def scenario():
        async with Site() as site:
            received = []
            link = await dial(site, received)
            link.send(Hello("stranger"))
            link.send(Beat(1))
            link.send(ASK)
            await site.until(lambda: link.closed)
            assert received == []
            (line,) = site.events("node-rejected")
            assert line["peer"] == "stranger"

    run(scenario())


def test_node_that_is_listed_meanwhile_gets_what_it_asked_for():
    async def scenario():
        async with Site() as site:
            received = []
            link = await dial(site, received)
            link.send(Hello("node-new"))
            link.send(ASK)
            await asyncio.sleep(0.1)
            members = site.gateways[0].kernel.find("members")
            members.address_by_node["node-new"] = Address("127.0.0.1", 1)
            await site.until(lambda: received)
            assert received[0].slot_request_id == ASK.id
            link.close()

    run(scenario())


def test_other_protocol_is_rejected():
    async def scenario():
        async with Site() as site:
            link = await dial(site, [])
            link.send(Hello("node-0", (), PROTOCOL + 1))
            await site.until(lambda: link.closed)
            assert site.events("node-rejected")

    run(scenario())


def test_nothing_is_taken_before_a_node_has_said_who_it_is():
    async def scenario():
        async with Site() as site:
            received = []
            link = await dial(site, received)
            link.send(ASK)
            await site.until(lambda: link.closed)
            assert received == []

    run(scenario())


@pytest.mark.parametrize(
    "packed", [b"", b"nonsense", zlib.compress(b"nonsense"), zlib.compress(b"\0" * (8 << 20))]
)
def test_unreadable_feed_raises_nothing_else(packed):
    with pytest.raises(ValueError, match="records"):
        _ = Feed(0, 0, 1, packed).records


def test_feed_holds_its_records():
    records = (("a", b"x" * 300_000), ("b", None))
    feed = Feed.from_records(1, 5, 7, records)
    assert len(feed.packed) < 3000
    assert feed.records == records


def test_nodes_that_start_together_do_not_all_dial_each_other():
    async def scenario():
        async with Site(gateways=6) as site:
            await site.until(lambda: len(set(map(name_of_chosen, site.gateways))) == 1)
            await asyncio.sleep(1.0)
            clients = [gateway.kernel.find("scheduler-client") for gateway in site.gateways]
            assert sum(len(client._links_by_node) for client in clients) == 5
            assert len({name_of_chosen(gateway) for gateway in site.gateways}) == 1

    run(scenario())


def name_of_chosen(gateway):
    return gateway.kernel.find("scheduler-client")._chosen
