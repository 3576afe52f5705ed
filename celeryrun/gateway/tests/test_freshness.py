"""Effect of stale, changed and unreadable store records on requests."""

import asyncio

from standins.site import (
    Site,
    build_config,
    build_tenant,
    run,
)


def test_follower_continues_after_error_in_page():
    async def scenario():
        async with Site(apps=1) as site:
            discovery = site.gateways[0].kernel.find("discovery")
            apply, discovery.configuration._apply = discovery.configuration._apply, None
            site.store.put("keyed.op", "config", build_config(2))
            await site.until(lambda: site.events("store-unreadable"))
            discovery.configuration._apply = apply
            await site.until(lambda: discovery.catalog.version == 2)

    run(scenario())


def test_removed_key_is_refused_and_new_key_accepted():
    async def scenario():
        async with Site() as site:
            tenants = [build_tenant("cajas", "key-new"), build_tenant("herd", "key-herd")]
            site.store.put("keyed.op", "config", build_config(2, tenants=tenants))
            discovery = site.gateways[0].kernel.find("discovery")
            await site.until(lambda: discovery.catalog.version == 2)
            assert (await site.ask("/calls/a", key="key-cajas")).status == 401
            assert (await site.ask("/calls/a", key="key-new")).status == 200
            site.store.put("keyed.op", "config", build_config(1))
            await asyncio.sleep(0.2)
            assert (await site.ask("/calls/a", key="key-cajas")).status == 401

    run(scenario())


def test_keys_are_refused_when_store_does_not_respond():
    async def scenario():
        bounds = "revocation_lag = 4s\nconfiguration_lag = 2s"
        async with Site(bounds=bounds) as site:
            assert (await site.ask("/calls/a")).status == 200
            site.store.faults.add("silent")
            discovery = site.gateways[0].kernel.find("discovery")
            await site.until(lambda: discovery.configuration.age() > 3.6)
            arrived = sum(len(app.arrived) for app in site.apps)
            response = await site.ask("/calls/a")
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
            assert (await site.ask("/nowhere/")).status == 503
            assert sum(len(app.arrived) for app in site.apps) == arrived
            assert not site.gateways[0].is_ready()
            site.store.faults.clear()
            await site.until(site.gateways[0].is_ready)
            assert (await site.ask("/calls/a")).status == 200

    run(scenario())


def test_draining_target_gets_no_new_requests_and_finishes_its_own():
    async def scenario():
        async with Site(models=2, events=30) as site:
            responses = [asyncio.create_task(site.ask("/drafts/a")) for _ in range(4)]
            await site.until(lambda: sum(len(model.ran) for model in site.models) == 4)
            leaving = site.models[0]
            leaving.register("draining")
            discovery = site.gateways[0].kernel.find("discovery")
            await site.until(lambda: not discovery.targets_by_id["model-0"].ready)
            before = len(leaving.arrived)
            for _ in range(4):
                assert (await site.ask("/drafts/a")).complete
            assert len(leaving.arrived) == before
            assert all(response.complete for response in await asyncio.gather(*responses))

    run(scenario())


def test_unreadable_records_are_skipped():
    async def scenario():
        async with Site(apps=1) as site:
            site.store.put("keyed.servers", "torn", b"\xff{")
            site.store.put("keyed.servers", "odd", {"service": 7, "address": None})
            site.store.put("keyed.op", "config", b"[]")
            site.store.append("keyed.servers", b"")
            site.store.append("keyed.servers", b"\x09abc")
            await site.until(lambda: len(site.events("target-unreadable")) >= 2)
            assert (await site.ask("/calls/a")).status == 200

    run(scenario())


def test_topic_is_read_again_when_its_history_is_dropped():
    async def scenario():
        async with Site(apps=1) as site:
            site.store.put("keyed.op", "config", build_config(5))
            site.store.append("keyed.op", b"\x01x1")
            site.store.forget("keyed.op")
            site.store.forget("keyed.servers")
            site.store.put("keyed.op", "config", build_config(6))
            discovery = site.gateways[0].kernel.find("discovery")
            await site.until(lambda: discovery.catalog.version == 6)
            assert (await site.ask("/calls/a")).status == 200

    run(scenario())
