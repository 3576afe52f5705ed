"""Who is refused after which deaths."""

import random

from celeryrun.scheduling._crash_history import MAX_TRACKED_REQUESTS
from celeryrun.suspicion import CrashHistory

POISON = 0
AGE = 60.0


def die(ledger, target, now, *fingerprints):
    for fingerprint in fingerprints:
        ledger.record_crash(fingerprint, target, now)


def refused(ledger, now, *fingerprints):
    return [item for item in fingerprints if ledger.assess(item, now).refused]


def test_bystanders_of_one_death_are_not_refused():
    ledger = CrashHistory(AGE)
    die(ledger, "a", 0.0, *range(20))
    assert refused(ledger, 1.0, *range(20)) == []


def test_several_reports_of_one_death_count_once():
    ledger = CrashHistory(AGE)
    for now in (0.0, 0.2, 0.4):
        die(ledger, "a", now, POISON)
    assert ledger.assess(POISON, 1.0).crashes == 1


def test_only_the_cause_is_refused_when_the_bystanders_differ():
    ledger = CrashHistory(AGE)
    die(ledger, "a", 0.0, POISON, 1, 2, 3)
    die(ledger, "b", 5.0, POISON, 4, 5)
    assert refused(ledger, 6.0, *range(6)) == [POISON]


def test_bystander_that_shares_both_deaths_is_cleared_when_it_completes():
    ledger = CrashHistory(AGE)
    die(ledger, "a", 0.0, POISON, 1)
    die(ledger, "b", 5.0, POISON, 1)
    assert refused(ledger, 6.0, POISON, 1) == []
    ledger.clear(1)
    assert refused(ledger, 6.0, POISON, 1) == [POISON]


def test_third_death_refuses_whoever_shares_it():
    ledger = CrashHistory(AGE)
    for number, target in enumerate("abc"):
        die(ledger, target, number * 5.0, POISON, 1)
    assert refused(ledger, 20.0, POISON, 1) == [POISON, 1]


def test_one_target_that_dies_twice_counts_twice():
    ledger = CrashHistory(AGE)
    die(ledger, "a", 0.0, POISON, 1)
    ledger.clear(1)
    die(ledger, "a", 5.0, POISON, 1)
    assert refused(ledger, 6.0, POISON, 1) == [POISON]


def test_mended_request_is_let_in_again():
    ledger = CrashHistory(AGE)
    die(ledger, "a", 0.0, POISON)
    die(ledger, "b", 30.0, POISON)
    verdict = ledger.assess(POISON, 40.0)
    assert verdict.refused and verdict.retry_after == 20.0
    assert not ledger.assess(POISON, 61.0).refused
    assert ledger.assess(POISON, 91.0).crashes == 0


def test_memory_is_bounded():
    ledger = CrashHistory(AGE)
    for fingerprint in range(3 * MAX_TRACKED_REQUESTS):
        ledger.record_crash(fingerprint, "a", 0.0)
    assert len(ledger) == MAX_TRACKED_REQUESTS


def run_poison(choices, targets, callers):
    """Send poison beside callers that try again; return targets lost and innocents refused."""
    ledger, now, lost, wronged = CrashHistory(AGE), 0.0, 0, set()
    while not ledger.assess(POISON, now).refused:
        in_flight = [caller for caller in callers if choices.random() < 1 / targets]
        for caller in in_flight:
            if ledger.assess(caller, now).refused:
                wronged.add(caller)
        die(ledger, f"target-{choices.randrange(targets)}", now, POISON, *in_flight)
        lost += 1
        for caller in callers:
            if caller not in in_flight or choices.random() < 0.5:
                ledger.clear(caller)
        now += 2.0
    return lost, len(wronged)


def test_poison_takes_three_targets_at_most_and_refuses_no_innocent():
    for seed in range(200):
        lost, wronged = run_poison(random.Random(seed), 5, range(1, 30))
        assert lost <= 3
        assert wronged == 0
