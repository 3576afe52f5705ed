"""The store comes back from a copy that lacks what it had acknowledged."""

import asyncio

from celeryrun.kernel import now
from standins.site import Site, build_config, build_tenant, run

CONFIGURATION_LAG = 2.0  # s
WRITTEN_AGAIN_WITHIN = 2.0  # s after the store's return


def discoveries(site):
    return [gateway.kernel.find("discovery") for gateway in site.gateways]


def versions(site):
    return [found.catalog.version for found in discoveries(site)]


async def joined_site(site):
    count = len(site.gateways)
    await site.wait_until(lambda: len(site.events("node-joined")) >= count - 1)
    await site.wait_until(
        lambda: all(
            len(gateway.kernel.find("members").address_by_node) == count
            for gateway in site.gateways
        )
    )


async def restore(site, copy, outage=0.3):
    """Restore a copy after an outage."""
    site.store.faults.add("down")
    await asyncio.sleep(outage)
    site.store.restore(copy)
    site.store.faults.clear()


async def publish(site, version, **overrides):
    """Publish a configuration and wait until all gateways use it."""
    site.store.put("keyed.op", "config", build_config(version, **overrides))
    await site.wait_until(lambda: versions(site) == [version] * len(site.gateways))


async def send_for(site, seconds):
    """Send four requests at once, again and again."""
    end = now() + seconds
    while now() < end:
        await asyncio.gather(*(site.send_request("/calls/a") for _ in range(4)))


def test_configuration_after_restored_store_is_in_force_on_nodes_that_others_confirm():
    async def scenario():
        async with Site(gateways=3) as site:
            await joined_site(site)
            copy = site.store.take_copy()
            for version in (2, 3, 4):
                await publish(site, version)
            await restore(site, copy)
            site.store.put("keyed.op", "config", build_config(4))
            await asyncio.sleep(1.0)
            site.store.put("keyed.op", "config", build_config(5))
            await asyncio.sleep(CONFIGURATION_LAG)
            assert versions(site) == [5, 5, 5]

    run(scenario())


def test_draining_target_written_below_old_offset_gets_no_requests():
    async def scenario():
        async with Site() as site:
            copy = site.store.take_copy()
            for number in range(2):
                site.store.put("keyed.servers", f"other-{number}", {"service": "other"})
            await site.wait_until(lambda: len(site.events("target-unreadable")) >= 2)
            site.store.restore(copy)
            site.apps[0].register("draining")
            for number in range(3):
                site.store.put("keyed.servers", f"other-{number}", {"service": "other"})
            await asyncio.sleep(WRITTEN_AGAIN_WITHIN)
            received = len(site.apps[0].requests)
            for _ in range(6):
                assert (await site.send_request("/calls/a")).status == 200
            assert len(site.apps[0].requests) == received

    run(scenario())


def test_removed_target_does_not_come_back_from_copy():
    async def scenario():
        async with Site() as site:
            copy = site.store.take_copy()
            site.apps[0].register("draining")
            site.apps[0].register(None)
            (found,) = discoveries(site)
            await site.wait_until(lambda: "app-0" not in found.targets_by_id)
            received = len(site.apps[0].requests)
            await restore(site, copy)
            await send_for(site, 1.6)
            site.apps[0].register("draining")
            site.apps[0].register(None)
            await send_for(site, WRITTEN_AGAIN_WITHIN)
            assert len(site.apps[0].requests) == received

    run(scenario())


def test_live_targets_missing_from_copy_stay_in_use_until_they_write_again():
    async def scenario():
        async with Site() as site:
            copy = site.store.take_copy()
            copy["keyed.servers"].latest_by_key.pop("app-0")
            copy["keyed.servers"].latest_by_key.pop("app-1")
            site.store.restore(copy)
            end = now() + WRITTEN_AGAIN_WITHIN - 0.2
            while now() < end:
                assert (await site.send_request("/calls/a")).status == 200
            for app in site.apps:
                app.register("ready")
            await asyncio.sleep(1.0)
            assert (await site.send_request("/calls/a")).status == 200

    run(scenario())


def test_nodes_register_again_when_copy_lacks_them():
    async def scenario():
        async with Site(gateways=2) as site:
            await joined_site(site)
            copy = site.store.take_copy()
            copy.pop("keyed.status")
            await restore(site, copy)
            await asyncio.sleep(1.0)
            await site.add_gateway("node-2")
            members = site.gateways[-1].kernel.find("members")
            await site.wait_until(lambda: len(members.address_by_node) == 3, seconds=3.0)

    run(scenario())


def test_started_node_does_not_take_older_configuration_of_copy():
    async def scenario():
        async with Site(gateways=2) as site:
            await joined_site(site)
            copy = site.store.take_copy()
            await publish(site, 2, tenants=[build_tenant("cajas", "key-new")])
            await asyncio.sleep(1.0)
            await restore(site, copy)
            started = await site.add_gateway("node-2")
            await site.wait_until(started.is_ready)
            received = sum(len(app.requests) for app in site.apps)
            for _ in range(5):
                assert (await site.send_request("/calls/a", gateway=2)).status in (401, 503)
                await asyncio.sleep(0.1)
            assert sum(len(app.requests) for app in site.apps) == received
            assert started.kernel.find("discovery").catalog.version == 2

    run(scenario())


def test_refused_parts_are_those_of_before_the_restored_copy():
    async def scenario():
        async with Site() as site:
            tracker = site.gateways[0].kernel.find("crash-tracker")
            stored = site.store.topics["keyed.status"].latest_by_key
            tracker._write("crash.part.1", 3)
            await site.wait_until(lambda: "crash.part.1" in stored)
            await asyncio.sleep(0.5)
            copy = site.store.take_copy()
            tracker._write("crash.part.1", 0)
            tracker._write("crash.part.2", 3)
            await site.wait_until(lambda: "crash.part.2" in stored)
            await restore(site, copy)

            def parts():
                keys = site.store.topics["keyed.status"].latest_by_key
                return [key for key in keys if key.startswith("crash.part.")]

            await site.wait_until(lambda: parts() == ["crash.part.2"], seconds=5.0)
            started = (await site.add_gateway("node-1")).kernel.find("crash-tracker").parts
            await site.wait_until(lambda: started.crash_count(2), seconds=5.0)
            assert not started.crash_count(1)

    run(scenario())
