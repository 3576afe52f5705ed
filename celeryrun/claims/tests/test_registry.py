"""Claim registry on a log with scripted failures, read one page at a time."""

import threading
import time

import msgspec
import pytest

from celeryrun.claims import (
    ClaimLost,
    ClaimRegistry,
    ClaimTable,
    ClaimUnresolved,
    ClaimWon,
    _registry,
)
from celeryrun.claims._records import Batch, digest_from_claim_id
from celeryrun.exception import InvariantViolatedError, LogUnavailableError, Refusal
from celeryrun.kernel import set_strict
from celeryrun.streams import TooManyAppendsError
from celeryrun.tests.builders import build_claim, build_claim_key, build_claim_page

DIGEST = b"8 bytes."
RETENTION = 1200.0
RATE_LIMITED = TooManyAppendsError("later")
NOT_APPENDED = LogUnavailableError("refused", False)
LOST_RESPONSE = LogUnavailableError("lost", True)


class ScriptedLog:
    """Log that stores appended bodies; an append may raise before or after taking effect."""

    def __init__(self, *errors):
        self.errors = list(errors)
        self.bodies = []

    def append(self, stream, body):
        error = self.errors.pop(0) if self.errors else None
        if error is None or getattr(error, "effect_possible", False):
            self.bodies.append(body)
        if error is not None:
            raise error
        return len(self.bodies) - 1


def build_registry(*errors, node="node-0"):
    log = ScriptedLog(*errors)
    registry = ClaimRegistry(None, node, ClaimTable(RETENTION), log, None, None)
    registry._replay(build_claim_page(), time.monotonic())
    return registry, log


def claim_in_background(registry, key, timeout=5.0):
    results = []
    thread = threading.Thread(
        target=lambda: results.append(registry.claim(key, DIGEST, time.monotonic() + timeout))
    )
    thread.start()
    while not registry._outbox_by_claim:
        time.sleep(0.001)

    def result():
        thread.join()
        return results[0]

    return result


def append_batch(registry):
    return registry._append(*registry._next_batch())


def replay(registry, log, first=0):
    batches = [msgspec.json.decode(body, type=Batch) for body in log.bodies]
    registry._replay(build_claim_page(*batches, first=first), time.monotonic())


def test_claim_is_won_only_after_it_is_read_back():
    registry, log = build_registry()
    key = build_claim_key()
    result = claim_in_background(registry, key)
    assert append_batch(registry)
    assert registry.held_claim(key) is None
    replay(registry, log)
    assert isinstance(result(), ClaimWon)


def test_claim_after_another_is_lost():
    registry, log = build_registry()
    key = build_claim_key()
    result = claim_in_background(registry, key)
    append_batch(registry)
    first = build_claim(key, "node-1")
    log.bodies.insert(0, msgspec.json.encode(Batch((first,))))
    replay(registry, log)
    lost = result()
    assert isinstance(lost, ClaimLost)
    assert lost.held.node == "node-1"
    assert not lost.same_content and digest_from_claim_id(lost.held.claim_id) != DIGEST


def test_claim_with_a_lost_append_response_is_resolved_by_reading():
    registry, log = build_registry(LOST_RESPONSE)
    result = claim_in_background(registry, build_claim_key())
    assert not append_batch(registry)
    replay(registry, log)
    assert isinstance(result(), ClaimWon)
    assert not registry._outbox_by_claim


@pytest.mark.parametrize(
    "error", [NOT_APPENDED, RATE_LIMITED], ids=["not appended", "rate limited"]
)
def test_claim_that_was_not_appended_is_refused(error):
    registry, _ = build_registry(error)
    result = claim_in_background(registry, build_claim_key(), timeout=0.05)
    append_batch(registry)
    assert isinstance(result(), Refusal)
    assert not registry._release_by_claim


def test_release_of_an_unresolved_claim_is_retried_until_appended():
    registry, log = build_registry(LOST_RESPONSE, NOT_APPENDED, RATE_LIMITED, LOST_RESPONSE)
    key = build_claim_key()
    result = claim_in_background(registry, key, timeout=0.05)
    append_batch(registry)
    assert isinstance(result(), ClaimUnresolved)
    assert [append_batch(registry) for _ in range(4)] == [False, False, False, True]
    replay(registry, log)
    assert registry.held_claim(key) is None
    assert not registry._release_by_claim


def test_gap_in_the_stream_leaves_claims_unresolved():
    registry, log = build_registry()
    result = claim_in_background(registry, build_claim_key())
    append_batch(registry)
    replay(registry, log, first=9)
    assert isinstance(result(), ClaimUnresolved)
    assert registry._release_by_claim


def test_claims_are_refused_before_the_stream_is_read_to_its_end():
    registry = ClaimRegistry(None, "node-0", ClaimTable(RETENTION), ScriptedLog(), None, None)
    key = build_claim_key()
    page = build_claim_page(Batch((build_claim(key, "node-1"),)))
    longer = type(page)(page.first, page.end + 1, page.now, page.records)
    registry._replay(longer, time.monotonic())
    assert isinstance(registry.claim(build_claim_key(), DIGEST, 0.0), Refusal)


def test_key_too_old_by_the_logs_clock_is_refused():
    registry, log = build_registry()
    result = claim_in_background(registry, build_claim_key(time.time() - RETENTION))
    append_batch(registry)
    replay(registry, log)
    assert result().kind == "idempotency-key-too-old"


def test_malformed_records_are_skipped():
    registry, log = build_registry()
    key = build_claim_key()
    bad = build_claim(key, "node-1")
    nested = b"[" * 100_000 + b"]" * 100_000
    bodies = [
        b"",
        b"{}",
        nested,
        b"[[],[]," + nested + b"]",
        msgspec.json.encode(Batch((type(bad)(key, "no hex", "node-1"),))),
    ]
    log.bodies += bodies
    page = build_claim_page(*bodies)
    registry._replay(page, time.monotonic())
    assert registry.held_claim(key) is None
    assert registry._replayed_to == len(bodies)


def test_dispatched_claim_cannot_be_released_or_dispatched_again():
    registry, _ = build_registry()
    key = build_claim_key()
    claim = build_claim(key, "node-0")
    registry._replay(build_claim_page(Batch((claim,))), time.monotonic())
    won = ClaimWon(key, claim.claim_id)
    set_strict(True)
    try:
        registry.begin_dispatch(won)
        for misuse in (registry.begin_dispatch, registry.release):
            with pytest.raises(InvariantViolatedError):
                misuse(won)
        with pytest.raises(InvariantViolatedError):
            registry.begin_dispatch(ClaimWon(key, build_claim(key, "node-0").claim_id))
    finally:
        set_strict(False)


def test_sync_waits_for_a_read_that_begins_later():
    registry, _ = build_registry()
    now = time.monotonic()
    assert not registry.sync(now, now)
    registry._replay(build_claim_page(), time.monotonic())
    assert registry.sync(now, now)


def test_log_time_follows_the_logs_clock():
    registry, _ = build_registry()
    assert abs(registry.log_time() - time.time()) < 60
    page = build_claim_page()
    ahead = type(page)(page.first, page.end, page.now + 3600, page.records)
    registry._replay(ahead, time.monotonic())
    assert 3540 < registry.log_time() - time.time() < 3660


def test_claims_are_refused_while_appends_fail_and_one_is_pending(monkeypatch):
    monkeypatch.setattr(_registry, "MAX_FAILING_TIME", -1.0)
    registry, _ = build_registry(LOST_RESPONSE)
    assert registry.can_claim()
    result = claim_in_background(registry, build_claim_key(), timeout=0.2)
    append_batch(registry)
    assert not registry.can_claim()
    assert isinstance(registry.claim(build_claim_key(), DIGEST, 0.0), Refusal)
    assert isinstance(result(), ClaimUnresolved)
    assert append_batch(registry)
    assert registry.can_claim()
