"""Several gateways whose scheduler stops, leaves or loses the store."""

import asyncio
import dataclasses

import pytest

from standins.site import (
    Site,
    build_config,
    build_tenant,
    run,
)
from standins.store import StoreStandIn


def test_quota_is_enforced_across_gateways():
    async def scenario():
        tenant = build_tenant("cajas", "key-cajas", ratePerS=1, burst=500, plainTokens=100)
        async with Site(gateways=3, config=build_config(tenants=[tenant])) as site:
            await site.until(lambda: len(site.events("node-joined")) >= 2)
            responses = [await site.ask("/calls/a", gateway=n % 3) for n in range(18)]
            statuses = [response.status for response in responses]
            assert statuses.count(200) == 5
            assert statuses.count(429) == 18 - statuses.count(200)
            assert sum(len(app.ran) for app in site.apps) == statuses.count(200)

    run(scenario())


def test_target_slots_are_not_exceeded_across_gateways():
    async def scenario():
        async with Site(gateways=3, models=1, events=10) as site:
            await site.until(lambda: len(site.events("node-joined")) >= 2)
            requests = [site.ask("/drafts/a", gateway=n % 3) for n in range(12)]
            responses = await asyncio.gather(*requests)
            assert all(response.complete for response in responses)
            assert site.models[0].most_running <= site.models[0].slots

    run(scenario())


def test_another_gateway_schedules_after_scheduler_stops():
    async def scenario():
        async with Site(gateways=3) as site:
            await site.until(lambda: len(site.events("node-joined")) >= 2)
            scheduler = site.events("scheduler-chosen")[-1]["peer"]
            lost = next(g for g in site.gateways if g.settings.node.name == scheduler)
            lost.kernel.find("scheduler-client").stop()
            lost.kernel.find("scheduler").stop()
            others = [n for n, g in enumerate(site.gateways) if g is not lost]
            for number in range(10):
                response = await site.ask("/calls/a", gateway=others[number % 2])
                assert response.status == 200

    run(scenario())


def test_configuration_reaches_all_gateways_after_scheduler_stops():
    async def scenario():
        async with Site(gateways=4) as site:
            await site.until(lambda: len(site.events("scheduler-chosen")) >= 3)
            discoveries = [gateway.kernel.find("discovery") for gateway in site.gateways]
            site.store.put("keyed.op", "config", build_config(9))
            site.apps[0].register("draining")
            await site.until(
                lambda: all(discovery.catalog.version == 9 for discovery in discoveries)
            )
            await site.until(lambda: not any(e.targets_by_id["app-0"].ready for e in discoveries))
            scheduler = site.events("scheduler-chosen")[-1]["peer"]
            for gateway in site.gateways:
                if gateway.settings.node.name == scheduler:
                    for name in ("scheduler-client", "scheduler", "discovery"):
                        gateway.kernel.find(name).stop()
                    discoveries.remove(gateway.kernel.find("discovery"))
            site.store.put("keyed.op", "config", build_config(10))
            await site.until(
                lambda: all(discovery.catalog.version == 10 for discovery in discoveries)
            )

    run(scenario())


@pytest.mark.parametrize("fault", ["busy", "silent"])
def test_configuration_reaches_others_when_scheduler_loses_store(fault):
    async def scenario():
        async with Site(gateways=3) as site:
            await site.until(lambda: len(site.events("node-joined")) >= 2)
            await asyncio.sleep(1.5)
            scheduler = site.events("scheduler-chosen")[-1]["peer"]
            cut = next(g for g in site.gateways if g.settings.node.name == scheduler)
            other_store = StoreStandIn()
            await other_store.start()
            other_store.faults.add(fault)
            store = cut.kernel.find("store")
            store.address = dataclasses.replace(store.address, port=other_store.port)
            await asyncio.sleep(0.95)
            site.store.put("keyed.op", "config", build_config(2))
            site.apps[0].register("draining")
            discoveries = [g.kernel.find("discovery") for g in site.gateways if g is not cut]
            await site.until(
                lambda: all(discovery.catalog.version == 2 for discovery in discoveries)
            )
            await site.until(lambda: not any(e.targets_by_id["app-0"].ready for e in discoveries))
            other_store.stop()

    run(scenario())


def test_scheduler_without_store_confirms_no_freshness():
    async def scenario():
        bounds = "revocation_lag = 2s\nconfiguration_lag = 600ms"
        async with Site(gateways=2, bounds=bounds) as site:
            clients = [gateway.kernel.find("scheduler-client") for gateway in site.gateways]
            await site.until(lambda: len({client._current_scheduler for client in clients}) == 1)
            for gateway in site.gateways:
                gateway.kernel.find("discovery").configuration._task.cancel()
            discoveries = [gateway.kernel.find("discovery") for gateway in site.gateways]
            await site.until(
                lambda: all(discovery.configuration.age() > 1.7 for discovery in discoveries)
            )
            for number in range(2):
                assert (await site.ask("/calls/a", gateway=number)).status == 503

    run(scenario())


def test_new_scheduler_does_not_treat_quotas_as_unspent(monkeypatch):
    """A new scheduler has no record of what its predecessor has admitted."""

    async def scenario():
        tenant = build_tenant("cajas", "key-cajas", ratePerS=1, burst=500, plainTokens=100)
        config = build_config(tenants=[tenant])
        monkeypatch.setattr("celeryrun.gateway._server.FLEET_START_TIMEOUT", 0.0)
        async with Site(gateways=2, config=config) as site:
            await site.until(lambda: len(site.events("node-joined")) >= 1)
            clients = [gateway.kernel.find("scheduler-client") for gateway in site.gateways]
            await site.until(lambda: len({client._current_scheduler for client in clients}) == 1)
            leaving = next(
                g for g in site.gateways if g.settings.node.name == clients[0]._current_scheduler
            )
            other = next(g for g in site.gateways if g is not leaving)
            leaving.kernel.find("scheduler-client").leave()
            name = other.settings.node.name
            await site.until(
                lambda: other.kernel.find("scheduler-client")._current_scheduler == name
            )
            number = site.gateways.index(other)
            responses = [await site.ask("/calls/a", gateway=number) for _ in range(5)]
            assert [response.status for response in responses].count(200) == 0

    run(scenario())
