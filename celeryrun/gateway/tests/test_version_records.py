"""Records of versions in a store, without targets or other nodes."""

import asyncio
from types import SimpleNamespace

import pytest

from celeryrun.gateway._version_records import MAX_RECORDS, PoolVersion, VersionRecords
from celeryrun.history import KeyedPage, KeyedRecord, Position
from celeryrun.kernel import Kernel
from celeryrun.platform import StoreUnavailableError
from standins.site import run

FIRST, SECOND = PoolVersion("model", "v1"), PoolVersion("model", "v2")


class StoreStandIn:
    """Store that fails a number of calls."""

    def __init__(self):
        self.failures = 0
        self.puts = []

    async def put(self, topic, key, value):
        if self.failures:
            self.failures -= 1
            raise StoreUnavailableError("down")
        self.puts.append((key, value))
        return 0


def build_records(is_scheduler=True):
    """Return records, their store, and the set of versions that are listed."""
    kernel = Kernel()
    store, events = StoreStandIn(), []
    members = SimpleNamespace(page_watchers=[], is_loaded=lambda: True)
    kernel.register("store", store)
    kernel.register("events", SimpleNamespace(emit=lambda name, **_: events.append(name)))
    kernel.register("members", members)
    records = VersionRecords(kernel)
    listed = {FIRST}
    records.is_scheduler = lambda: is_scheduler
    records.listed = lambda: set(listed)
    records.may_have_streams = lambda version: version in listed
    return records, store, listed


def build_page(*records, is_snapshot=False):
    return KeyedPage(tuple(records), Position(0, 9), is_snapshot=is_snapshot, at_end=True)


async def settle(records, seconds=0.05):
    records.note_change()
    await asyncio.sleep(seconds)


def test_scheduler_records_what_is_listed_and_deletes_what_is_over():
    async def scenario():
        records, store, listed = build_records()
        records.start()
        await settle(records)
        listed.add(SECOND)
        await settle(records)
        assert [key for key, _ in store.puts] == [FIRST.key, SECOND.key]
        assert records.versions_of("model") == {"v1", "v2"}
        listed.remove(FIRST)
        await settle(records)
        assert store.puts[2:] == [(FIRST.key, b"")]
        assert records.versions_of("model") == {"v2"} and records.versions_of("app") == set()
        records.stop()

    run(scenario())


def test_other_node_records_only_what_stays_missing(monkeypatch):
    async def scenario():
        monkeypatch.setattr("celeryrun.gateway._version_records.OTHERS_DELAY", 0.2)
        records, store, listed = build_records(is_scheduler=False)
        records.start()
        await settle(records)
        assert store.puts == []
        await settle(records, 0.3)
        await settle(records)
        assert [key for key, _ in store.puts] == [FIRST.key]
        listed.clear()
        await settle(records)
        assert len(store.puts) == 1
        records.stop()

    run(scenario())


def test_record_that_another_node_has_written_is_not_written_again():
    async def scenario():
        writer, store, _ = build_records()
        writer.start()
        await settle(writer)
        record = KeyedRecord(*store.puts[0])
        reader, reader_store, _ = build_records()
        reader._apply_page(build_page(record, is_snapshot=True))
        reader.start()
        await settle(reader)
        assert reader_store.puts == [] and reader.versions_of("model") == {"v1"}
        reader._apply_page(build_page(KeyedRecord(record.key, None)))
        assert reader.versions_of("model") == set()
        writer.stop()
        reader.stop()

    run(scenario())


def test_record_that_a_copy_of_the_store_lacks_is_written_again():
    async def scenario():
        records, store, _ = build_records()
        records.start()
        await settle(records)
        records._apply_page(build_page(is_snapshot=True))
        await settle(records)
        assert [key for key, _ in store.puts] == [FIRST.key] * 2
        records.stop()

    run(scenario())


def test_failed_write_is_repeated(monkeypatch):
    async def scenario():
        monkeypatch.setattr("celeryrun.gateway._version_records.RETRY_DELAY", 0.02)
        records, store, _ = build_records()
        store.failures = 2
        records.start()
        for _ in range(3):
            await settle(records)
        assert [key for key, _ in store.puts] == [FIRST.key]
        records.stop()

    run(scenario())


@pytest.mark.parametrize("value", [b"", b"{", b'{"pool": 1}', b"\xff"])
def test_unreadable_record_is_no_version(value):
    records, _, _ = build_records()
    records._apply_page(build_page(KeyedRecord(FIRST.key, value), KeyedRecord("node.a", b"{}")))
    assert records.versions_of("model") == set()


def test_nothing_is_known_of_a_registry_that_holds_too_many_versions():
    records, store, _ = build_records()
    for number in range(MAX_RECORDS + 1):
        version = PoolVersion("model", f"v{number}")
        value = b'{"pool":"model","version":"v%d"}' % number
        records._apply_page(build_page(KeyedRecord(version.key, value)))
    assert records.versions_of("model") == set()
