"""Odd records of other writers in the store: the others hold, and the topics are followed on."""

import asyncio

import pytest

from celeryrun.gateway.tests.odd_entries import (
    ODD_CONFIGS,
    ODD_ENTRIES,
    ODD_IDS,
    ODD_NODE_RECORDS,
    ODD_RECORDS,
    build_entry,
)
from celeryrun.gateway.tests.sites import grouped, run_each
from standins.runner import RunnerStandIn
from standins.site import Site, build_config, run

BOUNDS = "drain_lag = 0.5s"  # read the list of targets often
PATIENCE = 5.0  # s in which a change of the store must have been applied


def build_site():
    return Site(gateways=2, apps=2, models=1, bounds=BOUNDS)


def find_discoveries(site):
    return [gateway.kernel.find("discovery") for gateway in site.gateways]


async def wait_until_read(site, topic):
    """Wait until all gateways have read a topic to its end, or cannot."""
    end = site.store.topics[topic].end_offset
    followers = [
        follower
        for gateway in site.gateways
        for follower in gateway.kernel.find("scheduler").followers
        if follower.topic == topic
    ]
    try:
        await site.wait_until(
            lambda: all(follower.position.offset >= end for follower in followers), 1.5
        )
    except TimeoutError:
        pass  # The requests and changes that follow show it.


async def send_requests(site, count=6):
    """Send requests to both gateways at once and check that each gets a whole response."""
    responses = await asyncio.gather(
        *(
            site.send_request(path, number % 2, deadline=1500)
            for number in range(count)
            for path in ("/calls/a", "/bookings/a")
        )
    )
    assert [response.status for response in responses] == [200] * len(responses)
    assert all(response.complete for response in responses)


async def check_list_is_followed(site):
    """Add a sound target, remove the two others, and check that requests follow."""
    await send_requests(site)
    added = RunnerStandIn(site.store, "app-9", "app")
    site.apps.append(added)
    await added.start()
    for runner in site.apps[:2]:
        runner.register(None)
    await site.wait_until(
        lambda: all(
            {target.id for target in discovery.ready_targets("app")} == {"app-9"}
            for discovery in find_discoveries(site)
        ),
        PATIENCE,
    )
    await send_requests(site)
    assert len(added.executed_requests) >= 12
    assert not site.events("store-unreadable")


@pytest.mark.parametrize("names", grouped(ODD_ENTRIES), ids=lambda names: names[0])
def test_list_of_targets_is_followed_past_odd_entry(names):
    async def scenario(name):
        async with build_site() as site:
            site.store.put("keyed.servers", "odd", ODD_ENTRIES[name])
            await wait_until_read(site, "keyed.servers")
            await check_list_is_followed(site)

    run_each(scenario, names)


@pytest.mark.parametrize("names", grouped(ODD_IDS), ids=lambda names: names[0])
def test_list_of_targets_is_followed_past_odd_id(names):
    async def scenario(name):
        async with build_site() as site:
            key = ODD_IDS[name].encode()
            site.store.append("keyed.servers", bytes([len(key)]) + key + build_entry())
            await wait_until_read(site, "keyed.servers")
            await check_list_is_followed(site)

    run_each(scenario, names)


@pytest.mark.parametrize("topic", ["keyed.servers", "keyed.op", "keyed.status"])
def test_topics_are_followed_past_odd_record(topic):
    async def scenario(name):
        async with build_site() as site:
            site.store.append(topic, ODD_RECORDS[name])
            await wait_until_read(site, topic)
            await check_list_is_followed(site)

    run_each(scenario, ODD_RECORDS)


@pytest.mark.parametrize("name", ["nested-arrays", "slots-2-to-62", "port-superscript"])
def test_gateway_that_starts_after_odd_entry_serves(name):
    async def scenario():
        site = build_site()
        site.store.put("keyed.servers", "odd", ODD_ENTRIES[name])
        site.store.append("keyed.servers", ODD_RECORDS["key-not-utf-8"])
        async with site:
            await check_list_is_followed(site)

    run(scenario())


def test_odd_entry_in_place_of_a_sound_one_names_no_target():
    async def scenario():
        async with build_site() as site:
            site.store.put("keyed.servers", "app-0", ODD_ENTRIES["nested-arrays"])
            discoveries = find_discoveries(site)
            await site.wait_until(
                lambda: all("app-0" not in known.targets_by_id for known in discoveries), PATIENCE
            )
            await send_requests(site)
            assert not site.apps[0].requests
            site.apps[0].register("ready")
            await site.wait_until(
                lambda: all("app-0" in known.targets_by_id for known in discoveries), PATIENCE
            )
            await check_list_is_followed(site)

    run(scenario())


def test_request_in_progress_outlives_an_odd_entry_of_its_target():
    async def scenario():
        async with Site(apps=1, models=0, bounds=BOUNDS) as site:
            site.apps[0].work = 1.0
            sent = asyncio.create_task(site.send_request("/bookings/a"))
            await site.wait_until(lambda: site.apps[0].running)
            site.store.put("keyed.servers", "app-0", ODD_ENTRIES["not-json"])
            await site.wait_until(lambda: not find_discoveries(site)[0].targets_by_id, PATIENCE)
            assert (await sent).status == 200

    run(scenario())


def test_odd_entry_is_logged_once_and_briefly():
    async def scenario():
        async with Site(apps=1, models=0, bounds=BOUNDS) as site:
            for _ in range(3):
                site.store.put("keyed.servers", "odd", ODD_ENTRIES["host-of-300-characters"])
                await wait_until_read(site, "keyed.servers")
            (line,) = site.events("target-unreadable")
            assert line["target"] == "odd" and len(line["why"]) < 300

    run(scenario())


def test_error_in_applying_one_record_stops_neither_the_others_nor_the_follower(monkeypatch):
    def decode(id, body):
        if id == "app-9":
            raise RuntimeError("x" * 9999)
        return decode_target(id, body)

    async def scenario():
        async with build_site() as site:
            monkeypatch.setattr("celeryrun.gateway._discovery.decode_target", decode)
            for id in ("app-8", "app-9", "app-10"):
                site.store.put("keyed.servers", id, build_entry())
            listed = {"app-8", "app-10"}
            await site.wait_until(
                lambda: all(
                    listed <= known.targets_by_id.keys() for known in find_discoveries(site)
                ),
                PATIENCE,
            )
            lines = site.events("record-failed")
            assert lines and all(len(line["why"]) < 300 for line in lines)
            assert not site.events("store-unreadable")

    from celeryrun.platform import decode_target

    run(scenario())


@pytest.mark.parametrize("names", grouped(ODD_CONFIGS), ids=lambda names: names[0])
def test_odd_configuration_leaves_the_one_in_force(names):
    async def scenario(name):
        async with build_site() as site:
            site.store.put("keyed.op", "config", ODD_CONFIGS[name])
            await wait_until_read(site, "keyed.op")
            assert [known.catalog.version for known in find_discoveries(site)] == [1, 1]
            await send_requests(site)
            site.store.put("keyed.op", "config", build_config(6))
            await site.wait_until(
                lambda: all(known.catalog.version == 6 for known in find_discoveries(site)),
                PATIENCE,
            )
            await check_list_is_followed(site)

    run_each(scenario, names)


@pytest.mark.parametrize("names", grouped(ODD_NODE_RECORDS), ids=lambda names: names[0])
def test_node_joins_past_odd_record_of_the_nodes(names):
    async def scenario(name):
        async with build_site() as site:
            key, value = ODD_NODE_RECORDS[name]
            site.store.put("keyed.status", key, value)
            await wait_until_read(site, "keyed.status")
            await site.add_gateway("node-2")
            await site.wait_until(site.gateways[2].is_ready, PATIENCE)
            clients = [gateway.kernel.find("scheduler-client") for gateway in site.gateways]
            await site.wait_until(
                lambda: len({client._current_scheduler for client in clients}) == 1, PATIENCE
            )
            await check_list_is_followed(site)

    run_each(scenario, names)


def test_error_in_a_planning_round_stops_no_later_one(monkeypatch):
    async def scenario():
        async with Site(apps=1, models=0, bounds=BOUNDS) as site:
            scheduler = site.gateways[0].kernel.find("scheduler").scheduler
            plan, failures = type(scheduler).plan, []

            def fail_twice(*arguments):
                if len(failures) < 2:
                    failures.append(arguments)
                    raise OverflowError("x" * 9999)
                return plan(*arguments)

            monkeypatch.setattr(type(scheduler), "plan", fail_twice)
            await send_requests_to_one(site)
            assert len(failures) == 2
            lines = site.events("plan-failed")
            assert lines and all(len(line["why"]) < 300 for line in lines)

    run(scenario())


async def send_requests_to_one(site):
    """Send requests to the only gateway and check their responses."""
    responses = await asyncio.gather(*(site.send_request("/bookings/a") for _ in range(4)))
    assert [response.status for response in responses] == [200] * 4
