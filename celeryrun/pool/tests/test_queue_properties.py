"""Invariants of the queue for arbitrary sequences of operations."""

from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrun.pool import FairQueue
from celeryrun.tests.builders import build_queued_request

OPERATION = st.tuples(
    st.sampled_from(["push", "push", "pop", "shed", "remove"]),
    st.integers(1, 3),
    st.sampled_from("abc"),
    st.floats(1.0, 200.0),
)
FIXED_EXAMPLES = settings(derandomize=True, deadline=None, max_examples=150)


@FIXED_EXAMPLES
@given(st.lists(OPERATION, max_size=80))
def test_requests_are_conserved_and_the_lowest_tier_is_shed_first(operations):
    queue, queued, number = FairQueue(), {}, 0
    for action, tier, workspace, cost in operations:
        if action == "push":
            queued[number] = build_queued_request(number, tier, workspace, cost)
            queue.push(queued[number])
            number += 1
        elif action == "remove" and queued:
            assert queue.remove("node", min(queued)) is queued.pop(min(queued))
        elif action in ("pop", "shed") and queued:
            lowest = max(request.tier for request in queued.values())
            removed = queue.pop() if action == "pop" else queue.shed()
            assert queued.pop(removed.slot_request_id) is removed
            assert action == "pop" or removed.tier == lowest
        assert len(queue) == len(queued)
        for name in "abc":
            count = sum(request.workspace == name for request in queued.values())
            assert queue.count_of_workspace(name) == count
        assert queue.count_of_node("node") == len(queued)
    assert {queue.pop().slot_request_id for _ in range(len(queued))} == set(queued)
    assert queue.pop() is None and queue.shed() is None


@FIXED_EXAMPLES
@given(st.lists(st.tuples(st.sampled_from("ab"), st.floats(1.0, 200.0)), min_size=4, max_size=80))
def test_work_of_two_backlogged_workspaces_differs_by_two_requests_at_most(requests):
    queue = FairQueue()
    for number, (workspace, cost) in enumerate(requests):
        queue.push(build_queued_request(number, 2, workspace, cost))
    largest, work_by_workspace = max(cost for _, cost in requests), {"a": 0.0, "b": 0.0}
    while queue.count_of_workspace("a") and queue.count_of_workspace("b"):
        request = queue.pop()
        work_by_workspace[request.workspace] += request.cost
        assert abs(work_by_workspace["a"] - work_by_workspace["b"]) <= 2 * largest


@FIXED_EXAMPLES
@given(st.integers(1, 3), st.integers(1, 3), st.integers(0, 30))
def test_request_does_not_starve_beside_a_flood(victim_tier, flood_tier, popped_before):
    queue = FairQueue()
    for number in range(popped_before):
        queue.push(build_queued_request(number, flood_tier, "flood"))
        queue.pop()
    queue.push(build_queued_request(1000, victim_tier, "victim"))
    for number in range(2000, 2060):
        queue.push(build_queued_request(number, flood_tier, "flood"))
        if queue.pop().workspace == "victim":
            return
    raise AssertionError("the victim's request is not among the first 60 popped")


@FIXED_EXAMPLES
@given(st.lists(st.floats(0.0, 10.0), max_size=30))
def test_exactly_the_requests_past_their_deadline_expire(deadlines):
    queue = FairQueue()
    for number, expires in enumerate(deadlines):
        request = build_queued_request(number)
        request.expires = expires
        queue.push(request)
    expired = {request.slot_request_id for request in queue.pop_expired(5.0)}
    assert expired == {number for number, expires in enumerate(deadlines) if expires <= 5.0}
    assert len(queue) == len(deadlines) - len(expired)
