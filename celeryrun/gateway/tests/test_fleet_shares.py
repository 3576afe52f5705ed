"""Limits of gateways that can't see the others."""

import asyncio
import dataclasses

import pytest

from celeryrun.gateway.tests.callers import stop_gateway
from celeryrun.kernel import now
from standins.ports import lease_ports
from standins.site import Site, build_config, build_tenant, run

RETURN = 1.0  # s after which a caller may return whose quota grows once the fleet is known
COPY_TIME = 2.6  # s in which the registry is copied
UPTIME = 60.0  # s, longer than silent nodes keep their share
# Tolerance that covers a quota's whole burst after each change of the scheduler.
BOUNDS = "quota_window = 8s\nquota_over = 0.1\nquota_slack = 10000"


def build_limited_site():
    """Return a site of three gateways, with two workspaces whose quota is five requests."""
    limited = [
        build_tenant(name, f"key-{name}", ratePerS=1, burst=500, plainTokens=100)
        for name in ("cajas", "lima")
    ]
    config = build_config(tenants=[*limited, build_tenant("herd", "key-herd")])
    return Site(gateways=3, config=config, bounds=BOUNDS)


async def join_gateways(site):
    """Wait until all gateways use one scheduler; return the others."""
    clients = [gateway.kernel.find("scheduler-client") for gateway in site.gateways]

    def have_joined():
        servers = [gateway.kernel.find("scheduler") for gateway in site.gateways]
        links = [len(server._links_by_node) for server in servers]
        return len({client._current_scheduler for client in clients}) == 1 and 2 in links

    await site.wait_until(have_joined)
    scheduler = clients[0]._current_scheduler
    return [gateway for gateway in site.gateways if gateway.settings.node.name != scheduler]


def cut_off(gateway):
    """Cut a gateway off from the others; it reaches the store and the targets."""
    addresses = gateway.kernel.find("members").address_by_node
    (port,) = lease_ports(1)
    for node, address in addresses.items():
        addresses[node] = dataclasses.replace(address, port=port)
    for link in list(gateway.kernel.find("scheduler-client")._links_by_node.values()):
        link.close()


async def start_again(site, *busy_topics):
    """End all gateways, and start them again while some topics of the store are away."""
    await asyncio.sleep(COPY_TIME)
    site.store.busy_topics.update(busy_topics)
    for number in range(len(site.gateways)):
        stop_gateway(site, number)
    former, site.gateways = site.gateways, []
    for node in (gateway.settings.node for gateway in former):
        addresses = (
            node.caller_address,
            node.readiness_address,
            node.peer_address,
            node.metrics_address,
        )
        ports = [address.port for address in addresses]
        await site.add_gateway(node.name, first_start="no", ports=ports)
    await site.wait_until(lambda: all(gateway.is_ready() for gateway in site.gateways))


async def send_from(site, gateway, count=6, key="key-cajas", max_return=60.0):
    """Send requests to a gateway, and return how many were served."""
    number = site.gateways.index(gateway)
    requests = [site.send_request("/calls/a", gateway=number, key=key) for _ in range(count)]
    responses = [await request for request in requests]
    assert {response.status for response in responses} <= {200, 429}
    for response in responses:
        assert float(response.headers.get("retry-after", "0")) <= max_return
    return sum(response.status == 200 for response in responses)


async def send_from_all(site, **options):
    return [await send_from(site, gateway, **options) for gateway in site.gateways]


def test_gateways_that_are_cut_off_late_admit_their_shares_of_a_quota(monkeypatch):
    """Cut off after 30 s of service, each admitted the whole quota (review/14)."""

    async def scenario():
        async with build_limited_site() as site:
            await join_gateways(site)
            await asyncio.sleep(1.5)
            for module in ("_client", "_server"):
                monkeypatch.setattr(f"celeryrun.gateway.{module}.now", lambda: now() + UPTIME)
            # All links count as silent, and are made anew.
            await asyncio.sleep(2.0)
            others = await join_gateways(site)
            for gateway in others:
                cut_off(gateway)
            assert [await send_from(site, gateway) for gateway in others] == [1, 1]

    run(scenario())


def test_gateways_that_start_without_the_registry_share_a_quota():
    """Each took itself for the whole fleet, and admitted the whole quota (review/15)."""

    async def scenario():
        async with build_limited_site() as site:
            await start_again(site, "keyed.status")
            assert 1 <= sum(await send_from_all(site)) <= 5
            assert await send_from_all(site, key="key-herd") == [6, 6, 6]
            await join_gateways(site)
            assert sum(await send_from_all(site, key="key-lima")) == 5

    run(scenario())


def test_gateways_of_an_unknown_fleet_serve_little_of_a_quota_and_all_else():
    async def scenario():
        async with build_limited_site() as site:
            await start_again(site, "keyed.status", "keyed.fleet")
            await asyncio.sleep(1.0)
            assert await send_from_all(site, max_return=RETURN) == [1, 1, 1]
            assert await send_from_all(site, key="key-herd") == [6, 6, 6]
            site.store.busy_topics.clear()
            members = [gateway.kernel.find("members") for gateway in site.gateways]
            await site.wait_until(lambda: all(each.is_known() for each in members))
            await join_gateways(site)
            assert sum(await send_from_all(site, key="key-lima")) == 5

    run(scenario())


@pytest.mark.parametrize("topics", [(), ("keyed.status",)])
def test_all_gateways_find_one_scheduler_after_they_were_killed(topics):
    async def scenario():
        async with build_limited_site() as site:
            await start_again(site, *topics)
            async with asyncio.timeout(3.0):
                await join_gateways(site)

    run(scenario())
