"""Token buckets and retry budgets."""

from hypothesis import given
from hypothesis import strategies as st

from celeryrun.scheduling import Bucket, RetryBudget

TAKES = st.lists(st.tuples(st.floats(0, 2), st.floats(1, 200)), max_size=80)


@given(TAKES, st.floats(1, 100), st.floats(1, 100))
def test_bucket_never_gives_more_than_rate_and_burst(takes, rate, burst):
    bucket = Bucket(rate, burst, 0.0)
    now, given_out, largest = 0.0, 0.0, 0.0
    for pause, amount in takes:
        now += pause
        if bucket.take(amount, now) == 0.0:
            given_out += amount
            largest = max(largest, amount)
    # One amount above the size may leave a debt, never more.
    assert given_out <= rate * now + burst + max(0.0, largest - burst) + 1e-6


def test_what_is_left_changes_with_the_size():
    bucket = Bucket(10.0, 100.0, 0.0)
    bucket.set_quota(1.0, 10.0, 0.0)
    assert bucket.take(10.0, 0.0) == 0.0
    assert bucket.take(1.0, 0.0) > 0.0


def test_retry_budget_counts_first_sends_of_its_window_only():
    budget = RetryBudget(ratio=0.5, slack=0.0, window=10.0)
    for _ in range(4):
        budget.note_first(0.0)
    assert [budget.take(1.0) for _ in range(3)] == [True, True, False]
    assert not budget.take(20.0)
