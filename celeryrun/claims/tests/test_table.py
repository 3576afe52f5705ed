import pytest

from celeryrun.claims._records import Batch, Release, content_digest
from celeryrun.claims._table import MAX_SPENT, ClaimTable
from celeryrun.tests.builders import build_claim, build_claim_key

BORN = 1_000_000.0
RETENTION = 1200.0
KEY = build_claim_key(BORN)


@pytest.fixture
def table():
    return ClaimTable(RETENTION)


def holder(table, key=KEY):
    held = table.held_claim(key)
    return held and held.node


def test_first_claim_in_log_order_wins(table):
    first, second = build_claim(KEY, "node-0"), build_claim(KEY, "node-1")
    table.apply_batch(Batch((first, second)), BORN)
    table.apply_batch(Batch((second,)), BORN)
    assert holder(table) == "node-0"


def test_claim_appended_again_after_its_release_does_not_hold(table):
    claim = build_claim(KEY, "node-0")
    for batch in (Batch((claim,)), Batch((), (Release(KEY, claim.claim_id),)), Batch((claim,))):
        table.apply_batch(batch, BORN)
    assert holder(table) is None
    table.apply_batch(Batch((build_claim(KEY, "node-1"),)), BORN)
    assert holder(table) == "node-1"


def test_claim_that_arrives_after_its_release_does_not_hold(table):
    claim = build_claim(KEY, "node-0")
    table.apply_batch(Batch((), (Release(KEY, claim.claim_id),)), BORN)
    table.apply_batch(Batch((claim,)), BORN)
    assert holder(table) is None


def test_lost_claim_that_is_appended_again_does_not_hold(table):
    first, second = build_claim(KEY, "node-0"), build_claim(KEY, "node-1")
    table.apply_batch(Batch((first, second), (Release(KEY, first.claim_id),)), BORN)
    table.apply_batch(Batch((second,)), BORN)
    assert holder(table) is None


def test_release_by_another_claim_changes_nothing(table):
    table.apply_batch(Batch((build_claim(KEY, "node-0"),)), BORN)
    table.apply_batch(Batch((), (Release(KEY, build_claim(KEY, "node-0").claim_id),)), BORN)
    assert holder(table) == "node-0"


def test_claims_of_one_key_are_bounded_and_the_last_one_stays(table):
    for _ in range(MAX_SPENT + 5):
        claim = build_claim(KEY, "node-0")
        table.apply_batch(Batch((claim,), (Release(KEY, claim.claim_id),)), BORN)
    assert holder(table) == "node-0"


@pytest.mark.parametrize("age, counts", [(-61, False), (-59, True), (600, True), (601, False)])
def test_age_is_judged_by_the_logs_clock(table, age, counts):
    table.apply_batch(Batch((build_claim(KEY, "node-0"),)), BORN + age)
    assert (holder(table) == "node-0") is counts


@pytest.mark.parametrize("key", ["cajas/booking-1", "cajas/", "nothing"])
def test_key_without_a_birth_is_passed_over(table, key):
    table.apply_batch(Batch((build_claim(key, "node-0"),)), BORN)
    assert len(table) == 0


def test_expired_keys_are_forgotten_only_when_no_claim_counts(table):
    table.apply_batch(Batch((build_claim(KEY, "node-0"),)), BORN)
    table.expire(BORN + 660)
    assert holder(table) == "node-0"
    table.expire(BORN + 700)
    assert len(table) == 0
    table.apply_batch(Batch((build_claim(KEY, "node-1"),)), BORN + 700)
    assert holder(table) is None


def test_another_workspace_has_another_key(table):
    table.apply_batch(Batch((build_claim(KEY, "node-0"),)), BORN)
    assert holder(table, KEY.replace("cajas/", "cordillera/")) is None


def test_digest_tells_contents_apart():
    contents = [("a", "bc"), ("ab", "c"), ("abc", ""), ("a", b"b", b"c")]
    assert len({content_digest(*parts) for parts in contents}) == len(contents)
