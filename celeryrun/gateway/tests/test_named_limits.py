"""Targets that name the number of requests per second that they take."""

from celeryrun.gateway.tests.load import joined_site, send_load, stop_scheduler
from celeryrun.kernel import now
from standins.site import Site, run

LIMIT = 2.0  # requests per second
WINDOW = 4.0  # s
MAX_ARRIVALS = 1.5 * LIMIT * WINDOW + 5


def most_arrivals(runner, since):
    """Return the most requests that a runner received within `WINDOW` since a time."""
    times = [request.arrived_at for request in runner.requests if request.arrived_at > since]
    return max((sum(start <= t < start + WINDOW for t in times) for start in times), default=0)


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
            stop_scheduler(site, scheduler)
            await send_load(site, 4.0)
            assert most_arrivals(limited, began + 1.0) <= MAX_ARRIVALS

    run(scenario())
