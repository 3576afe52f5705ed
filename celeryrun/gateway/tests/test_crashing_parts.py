"""Requests that share a part of their prompt on which every target crashes."""

import asyncio
import itertools
import random

from celeryrun.kernel import now
from standins.site import Site, run

MAX_CRASHES = 5  # after which the part must be known
KNOWN_WITHIN = 3.0  # s after the last of them
MAX_LATER_ARRIVALS = 3
COMMON, BAD = "c0", "bad"


class Load:
    """Callers whose sound and crashing requests share all other parts of their prompts."""

    def __init__(self, site, seed=1):
        self.site = site
        self.choices = random.Random(seed)
        self.numbers = itertools.count()
        self.statuses = []
        self.sound_sent = []
        for model in site.models:
            model.crashing_parts = {BAD}

    async def send(self, *parts, path="/chats/a"):
        number = next(self.numbers)
        entries = ",".join(f"{part}:100" for part in (*parts, f"own{number}"))
        gateway = self.choices.choice(self.site.live)
        try:
            response = await self.site.send_request(
                path,
                gateway=gateway,
                body=b"%d" % number,
                Celeryrun_Token_Usage="400,30",
                Celeryrun_Prompt_Prefix=entries,
            )
        except OSError:
            return 0
        return response.status if response.complete else 0

    async def send_sound(self):
        sent_at = now()
        status = await self.send(COMMON, f"s{self.choices.randrange(4)}")
        self.sound_sent.append((sent_at, status))

    async def send_bad(self):
        middle = self.choices.choice([(), (f"s{self.choices.randrange(4)}",)])
        self.statuses.append(await self.send(COMMON, *middle, BAD))

    async def run(self, seconds, bad_interval=0.12, sound_interval=0.04):
        """Send both kinds of requests for some seconds."""

        async def repeat(send, interval):
            tasks = []
            end = now() + seconds
            while now() < end:
                tasks.append(asyncio.create_task(send()))
                await asyncio.sleep(interval * self.choices.uniform(0.5, 1.5))
            await asyncio.gather(*tasks)

        await asyncio.gather(
            repeat(self.send_bad, bad_interval), repeat(self.send_sound, sound_interval)
        )

    def crashes(self):
        """Times of all crashes, in order."""
        return sorted(time for model in self.site.models for time in model.crashes)

    def later_arrivals(self):
        """Requests with the bad part that targets received after it had to be known."""
        crashes = self.crashes()
        if len(crashes) < MAX_CRASHES:
            return []
        known_at = crashes[MAX_CRASHES - 1] + KNOWN_WITHIN
        return [
            request
            for model in self.site.models
            for request in model.requests
            if BAD in request.shared_parts and request.arrived_at > known_at
        ]

    def sound_share(self, since):
        """Share of the sound requests sent since a time that were answered."""
        statuses = [status for sent_at, status in self.sound_sent if sent_at > since]
        assert len(statuses) > 20
        return statuses.count(200) / len(statuses)


async def joined_site(site):
    """Wait until all gateways ask one scheduler, and return its number."""
    site.live = list(range(len(site.gateways)))
    clients = [gateway.kernel.find("scheduler-client") for gateway in site.gateways]
    await site.wait_until(lambda: len({client._current_scheduler for client in clients}) == 1)
    names = [gateway.settings.node.name for gateway in site.gateways]
    return names.index(clients[0]._current_scheduler)


def test_requests_sharing_a_crashing_prompt_part_stop_reaching_targets():
    async def scenario():
        async with Site(gateways=3, models=4) as site:
            await joined_site(site)
            load = Load(site)
            began = now()
            await load.run(8.0)
            assert len(load.later_arrivals()) <= MAX_LATER_ARRIVALS
            assert load.sound_share(began + 5.0) > 0.9
            assert load.statuses[-5:] == [503] * 5

    run(scenario())


def test_crashing_prompt_part_stays_known_when_its_scheduler_stops():
    async def scenario():
        async with Site(gateways=3, models=4) as site:
            scheduler = await joined_site(site)
            load = Load(site)
            await load.run(3.0)
            lost = site.gateways[scheduler]
            lost.kernel.find("scheduler-client").stop()
            lost.kernel.find("scheduler").stop()
            site.live.remove(scheduler)
            stopped_at = now()
            crashed = len(load.crashes())
            await load.run(4.0)
            assert len(load.crashes()) <= crashed + 1
            assert len(load.later_arrivals()) <= MAX_LATER_ARRIVALS
            assert load.sound_share(stopped_at + 1.0) > 0.9

    run(scenario())


def test_crashing_prompt_part_stays_known_after_all_gateways_restart():
    async def scenario():
        async with Site(gateways=2, models=4) as site:
            await joined_site(site)
            load = Load(site)
            await load.run(4.0)
            crashed = len(load.crashes())
            for gateway in site.gateways:
                gateway.kernel.stop()
            site.gateways.clear()
            for number in range(2):
                await site.add_gateway(f"node-{number}")
            await joined_site(site)
            await site.wait_until(lambda: all(g.is_ready() for g in site.gateways))
            await load.run(4.0)
            assert len(load.crashes()) <= crashed + 1
            assert len(load.later_arrivals()) <= MAX_LATER_ARRIVALS

    run(scenario())
