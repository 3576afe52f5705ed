"""Leases through a log that loses answers, holders that pause, engines that fence or do not."""

import time

import pytest

from celeryrun.exception import LogUnavailableError
from celeryrun.orders import Leaseholder, LeaseTable, Obeyed, Order, OrderRefused, send_order
from celeryrun.orders._lease import ORDER_DEADLINE
from celeryrun.streams import Page, Record
from standins.fleet import Fleet, FleetConfig


class ClockedLog:
    """A log with a clock of its own."""

    def __init__(self):
        self.records = []
        self.now = 1000.0
        self.loses_answers = False

    def append(self, stream, body):
        self.records.append(Record(len(self.records), self.now, body))
        if self.loses_answers:
            raise LogUnavailableError("no answer", True)
        return len(self.records) - 1

    def read(self, stream, start, wait=0.0):
        return Page(0, len(self.records), self.now, tuple(self.records[start:]))


@pytest.fixture
def log():
    return ClockedLog()


def test_one_holder_at_a_time_and_a_rising_fence(log):
    first, second = Leaseholder(log, "node-0", 5.0), Leaseholder(log, "node-1", 5.0)
    assert first.hold("drafts")
    assert not second.hold("drafts")
    assert second.fence("drafts") is None
    log.now += 5.0 + ORDER_DEADLINE - 0.1
    assert not second.hold("drafts")
    log.now += 0.1
    assert second.hold("drafts")
    assert second.fence("drafts") > first.fence("drafts")


def test_renewal_keeps_the_fence_and_shuts_others_out(log):
    first, second = Leaseholder(log, "node-0", 5.0), Leaseholder(log, "node-1", 5.0)
    assert first.hold("drafts")
    fence = first.fence("drafts")
    log.now += 4.0
    assert first.hold("drafts")
    log.now += 4.0
    assert not second.hold("drafts")
    assert first.fence("drafts") == fence


def test_paused_holder_knows_by_its_own_clock(log):
    holder = Leaseholder(log, "node-0", 0.05)
    assert holder.hold("drafts")
    time.sleep(0.06)
    assert holder.fence("drafts") is None


def test_late_renewal_does_not_revive_a_lease(log):
    first, second = Leaseholder(log, "node-0", 5.0), Leaseholder(log, "node-1", 5.0)
    assert first.hold("drafts")
    log.now += 10.0
    assert second.hold("drafts")
    assert first.fence("drafts") is not None  # its own clock has not moved in this test
    first.hold("drafts")
    assert first.table.by_key["drafts"].holder == "node-1"


def test_lost_answer_gives_no_lease_but_blocks_it_for_its_time(log):
    log.loses_answers = True
    first = Leaseholder(log, "node-0", 5.0)
    assert not first.hold("drafts")
    log.loses_answers = False
    assert not Leaseholder(log, "node-1", 5.0).hold("drafts")


def test_every_reader_folds_alike_and_foreign_records_do_not_count(log):
    holders = [Leaseholder(log, f"node-{number}", 3.0) for number in range(3)]
    for turn in range(12):
        holders[turn % 3].hold("drafts")
        log.append("leases", b"not a lease")
        log.now += 1.7
    fences = []
    for _ in range(2):
        table = LeaseTable()
        fences.append([lease.fence for r in log.records if (lease := table.fold(r)) is not None])
    assert fences[0] == fences[1] == sorted(fences[0])


def test_engine_that_checks_refuses_the_old_fence_and_the_other_obeys():
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
            until = time.monotonic() + 60.0
            results[name] = [send_order(address, order, until) for order in (new, old, new)]
            late = send_order(address, new, time.monotonic() - ORDER_DEADLINE - 0.1)
            assert isinstance(late, OrderRefused)
            assert len(fleet.call_standin("GET", name, "/record")["orders"]) <= 3
        assert results["engine-1"] == [Obeyed()] * 3
        assert results["engine-0"][0] == results["engine-0"][2] == Obeyed()
        assert isinstance(results["engine-0"][1], OrderRefused)
    finally:
        fleet.stop()
