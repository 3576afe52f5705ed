"""Start of many gateways at once: who reads the list of targets, and who serves without it."""

import asyncio

import pytest

from celeryrun.gateway import _list_start
from celeryrun.gateway._links import Hello, Link
from celeryrun.gateway._list_start import FIRST_READERS, list_read_delay
from standins.site import Site, run


@pytest.fixture(autouse=True)
def one_reader(monkeypatch):
    """Let one gateway read the list, and the others only after any test."""
    monkeypatch.setattr(_list_start, "FIRST_READERS", 1)
    monkeypatch.setattr(_list_start, "READERS_PER_SECOND", 0.01)


def has_list(gateway):
    return gateway.kernel.find("discovery").targets.position is not None


async def restart_all(site):
    """Stop all gateways at once, and start them under the names in the registry."""
    names = [gateway.settings.node.name for gateway in site.gateways]
    for gateway in site.gateways:
        gateway.kernel.stop()
    site.gateways.clear()
    for name in names:
        await site.add_gateway(name, first_start="no")
    await site.wait_until(lambda: all(gateway.is_ready() for gateway in site.gateways))


def test_lists_are_read_at_a_bounded_rate(monkeypatch):
    monkeypatch.undo()
    names = [f"node-{number}" for number in range(300)]
    delays = [list_read_delay(names, name) for name in names]
    assert delays[:FIRST_READERS] == [0.0] * FIRST_READERS
    for start in range(15):
        assert sum(start < delay <= start + 1 for delay in delays) <= 20
    assert max(delays) < 20.0


def test_gateways_serve_before_they_have_read_the_list():
    async def scenario():
        async with Site(gateways=4) as site:
            await restart_all(site)
            assert not all(map(has_list, site.gateways))
            for number in range(12):
                response = await site.send_request("/calls/a", gateway=number % 4)
                assert response.status == 200
            response = await site.send_request("/drafts/a", gateway=3)
            assert response.complete

    run(scenario())


def test_draining_target_gets_no_requests_of_gateways_without_the_list():
    async def scenario():
        async with Site(gateways=4, apps=2) as site:
            await restart_all(site)
            for number in range(12):
                await site.send_request("/calls/a", gateway=number % 4)
            first, second = site.apps
            first.register("draining")
            scheduler = site.gateways[0].kernel.find("scheduler-client")._current_scheduler
            reader = next(g for g in site.gateways if g.settings.node.name == scheduler)
            targets_by_id = reader.kernel.find("discovery").targets_by_id
            await site.wait_until(lambda: not targets_by_id[first.id].ready, seconds=3.0)
            before = len(first.executed_requests)
            for number in range(12):
                response = await site.send_request("/calls/a", gateway=number % 4)
                assert response.status == 200
            assert len(first.executed_requests) == before
            assert second.executed_requests

    run(scenario())


def test_gateway_that_others_choose_reads_the_list():
    async def scenario():
        async with Site(gateways=4) as site:
            await restart_all(site)
            lacking = [gateway for gateway in site.gateways if not has_list(gateway)]
            address = lacking[0].settings.node.peer_address
            _, link = await asyncio.get_running_loop().create_connection(
                lambda: Link(lambda *_: None, lambda _: None), address.host, address.port
            )
            link.send(Hello(site.gateways[0].settings.node.name))
            await site.wait_until(lambda: has_list(lacking[0]), seconds=2.0)
            link.close()

    run(scenario())


def test_gateways_whose_scheduler_stops_read_the_list_and_serve():
    async def scenario():
        async with Site(gateways=3) as site:
            await restart_all(site)
            client = site.gateways[0].kernel.find("scheduler-client")
            await site.wait_until(lambda: any(map(has_list, site.gateways)))
            scheduler = client._current_scheduler
            lost = next(g for g in site.gateways if g.settings.node.name == scheduler)
            lost.kernel.find("scheduler-client").stop()
            lost.kernel.find("scheduler").stop()
            others = [n for n, g in enumerate(site.gateways) if g is not lost]
            for number in range(6):
                response = await site.send_request("/calls/a", gateway=others[number % 2])
                assert response.status == 200

    run(scenario())
