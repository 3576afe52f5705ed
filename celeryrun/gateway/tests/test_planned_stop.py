"""Planned stop: each request that was read gets its response or a true refusal, flushed in time."""

import asyncio
import re
import signal
import sys

import pytest

from celeryrun.gateway.tests.sites import run_each
from celeryrun.kernel import now
from standins.ports import lease_ports
from standins.site import Site, build_config, format_settings, read_response, run
from standins.store import HOST

GRACE = 4.0  # s from the stop signal to the kill
WORK = 1.5  # s of a target on one request
INTERVAL = 1 / 6  # s between two requests
PATHS = ["/bookings/a", "/calls/a", "/drafts/a", "/chats/a"]


def build_site(gateways=1, **options):
    """Return a site whose routes wait long and whose two targets of a pool have one slot each."""
    config = build_config()
    for route in config["routes"]:
        route |= {"timeoutMs": 8000, "targetLatencyMs": 5000, "gapAimMs": 2000}
    site = Site(gateways, config=config, bounds=f"stop_grace = {GRACE}s", events=3, **options)
    for runner in site.apps:
        runner.work, runner.slots = WORK, 1
    for runner in site.models:
        runner.work, runner.slots = WORK / 3, 1
    return site


async def stop_gateway(site):
    """Stop the gateway as after a signal, and return the seconds that this took."""
    began = now()
    await site.gateways[0].drain()
    site.gateways[0].kernel.stop()
    await asyncio.sleep(0)
    return now() - began


async def send_at(site, delay, path, responses, **options):
    """Send a request after a delay and record its response, unless no connection was made."""
    await asyncio.sleep(delay)
    data = site.format_request(path, deadline=8000, **options)
    attempt_id = f"a{site.attempt_count}"
    try:
        reader, writer = await site.connect()
    except OSError:
        return
    writer.write(data)
    responses[attempt_id] = await read_response(reader)
    writer.close()


def count_answers(site, responses):
    """Check that each response is whole and true; return the numbers of responses by status."""
    executed = [
        request.attempt_id
        for runner in (*site.apps, *site.models)
        for request in runner.executed_requests
    ]
    counts = {}
    for attempt_id, response in responses.items():
        assert response.complete, (attempt_id, response)
        counts[response.status] = counts.get(response.status, 0) + 1
        match response.status:
            case 200:
                assert attempt_id in executed
            case 503:
                assert attempt_id not in executed
                assert 0 < float(response.headers["retry-after"]) <= 0.5
            case status:
                assert status in (502, 504) and attempt_id in executed
    return counts


def test_requests_before_and_during_a_stop_are_answered_or_refused():
    async def scenario(path):
        async with build_site() as site:
            responses = {}
            sends = [
                asyncio.create_task(send_at(site, number * INTERVAL, path, responses))
                for number in range(28)
            ]
            await asyncio.sleep(1.0)
            # What is learnt of a route's duration before the stop need not be there.
            assert await stop_gateway(site) < GRACE
            await asyncio.gather(*sends)
            counts = count_answers(site, responses)
            # Each of two targets has time for two requests, one after the other, and for no third.
            # A call that may be repeated takes two slots if its first target seems silent.
            assert counts.keys() == {200, 503}
            assert counts[200] >= (2 if path == "/calls/a" else 4) and counts[503] >= 6

    run_each(scenario, PATHS)


def test_request_that_does_not_fit_into_the_rest_is_refused_at_once():
    async def scenario(path):
        async with build_site() as site:
            responses = {}
            await send_at(site, 0.0, path, responses)
            stop = asyncio.create_task(stop_gateway(site))
            await asyncio.sleep(1.9)
            assert not any(runner.running for runner in (*site.apps, *site.models))
            began = now()
            await send_at(site, 0.0, path, responses)
            assert now() - began < 0.3
            assert count_answers(site, responses) == {200: 1, 503: 1}
            assert (await stop) < GRACE

    run_each(scenario, PATHS)


def test_outcome_of_a_target_without_response_is_unknown_and_told_before_the_end():
    async def scenario(path):
        async with build_site() as site:
            for runner in (*site.apps, *site.models):
                runner.faults["hang"] = 9
            responses = {}
            send = asyncio.create_task(send_at(site, 0.0, path, responses))
            await asyncio.sleep(0.3)
            began = now()
            stop = asyncio.create_task(stop_gateway(site))
            await send
            assert GRACE - 1.5 < now() - began < GRACE
            assert (await stop) < GRACE
            assert set(count_answers(site, responses)) <= {502, 504}

    run_each(scenario, ["/bookings/a", "/calls/a", "/drafts/a"])


def test_stream_that_has_begun_is_broken_off_only_at_the_end():
    async def scenario(path):
        async with build_site(models=1) as site:
            site.models[0].events, site.models[0].work = 60, 0.1
            reader, writer = await site.connect()
            writer.write(site.format_request(path, deadline=8000))
            await reader.read(1)
            began = now()
            stop = asyncio.create_task(stop_gateway(site))
            body = b""
            try:
                while data := await reader.read(65536):
                    body += data
                    last = now()
            except ConnectionResetError:
                pass
            await stop
            assert GRACE - 0.7 < last - began < GRACE
            assert not body.endswith(b"0\r\n\r\n")

    run_each(scenario, ["/chats/a", "/drafts/a"])


@pytest.mark.parametrize(
    "path, deadline, status",
    [("/drafts/a", 8000, 503), ("/chats/a", 8000, 503), ("/calls/a", 900, 200)],
)
def test_late_request_on_a_kept_connection_is_refused_unless_it_ends_in_time(
    path, deadline, status
):
    """A stream that lasted longer than its hint was cut at the exit."""

    async def scenario():
        async with build_site(apps=1, models=1) as site:
            site.models[0].events, site.models[0].work = 25, 0.1
            site.apps[0].work = 0.1
            reader, writer = await site.connect()
            hints = {"Celeryrun_Token_Usage": "100,125", "Celeryrun_Length_Hint": "125"}
            writer.write(site.format_request("/drafts/a", deadline=8000, **hints))
            await asyncio.sleep(0.3)
            stop = asyncio.create_task(stop_gateway(site))
            first = await read_response(reader)
            assert first.complete and first.headers["connection"] == "keep-alive"
            hints["Celeryrun_Length_Hint"] = "30"
            writer.write(site.format_request(path, deadline=deadline, **hints))
            response = await read_response(reader)
            writer.close()
            await stop
            assert (response.status, response.complete) == (status, True)
            executed = site.models[0].executed_requests + site.apps[0].executed_requests
            assert len(executed) == (2 if status == 200 else 1)

    run(scenario())


def test_request_that_is_still_being_received_at_the_end_is_refused():
    async def scenario(part):
        async with build_site() as site:
            reader, writer = await site.connect()
            data = site.format_request("/bookings/a", body=b"x" * 60)
            writer.write(data[:40] if part == "head" else data[:-10])
            await asyncio.sleep(0.05)
            stop = asyncio.create_task(stop_gateway(site))
            response = await read_response(reader)
            assert response.complete and response.status in (408, 503)
            assert (await stop) < GRACE
            assert not site.apps[0].requests and not site.apps[1].requests

    run_each(scenario, ["head", "body"])


def test_body_that_is_received_during_the_stop_is_served():
    async def scenario():
        async with build_site() as site:
            reader, writer = await site.connect()
            data = site.format_request("/bookings/a", deadline=8000, body=b"x" * 60)
            writer.write(data[:-10])
            await asyncio.sleep(0.05)
            stop = asyncio.create_task(stop_gateway(site))
            await asyncio.sleep(1.0)
            writer.write(data[-10:])
            assert (await read_response(reader)).status == 200
            await stop

    run(scenario())


def test_pipelined_requests_are_all_answered():
    async def scenario(path):
        async with build_site() as site:
            reader, writer = await site.connect()
            writer.write(b"".join(site.format_request(path, deadline=8000) for _ in range(4)))
            await asyncio.sleep(0.3)
            stop = asyncio.create_task(stop_gateway(site))
            data = b""
            while received := await reader.read(65536):
                data += received
            await stop
            statuses = re.findall(rb"HTTP/1\.1 (\d{3}) ", data)
            assert len(statuses) == 4 and set(statuses) == {b"200", b"503"}
            executed = sum(len(runner.executed_requests) for runner in (*site.apps, *site.models))
            assert executed == statuses.count(b"200")

    run_each(scenario, ["/bookings/a", "/chats/a"])


def test_signal_from_outside_ends_the_process_with_all_responses_sent(tmp_path):
    async def scenario():
        async with build_site(gateways=0) as site:
            ports = lease_ports(4)
            path = tmp_path / "node.ini"
            path.write_text(format_settings("node-0", ports, site.store.port, site.bounds))
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "celeryrun", "gateway", str(path), stdout=-3
            )
            try:
                site.connect = lambda: asyncio.open_connection(HOST, ports[0])
                await wait_until_served(site)
                responses = {}
                sends = [
                    asyncio.create_task(
                        send_at(site, number * INTERVAL, PATHS[number % 4], responses)
                    )
                    for number in range(28)
                ]
                await asyncio.sleep(1.0)
                began = now()
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0
                assert now() - began < GRACE
                await asyncio.gather(*sends)
                counts = count_answers(site, responses)
                assert counts.keys() <= {200, 503} and counts[200] >= 6
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    run(scenario())


async def wait_until_served(site, seconds=20.0):
    """Wait until the gateway's process answers."""
    async with asyncio.timeout(seconds):
        while True:
            responses = {}
            await send_at(site, 0.1, "/bookings/a", responses)
            if any(response.status == 200 for response in responses.values()):
                return


def test_request_of_a_caller_that_connects_at_the_end_of_the_listener_is_answered():
    async def scenario():
        async with Site(apps=1) as site:
            callers = site.gateways[0].kernel.find("callers")
            reader, writer = await site.connect()
            await site.wait_until(lambda: callers.connections)
            callers.close_idle()
            await asyncio.sleep(0.05)
            callers.close_idle()
            writer.write(site.format_request("/calls/a"))
            response = await read_response(reader)
            assert response.status == 200
            await asyncio.sleep(0.3)
            callers.close_idle()
            await site.wait_until(lambda: not callers.connections)
            writer.close()

    run(scenario())
