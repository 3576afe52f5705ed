"""Targets that turn a request away and say for how long they want no others."""

import asyncio
import time

import pytest

from celeryrun.gateway.tests.load import (
    count_arrivals,
    joined_site,
    send_load,
    served_share,
    stop_scheduler,
)
from celeryrun.kernel import now
from celeryrun.scheduling import TargetPauses
from standins.site import Site, run

PAUSE = 3.0  # s
GRACE = 0.5  # s after the first refusal within which requests may be on their way
MAX_ARRIVALS = 2  # of each gateway within the pause, after the grace
PATHS = ["/calls/a", "/drafts/a", "/chats/a"]


def build_site(gateways=2, runners=3):
    """Return a site whose requests last so long that the load takes several runners."""
    site = Site(gateways=gateways, apps=runners, models=runners)
    for runner in site.apps:
        runner.work = 0.06
    for runner in site.models:
        runner.work = 0.02
    return site


def runners_of(site, path):
    return site.apps if path == "/calls/a" else site.models


def send_paths(site, seconds, path="/calls/a", **options):
    interval = 0.012 if path == "/calls/a" else 0.02
    return send_load(site, seconds, interval, path, **options)


async def announce_pause(site, runner, seconds, path="/calls/a"):
    """Let a runner turn a request away; return the time at which it did so first."""
    runner.retry_after = seconds
    earlier = len(runner.requests)
    for _ in range(20):
        sent = (site.send_request(path, gateway=site.live[0]) for _ in range(12))
        await asyncio.gather(*sent)
        if len(runner.requests) > earlier:
            break
    return runner.requests[earlier].arrived_at


@pytest.mark.parametrize("path", PATHS)
def test_paused_target_gets_no_request_and_the_others_serve(path):
    async def scenario():
        async with build_site() as site:
            await joined_site(site)
            paused = runners_of(site, path)[0]
            paused.retry_after = PAUSE
            responses = await send_paths(site, PAUSE, path)
            began = paused.requests[0].arrived_at
            # One gateway tells the other, so that both keep the bound of one.
            assert count_arrivals(paused, began + GRACE, began + PAUSE) <= MAX_ARRIVALS
            assert served_share(responses) > 0.95

    run(scenario())


def test_request_that_was_turned_away_goes_to_another_target_at_once():
    async def scenario():
        async with build_site(gateways=1, runners=2) as site:
            await joined_site(site)
            paused = site.apps[0]
            paused.retry_after = PAUSE
            sent = [site.send_request("/calls/a") for _ in range(4)]
            began = now()
            responses = await asyncio.gather(*sent)
            assert paused.requests and now() - began < 0.5
            assert [response.status for response in responses] == [200] * 4

    run(scenario())


@pytest.mark.parametrize("path", PATHS)
def test_refusal_names_the_end_of_the_pause_if_all_targets_pause(path):
    async def scenario():
        async with build_site(gateways=1, runners=2) as site:
            await joined_site(site)
            for runner in runners_of(site, path):
                await announce_pause(site, runner, PAUSE, path)
            began = now()
            received = [len(runner.requests) for runner in runners_of(site, path)]
            for _ in range(5):
                response = await site.send_request(path, deadline=1000)
                assert response.status == 503
                left = PAUSE - (now() - began)
                assert left - 1.0 < float(response.headers["retry-after"]) < 1.6 * left + 1.0
            assert received == [len(runner.requests) for runner in runners_of(site, path)]
            assert now() - began < 1.0

    run(scenario())


@pytest.mark.parametrize("seconds", [0.05, 0.3])
def test_request_waits_for_the_end_of_a_short_pause_of_the_only_target(seconds):
    async def scenario():
        async with build_site(gateways=1, runners=1) as site:
            await joined_site(site)
            runner = site.apps[0]
            runner.retry_after = seconds
            sent = asyncio.create_task(site.send_request("/calls/a"))
            await site.wait_until(lambda: runner.requests)
            runner.retry_after = None
            assert (await sent).status == 200
            first, second = [request.arrived_at for request in runner.requests]
            assert second - first >= seconds

    run(scenario())


def test_requests_come_back_after_the_pause_one_first():
    async def scenario():
        async with build_site(gateways=2, runners=1) as site:
            await joined_site(site)
            runner = site.apps[0]
            await announce_pause(site, runner, 0.8)
            runner.retry_after = None
            runner.work = 0.2
            responses = await send_paths(site, 1.6, deadline=4000)
            back = sorted(request.arrived_at for request in runner.executed_requests)
            assert len(back) > 8
            assert sum(arrived_at < back[0] + 0.2 for arrived_at in back) == 1
            assert any(response.status == 200 for response in responses)
            assert {line["target"] for line in site.events("target-resumed")} == {runner.id}

    run(scenario())


def test_pause_ends_while_the_process_is_suspended():
    async def scenario():
        async with build_site(gateways=1, runners=1) as site:
            await joined_site(site)
            runner = site.apps[0]
            await announce_pause(site, runner, 0.6)
            runner.retry_after = None
            time.sleep(1.0)
            resumed_at = now()
            assert (await site.send_request("/calls/a")).status == 200
            assert now() - resumed_at < 0.5

    run(scenario())


@pytest.mark.parametrize("seconds", ["garbage", "-1", "nan", "inf", "1e300", "0", "0.0"])
def test_unusable_value_is_no_pause(seconds):
    async def scenario():
        async with build_site(gateways=1, runners=1) as site:
            await joined_site(site)
            runner = site.apps[0]
            runner._own_headers = lambda: {"Retry_After": seconds}
            runner.faults["rejected"] = 1
            await site.send_request("/calls/a")
            assert not site.events("target-paused")
            assert (await site.send_request("/calls/a")).status == 200

    run(scenario())


def test_only_a_refusal_of_the_request_pauses_its_target():
    async def scenario():
        async with build_site(gateways=1, runners=1) as site:
            await joined_site(site)
            runner = site.apps[0]
            runner._own_headers = lambda: {"Retry_After": "5"}
            assert (await site.send_request("/calls/a")).status == 200
            for fault in ("unpromised", "foreign", "error"):
                runner.faults[fault] = 1
                await site.send_request("/calls/a")
            assert not site.events("target-paused")

    run(scenario())


def test_target_that_starts_again_under_its_id_is_not_paused():
    async def scenario():
        async with build_site(runners=1) as site:
            await joined_site(site)
            runner = site.apps[0]
            await announce_pause(site, runner, 30.0)
            await runner.restart()
            found = [gateway.kernel.find("discovery") for gateway in site.gateways]
            await site.wait_until(lambda: all(d.targets_by_id[runner.id].born > 1 for d in found))
            assert (await site.send_request("/calls/a")).status == 200

    run(scenario())


def test_next_scheduler_knows_the_pauses():
    async def scenario():
        async with build_site(gateways=3) as site:
            scheduler = await joined_site(site)
            paused = site.apps[0]
            site.live = [(scheduler + 1) % 3]
            began = await announce_pause(site, paused, 5.0)
            site.live = [0, 1, 2]
            stop_scheduler(site, scheduler)
            responses = await send_paths(site, 3.0)
            assert count_arrivals(paused, began + GRACE, began + 5.0) == 0
            assert served_share(responses) > 0.95

    run(scenario())


def test_node_that_joins_later_is_told():
    async def scenario():
        async with build_site() as site:
            await joined_site(site)
            paused = site.apps[0]
            began = await announce_pause(site, paused, 30.0)
            joined = await site.add_gateway("node-2")
            await site.wait_until(joined.is_ready)
            await joined_site(site)
            await asyncio.sleep(0.3)
            site.live = [2]
            responses = await send_paths(site, 1.5)
            assert count_arrivals(paused, began + GRACE) == 0
            assert served_share(responses) > 0.95

    run(scenario())


def test_grant_of_a_scheduler_that_has_not_heard_is_returned():
    async def scenario():
        async with build_site() as site:
            scheduler = await joined_site(site)
            site.live = [1 - scheduler]
            paused = site.apps[0]
            began = await announce_pause(site, paused, 30.0)
            site.gateways[scheduler].kernel.find("scheduler").scheduler.pauses = TargetPauses()
            responses = await send_paths(site, 1.5)
            assert served_share(responses) > 0.95
            assert count_arrivals(paused, began + GRACE) == 0
            # The grant tells the scheduler, so few are returned.
            assert 0 < len(site.events("withdrawn")) < 20

    run(scenario())
