"""Streams that are moved from a slow target, where they would not end in time."""

import asyncio

import pytest

from standins.site import Site, build_config, run

EVENTS = 60
DEADLINE = 3000  # ms; a slow target makes 30 events in it, a fast one all
SLOW, FAST = 0.1, 0.01  # s for an event
STRIDE = 5  # tokens of an event


def build_site(models=2):
    config = build_config()
    for route in config["routes"]:
        route["timeoutMs"] = DEADLINE
    return Site(apps=0, models=models, config=config, events=EVENTS)


async def send_to_slow_target(site, path, slow=1):
    """Send a long stream; slow down its target, or more of them; return response and runner."""
    hint = f"100,{EVENTS * STRIDE}"
    sent = asyncio.create_task(
        site.send_request(path, deadline=DEADLINE, Celeryrun_Token_Usage=hint)
    )
    await site.wait_until(lambda: any(model.running for model in site.models))
    runner = next(model for model in site.models if model.running)
    for model in (runner, *(other for other in site.models if other is not runner))[:slow]:
        model.work = SLOW
    return await sent, runner


def test_stream_that_is_too_slow_to_end_in_time_moves_to_another_target():
    async def scenario():
        async with build_site() as site:
            for model in site.models:
                model.work = FAST
            response, runner = await send_to_slow_target(site, "/chats/a")
            assert response.complete
            assert response.event_ids == list(range(1, EVENTS + 1))
            await site.wait_until(lambda: not runner.running)
            executed = [request for model in site.models for request in model.executed_requests]
            assert len(executed) == 2
            assert site.events("stream-moved")

    run(scenario())


@pytest.mark.parametrize("path", ["/drafts/a", "/chats/a"])
def test_stream_that_cannot_move_goes_on_at_its_slow_target_to_its_deadline(path):
    """The one route can't be resumed; for the other there is no second target."""

    async def scenario():
        async with build_site(models=1 if path == "/chats/a" else 2) as site:
            response, runner = await send_to_slow_target(site, path)
            assert not response.complete
            assert len(response.event_ids) > 15
            assert response.event_ids == list(range(1, len(response.event_ids) + 1))
            assert sum(len(model.executed_requests) for model in site.models) == 1

    run(scenario())


def test_stream_in_time_stays_at_its_target():
    async def scenario():
        async with build_site() as site:
            for model in site.models:
                model.work = FAST
            response = await site.send_request(
                "/chats/a", deadline=DEADLINE, Celeryrun_Token_Usage=f"100,{EVENTS * STRIDE}"
            )
            assert response.complete
            assert sum(len(model.executed_requests) for model in site.models) == 1

    run(scenario())
