"""Streams that another target must continue, whatever their age."""

import asyncio

import pytest

from celeryrun.gateway import _relay
from standins.site import Site, build_config, run

DEADLINE = 9000  # ms
LONG_WORK = 0.8  # s for an event; three of them take longer than callers wait for the next one


def build_site(models=2, max_attempts=2):
    """Return a site whose streams may last long and be sent to several targets."""
    config = build_config()
    for route in config["routes"]:
        route["timeoutMs"] = DEADLINE
        if route["pathPrefix"] == "/chats/":
            route["maxAttempts"] = max_attempts
    return Site(apps=1, models=models, config=config)


async def send_until_begun(site):
    """Send a request and return its task and the runner that works on it."""
    sent = asyncio.create_task(site.send_request("/chats/a", deadline=DEADLINE))
    await site.wait_until(lambda: any(model.running for model in site.models))
    return sent, next(model for model in site.models if model.running)


def assert_whole(response):
    assert response.status == 200 and response.complete
    assert response.event_ids == [1, 2, 3, 4, 5, 6]


@pytest.mark.parametrize("end", ["breaks-off", "silent"])
def test_stream_moves_to_another_target_though_it_has_lasted_long(end):
    async def scenario():
        async with build_site() as site:
            for model in site.models:
                model.work = LONG_WORK
            sent, runner = await send_until_begun(site)
            for model in site.models:
                if model is not runner:
                    model.work = 0.02
            await asyncio.sleep(3.2 * LONG_WORK)
            if end == "silent":
                runner.fall_silent(3600)
            else:
                for connection in list(runner.connections):
                    connection.abort()
            assert_whole(await sent)

    run(scenario())


def test_rejection_does_not_end_a_stream_that_a_third_target_may_continue():
    async def scenario():
        async with build_site(models=3, max_attempts=3) as site:
            for model in site.models:
                model.work = 0.1
            sent, runner = await send_until_begun(site)
            others = [model for model in site.models if model is not runner]
            rejections = 1

            def reject_once(runner, consume):
                def consume_fault(fault):
                    nonlocal rejections
                    if fault == "rejected" and rejections:
                        rejections -= 1
                        return True
                    return consume(fault)

                runner._consume_fault = consume_fault

            for other in others:
                reject_once(other, other._consume_fault)
            await asyncio.sleep(0.25)
            for connection in list(runner.connections):
                connection.abort()
            assert_whole(await sent)
            assert not rejections

    run(scenario())


def test_silent_target_is_taken_up_again_though_the_other_one_is_slow_to_be_found_down(monkeypatch):
    async def find_down(host, port, timeout):
        await asyncio.sleep(timeout)
        return False

    monkeypatch.setattr(_relay, "accepts_connections", find_down)

    async def scenario():
        async with build_site() as site:
            for model in site.models:
                model.work = 0.1
            sent, runner = await send_until_begun(site)
            second = next(model for model in site.models if model is not runner)
            second.work = 0.15
            second.faults["lost"] = 9
            await asyncio.sleep(0.15)
            runner.fall_silent(2.0)
            assert_whole(await sent)
            assert len(second.requests) == 1

    run(scenario())


def test_target_that_goes_on_soon_after_its_stream_has_moved_is_kept():
    """The other target hangs, and the silent one goes on 0.15 s after the request was moved."""

    async def scenario():
        async with build_site() as site:
            for model in site.models:
                model.work = 0.1
            sent, runner = await send_until_begun(site)
            second = next(model for model in site.models if model is not runner)
            second.faults["hang"] = 9
            await asyncio.sleep(0.05)
            runner.fall_silent(1.3)
            assert_whole(await sent)

    run(scenario())


def test_request_waits_for_the_only_target_that_took_no_connection_for_a_moment():
    async def scenario():
        async with build_site() as site:
            site.apps[0].stop()
            sent = asyncio.create_task(site.send_request("/calls/a", deadline=DEADLINE))
            await site.wait_until(lambda: site.events("unreachable"))
            await site.apps[0].start()
            response = await sent
            assert response.status == 200 and response.complete

    run(scenario())
