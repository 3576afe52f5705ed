"""Targets that name the number of requests per second that they take."""

import asyncio

from celeryrun.kernel import now
from standins.site import Site, run

LIMIT = 2.0  # requests per second
WINDOW = 4.0  # s
MAX_ARRIVALS = 1.5 * LIMIT * WINDOW + 5


async def send_load(site, seconds, interval=0.03, path="/drafts/a"):
    """Send requests to all live gateways in turn; return the responses and exceptions."""
    tasks = []
    end = now() + seconds
    while now() < end:
        gateway = site.live[len(tasks) % len(site.live)]
        tasks.append(asyncio.create_task(site.send_request(path, gateway=gateway)))
        await asyncio.sleep(interval)
    return await asyncio.gather(*tasks, return_exceptions=True)


def most_arrivals(runner, since):
    """Return the most requests that a runner received within `WINDOW` since a time."""
    times = [request.arrived_at for request in runner.requests if request.arrived_at > since]
    return max((sum(start <= t < start + WINDOW for t in times) for start in times), default=0)


async def joined_site(site):
    """Wait until all gateways ask one scheduler, and return its number."""
    site.live = list(range(len(site.gateways)))
    clients = [gateway.kernel.find("scheduler-client") for gateway in site.gateways]
    await site.wait_until(lambda: len({client._current_scheduler for client in clients}) == 1)
    names = [gateway.settings.node.name for gateway in site.gateways]
    return names.index(clients[0]._current_scheduler)


def test_target_gets_no_more_requests_than_the_limit_it_names():
    async def scenario():
        async with Site(gateways=3, models=3) as site:
            await joined_site(site)
            limited = site.models[0]
            limited.rate_limit = LIMIT
            began = now()
            responses = await send_load(site, 6.0)
            assert most_arrivals(limited, began + 1.0) <= MAX_ARRIVALS
            assert sum(response.complete for response in responses) > 0.95 * len(responses)

    run(scenario())


def test_limited_target_is_used_at_its_limit_when_the_others_are_busy():
    async def scenario():
        async with Site(gateways=3, models=3) as site:
            await joined_site(site)
            limited = site.models[0]
            limited.rate_limit = LIMIT
            for model in site.models:
                model.work = 0.05
            began = now()
            await send_load(site, 7.0)
            assert LIMIT * WINDOW / 2 <= most_arrivals(limited, began + 1.0) <= MAX_ARRIVALS

    run(scenario())


def test_target_is_used_again_when_it_names_no_limit_any_more():
    async def scenario():
        async with Site(gateways=2, models=2) as site:
            await joined_site(site)
            limited = site.models[0]
            limited.rate_limit = 1.0
            await send_load(site, 3.0)
            limited.rate_limit = None
            await send_load(site, 2.0)
            received = len(limited.requests)
            for model in site.models:
                model.work = 0.05
            await send_load(site, 2.0, interval=0.01)
            assert len(limited.requests) - received > 20

    run(scenario())


def test_named_limit_holds_when_the_scheduler_stops():
    async def scenario():
        async with Site(gateways=3, models=3) as site:
            scheduler = await joined_site(site)
            limited = site.models[0]
            limited.rate_limit = LIMIT
            began = now()
            await send_load(site, 3.0)
            lost = site.gateways[scheduler]
            lost.kernel.find("scheduler-client").stop()
            lost.kernel.find("scheduler").stop()
            site.live.remove(scheduler)
            await send_load(site, 4.0)
            assert most_arrivals(limited, began + 1.0) <= MAX_ARRIVALS

    run(scenario())
