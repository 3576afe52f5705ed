"""Gateway processes that lose their links to all targets, while all else reaches them."""

import asyncio
import tempfile
from collections import Counter
from pathlib import Path

import pytest

from celeryrun.gateway._members import SCHEDULER_KEY
from celeryrun.kernel import rank
from soak._nodes import Node
from standins.cut import CUTS, CuttableLink, StoreView
from standins.site import ReceivedResponse, Site, run

STABILITY_WINDOW = 3.0  # s after the cut began, from which callers must be served
PLAY_TIME = 3.0  # s for which callers send after it
REQUEST_INTERVAL = 0.1  # s between two requests of a path at one gateway
PATHS = ("/calls/a", "/bookings/a", "/drafts/a", "/chats/a")
MIN_SERVED_RATIO = 2 / 3  # of the shares served at first attempts at cut and other gateways
SCHEDULER, *OTHERS = rank(SCHEDULER_KEY, [f"node-{number}" for number in range(4)])


class CutFleet(Site):
    """Gateway processes, some of which reach the runners by links that can be cut.

    Parameters
    ----------
    cut_nodes : sequence of str
        Names of the gateways with such links.
    """

    def __init__(self, cut_nodes, folder):
        super().__init__(gateways=0)
        self.cut_nodes = cut_nodes
        self.folder = folder
        self.links = []
        self.port_by_node = {}
        self.nodes = []

    async def __aenter__(self):
        await super().__aenter__()
        runners = [*self.apps, *self.models]
        self.links = [CuttableLink(runner.port) for runner in runners]
        for link in self.links:
            await link.start()
        ports = {runner.port: link.port for runner, link in zip(runners, self.links, strict=True)}
        self.view = StoreView(self.store, ports)
        await self.view.start()
        for name in sorted([SCHEDULER, *OTHERS]):
            view = self.view if name in self.cut_nodes else self.store
            node = Node(name, self.folder, view.port)
            self.nodes.append(node)
            self.port_by_node[name] = node.ports[0]
            await node.start()
        for name in self.port_by_node:
            async with asyncio.timeout(20):
                while (await self.ask(name, "/calls/a")).status != 200:
                    await asyncio.sleep(0.05)
        return self

    async def __aexit__(self, *exc):
        for node in self.nodes:
            node.send_signal(9)
        await asyncio.gather(*(node.wait_exit() for node in self.nodes))
        for link in self.links:
            link.stop()
        self.view.stop()
        await super().__aexit__(*exc)

    async def connect(self, gateway=0):
        return await asyncio.open_connection("127.0.0.1", self.port_by_node[gateway])

    async def ask(self, name, path):
        """Return the response to one request, without a status if the connection fails."""
        try:
            return await self.send_request(path, name, deadline=1900)
        except (OSError, TimeoutError):
            return ReceivedResponse()

    async def play(self, seconds):
        """Return the share of requests served at each gateway."""
        sent, served = Counter(), Counter()

        async def ask_one(name, path):
            response = await self.ask(name, path)
            sent[name] += 1
            served[name] += response.status == 200 and response.complete

        tasks = []
        for _ in range(round(seconds / REQUEST_INTERVAL)):
            for name in self.port_by_node:
                tasks += [asyncio.create_task(ask_one(name, path)) for path in PATHS]
            await asyncio.sleep(REQUEST_INTERVAL)
        await asyncio.gather(*tasks)
        return {name: served[name] / sent[name] for name in self.port_by_node}

    def runs_by_attempt(self):
        return Counter(
            request.attempt_id
            for runner in (*self.apps, *self.models)
            for request in runner.requests
            if request.executed and request.request_target == b"/bookings/a"
        )


@pytest.mark.parametrize(
    "cut_nodes",
    [OTHERS[:1], [SCHEDULER], [SCHEDULER, *OTHERS[:2]]],
    ids=["one", "scheduler", "three of four"],
)
@pytest.mark.parametrize("how", CUTS)
def test_gateways_without_paths_to_targets_serve_their_callers(how, cut_nodes):
    async def scenario(folder):
        async with CutFleet(cut_nodes, Path(folder)) as fleet:
            for link in fleet.links:
                link.cut(how)
            await fleet.play(STABILITY_WINDOW)
            shares = await fleet.play(PLAY_TIME)
            others = [shares[name] for name in shares if name not in cut_nodes]
            cut = [shares[name] for name in cut_nodes]
            assert min(others) > 0.9
            assert min(cut) >= MIN_SERVED_RATIO * max(others)
            for link in fleet.links:
                await link.mend()
            after = await fleet.play(1.0)
            assert min(after.values()) > 0.9
            assert max(fleet.runs_by_attempt().values()) == 1

    with tempfile.TemporaryDirectory() as folder:
        run(scenario(folder))
