"""Limits named by targets, as schedulers keep them, without a network."""

import random

import pytest

from celeryrun.scheduling import TargetRateLimits
from celeryrun.scheduling._rate_limits import CHECK_INTERVAL, MAX_TARGETS, MIN_RATE

WINDOW = 4.0  # s
STEP = 0.05  # s between planning rounds


def send_all(limits, target, seconds, start=0.0, demand=1.0, choices=None):
    """Send whenever it is allowed; return the times."""
    sent = []
    for step in range(int(seconds / STEP)):
        now = start + step * STEP
        while limits.next_send(target, now) <= now and (choices is None or choices() < demand):
            limits.consume(target, now)
            sent.append(now)
    return sent


def most_in_window(times):
    return max((sum(start <= t < start + WINDOW for t in times) for start in times), default=0)


def allowed(rate):
    return 1.5 * rate * WINDOW + 5


@pytest.mark.parametrize("rate", [0.0, 0.3, 1.0, 3.4, 25.0, 400.0])
def test_any_window_keeps_the_limit_and_the_limit_is_used(rate):
    limits = TargetRateLimits()
    limits.apply("a", rate, 0.0, 0.0)
    sent = send_all(limits, "a", 60.0)
    assert most_in_window(sent) <= allowed(rate)
    assert len(sent) >= 0.9 * max(rate, MIN_RATE) * 60.0 - 1


def test_limit_holds_over_changes_of_the_scheduler():
    for seed in range(50):
        choices = random.Random(seed)
        rate = choices.uniform(0.2, 10.0)
        schedulers = [TargetRateLimits() for _ in range(4)]
        for limits in schedulers:
            limits.apply("a", rate, 0.0, 0.0)
        sent, now = [], 0.0
        for limits in schedulers:
            limits.mark_usage_unknown(now)
            seconds = choices.uniform(1.5, 6.0)
            sent += send_all(limits, "a", seconds, now, 0.7, choices.random)
            now += seconds
        assert most_in_window(sent) <= allowed(rate), seed


def test_shares_of_a_partitioned_fleet_sum_to_the_limit():
    rate, shares = 6.0, (0.2, 0.3, 0.5)
    sent = []
    for share in shares:
        limits = TargetRateLimits(lambda share=share: share)
        limits.apply("a", rate, 0.0, 0.0)
        sent += send_all(limits, "a", 30.0)
    assert most_in_window(sent) <= allowed(rate)


def test_limit_ends_with_a_response_to_a_later_request_only():
    limits = TargetRateLimits()
    assert limits.apply("a", 2.0, sent_at=0.9, now=1.0)
    assert not limits.apply("a", None, sent_at=0.5, now=1.1)
    assert not limits.apply("a", 2.0, sent_at=1.2, now=1.3)
    assert not limits.apply("a", None, sent_at=1.2, now=1.4)
    assert limits.apply("a", None, sent_at=1.4, now=1.5)
    assert limits.next_send("a", 1.5) == 1.5


def test_target_is_asked_for_its_limit_when_it_has_had_no_request():
    limits = TargetRateLimits()
    limits.apply("a", 1.0, 0.0, 0.0)
    assert not limits.is_check_due("a", CHECK_INTERVAL - 0.1)
    assert limits.is_check_due("a", CHECK_INTERVAL)
    limits.consume("a", CHECK_INTERVAL)
    assert not limits.is_check_due("a", CHECK_INTERVAL + 1.0)
    assert not limits.is_check_due("b", CHECK_INTERVAL)


def test_number_of_limited_targets_is_bounded_and_unlisted_ones_are_forgotten():
    limits = TargetRateLimits()
    for number in range(2 * MAX_TARGETS):
        limits.apply(f"t{number}", 1.0, 0.0, 0.0)
    assert len(limits) == MAX_TARGETS
    limits.forget_targets({"t1"})
    assert len(limits) == 1


def test_request_that_was_not_sent_does_not_count():
    limits = TargetRateLimits()
    limits.apply("a", 1.0, 0.0, 0.0)
    limits.consume("a", 1.0)
    assert limits.next_send("a", 1.0) == 2.0
    limits.refund("a", 1.0)
    assert limits.next_send("a", 1.0) == 1.0
