"""Grants that answer a slot request of a former process of the node, or name a wrong target."""

from celeryrun.gateway._client import SchedulerClient
from celeryrun.scheduling import SlotRequest
from standins.site import Site, run


def test_processes_of_one_node_share_no_request_ids(monkeypatch):
    """A grant for a request of a killed process was taken for one of the process after it."""
    sent_ids = []
    send = SchedulerClient._send

    def record(client, scheduler, message):
        if isinstance(message, SlotRequest):
            sent_ids.append(message.id)
        send(client, scheduler, message)

    monkeypatch.setattr(SchedulerClient, "_send", record)

    async def scenario():
        async with Site() as site:
            for _ in range(3):
                assert (await site.send_request("/calls/a")).status == 200
            site.gateways.pop().kernel.stop()
            await site.add_gateway("node-0", first_start="no")
            await site.wait_until(site.gateways[0].is_ready)
            for _ in range(3):
                assert (await site.send_request("/calls/a")).status == 200
        assert len(set(sent_ids)) == len(sent_ids) == 6

    run(scenario())


def test_request_is_not_sent_to_a_granted_target_of_another_pool(monkeypatch):
    """Whatever the grant says, a target that the route does not name must not run a request."""
    acquire = SchedulerClient.acquire
    pools = ["model"]

    async def misdirect(client, slot_request):
        slot_request.pool = pools.pop() if pools else slot_request.pool
        return await acquire(client, slot_request)

    monkeypatch.setattr(SchedulerClient, "acquire", misdirect)

    async def scenario():
        async with Site() as site:
            response = await site.send_request("/bookings/a")
            assert response.status == 200
            assert not any(model.requests for model in site.models)

    run(scenario())
