"""Callers that stop short of the end of their requests, in greater numbers than descriptors."""

import asyncio

from standins.site import Site, read_response, run

DESCRIPTORS = 280  # 40 callers' connections, and 40 more while each is told that the node is full
UNFINISHED = 120
STALL = 1.2  # s, after which a request without an end may be given up
ORDINARY = 8


def test_unfinished_requests_do_not_keep_ordinary_callers_out():
    """Each new connection was closed without a byte for seconds, while the node was ready."""

    async def scenario():
        async with Site(node=f"descriptors = {DESCRIPTORS}") as site:
            data = site.format_request("/calls/a", body=b"a" * 1000)[:-1]
            writers = []
            for _ in range(UNFINISHED):
                _, writer = await site.connect()
                writer.write(data)
                writers.append(writer)
            await asyncio.sleep(STALL)
            assert site.gateways[0].is_ready()
            responses = await asyncio.gather(
                *(site.send_request("/calls/a") for _ in range(ORDINARY))
            )
            assert [response.status for response in responses] == [200] * ORDINARY
            for writer in writers:
                writer.close()

    run(scenario())


def test_request_that_is_whole_is_not_given_up_for_others():
    async def scenario():
        async with Site(node=f"descriptors = {DESCRIPTORS}") as site:
            site.apps[0].work = site.apps[1].work = 1.5
            reader, writer = await site.connect()
            writer.write(site.format_request("/bookings/a", body=b"a" * 1000))
            await asyncio.sleep(STALL)
            await asyncio.gather(
                *(site.send_request("/bookings/a") for _ in range(UNFINISHED)),
                return_exceptions=True,
            )
            assert (await read_response(reader)).status == 200
            writer.close()

    run(scenario())
