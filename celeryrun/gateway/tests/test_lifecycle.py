"""Lifecycle of a gateway: drain, reload, readiness and metrics."""

import asyncio

from standins.site import (
    Site,
    read_answer,
    run,
    settings_text,
)


def test_drain_breaks_no_response():
    async def scenario():
        async with Site(events=60, bounds="stop_grace = 15s") as site:
            gateway = site.gateways[0]
            reader, writer = await site.connect()
            writer.write(site.request("/drafts/a", deadline=5000))
            await reader.read(1)
            ending = asyncio.create_task(gateway.drain())
            await asyncio.sleep(0.05)
            assert not gateway.is_ready()
            late_response = await site.ask("/calls/a")
            assert late_response.status == 200
            assert late_response.headers["connection"] == "close"
            remaining = await reader.read(-1)
            assert remaining.endswith(b"0\r\n\r\n")
            await ending

    run(scenario())


def test_reload_applies_valid_settings_and_ignores_invalid_ones(tmp_path):
    async def scenario():
        async with Site() as site:
            gateway = site.gateways[0]
            bounds = "revocation_lag = 7s\nretry_slack = 0"
            good = settings_text(store=site.store.port, bounds=bounds)
            path = tmp_path / "node.ini"
            gateway._path = str(path)
            path.write_text(good)
            gateway.reload()
            assert gateway.settings.bounds.revocation_lag == 7.0
            path.write_text(good + "\nretry_slack = many")
            gateway.reload()
            assert gateway.settings.bounds.retry_slack == 0
            event_names = [line["event"] for line in site.events()]
            assert event_names.count("reloaded") == 1
            assert event_names.count("reload-failed") == 1
            assert (await site.ask("/calls/a")).status == 200

    run(scenario())


def test_metrics_and_readiness_are_served():
    async def scenario():
        async with Site() as site:
            await site.ask("/calls/a")
            node = site.gateways[0].settings.node
            for address, path, text in (
                (node.metrics_address, "/metrics", b'celeryrun_answers_total{status="200"'),
                (node.readiness_address, "/celeryrun/readiness", b"ready"),
            ):
                reader, writer = await asyncio.open_connection(address.host, address.port)
                writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
                response = await read_answer(reader)
                assert response.status == 200
                assert text in response.body
                writer.close()

    run(scenario())
