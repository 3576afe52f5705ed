"""Targets that send bytes without end, beside requests to sound ones, at a gateway process."""

import asyncio
import signal
import sys
from dataclasses import dataclass, field

import pytest

from celeryrun.kernel import now
from celeryrun.transport import format_chunk
from standins.ports import lease_ports
from standins.runner import RunnerStandIn, _send_chunked_head
from standins.site import Site, build_config, format_settings, read_response, run
from standins.store import HOST

CALLERS = 12  # of the endless responses
SECONDS = 4.0  # of each flood
OBJECTIVE = 0.4  # s, targetLatencyMs of the sound route
INTERVAL = 0.1  # s between two sound requests
# Each is sent over and over, as fast as the gateway reads it.
FLOODS = {
    "chunks-of-one-byte": b"1\r\nx\r\n" * 10_000,
    "events": format_chunk(b"id: 7\ndata: a\n\n" * 4000),
    "events-in-chunks": format_chunk(b"data: a\n\n") * 5000,
    "comments": format_chunk(b":\n\n" * 20_000),
    "event-without-end": format_chunk(b"data: " + b"a" * 65_000),
}


class FloodingRunner(RunnerStandIn):
    """Runner whose responses have no end."""

    flood = b""

    async def _execute(self, connection, recorded):
        headers = {
            "Celeryrun_Attempt_Id": recorded.attempt_id,
            "Celeryrun_Response_Seal": f"seal-{self.id}",
        }
        _send_chunked_head(connection, headers)
        while True:
            connection.write(self.flood)
            await connection.drain()
            await asyncio.sleep(0)


@dataclass
class Outcome:
    """Seconds that each sound request took, and the flooded connections."""

    seconds: list = field(default_factory=list)
    statuses: set = field(default_factory=set)


async def read_all(port, data):
    """Send a request and drop what comes until the connection ends."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    try:
        while await reader.read(1 << 20):
            pass
    except ConnectionResetError:
        pass
    writer.close()


async def send_sound_requests(site, port, outcome):
    """Send one short request after the other while the floods last."""
    end = now() + SECONDS
    while now() < end:
        began = now()
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(site.format_request("/calls/a"))
        response = await read_response(reader)
        writer.close()
        outcome.statuses.add(response.status)
        outcome.seconds.append(now() - began)
        await asyncio.sleep(INTERVAL)


async def play(site, path, flood):
    """Return the outcome of sound requests at a process that reads floods."""
    ports = lease_ports(4)
    path.write_text(format_settings("node-0", ports, site.store.port, site.bounds))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "celeryrun", "gateway", str(path), stdout=-3
    )
    outcome = Outcome()
    try:
        site.connect = lambda _=0: asyncio.open_connection(HOST, ports[0])
        await wait_until_served(site)
        flooder = FloodingRunner(site.store, "flooder", "model", events=1, slots=CALLERS)
        flooder.flood = flood
        await flooder.start()
        await asyncio.sleep(2.0)
        floods = [
            asyncio.create_task(
                read_all(ports[0], site.format_request("/drafts/a", deadline=int(SECONDS * 1000)))
            )
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(0.2)
        await send_sound_requests(site, ports[0], outcome)
        await asyncio.gather(*floods)
        assert len(flooder.executed_requests) >= CALLERS
        assert process.returncode is None
        flooder.stop()
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()
    return outcome


async def wait_until_served(site):
    """Wait until the gateway's process answers."""
    async with asyncio.timeout(20.0):
        while True:
            try:
                response = await site.send_bytes(site.format_request("/calls/a"))
            except OSError:
                response = None
            if response is not None and response.status == 200:
                return
            await asyncio.sleep(0.1)


@pytest.mark.parametrize("flood", FLOODS)
def test_sound_requests_do_not_wait_for_responses_without_end(flood, tmp_path):
    """Responses in tiny pieces held the event loop for up to 3 s."""

    async def scenario():
        config = build_config()
        for route in config["routes"]:
            route["timeoutMs"] = int(SECONDS * 1000)
        async with Site(gateways=0, apps=2, models=0, config=config) as site:
            outcome = await play(site, tmp_path / "node.ini", FLOODS[flood])
            assert outcome.statuses == {200}
            assert max(outcome.seconds) < OBJECTIVE, sorted(outcome.seconds)[-5:]
            assert len(outcome.seconds) > SECONDS / (INTERVAL + OBJECTIVE)

    run(scenario())
