"""Roll-outs of whole deployments: orders, statuses and what runners of both versions get."""

import asyncio
import contextlib
import json

import pytest

from standins.runner import RunnerStandIn
from standins.site import Site, run

BOUNDS = "expose_share = 0.1\nexpose_slack = 50\nrollback_lag = 5s"
KEY = "rollout/app"
DURATION = 6.0  # s


class RolloutSite(Site):
    """Site whose application moves to a second version, under steady calls."""

    def __init__(self, gateways=1, **options):
        super().__init__(gateways, apps=3, models=0, bounds=BOUNDS, **options)
        self.olds, self.news = self.apps, []
        self.calls = None
        self.stopped = ()

    async def start_version(self, version="v2", failing_share=0.0):
        """Start runners of another version beside the others, and the calls."""
        self.news = [
            RunnerStandIn(self.store, f"{version}-{n}", "app", version=version) for n in range(3)
        ]
        for runner in self.news:
            runner.failing_share = failing_share
            await runner.start()
        self.apps = [*self.apps, *self.news]
        self.calls = asyncio.create_task(self._call())

    async def _call(self):
        pending = set()
        while True:
            gateway = next(n for n, known in enumerate(self.gateways) if known not in self.stopped)
            pending.add(asyncio.create_task(self._send(gateway)))
            pending = {task for task in pending if not task.done()}
            await asyncio.sleep(0.008)

    async def _send(self, gateway):
        # The calls of a gateway that stops fail.
        with contextlib.suppress(OSError):
            await self.send_request("/bookings/1", gateway=gateway)

    def order(self, version="v2", duration=DURATION, **changes):
        """Write an order to the store."""
        order = {"service": "app", "to": version, "durationS": duration, **changes}
        self.store.put("keyed.op", KEY, order)

    def status(self):
        """Return the status in the store, None without one."""
        latest = self.store.topics["keyed.status"].latest_by_key.get(KEY)
        return json.loads(latest[0]) if latest is not None else None

    def states(self):
        """Return all states that were ever written, in their order."""
        records = self.store.topics["keyed.status"].records
        start = bytes([len(KEY)]) + KEY.encode()
        return [
            json.loads(record[len(start) :])["state"]
            for record in records
            if record.startswith(start) and len(record) > len(start)
        ]

    async def reach(self, state, seconds=DURATION + 3.0):
        """Wait for a state of the status in the store."""
        await self.wait_until(lambda: (self.status() or {}).get("state") == state, seconds)

    async def __aexit__(self, *details):
        if self.calls is not None:
            self.calls.cancel()
        await super().__aexit__(*details)


def counts(runners):
    """Return the number of requests that runners have got."""
    return sum(len(runner.requests) for runner in runners)


def test_good_version_is_completed_and_then_gets_all_requests():
    async def scenario():
        async with RolloutSite() as site:
            site.order()
            await site.start_version()
            await site.reach("running")
            assert site.status()["to"] == "v2"
            await site.reach("completed", DURATION)
            before = counts(site.olds)
            await asyncio.sleep(0.5)
            assert counts(site.olds) == before
            assert site.states() == ["running", "completed"]

    run(scenario())


def test_bad_version_is_rolled_back_and_gets_nothing_more():
    async def scenario():
        async with RolloutSite() as site:
            site.order()
            await site.start_version(failing_share=0.34)
            await site.reach("rolled_back", DURATION)
            exposed = counts(site.news)
            assert exposed <= 50
            await asyncio.sleep(1.0)
            assert counts(site.news) == exposed
            assert site.status()["rejected"] == ["v2"]
            [decided] = site.events("rollout-decided")
            assert "failures" in decided["why"]

    run(scenario())


@pytest.mark.parametrize("failing_share", [0.0, 0.34])
def test_another_scheduler_goes_on_when_the_first_stops_halfway(failing_share):
    async def scenario():
        async with RolloutSite(gateways=3) as site:
            site.order()
            await site.start_version()
            await site.reach("running")
            await asyncio.sleep(1.0)
            writer = next(
                gateway for gateway in site.gateways if gateway.kernel.find("rollouts").is_decider()
            )
            for runner in site.news:
                runner.failing_share = failing_share
            site.stopped = (writer,)
            writer.kernel.stop()
            await site.reach("rolled_back" if failing_share else "completed", 10.0)
            assert len(set(site.states()) - {"running"}) == 1

    run(scenario())


def test_version_is_completed_only_once_the_store_is_back():
    async def scenario():
        async with RolloutSite() as site:
            site.order()
            await site.start_version()
            await site.reach("running")
            site.store.faults.add("down")
            served = counts(site.olds) + counts(site.news)
            await asyncio.sleep(DURATION)
            assert site.status()["state"] == "running"
            assert site.events("rollout-not-stored")
            assert counts(site.olds) + counts(site.news) > served + 100
            site.store.faults.clear()
            await site.reach("completed")

    run(scenario())


def test_rolled_back_version_stays_without_requests_after_all_nodes_restart():
    async def scenario():
        async with RolloutSite() as site:
            site.order()
            await site.start_version(failing_share=0.34)
            await site.reach("rolled_back")
            site.stopped = (site.gateways[0],)
            gateway = await site.add_gateway("node-1", "no")
            site.gateways[0].kernel.stop()
            await site.wait_until(gateway.is_ready)
            exposed = counts(site.news)
            await asyncio.sleep(1.0)
            assert counts(site.news) == exposed
            assert site.status()["state"] == "rolled_back"

    run(scenario())


def test_second_order_replaces_the_first():
    async def scenario():
        async with RolloutSite() as site:
            site.order()
            await site.start_version("v2")
            await site.reach("running")
            site.calls.cancel()
            site.order("v3")
            await site.start_version("v3")
            await site.reach("completed")
            assert site.status()["to"] == "v3"
            assert site.status()["rejected"] == ["v2"]

    run(scenario())


def test_withdrawn_order_is_rolled_back():
    async def scenario():
        async with RolloutSite() as site:
            site.order()
            await site.start_version()
            await site.reach("running")
            site.store.put("keyed.op", KEY, None)
            await site.reach("rolled_back", 2.0)

    run(scenario())


def test_order_for_a_version_without_targets_is_rolled_back_at_its_deadline():
    async def scenario():
        async with RolloutSite() as site:
            site.order("v9", duration=1.0)
            await site.reach("rolled_back", 3.0)
            assert (await site.send_request("/calls/1")).status == 200

    run(scenario())


@pytest.mark.parametrize(
    "order",
    [
        b"{",
        {"service": "other", "to": "v2", "durationS": 1},
        {"service": "app", "to": "", "durationS": 1},
        {"service": "app", "to": "v2", "durationS": 0},
    ],
)
def test_malformed_order_changes_nothing(order):
    async def scenario():
        async with RolloutSite() as site:
            site.store.put("keyed.op", KEY, order)
            await site.wait_until(lambda: site.events("rollout-unreadable"))
            assert (await site.send_request("/calls/1")).status == 200
            assert site.status() is None

    run(scenario())


def test_verdict_survives_a_restored_copy_with_its_order():
    async def scenario():
        async with RolloutSite() as site:
            site.order()
            await site.start_version(failing_share=0.34)
            await site.reach("running")
            copied = site.store.take_copy()
            await site.reach("rolled_back")
            exposed = counts(site.news)
            site.store.restore(copied)
            await site.reach("rolled_back", 15.0)
            assert counts(site.news) == exposed

    run(scenario())


def test_versions_serve_side_by_side_without_an_order():
    async def scenario():
        async with RolloutSite() as site:
            for runner in site.olds:
                runner.work = 0.3
            await site.start_version()
            await site.wait_until(lambda: counts(site.news) and counts(site.olds), 5.0)
            assert site.status() is None

    run(scenario())
