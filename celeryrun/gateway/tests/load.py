"""Load on the gateways of a site, and what its runners received of it."""

import asyncio

from celeryrun.kernel import now


async def joined_site(site):
    """Wait until all gateways ask one scheduler, and return its number."""
    site.live = list(range(len(site.gateways)))
    clients = [gateway.kernel.find("scheduler-client") for gateway in site.gateways]
    await site.wait_until(lambda: len({client._current_scheduler for client in clients}) == 1)
    names = [gateway.settings.node.name for gateway in site.gateways]
    number = names.index(clients[0]._current_scheduler)
    server = site.gateways[number].kernel.find("scheduler")
    await site.wait_until(lambda: len(server._links_by_node) == len(clients) - 1)
    return number


async def send_load(site, seconds, interval=0.03, path="/drafts/a", **options):
    """Send requests to all live gateways in turn; return the responses and exceptions."""
    tasks = []
    end = now() + seconds
    while now() < end:
        gateway = site.live[len(tasks) % len(site.live)]
        sent = site.send_request(path, gateway=gateway, **options)
        tasks.append(asyncio.create_task(sent))
        await asyncio.sleep(interval)
    return await asyncio.gather(*tasks, return_exceptions=True)


def stop_scheduler(site, number):
    """Stop the scheduler of a gateway, which gets no more requests."""
    lost = site.gateways[number]
    lost.kernel.find("scheduler-client").stop()
    lost.kernel.find("scheduler").stop()
    site.live.remove(number)


def count_arrivals(runner, since, until=float("inf")):
    """Return the number of requests that a runner received between two times."""
    return sum(since < request.arrived_at < until for request in runner.requests)


def served_share(responses):
    """Return the share of responses that are whole and successful."""
    served = sum(
        not isinstance(response, BaseException) and response.status == 200 and response.complete
        for response in responses
    )
    return served / len(responses)
