"""Targets that fall silent for a second or more and go on, with few others or none."""

import asyncio
from collections import Counter

import pytest

from standins.site import Site, build_config, build_tenant, run

SILENCE = 2.0  # s, longer than the gateway waits before it looks for another target
DEADLINE = 8000  # ms


def build_patient_config(version=1, **overrides):
    """Return a configuration whose routes wait as long as the callers."""
    config = build_config(version, **overrides)
    for route in config["routes"]:
        route["timeoutMs"] = DEADLINE
    return config


def build_site(apps=1, models=1):
    """Return a site whose streams last long enough to fall silent in the middle."""
    site = Site(apps=apps, models=models, config=build_patient_config())
    for runner in (*site.apps, *site.models):
        runner.work = 0.05
    return site


async def send_until_begun(site, path="/chats/a"):
    """Send a request and return its task and the runner that works on it."""
    sent = asyncio.create_task(site.send_request(path, deadline=DEADLINE))
    runners = (*site.apps, *site.models)
    await site.wait_until(lambda: any(runner.running for runner in runners))
    await asyncio.sleep(0.15)
    return sent, next(runner for runner in runners if runner.running)


def assert_whole(response):
    assert response.status == 200 and response.complete
    assert response.event_ids == [1, 2, 3, 4, 5, 6]


def test_stream_of_the_only_target_goes_on_after_silence():
    async def scenario():
        async with build_site() as site:
            sent, runner = await send_until_begun(site)
            runner.fall_silent(SILENCE)
            assert_whole(await sent)
            assert len(runner.requests) == 1

    run(scenario())


@pytest.mark.parametrize("path", ["/calls/a", "/chats/a"])
def test_silence_before_the_response_of_the_only_target_is_no_failure(path):
    async def scenario():
        async with build_site() as site:
            for runner in (*site.apps, *site.models):
                runner.fall_silent(SILENCE)
            response = await site.send_request(path, deadline=DEADLINE)
            assert response.status == 200 and response.complete

    run(scenario())


@pytest.mark.parametrize("other", ["rejected", "lost", "half-head", "down", "hang", "draining"])
def test_stream_outlives_silence_though_the_other_target_does_not_serve(other):
    async def scenario():
        async with build_site(models=2) as site:
            sent, runner = await send_until_begun(site)
            second = next(model for model in site.models if model is not runner)
            match other:
                case "down":
                    second.crash()
                case "draining":
                    second.register("draining")
                    await asyncio.sleep(0.2)
                case _:
                    second.faults[other] = 9
            runner.fall_silent(SILENCE)
            response = await sent
            if other == "hang":
                # The stream has moved; a target that never responds breaks it off.
                assert response.event_ids == sorted(set(response.event_ids))
            else:
                assert_whole(response)

    run(scenario())


@pytest.mark.parametrize("change", ["key-removed", "pool-full", "unchanged"])
def test_stream_outlives_silence_beside_a_change_of_the_configuration(change):
    async def scenario():
        async with build_site(models=2) as site:
            sent, runner = await send_until_begun(site)
            second = next(model for model in site.models if model is not runner)
            match change:
                case "key-removed":
                    tenants = [build_tenant("cajas"), build_tenant("herd", "key-herd")]
                    config = build_patient_config(2, tenants=tenants)
                    site.store.put("keyed.op", "config", config)
                case "pool-full":
                    site.store.put("keyed.op", "config", build_patient_config(2))
                    second.work = 1.0
                    for _ in range(second.slots):
                        asyncio.create_task(site.send_request("/chats/b", deadline=DEADLINE))
                case "unchanged":
                    site.store.put("keyed.op", "config", build_patient_config(2))
                    site.store.put("keyed.servers", second.id, None)
            runner.fall_silent(SILENCE)
            assert_whole(await sent)

    run(scenario())


def test_stream_of_a_target_that_stays_silent_moves_to_another():
    async def scenario():
        async with build_site(models=2) as site:
            sent, runner = await send_until_begun(site)
            runner.fall_silent(3600)
            assert_whole(await sent)
            await site.wait_until(lambda: not runner.connections)
            requests = [request for model in site.models for request in model.executed_requests]
            assert len(requests) == 2

    run(scenario())


def test_request_whose_silent_targets_answer_together_goes_to_no_third():
    """Two answers in one turn of the event loop were both dropped."""

    async def scenario():
        async with build_site(apps=4) as site:
            for runner in site.apps:
                runner.work, runner.slots = 0.03, 16
            sends = [
                asyncio.create_task(site.send_request("/calls/a", deadline=DEADLINE))
                for _ in range(24)
            ]
            await asyncio.sleep(0.01)
            for runner in site.apps:
                runner.fall_silent(0.5)
            responses = await asyncio.gather(*sends)
            assert {response.status for response in responses} == {200}
            runs = Counter(
                request.attempt_id for runner in site.apps for request in runner.executed_requests
            )
            assert max(runs.values()) == 2

    run(scenario())
