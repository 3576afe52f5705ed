"""Permissions that end between a check and the act: keys, targets and deadlines."""

import asyncio

import pytest

from celeryrun.gateway import _relay
from celeryrun.paths import _opener
from standins.site import Site, build_config, build_tenant, run


def suspend_while_connecting(monkeypatch, meanwhile):
    """Let something happen after a connection to a target is made, before the request is sent."""
    connect = _opener.open_exchange

    async def open_exchange(*arguments):
        exchange = await connect(*arguments)
        await meanwhile()
        return exchange

    monkeypatch.setattr(_opener, "open_exchange", open_exchange)


@pytest.mark.parametrize("path", ["/calls/a", "/bookings/a", "/drafts/a"])
def test_key_whose_proof_ran_out_during_a_pause_is_not_used(monkeypatch, path):
    async def scenario():
        async with Site(bounds="revocation_lag = 4s\nconfiguration_lag = 2s") as site:
            configuration = site.gateways[0].kernel.find("discovery").configuration

            async def pause():
                monkeypatch.setattr(type(configuration), "age", lambda self: 5.0)

            suspend_while_connecting(monkeypatch, pause)
            response = await site.send_request(path)
            assert response.status == 503
            assert not any(target.requests for target in (*site.apps, *site.models))

    run(scenario())


def test_key_withdrawn_during_a_pause_is_not_used(monkeypatch):
    async def scenario():
        async with Site(apps=1) as site:
            discovery = site.gateways[0].kernel.find("discovery")

            async def pause():
                site.store.put("keyed.op", "config", build_config(2, tenants=[]))
                await site.wait_until(lambda: discovery.catalog.version == 2)

            suspend_while_connecting(monkeypatch, pause)
            assert (await site.send_request("/bookings/a")).status == 401
            assert not site.apps[0].requests

    run(scenario())


def test_key_given_to_another_workspace_while_a_request_waits_is_refused(monkeypatch):
    """The target would take the request for one of the former workspace."""

    async def scenario():
        async with Site(apps=1) as site:
            discovery = site.gateways[0].kernel.find("discovery")

            async def pause():
                tenants = [build_tenant("herd", "key-cajas")]
                site.store.put("keyed.op", "config", build_config(2, tenants=tenants))
                await site.wait_until(lambda: discovery.catalog.version == 2)

            suspend_while_connecting(monkeypatch, pause)
            assert (await site.send_request("/calls/a")).status == 401
            assert not site.apps[0].requests

    run(scenario())


def test_target_that_leaves_during_a_pause_gets_no_request(monkeypatch):
    async def scenario():
        async with Site(apps=2) as site:
            discovery = site.gateways[0].kernel.find("discovery")
            left = []

            async def pause():
                if left:
                    return
                # Both may be chosen; the first choice leaves.
                grants = site.gateways[0].kernel.find("scheduler-client")._active_grants_by_id
                left.append(next(iter(grants.values())).grant.target)
                next(app for app in site.apps if app.id == left[0]).register("draining")
                await site.wait_until(lambda: not discovery.targets_by_id[left[0]].ready)

            suspend_while_connecting(monkeypatch, pause)
            response = await site.send_request("/bookings/a")
            assert response.status == 200
            assert not next(app for app in site.apps if app.id == left[0]).requests
            (line,) = site.events("withdrawn")
            assert (line["target"], line["sent"]) == (left[0], 0)

    run(scenario())


def test_request_whose_deadline_passed_during_a_pause_is_not_sent(monkeypatch):
    async def scenario():
        async with Site(apps=1) as site:
            now = _relay.now

            async def pause():
                # A suspended process does not see its timers expire until it is resumed.
                monkeypatch.setattr(_relay, "now", lambda: now() + 10.0)
                await asyncio.sleep(0)

            suspend_while_connecting(monkeypatch, pause)
            response = await site.send_request("/bookings/a", deadline=5000)
            assert response.status == 503
            assert not site.apps[0].requests

    run(scenario())


def test_restarted_gateway_uses_no_key_or_target_that_was_withdrawn():
    """It has nothing of before, and refuses until it has read the newest of both."""

    async def scenario():
        async with Site(apps=2) as site:
            tenants = [build_tenant("cajas", "key-new")]
            site.store.put("keyed.op", "config", build_config(2, tenants=tenants))
            site.apps[0].register(None)
            site.store.faults.add("silent")
            site.gateways.pop().kernel.stop()
            restarted = await site.add_gateway("node-0")
            for key in ("key-cajas", "key-new"):
                response = await site.send_request("/calls/a", key=key)
                assert response.status == 503
                assert float(response.headers["retry-after"]) > 0
            assert not restarted.is_ready()
            site.store.faults.clear()
            await site.wait_until(restarted.is_ready)
            assert (await site.send_request("/calls/a", key="key-cajas")).status == 401
            for _ in range(4):
                assert (await site.send_request("/calls/a", key="key-new")).status == 200
            assert not site.apps[0].requests

    run(scenario())
