"""Leases with lost log responses, paused holders, and engines with and without fencing."""

import time

import pytest

from celeryrun.exception import LogUnavailableError
from celeryrun.orders import (
    Leaseholder,
    LeaseTable,
    Order,
    OrderAccepted,
    OrderRejected,
    send_order,
)
from celeryrun.orders._lease import ORDER_TIMEOUT
from celeryrun.streams import Page, Record
from standins.fleet import Fleet, FleetConfig


class ClockedLog:
    """In-memory log with a manual clock."""

    def __init__(self):
        self.records = []
        self.now = 1000.0
        self.loses_responses = False
        self.era = 1

    def append(self, stream, body):
        self.records.append(Record(len(self.records), self.now, body))
        if self.loses_responses:
            raise LogUnavailableError("no response", True)
        return len(self.records) - 1

    def restore(self, end):
        """Go back to a copy that ends at an offset."""
        del self.records[end:]
        self.era += 1

    def read(self, stream, start, wait=0.0):
        return Page(0, len(self.records), self.now, tuple(self.records[start:]), self.era)


@pytest.fixture
def log():
    return ClockedLog()


def test_one_holder_at_a_time_and_rising_fencing_numbers(log):
    first, second = Leaseholder(log, "node-0", 5.0), Leaseholder(log, "node-1", 5.0)
    assert first.acquire("drafts")
    assert not second.acquire("drafts")
    assert second.fencing_number("drafts") is None
    log.now += 5.0 + ORDER_TIMEOUT - 0.1
    assert not second.acquire("drafts")
    log.now += 0.1
    assert second.acquire("drafts")
    assert second.fencing_number("drafts") > first.fencing_number("drafts")


def test_renewal_keeps_the_fencing_number_and_excludes_others(log):
    first, second = Leaseholder(log, "node-0", 5.0), Leaseholder(log, "node-1", 5.0)
    assert first.acquire("drafts")
    fencing_number = first.fencing_number("drafts")
    log.now += 4.0
    assert first.acquire("drafts")
    log.now += 4.0
    assert not second.acquire("drafts")
    assert first.fencing_number("drafts") == fencing_number


def test_restored_log_neither_lowers_fencing_numbers_nor_gives_one_lease_twice(log, monkeypatch):
    clock = [100.0]
    monkeypatch.setattr("celeryrun.orders._leaseholder.time.monotonic", lambda: clock[0])
    first, second = Leaseholder(log, "node-0", 5.0), Leaseholder(log, "node-1", 5.0)
    for key in ("a", "b", "c"):
        assert second.acquire(key)
    assert first.acquire("drafts")
    fencing_number = first.fencing_number("drafts")
    log.restore(1)
    while not second.acquire("drafts"):
        assert clock[0] < 130.0
        clock[0] += 0.5
        log.now += 0.5
    assert first.fencing_number("drafts") is None
    assert second.fencing_number("drafts") > fencing_number
    assert not first.acquire("drafts")


def test_paused_holder_sees_its_lease_expired_by_its_own_clock(log):
    holder = Leaseholder(log, "node-0", 0.05)
    assert holder.acquire("drafts")
    time.sleep(0.06)
    assert holder.fencing_number("drafts") is None


def test_late_renewal_does_not_revive_a_lease(log):
    first, second = Leaseholder(log, "node-0", 5.0), Leaseholder(log, "node-1", 5.0)
    assert first.acquire("drafts")
    log.now += 10.0
    assert second.acquire("drafts")
    # The node's own clock has not advanced.
    assert first.fencing_number("drafts") is not None
    first.acquire("drafts")
    assert first.table.by_key["drafts"].holder == "node-1"


def test_lost_response_grants_no_lease_but_blocks_others_until_it_expires(log):
    log.loses_responses = True
    first = Leaseholder(log, "node-0", 5.0)
    assert not first.acquire("drafts")
    log.loses_responses = False
    assert not Leaseholder(log, "node-1", 5.0).acquire("drafts")


def test_all_readers_derive_the_same_leases_and_ignore_malformed_records(log):
    holders = [Leaseholder(log, f"node-{number}", 3.0) for number in range(3)]
    for turn in range(12):
        holders[turn % 3].acquire("drafts")
        log.append("leases", b"not a lease")
        log.append("leases", b"[" * 100_000 + b"]" * 100_000)
        log.append("leases", b'{"odd":' + b"[" * 100_000 + b"]" * 100_000 + b"}")
        log.now += 1.7
    fencing_numbers = []
    for _ in range(2):
        table = LeaseTable()
        fencing_numbers.append(
            [
                lease.fencing_number
                for record in log.records
                if (lease := table.apply_record(record)) is not None
            ]
        )
    assert fencing_numbers[0] == fencing_numbers[1] == sorted(fencing_numbers[0])


def test_only_an_engine_with_fencing_rejects_an_old_fencing_number():
    config = FleetConfig(
        nodes=0, engines=2, applications=0, engine_arguments=["--fencing", "--step 0.01"]
    )
    fleet = Fleet(config)
    try:
        fleet.start_standins()
        old, new = Order("load", "tally-model", 3), Order("load", "tally-model", 9)
        results = {}
        for name in ("engine-0", "engine-1"):
            address = f"127.0.0.1:{fleet.port_by_name[name]}"
            expires_at = time.monotonic() + 60.0
            results[name] = [send_order(address, order, expires_at) for order in (new, old, new)]
            late = send_order(address, new, time.monotonic() - ORDER_TIMEOUT - 0.1)
            assert isinstance(late, OrderRejected)
            assert len(fleet.call_standin("GET", name, "/record")["orders"]) <= 3
        assert results["engine-1"] == [OrderAccepted()] * 3
        assert results["engine-0"][0] == results["engine-0"][2] == OrderAccepted()
        assert isinstance(results["engine-0"][1], OrderRejected)
    finally:
        fleet.stop()
