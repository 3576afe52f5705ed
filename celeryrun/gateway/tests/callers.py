"""Callers that take a broken stream up again, and sites with targets of two versions."""

import asyncio

import httptools

from standins.site import ReceivedResponse, Site, build_config

EVENTS = 16
DEADLINE = 8000  # ms
PAUSE = 0.03  # s between two events


def build_mixed_site(versions=("v1", "v1", "v2", "v2"), gateways=3):
    """Return a site whose targets of the pool ``model`` have these versions."""
    config = build_config()
    for route in config["routes"]:
        route["timeoutMs"] = DEADLINE
        route["maxAttempts"] = 4
    site = Site(gateways=gateways, apps=0, models=len(versions), config=config, events=EVENTS)
    for model, version in zip(site.models, versions, strict=True):
        model.version = version
        model.work = PAUSE
        model.slots = 40
    return site


class StreamCaller:
    """Caller of one stream, which may take it up again at any gateway.

    Attributes
    ----------
    event_ids : list of int
        Ids of all events received, over all tries.
    versions : set of str
        Versions of the targets that made them.
    first_attempt : str or None
        Id of the attempt that brought the first event.
    statuses : list of int
        Status of each try, 0 where no response began.
    """

    def __init__(self, site):
        self.site = site
        self.event_ids = []
        self.versions = set()
        self.first_attempt = None
        self.statuses = []
        self.is_complete = False

    @property
    def is_whole(self):
        """Whether all events came once, in order, from targets of one version."""
        events = list(range(1, EVENTS + 1))
        return self.is_complete and self.event_ids == events and len(self.versions) == 1

    async def take(self, gateway=0, events=EVENTS + 1, path="/chats/a", **headers):
        """Send the next try, and leave once that many events have come; return its status."""
        if self.event_ids:
            headers.setdefault("Last_Event_Id", str(self.event_ids[-1]))
            headers.setdefault("Resumes", self.first_attempt)
        data = self.site.format_request(path, deadline=DEADLINE, **headers)
        attempt = f"a{self.site.attempt_count}"
        response = await self._exchange(data, gateway, events)
        if response.event_ids and not self.event_ids:
            self.first_attempt = attempt
        self.event_ids += response.event_ids
        self.versions |= response.versions
        self.statuses.append(response.status)
        self.is_complete = response.complete and response.status == 200
        return response.status

    async def _exchange(self, data, gateway, events):
        response = ReceivedResponse()
        parser = httptools.HttpResponseParser(response)
        try:
            reader, writer = await self.site.connect(gateway)
            writer.write(data)
            async with asyncio.timeout(10.0):
                while not response.complete and len(response.event_ids) < events:
                    received = await reader.read(65536)
                    if not received:
                        break
                    parser.feed_data(received)
            writer.transport.abort()
        except OSError:
            pass
        response.status = parser.get_status_code() if response.headers else 0
        # An event that is not whole counts as not received.
        response.body = response.body[: response.body.rfind(b"\n\n") + 2]
        return response


async def begin_streams(site, count, events=4, gateway=None):
    """Return callers that have the first events of a stream and have left."""
    callers = [StreamCaller(site) for _ in range(count)]
    gateways = len(site.gateways)
    await asyncio.gather(
        *(
            caller.take(number % gateways if gateway is None else gateway, events)
            for number, caller in enumerate(callers)
        )
    )
    return callers


async def resume_streams(callers, gateway=0, events=EVENTS + 1):
    """Take all streams up again at once."""
    await asyncio.gather(*(caller.take(gateway, events) for caller in callers))


async def join_gateways(site):
    """Wait until all gateways use one scheduler; return its index."""
    await site.wait_until(lambda: len(site.events("node-joined")) >= len(site.gateways) - 1)
    await asyncio.sleep(0.3)
    names = [gateway.settings.node.name for gateway in site.gateways]
    return names.index(site.events("scheduler-chosen")[-1]["peer"])


async def restart_gateways(site):
    """End all gateways and start them again under their names."""
    count = len(site.gateways)
    for number in range(count):
        stop_gateway(site, number)
    site.gateways.clear()
    for number in range(count):
        await site.add_gateway(f"node-{number}", first_start="no")
    await site.wait_until(lambda: all(gateway.is_ready() for gateway in site.gateways))
    schedulers = [gateway.kernel.find("scheduler") for gateway in site.gateways]
    await site.wait_until(lambda: any(len(s._links_by_node) == count - 1 for s in schedulers))
    await asyncio.sleep(0.3)


def stop_gateway(site, number):
    """End a gateway as its process would be killed."""
    site.gateways[number].kernel.stop()
