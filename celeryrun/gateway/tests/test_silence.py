"""Wait for a target that may be silent, without a network."""

import asyncio
import time

import pytest

from celeryrun.gateway._silence import SilenceWatch, SuccessorFoundError

TIMEOUT = 0.05  # s


class Search:
    """Search for a successor that ends when the test says so."""

    def __init__(self):
        self.started = 0
        self.cancelled = 0
        self.discarded = 0
        self.result = asyncio.get_running_loop().create_future()

    async def find(self):
        self.started += 1
        try:
            return await asyncio.shield(self.result)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    def discard(self):
        self.discarded += 1


def run(scenario):
    async def start():
        search = Search()
        await scenario(search, SilenceWatch(TIMEOUT, search.find, search.discard))

    asyncio.run(start())


def read_after(seconds, value=b"data"):
    return lambda: asyncio.sleep(seconds, value)


def test_prompt_target_starts_no_search():
    async def scenario(search, watch):
        assert await watch.wait(read_after(0.01)) == b"data"
        assert search.started == 0

    run(scenario)


def test_silent_target_is_read_from_while_the_search_goes_on():
    async def scenario(search, watch):
        assert await watch.wait(read_after(4 * TIMEOUT)) == b"data"
        assert search.started == 1
        watch.record_progress()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert (search.cancelled, search.discarded) == (1, 1)

    run(scenario)


def test_successor_ends_the_wait():
    async def scenario(search, watch):
        asyncio.get_running_loop().call_later(2 * TIMEOUT, search.result.set_result, True)
        with pytest.raises(SuccessorFoundError):
            await watch.wait(read_after(60))

    run(scenario)


def test_without_a_successor_the_wait_goes_on():
    async def scenario(search, watch):
        search.result.set_result(False)
        assert await watch.wait(read_after(3 * TIMEOUT)) == b"data"
        assert await watch.wait(read_after(3 * TIMEOUT)) == b"data"
        assert search.started == 1

    run(scenario)


def test_bytes_without_progress_do_not_end_the_search():
    async def scenario(search, watch):
        for _ in range(10):
            await watch.wait(read_after(TIMEOUT / 4))
        assert (search.started, search.cancelled) == (1, 0)
        search.result.set_result(True)
        with pytest.raises(SuccessorFoundError):
            await watch.wait(read_after(60))

    run(scenario)


def test_data_that_arrived_while_the_event_loop_was_blocked_is_no_silence():
    async def scenario(search, watch):
        loop = asyncio.get_running_loop()
        arrived = loop.create_future()
        loop.call_later(TIMEOUT / 2, arrived.set_result, b"data")
        loop.call_soon(time.sleep, 3 * TIMEOUT)
        search.result.set_result(True)
        assert await watch.wait(lambda: asyncio.shield(arrived)) == b"data"

    run(scenario)


def test_data_that_arrived_while_the_event_loop_was_blocked_starts_no_search():
    async def scenario(search, watch):
        loop = asyncio.get_running_loop()
        arrived = loop.create_future()
        loop.call_later(TIMEOUT / 2, arrived.set_result, b"data")
        loop.call_soon(time.sleep, 3 * TIMEOUT)
        assert await watch.wait(lambda: asyncio.shield(arrived)) == b"data"
        assert search.started == 0

    run(scenario)


def test_coroutine_whose_data_arrived_while_the_event_loop_was_blocked_starts_no_search():
    async def scenario(search, watch):
        loop = asyncio.get_running_loop()
        arrived = loop.create_future()

        async def read():
            return await asyncio.shield(arrived)

        loop.call_later(TIMEOUT / 2, arrived.set_result, b"data")
        loop.call_soon(time.sleep, 3 * TIMEOUT)
        assert await watch.wait(read) == b"data"
        assert search.started == 0

    run(scenario)


def test_search_that_fails_does_not_end_the_wait():
    async def scenario(search, watch):
        search.result.set_exception(RuntimeError("fails by intention"))
        assert await watch.wait(read_after(3 * TIMEOUT)) == b"data"

    run(scenario)


def test_successor_that_is_found_together_with_bytes_without_progress_is_not_lost():
    async def scenario(search, watch):
        loop = asyncio.get_running_loop()
        arrived = loop.create_future()

        def find_and_arrive():
            search.result.set_result(True)
            arrived.set_result(b": wait")

        loop.call_later(2 * TIMEOUT, find_and_arrive)
        assert await watch.wait(lambda: asyncio.shield(arrived)) == b": wait"
        with pytest.raises(SuccessorFoundError):
            await watch.wait(read_after(1.0))

    run(scenario)
