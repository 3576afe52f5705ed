"""A workspace that asks for twice its quota, with requests of unlike size and urgency."""

import random
from dataclasses import replace

import pytest

from celeryrun.catalog import Pool
from celeryrun.scheduling import Scheduler
from celeryrun.scheduling.tests.builders import LIMITS, build_slot_request

SEEDS = range(6)
SECONDS = 20.0
RATE, BURST = 45_000.0, 90_000.0  # tokens
QUOTA_SLACK = 140_000.0
REQUESTS_PER_SECOND = 25.0
DEADLINE = 12.0


def play(seed):
    """Return whether each request was admitted, after at most one return, by rank and size.

    Callers come back once, after the time that they are told, at most a third of their deadline.
    """
    rng = random.Random(seed)
    limits = replace(LIMITS, quota_slack=QUOTA_SLACK)
    scheduler = Scheduler(
        limits, lambda name: [], lambda name: Pool(name), seed=seed, no_prior_usage=True
    )
    arrivals, time = [], 0.0
    while time < SECONDS:
        time += rng.expovariate(REQUESTS_PER_SECOND)
        rank = rng.choice((0, 1, 2))
        mean = (7_000, 900, 1_800)[rank]
        arrivals.append((time, len(arrivals), rank, min(60_000, rng.lognormvariate(0, 1) * mean)))
    first_at = {number: time for time, number, _, _ in arrivals}
    results, admitted = {}, []
    while arrivals:
        arrivals.sort(reverse=True)
        time, number, rank, amount = arrivals.pop()
        slot_request = build_slot_request(
            number, rank=rank, charge=amount, rate=RATE, burst=BURST, deadline=DEADLINE
        )
        denial = scheduler.submit("n", slot_request, time)
        if denial is None:
            results[number] = (rank, amount, True)
            admitted.append((time, amount))
        elif time == first_at[number]:
            wait = min(denial.retry_after, DEADLINE / 3)
            arrivals.append((time + wait, number, rank, amount))
        else:
            results[number] = (rank, amount, False)
    limit = RATE * limits.quota_window + BURST + limits.quota_tolerance(RATE, BURST)
    for begin, _ in admitted:
        within = [amount for at, amount in admitted if begin <= at < begin + limits.quota_window]
        assert sum(within) <= limit
    return list(results.values())


@pytest.mark.parametrize("seed", SEEDS)
def test_quota_is_used_up(seed):
    results = play(seed)
    admitted = sum(amount for _, amount, is_admitted in results if is_admitted)
    asked = sum(amount for _, amount, _ in results)
    assert admitted >= min(0.9 * RATE * SECONDS, 0.95 * asked)
