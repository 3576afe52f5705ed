"""Calls to the store: pages, records, and calls without a usable response."""

import asyncio

import pytest

from celeryrun.history import Position
from celeryrun.platform import Store, StoreUnavailableError
from celeryrun.settings import Address
from standins.store import HOST, StoreStandIn


def run_with_store(scenario):
    async def run():
        stand_in = StoreStandIn()
        await stand_in.start()
        try:
            await scenario(stand_in, Store(Address(HOST, stand_in.port)))
        finally:
            stand_in.stop()

    asyncio.run(run())


def test_snapshot_is_read_over_several_pages():
    async def scenario(stand_in, store):
        for number in range(1203):
            stand_in.put("keyed.x", f"k{number}", b"%d" % number)
        stand_in.put("keyed.x", "k7", None)
        page = await store.read_snapshot("keyed.x")
        assert len(page.records) == 1202
        assert page.is_snapshot
        assert page.end == Position(1, 1204)

    run_with_store(scenario)


def test_read_returns_changes_and_waits_for_new_ones():
    async def scenario(stand_in, store):
        stand_in.put("keyed.x", "a", b"1")
        page = await store.read("keyed.x", Position(1, 0), 0.0)
        assert [(record.key, record.value) for record in page.records] == [("a", b"1")]
        assert page.at_end
        asyncio.get_running_loop().call_later(0.05, stand_in.put, "keyed.x", "a", None)
        page = await store.read("keyed.x", page.end, 2.0)
        assert [(record.key, record.value) for record in page.records] == [("a", None)]

    run_with_store(scenario)


def test_appended_value_is_in_the_snapshot():
    async def scenario(stand_in, store):
        await store.put("keyed.status", "node.a", b"here")
        page = await store.read_snapshot("keyed.status")
        assert [(record.key, record.value) for record in page.records] == [("node.a", b"here")]

    run_with_store(scenario)


def test_read_from_a_deleted_offset_returns_none():
    async def scenario(stand_in, store):
        stand_in.put("keyed.x", "a", b"1")
        stand_in.drop_history("keyed.x")
        assert await store.read("keyed.x", Position(1, 0), 0.0) is None

    run_with_store(scenario)


def test_error_names_the_timeout_and_the_remedy():
    async def scenario(stand_in, store):
        stand_in.faults.add("silent")
        with pytest.raises(StoreUnavailableError, match=r"\(timeout\); wait for the store"):
            await store.read("keyed.x", Position(1, 0), 0.0)

    run_with_store(scenario)


def test_short_page_is_not_reported_as_a_failed_status(monkeypatch):
    async def scenario(stand_in, store):
        async def call(*arguments, **options):
            return 200, 0, b"short"

        monkeypatch.setattr(Store, "_call", call)
        with pytest.raises(StoreUnavailableError, match="returned 5 bytes"):
            await store.read("keyed.x", Position(1, 0), 0.0)

    run_with_store(scenario)


@pytest.mark.parametrize("fault", ["down", "silent", "busy"])
def test_call_without_a_usable_response_raises_store_unavailable_error(fault):
    async def scenario(stand_in, store):
        stand_in.faults.add(fault)
        for call in (store.read_snapshot("keyed.x"), store.read("keyed.x", Position(1, 0), 0.2)):
            with pytest.raises(StoreUnavailableError):
                await call

    run_with_store(scenario)
