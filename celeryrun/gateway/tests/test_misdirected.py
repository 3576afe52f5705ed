"""Targets whose address another server has now, while their entries are still listed."""

import asyncio

from celeryrun.gateway.tests.raw_targets import RawTarget, responder
from standins.site import Site, run

MISDIRECTED = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
REQUESTS = 24


def test_requests_survive_a_target_whose_address_another_server_has():
    """Such a server answers at once, so its slots seemed free and it got most requests."""

    async def scenario():
        async with (
            Site(apps=1, models=1) as site,
            RawTarget(site, "model", responder(MISDIRECTED)) as model,
            RawTarget(site, "app", responder(MISDIRECTED)) as app,
        ):
            paths = ["/drafts/a", "/bookings/a"] * (REQUESTS // 2)
            responses = await asyncio.gather(*map(site.send_request, paths))
            assert [response.status for response in responses] == [200] * REQUESTS
            assert model.attempt_ids and app.attempt_ids
            executed = [
                request.attempt_id
                for runner in (*site.apps, *site.models)
                for request in runner.requests
                if request.executed
            ]
            assert len(executed) == len(set(executed)) == REQUESTS

    run(scenario())
