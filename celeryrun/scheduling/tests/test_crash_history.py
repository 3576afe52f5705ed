"""Which requests are refused after crashes of targets."""

import random

from celeryrun.scheduling._crash_history import MAX_TRACKED_REQUESTS
from celeryrun.suspicion import CrashHistory

POISON = 0
MAX_AGE = 60.0


def crash(history, target, now, *fingerprints):
    for fingerprint in fingerprints:
        history.record_crash(fingerprint, target, now)


def refused(history, now, *fingerprints):
    return [item for item in fingerprints if history.assess(item, now).refused]


def test_requests_in_flight_on_one_crash_are_not_refused():
    history = CrashHistory(MAX_AGE)
    crash(history, "a", 0.0, *range(20))
    assert refused(history, 1.0, *range(20)) == []


def test_several_reports_of_one_crash_count_once():
    history = CrashHistory(MAX_AGE)
    for now in (0.0, 0.2, 0.4):
        crash(history, "a", now, POISON)
    assert history.assess(POISON, 1.0).crashes == 1


def test_only_the_cause_is_refused_if_no_other_request_shares_both_crashes():
    history = CrashHistory(MAX_AGE)
    crash(history, "a", 0.0, POISON, 1, 2, 3)
    crash(history, "b", 5.0, POISON, 4, 5)
    assert refused(history, 6.0, *range(6)) == [POISON]


def test_request_that_shares_both_crashes_is_cleared_when_it_completes():
    history = CrashHistory(MAX_AGE)
    crash(history, "a", 0.0, POISON, 1)
    crash(history, "b", 5.0, POISON, 1)
    assert refused(history, 6.0, POISON, 1) == []
    history.clear(1)
    assert refused(history, 6.0, POISON, 1) == [POISON]


def test_third_crash_refuses_all_requests_that_share_it():
    history = CrashHistory(MAX_AGE)
    for number, target in enumerate("abc"):
        crash(history, target, number * 5.0, POISON, 1)
    assert refused(history, 20.0, POISON, 1) == [POISON, 1]


def test_two_crashes_of_one_target_count_twice():
    history = CrashHistory(MAX_AGE)
    crash(history, "a", 0.0, POISON, 1)
    history.clear(1)
    crash(history, "a", 5.0, POISON, 1)
    assert refused(history, 6.0, POISON, 1) == [POISON]


def test_refusal_ends_when_the_crashes_expire():
    history = CrashHistory(MAX_AGE)
    crash(history, "a", 0.0, POISON)
    crash(history, "b", 30.0, POISON)
    assessment = history.assess(POISON, 40.0)
    assert assessment.refused and assessment.retry_after == 20.0
    assert not history.assess(POISON, 61.0).refused
    assert history.assess(POISON, 91.0).crashes == 0


def test_number_of_tracked_requests_is_bounded():
    history = CrashHistory(MAX_AGE)
    for fingerprint in range(3 * MAX_TRACKED_REQUESTS):
        history.record_crash(fingerprint, "a", 0.0)
    assert len(history) == MAX_TRACKED_REQUESTS


def retry_poison(choices, targets, callers):
    """Retry a poison request among harmless ones; return the crashes and harmless refusals."""
    history, now, crashes, wrongly_refused = CrashHistory(MAX_AGE), 0.0, 0, set()
    while not history.assess(POISON, now).refused:
        in_flight = [caller for caller in callers if choices.random() < 1 / targets]
        for caller in in_flight:
            if history.assess(caller, now).refused:
                wrongly_refused.add(caller)
        crash(history, f"target-{choices.randrange(targets)}", now, POISON, *in_flight)
        crashes += 1
        for caller in callers:
            if caller not in in_flight or choices.random() < 0.5:
                history.clear(caller)
        now += 2.0
    return crashes, len(wrongly_refused)


def test_poison_request_causes_at_most_three_crashes_and_no_wrong_refusal():
    for seed in range(200):
        crashes, wrongly_refused = retry_poison(random.Random(seed), 5, range(1, 30))
        assert crashes <= 3
        assert wrongly_refused == 0


def test_two_crashes_of_a_target_that_restarts_at_once_both_count():
    history = CrashHistory(max_age=60.0)
    assert history.record_crash(1, "t0", now=0.0, born=1000)
    assert not history.record_crash(1, "t0", now=0.3, born=1000)
    assert history.record_crash(1, "t0", now=0.4, born=1400)
    assert history.assess(1, now=0.4).refused
