"""Order of service and of shedding."""

from celeryrun.pool import FairQueue
from celeryrun.tests.builders import build_waiting


def test_lowest_tier_is_shed_first():
    queue = FairQueue()
    for ask, tier in enumerate((3, 1, 2, 3)):
        queue.push(build_waiting(ask, tier))
    assert [queue.shed().tier for _ in range(4)] == [3, 3, 2, 1]


def test_small_workspace_is_not_behind_a_large_one():
    queue = FairQueue()
    for ask in range(20):
        queue.push(build_waiting(ask, workspace="large"))
    queue.push(build_waiting(20, workspace="small"))
    assert "small" in [queue.pop().workspace for _ in range(2)]


def test_no_tier_starves():
    queue = FairQueue()
    for ask in range(100):
        queue.push(build_waiting(ask, tier=1))
        queue.push(build_waiting(100 + ask, tier=3))
    served = [queue.pop().tier for _ in range(51)]
    assert served.count(3) == 3


def test_withdrawn_ask_is_not_served():
    queue = FairQueue()
    queue.push(build_waiting(1))
    queue.remove("node", 1)
    assert queue.pop() is None
