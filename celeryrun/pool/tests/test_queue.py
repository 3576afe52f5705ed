"""Order in which queued slot requests are granted and shed."""

from celeryrun.pool import FairQueue
from celeryrun.tests.builders import build_queued_request


def test_lowest_tier_is_shed_first():
    queue = FairQueue()
    for number, tier in enumerate((3, 1, 2, 3)):
        queue.push(build_queued_request(number, tier))
    assert [queue.shed().tier for _ in range(4)] == [3, 3, 2, 1]


def test_small_workspace_does_not_queue_behind_a_large_one():
    queue = FairQueue()
    for number in range(20):
        queue.push(build_queued_request(number, workspace="large"))
    queue.push(build_queued_request(20, workspace="small"))
    assert "small" in [queue.pop().workspace for _ in range(2)]


def test_no_tier_starves():
    queue = FairQueue()
    for number in range(100):
        queue.push(build_queued_request(number, tier=1))
        queue.push(build_queued_request(100 + number, tier=3))
    popped_tiers = [queue.pop().tier for _ in range(51)]
    assert popped_tiers.count(3) == 3


def test_cancelled_request_is_not_popped():
    queue = FairQueue()
    queue.push(build_queued_request(1))
    queue.remove("node", 1)
    assert queue.pop() is None
