"""Origins of streams in a store, without targets or other nodes."""

import asyncio
from types import SimpleNamespace

import pytest

from celeryrun.gateway._links import OriginReport
from celeryrun.gateway._origin_records import OriginRecords
from celeryrun.kernel import Kernel
from celeryrun.platform import Store
from celeryrun.settings import Address
from standins.site import run
from standins.store import HOST, StoreStandIn

FIRST = OriginReport("v1", (7, 8), (20, 21))
SECOND = OriginReport("v2", (9,), (22,))
PAUSE = 0.12  # s, more than two writes


async def build_records(store):
    """Return records that write whenever they are needed, and what they have read."""
    kernel = Kernel()
    kernel.register("store", Store(Address(HOST, store.port)))
    events, read = [], []
    kernel.register("events", SimpleNamespace(emit=lambda name, **_: events.append(name)))
    records = OriginRecords(kernel)
    records.is_needed = lambda: True
    records.all_reports = lambda: [FIRST]
    records.on_report = read.append
    return records, read, events


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    monkeypatch.setattr("celeryrun.gateway._origin_records.WRITE_INTERVAL", 0.05)
    seconds = iter(range(10_000))
    monkeypatch.setattr("celeryrun.gateway._origin_records.time.time", lambda: next(seconds))


def count_appends(store):
    return store.called_paths.count("/celeryrun/log-append")


async def read_all(store):
    """Return what a node that starts anew reads, by stream."""
    records, read, events = await build_records(store)
    records.refresh()
    records.refresh()
    await asyncio.sleep(PAUSE)
    assert events == [] and store.called_paths.count("/celeryrun/log-newest") == 1
    return {
        stream: report.version for report in read for stream in report.streams if report.version
    }


def test_new_node_reads_all_that_was_known_and_what_came_since():
    async def scenario():
        store = StoreStandIn()
        await store.start()
        records, _, _ = await build_records(store)
        records.start()
        await asyncio.sleep(PAUSE)
        records.add(SECOND)
        records.add(OriginReport("v2", (10,), (22,)))
        await asyncio.sleep(PAUSE)
        assert count_appends(store) == 2
        records.stop()
        assert await read_all(store) == {7: "v1", 8: "v1", 9: "v2", 10: "v2"}
        store.stop()

    run(scenario())


def test_nothing_is_written_while_it_is_not_needed_and_all_when_it_is_again():
    async def scenario():
        store = StoreStandIn()
        await store.start()
        records, _, _ = await build_records(store)
        records.is_needed = lambda: False
        records.start()
        records.add(SECOND)
        await asyncio.sleep(PAUSE)
        assert count_appends(store) == 0
        records.is_needed = lambda: True
        await asyncio.sleep(PAUSE)
        records.stop()
        assert await read_all(store) == {7: "v1", 8: "v1"}
        store.stop()

    run(scenario())


def test_failed_write_is_made_up_for_by_the_next():
    async def scenario():
        store = StoreStandIn()
        await store.start()
        records, _, events = await build_records(store)
        records.start()
        store.faults.add("busy")
        await asyncio.sleep(PAUSE)
        assert "origins-not-stored" in events
        store.faults.clear()
        await asyncio.sleep(PAUSE)
        records.stop()
        assert await read_all(store) == {7: "v1", 8: "v1"}
        store.stop()

    run(scenario())


def test_failed_read_and_unreadable_records_are_logged():
    async def scenario():
        store = StoreStandIn()
        await store.start()
        store.put("keyed.streams", "0", b"\xc1")
        records, read, events = await build_records(store)
        records.refresh()
        await asyncio.sleep(PAUSE)
        store.faults.add("down")
        records._read_at = float("-inf")
        records.refresh()
        await asyncio.sleep(PAUSE)
        assert read == [] and events == ["origins-unreadable", "origins-not-read"]
        store.stop()

    run(scenario())
