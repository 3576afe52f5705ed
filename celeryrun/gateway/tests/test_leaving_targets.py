"""Targets that state in their responses that they leave, whatever the list says of them."""

import asyncio

import pytest

from celeryrun.gateway.tests.load import count_arrivals, joined_site, send_load, stop_scheduler
from celeryrun.kernel import now
from celeryrun.scheduling import LeavingTargets
from standins.site import Site, run

PATHS = ["/calls/a", "/drafts/a", "/chats/a"]


def build_site(gateways=2, runners=3):
    """Return a site whose calls last so long that the load takes several runners."""
    site = Site(gateways=gateways, apps=runners, models=runners)
    for runner in site.apps:
        runner.work = 0.06
    return site


def send_calls(site, seconds):
    return send_load(site, seconds, 0.012, "/calls/a")


def runners_of(site, path):
    return site.apps if path == "/calls/a" else site.models


async def announce_leaving(site, runner, path):
    """Let a runner state that it leaves, and wait until a gateway has read that."""
    runner.leaving = True
    for _ in range(20):
        sent = (site.send_request(path, gateway=site.live[0]) for _ in range(12))
        await asyncio.gather(*sent)
        if runner.requests:
            break
    assert runner.requests
    await asyncio.sleep(0.1)
    return now()


def forget_leaving(gateway):
    """Let a gateway forget which targets leave, as if it had not been told."""
    gateway.kernel.find("discovery").leaving = LeavingTargets()


@pytest.mark.parametrize("path", PATHS)
def test_leaving_target_gets_no_request_though_the_list_has_it_as_ready(path):
    async def scenario():
        async with build_site() as site:
            await joined_site(site)
            leaving = runners_of(site, path)[0]
            leaving.leaving = True
            began = now()
            responses = await send_load(site, 3.0, path=path)
            assert all(response.complete for response in responses)
            assert leaving.requests
            assert count_arrivals(leaving, began + 1.0) == 0

    run(scenario())


def test_refusal_of_a_leaving_target_counts_as_well():
    async def scenario():
        async with build_site() as site:
            await joined_site(site)
            leaving = site.apps[0]
            leaving.leaving = True
            leaving.faults["rejected"] = 1_000
            began = now()
            responses = await send_calls(site, 2.0)
            assert all(response.status == 200 for response in responses)
            assert leaving.requests
            assert count_arrivals(leaving, began + 1.0) == 0

    run(scenario())


def test_response_to_another_request_takes_no_target_out():
    async def scenario():
        async with build_site(gateways=1) as site:
            await joined_site(site)
            runner = site.apps[0]
            runner.leaving = True
            runner.faults["foreign"] = 1_000
            await send_calls(site, 0.5)
            assert runner.requests
            assert not site.events("target-leaving")

    run(scenario())


@pytest.mark.parametrize("path", PATHS)
def test_response_that_has_begun_goes_on(path):
    async def scenario():
        async with build_site(gateways=1, runners=2) as site:
            await joined_site(site)
            leaving = runners_of(site, path)[0]
            leaving.work = 0.1
            leaving.leaving = True
            responses = await send_load(site, 1.0, path=path)
            assert leaving.executed_requests
            assert all(response.complete and response.status == 200 for response in responses)
            assert leaving.cancelled_count == 0

    run(scenario())


def test_only_target_is_no_last_resort():
    async def scenario():
        async with build_site(gateways=1, runners=1) as site:
            await joined_site(site)
            leaving = site.apps[0]
            left_at = await announce_leaving(site, leaving, "/calls/a")
            responses = [await site.send_request("/calls/a", deadline=600) for _ in range(2)]
            assert [response.status for response in responses] == [503, 503]
            assert all(float(response.headers["retry-after"]) > 0 for response in responses)
            assert count_arrivals(leaving, left_at) == 0
            await leaving.restart()
            assert (await site.send_request("/calls/a")).status == 200

    run(scenario())


@pytest.mark.parametrize("entry", ["heartbeats", "snapshot"])
def test_list_does_not_bring_a_leaving_target_back(entry):
    async def scenario():
        async with build_site() as site:
            await joined_site(site)
            leaving = site.apps[0]
            left_at = await announce_leaving(site, leaving, "/calls/a")
            if entry == "heartbeats":
                for _ in range(3):
                    leaving.register("ready")
                    await asyncio.sleep(0.3)
            else:
                site.store.put("keyed.servers", leaving.id, None)
                await asyncio.sleep(0.5)
                leaving.register("ready")
            await send_calls(site, 1.5)
            assert count_arrivals(leaving, left_at) == 0

    run(scenario())


def test_target_that_starts_again_under_its_id_is_used():
    async def scenario():
        async with build_site() as site:
            await joined_site(site)
            leaving = site.apps[0]
            left_at = await announce_leaving(site, leaving, "/calls/a")
            await leaving.restart()
            await send_calls(site, 2.0)
            assert count_arrivals(leaving, left_at) > 5

    run(scenario())


def test_next_scheduler_knows_the_leaving_targets():
    async def scenario():
        async with build_site(gateways=3) as site:
            scheduler = await joined_site(site)
            leaving = site.apps[0]
            left_at = await announce_leaving(site, leaving, "/calls/a")
            stop_scheduler(site, scheduler)
            responses = await send_calls(site, 2.0)
            assert all(response.status == 200 for response in responses)
            assert count_arrivals(leaving, left_at) == 0

    run(scenario())


def test_node_that_joins_later_is_told():
    async def scenario():
        async with build_site() as site:
            await joined_site(site)
            leaving = site.apps[0]
            left_at = await announce_leaving(site, leaving, "/calls/a")
            joined = await site.add_gateway("node-2")
            await site.wait_until(joined.is_ready)
            await joined_site(site)
            await asyncio.sleep(0.3)
            site.live = [2]
            responses = await send_calls(site, 1.5)
            assert all(response.status == 200 for response in responses)
            assert count_arrivals(leaving, left_at) == 0

    run(scenario())


def test_grant_of_a_scheduler_that_has_not_heard_is_returned():
    async def scenario():
        async with build_site() as site:
            scheduler = await joined_site(site)
            site.live = [1 - scheduler]
            leaving = site.apps[0]
            left_at = await announce_leaving(site, leaving, "/calls/a")
            forget_leaving(site.gateways[scheduler])
            leaving.register("ready")
            responses = await send_calls(site, 1.5)
            assert all(response.status == 200 for response in responses)
            assert count_arrivals(leaving, left_at) == 0
            withdrawn = [line["request"] for line in site.events("withdrawn")]
            assert withdrawn and len(withdrawn) == len(set(withdrawn))

    run(scenario())


@pytest.mark.parametrize("path", ["/calls/a", "/drafts/a"])
def test_response_that_a_crash_of_a_leaving_target_cuts_does_not_look_complete(path):
    async def scenario():
        async with Site(apps=1, models=1) as site:
            for target in (*site.apps, *site.models):
                target.leaving = True
                target.faults["dies-between"] = 9
            response = await site.send_request(path)
            assert response.status != 200 or not response.complete

    run(scenario())
