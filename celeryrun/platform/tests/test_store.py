"""Calls to the store: pages, records, and calls without a usable response."""

import asyncio
import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from celeryrun.history import Position
from celeryrun.platform import Store, StoreUnavailableError
from celeryrun.platform._store import _decode_era
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


def run_with_body(body, read, monkeypatch, status=200):
    """Read from a store whose next response has a given body."""

    async def call(*arguments, **options):
        return status, 0, body

    monkeypatch.setattr(Store, "_call", call)
    return asyncio.run(read(Store(Address(HOST, 1))))


def test_odd_items_of_a_snapshot_do_not_hide_the_others(monkeypatch):
    items = [
        '{"key":"a","value":"MQ=="}',
        '{"key":"b","value":"not base64"}',
        '{"key":"c","value":"\u00b2"}',
        '{"key":"\\udcff","value":"MQ=="}',
        '{"key":7,"value":"MQ=="}',
        '{"key":"d"}',
        "null",
        '{"key":"f","value":"Mg=="}',
    ]
    body = ('{"items":[' + ",".join(items) + '],"end":9}').encode()
    page = run_with_body(body, lambda store: store.read_snapshot("keyed.x"), monkeypatch)
    values = {record.key: record.value for record in page.records}
    assert values["a"] == b"1" and values["f"] == b"2"
    assert values["b"] and values["c"] and values.keys() <= set("abcf")


@given(st.binary(max_size=80))
def test_any_body_of_a_read_is_a_page_or_store_unavailable(body):
    for read in (
        lambda store: store.read("keyed.x", Position(0, 0), 0.0),
        lambda store: store.read_snapshot("keyed.x"),
    ):
        with pytest.MonkeyPatch.context() as monkeypatch:
            try:
                page = run_with_body(body, read, monkeypatch)
            except StoreUnavailableError:
                continue
        assert 0 <= page.end.offset < 2**63
        assert all(isinstance(record.key, str) for record in page.records)


@pytest.mark.parametrize(
    "body",
    [
        b'{"items":[],"end":' + b"9" * 400 + b"}",
        b'{"items":[],"end":-1}',
        b'{"items":' + b"[" * 100_000 + b"]" * 100_000 + b',"end":1}',
        b'{"items":[{"key":"a","value":""}],"end":1,"morePages":true}',
    ],
)
def test_snapshot_that_cannot_be_read_is_store_unavailable(body, monkeypatch):
    with pytest.raises(StoreUnavailableError):
        run_with_body(body, lambda store: store.read_snapshot("keyed.x"), monkeypatch)


def test_page_without_a_whole_record_is_not_read_again_at_once(monkeypatch):
    body = struct.pack(">QQ", 9, 0) + struct.pack(">I", 2**32 - 1) + b"x"
    with pytest.raises(StoreUnavailableError, match="no whole record"):
        run_with_body(body, lambda store: store.read("keyed.x", Position(0, 0), 0.0), monkeypatch)


@pytest.mark.parametrize("era", [b"9" * 5000, b"9" * 400, "²".encode(), b"-1", b"1e3", b""])
def test_unreadable_era_is_store_unavailable(era):
    with pytest.raises(StoreUnavailableError, match="unreadable era"):
        _decode_era(era)


@pytest.mark.parametrize("fault", ["down", "silent", "busy"])
def test_call_without_a_usable_response_raises_store_unavailable_error(fault):
    async def scenario(stand_in, store):
        stand_in.faults.add(fault)
        for call in (store.read_snapshot("keyed.x"), store.read("keyed.x", Position(1, 0), 0.2)):
            with pytest.raises(StoreUnavailableError):
                await call

    run_with_store(scenario)
