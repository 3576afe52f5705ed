"""Replay of the claim stream into the table of held claims."""

import pytest

from celeryrun.claims._records import Batch, Release, content_digest
from celeryrun.claims._table import MAX_REJECTED, ClaimTable
from celeryrun.tests.builders import build_claim, build_claim_key

CREATED_AT = 1_000_000.0
RETENTION = 1200.0
KEY = build_claim_key(CREATED_AT)


@pytest.fixture
def table():
    return ClaimTable(RETENTION)


def holding_node(table, key=KEY):
    held = table.held_claim(key)
    return held and held.node


def test_first_claim_in_log_order_wins(table):
    first, second = build_claim(KEY, "node-0"), build_claim(KEY, "node-1")
    table.apply_batch(Batch((first, second)), CREATED_AT)
    table.apply_batch(Batch((second,)), CREATED_AT)
    assert holding_node(table) == "node-0"


def test_claim_appended_again_after_its_release_does_not_hold(table):
    claim = build_claim(KEY, "node-0")
    for batch in (Batch((claim,)), Batch((), (Release(KEY, claim.claim_id),)), Batch((claim,))):
        table.apply_batch(batch, CREATED_AT)
    assert holding_node(table) is None
    table.apply_batch(Batch((build_claim(KEY, "node-1"),)), CREATED_AT)
    assert holding_node(table) == "node-1"


def test_claim_that_arrives_after_its_release_does_not_hold(table):
    claim = build_claim(KEY, "node-0")
    table.apply_batch(Batch((), (Release(KEY, claim.claim_id),)), CREATED_AT)
    table.apply_batch(Batch((claim,)), CREATED_AT)
    assert holding_node(table) is None


def test_lost_claim_that_is_appended_again_does_not_hold(table):
    first, second = build_claim(KEY, "node-0"), build_claim(KEY, "node-1")
    table.apply_batch(Batch((first, second), (Release(KEY, first.claim_id),)), CREATED_AT)
    table.apply_batch(Batch((second,)), CREATED_AT)
    assert holding_node(table) is None


def test_release_of_another_claim_has_no_effect(table):
    table.apply_batch(Batch((build_claim(KEY, "node-0"),)), CREATED_AT)
    table.apply_batch(Batch((), (Release(KEY, build_claim(KEY, "node-0").claim_id),)), CREATED_AT)
    assert holding_node(table) == "node-0"


def test_rejected_claims_are_bounded_and_the_next_claim_stays_held(table):
    for _ in range(MAX_REJECTED + 5):
        claim = build_claim(KEY, "node-0")
        table.apply_batch(Batch((claim,), (Release(KEY, claim.claim_id),)), CREATED_AT)
    assert holding_node(table) == "node-0"


@pytest.mark.parametrize("age, is_valid", [(-61, False), (-59, True), (600, True), (601, False)])
def test_age_is_measured_by_the_logs_clock(table, age, is_valid):
    table.apply_batch(Batch((build_claim(KEY, "node-0"),)), CREATED_AT + age)
    assert (holding_node(table) == "node-0") is is_valid


@pytest.mark.parametrize("key", ["cajas/booking-1", "cajas/", "nothing"])
def test_key_without_a_timestamp_is_ignored(table, key):
    table.apply_batch(Batch((build_claim(key, "node-0"),)), CREATED_AT)
    assert len(table) == 0


def test_key_is_removed_only_after_its_window_and_clock_slack(table):
    table.apply_batch(Batch((build_claim(KEY, "node-0"),)), CREATED_AT)
    table.expire(CREATED_AT + 660)
    assert holding_node(table) == "node-0"
    table.expire(CREATED_AT + 700)
    assert len(table) == 0
    table.apply_batch(Batch((build_claim(KEY, "node-1"),)), CREATED_AT + 700)
    assert holding_node(table) is None


def test_same_key_of_another_workspace_is_not_held(table):
    table.apply_batch(Batch((build_claim(KEY, "node-0"),)), CREATED_AT)
    assert holding_node(table, KEY.replace("cajas/", "cordillera/")) is None


def test_digest_depends_on_the_boundaries_between_parts():
    contents = [("a", "bc"), ("ab", "c"), ("abc", ""), ("a", b"b", b"c")]
    assert len({content_digest(*parts) for parts in contents}) == len(contents)
