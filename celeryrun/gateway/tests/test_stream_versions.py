"""Streams that break or fall silent while targets of two versions serve in one pool."""

import asyncio
import time
from dataclasses import replace

import pytest

from celeryrun.gateway.tests.callers import (
    PAUSE,
    StreamCaller,
    begin_streams,
    build_mixed_site,
    join_gateways,
    restart_gateways,
    resume_streams,
    stop_gateway,
)
from celeryrun.kernel import now
from standins.ports import lease_ports
from standins.site import run

STREAMS = 12
LONG_PAUSE = 0.08  # s between two events of streams that are still in progress at a second crash


def assert_one_version(callers):
    assert [caller.versions for caller in callers if len(caller.versions) > 1] == []
    for caller in callers:
        assert caller.event_ids == list(range(1, len(caller.event_ids) + 1))


def count_whole(callers):
    return sum(caller.is_whole for caller in callers)


def assert_whole_or_refused(callers):
    """Assert that what did not go on was refused as not run."""
    for caller in callers:
        assert caller.is_whole or caller.statuses[-1] == 503


def test_response_goes_on_at_the_version_that_began_it():
    async def scenario():
        async with build_mixed_site() as site:
            await join_gateways(site)
            for model in site.models:
                model.faults["cut"] = 4
            callers = [StreamCaller(site) for _ in range(STREAMS)]
            await asyncio.gather(*(caller.take(n % 3) for n, caller in enumerate(callers)))
            assert_one_version(callers)
            assert count_whole(callers) >= STREAMS // 2

    run(scenario())


def test_caller_goes_on_at_another_gateway_at_the_version_that_began():
    async def scenario():
        async with build_mixed_site() as site:
            await join_gateways(site)
            callers = await begin_streams(site, STREAMS, gateway=0)
            await resume_streams(callers, gateway=1)
            assert_one_version(callers)
            assert count_whole(callers) == STREAMS

    run(scenario())


def test_stream_that_breaks_twice_names_its_first_attempt():
    async def scenario():
        async with build_mixed_site() as site:
            await join_gateways(site)
            callers = await begin_streams(site, STREAMS, gateway=0)
            await resume_streams(callers, gateway=1, events=4)
            await resume_streams(callers, gateway=2)
            assert_one_version(callers)
            assert count_whole(callers) == STREAMS

    run(scenario())


@pytest.mark.parametrize("fault", ["lost", "hang", "half-head"])
def test_target_that_brought_no_event_binds_its_stream_to_no_version(fault):
    async def scenario():
        async with build_mixed_site(versions=("v1", "v2")) as site:
            await join_gateways(site)
            site.models[0].faults[fault] = 2
            callers = [StreamCaller(site) for _ in range(4)]
            await asyncio.gather(*(caller.take() for caller in callers))
            assert count_whole(callers) == 4

    run(scenario())


@pytest.mark.parametrize("stopped", ["scheduler", "serving", "both"])
def test_streams_go_on_after_the_end_of_gateways_that_knew(stopped):
    async def scenario():
        async with build_mixed_site() as site:
            scheduler = await join_gateways(site)
            serving, remaining = (n for n in range(3) if n != scheduler)
            callers = await begin_streams(site, STREAMS, gateway=serving)
            await asyncio.sleep(0.3)
            if stopped in ("serving", "both"):
                stop_gateway(site, serving)
            if stopped in ("scheduler", "both"):
                stop_gateway(site, scheduler)
            await resume_streams(callers, gateway=remaining)
            assert_one_version(callers)
            assert count_whole(callers) == STREAMS

    run(scenario())


def test_streams_of_ended_gateways_go_on_at_a_restarted_one():
    async def scenario():
        async with build_mixed_site() as site:
            scheduler = await join_gateways(site)
            serving, other = (n for n in range(3) if n != scheduler)
            callers = await begin_streams(site, STREAMS, gateway=serving)
            await asyncio.sleep(0.3)
            stop_gateway(site, serving)
            restarted = await site.add_gateway("node-new", first_start="no")
            await site.wait_until(restarted.is_ready)
            await site.wait_until(
                lambda: any(line["peer"] == "node-new" for line in site.events("node-joined"))
            )
            await asyncio.sleep(0.3)
            stop_gateway(site, scheduler)
            await resume_streams(callers, gateway=3)
            assert_one_version(callers)
            assert count_whole(callers) == STREAMS

    run(scenario())


def test_streams_whose_origins_are_stored_outlive_all_gateways():
    """No stream went on after all gateways had been killed while two versions served."""

    async def scenario():
        async with build_mixed_site() as site:
            await join_gateways(site)
            callers = await begin_streams(site, STREAMS)
            await asyncio.sleep(2.5)
            await restart_gateways(site)
            await resume_streams(callers, gateway=2)
            assert_one_version(callers)
            assert count_whole(callers) == STREAMS

    run(scenario())


def test_nothing_goes_on_where_nobody_knows_while_two_versions_serve(monkeypatch):
    """Streams that no target and no record can tell the version of are refused as not run."""
    monkeypatch.setattr("celeryrun.gateway._origin_records.WRITE_INTERVAL", 60.0)

    async def scenario():
        async with build_mixed_site() as site:
            await join_gateways(site)
            callers = await begin_streams(site, STREAMS)
            for number in range(3):
                stop_gateway(site, number)
            restarted = await site.add_gateway("node-new", first_start="no")
            await site.wait_until(restarted.is_ready)
            executed = sum(len(model.executed_requests) for model in site.models)
            await resume_streams(callers, gateway=3)
            assert {caller.statuses[-1] for caller in callers} == {503}
            assert sum(len(model.executed_requests) for model in site.models) == executed
            assert {line["kind"] for line in site.events("refused")} == {"stream-version"}
            assert await StreamCaller(site).take(3) == 200

    run(scenario())


def test_streams_go_on_at_restarted_gateways_while_one_version_serves():
    async def scenario():
        async with build_mixed_site(versions=("v1", "v1")) as site:
            await join_gateways(site)
            callers = await begin_streams(site, STREAMS)
            await restart_gateways(site)
            await resume_streams(callers, gateway=2)
            assert count_whole(callers) == STREAMS

    run(scenario())


def test_version_that_left_before_all_gateways_restarted_is_remembered():
    """Streams of a version whose last target had just left the list went on at another one."""

    async def scenario():
        site = build_mixed_site(versions=("v1", "v1", "v2"))
        for model in site.models:
            model._born = int((time.time() - 100.0) * 1000)
        async with site:
            await join_gateways(site)
            callers = await begin_streams(site, STREAMS)
            assert {"v1", "v2"} == set.union(*(caller.versions for caller in callers))
            site.models[-1].register(None)
            await site.wait_until(lambda: len(site.events("target-gone")) == 3)
            await restart_gateways(site)
            await resume_streams(callers, gateway=2)
            assert_one_version(callers)
            assert_whole_or_refused(callers)

    run(scenario())


def test_version_that_is_recorded_in_time_outlives_all_gateways():
    """Streams went on nowhere after a restart of all gateways, as a target was young."""

    async def scenario():
        site = build_mixed_site(versions=("v1", "v1"))
        for model in site.models:
            model._born = int(time.time() * 1000)
        async with site:
            await join_gateways(site)
            callers = await begin_streams(site, STREAMS)
            await site.wait_until(lambda: site.events("version-stored"))
            await restart_gateways(site)
            await resume_streams(callers, gateway=2)
            assert_one_version(callers)
            assert count_whole(callers) == STREAMS

    run(scenario())


def test_stream_without_the_name_of_its_first_attempt_does_not_go_on():
    async def scenario():
        async with build_mixed_site() as site:
            await join_gateways(site)
            (caller,) = await begin_streams(site, 1)
            assert await caller.take(1, Last_Event_Id="4", Resumes="") == 503
            assert await caller.take(1) == 200
            assert caller.is_whole

    run(scenario())


def test_streams_of_a_version_that_a_release_has_replaced_end():
    async def scenario():
        async with build_mixed_site(versions=("v1", "v1")) as site:
            await join_gateways(site)
            callers = [StreamCaller(site) for _ in range(STREAMS)]
            begun = [asyncio.create_task(caller.take(n % 3)) for n, caller in enumerate(callers)]
            await asyncio.sleep(0.15)
            for model in site.models:
                await model.restart("v2")
            await asyncio.gather(*begun)
            await resume_streams([c for c in callers if not c.is_whole], gateway=1)
            assert_one_version(callers)

    run(scenario())


async def return_at_another_version(site, down, streams_meanwhile):
    """Resume streams after a target returned under its id; return their callers."""
    callers = await begin_streams(site, STREAMS)
    restarting = asyncio.create_task(site.models[0].restart("v2", down))
    new = []
    for number in range(streams_meanwhile):
        new.append(asyncio.create_task(StreamCaller(site).take(number % 3)))
        await asyncio.sleep(down / streams_meanwhile)
    await restarting
    await resume_streams(callers, gateway=2)
    for caller in callers:
        if not caller.is_whole and caller.statuses[-1] == 503:
            await caller.take(1)
    await asyncio.gather(*new)
    return callers


def test_target_that_returns_under_its_id_at_another_version_takes_no_earlier_stream():
    async def scenario():
        async with build_mixed_site(versions=("v1", "v1", "v2")) as site:
            await join_gateways(site)
            callers = await return_at_another_version(site, 0.6, streams_meanwhile=12)
            assert_one_version(callers)
            assert count_whole(callers) >= STREAMS // 2

    run(scenario())


def test_target_that_returns_unnoticed_at_another_version_takes_no_earlier_stream():
    async def scenario():
        async with build_mixed_site(versions=("v1", "v1", "v2")) as site:
            await join_gateways(site)
            callers = await return_at_another_version(site, 0.0, streams_meanwhile=0)
            assert_one_version(callers)

    run(scenario())


def test_response_goes_on_after_more_time_than_its_caller_waits_for_an_event():
    async def scenario():
        async with build_mixed_site(versions=("v1", "v1"), gateways=1) as site:
            for model in site.models:
                model.work = 0.2
            caller = StreamCaller(site)
            begun = asyncio.create_task(caller.take())
            await asyncio.sleep(2.5)
            next(model for model in site.models if model.running).faults["cut"] = 1
            await begun
            assert caller.is_whole

    run(scenario())


@pytest.mark.parametrize("versions", [("v1", "v1", "v2", "v2"), ("v1", "v2")])
def test_stream_of_a_silent_target_moves_to_no_other_version(versions):
    async def scenario():
        async with build_mixed_site(versions=versions) as site:
            await join_gateways(site)
            callers = [StreamCaller(site) for _ in range(STREAMS)]
            begun = [asyncio.create_task(caller.take(n % 3)) for n, caller in enumerate(callers)]
            await asyncio.sleep(0.15)
            for model in site.models:
                if model.version == "v1":
                    model.fall_silent(1.5)
            await asyncio.gather(*begun)
            assert_one_version(callers)
            assert count_whole(callers) == STREAMS

    run(scenario())


def test_streams_of_a_single_version_go_on_while_the_store_is_down():
    async def scenario():
        async with build_mixed_site(versions=("v1", "v1")) as site:
            await join_gateways(site)
            site.store.faults.add("down")
            await site.wait_until(lambda: len(site.events("store-lost")) >= 2)
            callers = await begin_streams(site, STREAMS, gateway=0)
            await resume_streams(callers, gateway=1)
            assert count_whole(callers) == STREAMS

    run(scenario())


def test_scheduler_that_alone_has_lost_the_store_relies_on_no_old_list():
    """Targets that had come back at another version, as other nodes could read, took streams."""

    async def scenario():
        async with build_mixed_site(versions=("v1", "v1")) as site:
            scheduler = await join_gateways(site)
            kernel = site.gateways[scheduler].kernel
            store, follower = kernel.find("store"), kernel.find("discovery").targets
            address = store.address
            store.address = replace(address, port=lease_ports(1)[0])
            await site.wait_until(lambda: follower.is_store_lost)
            origins = kernel.find("stream-origins")
            for _ in range(30):
                assert origins.list_confirmed_at("model") < now() - 0.05
                await asyncio.sleep(0.1)
            site.store.faults.add("down")
            await site.wait_until(lambda: origins.list_confirmed_at("model") == float("inf"))

    run(scenario())


def test_node_that_is_cut_off_takes_up_only_what_it_knows():
    async def scenario():
        async with build_mixed_site() as site:
            scheduler = await join_gateways(site)
            serving, cut = (n for n in range(3) if n != scheduler)
            callers = await begin_streams(site, STREAMS, gateway=serving)
            own = await begin_streams(site, STREAMS, gateway=cut)
            site.gateways[cut].kernel.find("members").address_by_node.clear()
            for link in list(
                site.gateways[cut].kernel.find("scheduler-client")._links_by_node.values()
            ):
                link.close()
            await resume_streams(callers, gateway=cut)
            await resume_streams(own, gateway=cut)
            assert_one_version(callers + own)
            assert_whole_or_refused(callers)
            assert count_whole(own) == STREAMS

    run(scenario())


def test_streams_of_a_run_that_the_list_does_not_have_go_on_nowhere():
    """Streams of a new run, listed as the former one, went on at the former one's version."""

    async def scenario():
        async with build_mixed_site(("v1",) * 4, gateways=1) as site:
            model = site.models[0]
            model.register = lambda state: None
            for each in site.models:
                each.work = LONG_PAUSE
            callers, tasks = [], []

            async def begin(seconds):
                for _ in range(int(seconds / PAUSE)):
                    callers.append(StreamCaller(site))
                    tasks.append(asyncio.create_task(callers[-1].take()))
                    await asyncio.sleep(PAUSE)

            async def crash_twice():
                await asyncio.sleep(0.5)
                for version in ("v2", None):
                    await model.restart(version, down=0.3)
                    await asyncio.sleep(1.5)

            await asyncio.gather(begin(4.0), crash_twice())
            await asyncio.gather(*tasks)
            assert [request for request in model.executed_requests if request.born > 1]
            assert_one_version(callers)
            assert count_whole(callers) >= len(callers) / 2

    run(scenario())
