"""The book against a log that fails as it is told; answers come page by page."""

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
LATE = TooManyAppendsError("later")
NO_EFFECT = LogUnavailableError("refused", False)
LOST_ANSWER = LogUnavailableError("lost", True)


class ScriptedLog:
    """Keeps what is appended; each append may raise, with or without having taken place."""

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


def build_book(*errors, node="node-0"):
    log = ScriptedLog(*errors)
    book = ClaimRegistry(None, node, ClaimTable(RETENTION), log, None, None)
    book._fold(build_claim_page(), time.monotonic())
    return book, log


def claim_in_background(book, key, patience=5.0):
    verdicts = []
    thread = threading.Thread(
        target=lambda: verdicts.append(book.claim(key, DIGEST, time.monotonic() + patience))
    )
    thread.start()
    while not book._outbox_by_claim:
        time.sleep(0.001)

    def verdict():
        thread.join()
        return verdicts[0]

    return verdict


def write(book):
    return book._append(*book._next_batch())


def read(book, log, first=0):
    batches = [msgspec.json.decode(body, type=Batch) for body in log.bodies]
    book._fold(build_claim_page(*batches, first=first), time.monotonic())


def test_claim_is_won_when_read_back_and_not_before():
    book, log = build_book()
    key = build_claim_key()
    verdict = claim_in_background(book, key)
    assert write(book)
    assert book.held_claim(key) is None
    read(book, log)
    assert isinstance(verdict(), ClaimWon)


def test_claim_behind_another_is_lost():
    book, log = build_book()
    key = build_claim_key()
    verdict = claim_in_background(book, key)
    write(book)
    first = build_claim(key, "node-1")
    log.bodies.insert(0, msgspec.json.encode(Batch((first,))))
    read(book, log)
    lost = verdict()
    assert isinstance(lost, ClaimLost)
    assert lost.held.node == "node-1"
    assert not lost.same_content and digest_from_claim_id(lost.held.claim_id) != DIGEST


def test_lost_answer_is_settled_by_reading():
    book, log = build_book(LOST_ANSWER)
    verdict = claim_in_background(book, build_claim_key())
    assert not write(book)
    read(book, log)
    assert isinstance(verdict(), ClaimWon)
    assert not book._outbox_by_claim


@pytest.mark.parametrize("error", [NO_EFFECT, LATE], ids=["refused", "rate"])
def test_claim_that_never_reached_the_log_is_a_refusal(error):
    book, _ = build_book(error)
    verdict = claim_in_background(book, build_claim_key(), patience=0.05)
    write(book)
    assert isinstance(verdict(), Refusal)
    assert not book._release_by_claim


def test_claim_given_up_unresolved_is_released_until_the_log_takes_it():
    book, log = build_book(LOST_ANSWER, NO_EFFECT, LATE, LOST_ANSWER)
    key = build_claim_key()
    verdict = claim_in_background(book, key, patience=0.05)
    write(book)
    assert isinstance(verdict(), ClaimUnresolved)
    assert [write(book) for _ in range(4)] == [False, False, False, True]
    read(book, log)
    assert book.held_claim(key) is None
    assert not book._release_by_claim


def test_gap_in_the_stream_decides_nothing():
    book, log = build_book()
    verdict = claim_in_background(book, build_claim_key())
    write(book)
    read(book, log, first=9)
    assert isinstance(verdict(), ClaimUnresolved)
    assert book._release_by_claim


def test_no_claim_before_the_stream_is_read_to_its_end():
    book = ClaimRegistry(None, "node-0", ClaimTable(RETENTION), ScriptedLog(), None, None)
    key = build_claim_key()
    page = build_claim_page(Batch((build_claim(key, "node-1"),)))
    longer = type(page)(page.first, page.end + 1, page.now, page.records)
    book._fold(longer, time.monotonic())
    assert isinstance(book.claim(build_claim_key(), DIGEST, 0.0), Refusal)


def test_key_too_old_by_the_logs_clock_is_void_whatever_the_node_believes():
    book, log = build_book()
    verdict = claim_in_background(book, build_claim_key(time.time() - RETENTION))
    write(book)
    read(book, log)
    assert verdict().kind == "idempotency-key-too-old"


def test_malformed_records_are_passed_over():
    book, log = build_book()
    key = build_claim_key()
    bad = build_claim(key, "node-1")
    bodies = [b"", b"{}", msgspec.json.encode(Batch((type(bad)(key, "no hex", "node-1"),)))]
    log.bodies += bodies
    page = build_claim_page(*bodies)
    book._fold(page, time.monotonic())
    assert book.held_claim(key) is None
    assert book._folded_to == len(bodies)


def test_used_claim_can_not_be_released_nor_used_twice():
    book, _ = build_book()
    key = build_claim_key()
    claim = build_claim(key, "node-0")
    book._fold(build_claim_page(Batch((claim,))), time.monotonic())
    won = ClaimWon(key, claim.claim_id)
    set_strict(True)
    try:
        book.begin_dispatch(won)
        for misuse in (book.begin_dispatch, book.release):
            with pytest.raises(InvariantViolatedError):
                misuse(won)
        with pytest.raises(InvariantViolatedError):
            book.begin_dispatch(ClaimWon(key, build_claim(key, "node-0").claim_id))
    finally:
        set_strict(False)


def test_sync_needs_a_read_that_began_later():
    book, _ = build_book()
    now = time.monotonic()
    assert not book.sync(now, now)
    book._fold(build_claim_page(), time.monotonic())
    assert book.sync(now, now)


def test_clock_is_the_logs_and_not_the_nodes():
    book, _ = build_book()
    assert abs(book.log_time() - time.time()) < 60
    page = build_claim_page()
    ahead = type(page)(page.first, page.end, page.now + 3600, page.records)
    book._fold(ahead, time.monotonic())
    assert 3540 < book.log_time() - time.time() < 3660


def test_claims_are_refused_while_appends_fail_and_something_probes(monkeypatch):
    monkeypatch.setattr(_registry, "FAILING_LIMIT", -1.0)
    book, _ = build_book(LOST_ANSWER)
    assert book.can_claim()
    verdict = claim_in_background(book, build_claim_key(), patience=0.2)
    write(book)
    assert not book.can_claim()
    assert isinstance(book.claim(build_claim_key(), DIGEST, 0.0), Refusal)
    assert isinstance(verdict(), ClaimUnresolved)
    assert write(book)
    assert book.can_claim()
