"""Second attempts at slow requests, on a site with one slow target."""

import asyncio
from collections import Counter
from contextlib import asynccontextmanager

import pytest

from celeryrun.exception import SettingsError
from celeryrun.gateway.tests.callers import DEADLINE
from celeryrun.kernel import now
from celeryrun.settings import parse_gateway_settings
from standins.site import Site, build_config, format_settings, run

SAMPLES = 60  # more than are needed before a request is hedged
RESPONSE_TIME = 0.05  # s, longer than the targets take
SLOW = 1.0  # s for which a target falls silent
RUNNERS = 4


def build_hedged_config(**overrides):
    """Return a configuration whose routes wait as long as the callers."""
    config = build_config()
    for route in config["routes"]:
        route.update({"timeoutMs": DEADLINE} | overrides)
    return config


class HedgedSite(Site):
    """Site whose gateway may hedge requests, with four targets in each pool."""

    def __init__(self, extra_work=0.5, config=None, **options):
        config = config or build_hedged_config()
        bounds = f"[hedging]\nextra_work = {extra_work}" if extra_work is not None else ""
        super().__init__(apps=RUNNERS, models=RUNNERS, config=config, bounds=bounds, **options)

    async def learn(self, path):
        """Let the scheduler know the delay of hedges and have credit for them."""
        await self.send_request(path, deadline=DEADLINE)
        gate = self.gateways[0].kernel.find("scheduler").scheduler.hedge_gate
        route = f"r{path.split('/')[1]}"
        for _ in range(SAMPLES):
            gate.delays.record(route, 0, RESPONSE_TIME)
        gate.budget.record_work(100.0, now())

    async def send_to_slow(self, path, seconds=SLOW, **options):
        """Send a request and let its target fall silent; return its task and the target."""
        runners = (*self.apps, *self.models)
        before = Counter({runner.id: len(runner.requests) for runner in runners})
        for runner in runners:
            runner.work = 0.02
        sent = asyncio.create_task(self.send_request(path, deadline=DEADLINE, **options))
        await self.wait_until(
            lambda: any(len(runner.requests) > before[runner.id] for runner in runners)
        )
        slow = next(runner for runner in runners if len(runner.requests) > before[runner.id])
        slow.fall_silent(seconds)
        return sent, slow

    def runs_of(self, attempt_id):
        """Return the number of targets that a request was sent to."""
        return sum(
            request.attempt_id == attempt_id
            for runner in (*self.apps, *self.models)
            for request in runner.requests
        )

    @property
    def last_id(self):
        """Id of the last request that was sent."""
        return f"a{self.attempt_count}"


@asynccontextmanager
async def learned_site(path, **options):
    async with HedgedSite(**options) as site:
        await site.learn(path)
        yield site


def assert_whole(response, path, attempt_id):
    assert response.status == 200 and response.complete
    if path.startswith("/calls/"):
        assert response.body.decode().partition(":")[2] == attempt_id
    else:
        assert response.event_ids == [1, 2, 3, 4, 5, 6]


@pytest.mark.parametrize("path", ["/calls/a", "/chats/a"])
def test_request_of_a_slow_target_is_won_by_another_and_ended_there(path):
    async def scenario():
        async with learned_site(path) as site:
            sent, slow = await site.send_to_slow(path)
            assert_whole(await sent, path, site.last_id)
            assert site.runs_of(site.last_id) == 2
            won = [event for event in site.events("hedge-won") if event["request"] == site.last_id]
            assert [event["loser"] for event in won] == [slow.id]
            assert won[0]["seconds"] < 0.5 * SLOW
            # The connection is closed, so that the target stops its work.
            await site.wait_until(lambda: not slow.running, SLOW / 2)
            scheduler = site.gateways[0].kernel.find("scheduler").scheduler
            load = scheduler.loads_by_target[slow.id]
            assert not load.active_grants_by_id and load.failure_rate == 0

    run(scenario())


@pytest.mark.parametrize("extra_work", [None, 0])
@pytest.mark.parametrize("path", ["/calls/a", "/chats/a"])
def test_no_request_is_hedged_by_default(path, extra_work):
    async def scenario():
        async with learned_site(path, extra_work=extra_work) as site:
            sent, _ = await site.send_to_slow(path, 0.2)
            assert_whole(await sent, path, site.last_id)
            assert not site.events("hedged")

    run(scenario())


@pytest.mark.parametrize("path", ["/bookings/a", "/drafts/a"])
def test_request_that_may_run_once_only_is_not_hedged(path):
    async def scenario():
        config = build_hedged_config(maxAttempts=4)
        async with learned_site(path, config=config) as site:
            sent, _ = await site.send_to_slow(path)
            response = await sent
            assert response.status == 200 and response.complete
            assert site.runs_of(site.last_id) == 1 and not site.events("hedged")

    run(scenario())


def test_delay_is_learned_from_requests():
    async def scenario():
        async with HedgedSite() as site:
            for _ in range(SAMPLES):
                await site.send_request("/calls/a", deadline=DEADLINE)
            await site.send_request("/bookings/a", deadline=DEADLINE)
            gate = site.gateways[0].kernel.find("scheduler").scheduler.hedge_gate
            assert gate.find_delay("rcalls", 1) > 0
            assert not gate.find_delay("rbookings", 1)

    run(scenario())


def test_request_with_one_attempt_is_not_hedged():
    async def scenario():
        async with learned_site("/calls/a", config=build_hedged_config(maxAttempts=1)) as site:
            sent, _ = await site.send_to_slow("/calls/a")
            assert_whole(await sent, "/calls/a", site.last_id)
            assert site.runs_of(site.last_id) == 1

    run(scenario())


@pytest.mark.parametrize("attempts", [2, 3])
@pytest.mark.parametrize("fault", ["rejected", "error", "lost", "unframed", "foreign", "hang"])
def test_slow_target_serves_where_its_hedge_fails(fault, attempts):
    async def scenario():
        config = build_hedged_config(maxAttempts=attempts)
        async with learned_site("/calls/a", config=config) as site:
            sent, slow = await site.send_to_slow("/calls/a")
            for runner in site.apps:
                if runner is not slow:
                    runner.faults[fault] = 1
            await site.wait_until(lambda: site.runs_of(site.last_id) == 2)
            for runner in site.apps:
                runner.faults["hang"] = 0
            assert_whole(await sent, "/calls/a", site.last_id)
            assert site.runs_of(site.last_id) <= attempts

    run(scenario())


@pytest.mark.parametrize("path", ["/calls/a", "/chats/a"])
def test_hedge_serves_where_the_slow_target_crashes(path):
    async def scenario():
        async with learned_site(path) as site:
            sent, slow = await site.send_to_slow(path)
            for runner in (*site.apps, *site.models):
                if runner is not slow:
                    runner.work = 0.2
            await site.wait_until(lambda: site.runs_of(site.last_id) == 2)
            slow.crash()
            assert_whole(await sent, path, site.last_id)
            assert site.runs_of(site.last_id) == 2

    run(scenario())


def test_outcome_is_unknown_where_both_fail():
    async def scenario():
        async with learned_site("/calls/a") as site:
            sent, _ = await site.send_to_slow("/calls/a", 0.3)
            for runner in site.apps:
                runner.faults["lost"] = 1
            assert (await sent).status == 502
            assert site.runs_of(site.last_id) == 2

    run(scenario())


def test_rejection_after_a_target_that_broke_off_is_no_refusal():
    """The first target may have run the request, which a refusal would deny."""

    async def scenario():
        async with HedgedSite(extra_work=0) as site:
            sent, first = await site.send_to_slow("/calls/a", 0.2)
            first.faults["lost"] = 1
            for runner in site.apps:
                if runner is not first:
                    runner.faults["rejected"] = 1
            assert (await sent).status == 502
            assert site.runs_of(site.last_id) == 2

    run(scenario())


def test_requests_that_wait_for_a_slot_leave_none_for_hedges():
    async def scenario():
        config = build_hedged_config()
        async with learned_site("/calls/a", config=config) as site:
            for runner in site.apps:
                runner.work = 0.3
            count = 2 * sum(runner.slots for runner in site.apps)
            sends = [site.send_request("/calls/a", deadline=DEADLINE) for _ in range(count)]
            responses = await asyncio.gather(*sends)
            assert {response.status for response in responses} == {200}
            # A few start at the end, as slots are free again.
            assert len(site.events("hedged")) < RUNNERS

    run(scenario())


def test_two_targets_that_answer_together_give_one_response():
    async def scenario():
        async with HedgedSite(extra_work=1) as site:
            await site.learn("/chats/a")
            for _ in range(12):
                sent, _ = await site.send_to_slow("/chats/a", 0.05)
                assert_whole(await sent, "/chats/a", site.last_id)
                assert site.runs_of(site.last_id) <= 2

    run(scenario())


@pytest.mark.parametrize("line", ["extra_work = 1.5", "extra_work = -1", "extra_work = x"])
def test_share_of_extra_work_is_checked(line):
    with pytest.raises(SettingsError, match="extra_work"):
        parse_gateway_settings(format_settings(bounds=f"[hedging]\n{line}"))
