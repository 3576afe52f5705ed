"""Properties of the queue under any order of operations."""

from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrun.pool import FairQueue
from celeryrun.tests.builders import build_waiting

STEP = st.tuples(
    st.sampled_from(["push", "push", "pop", "shed", "remove"]),
    st.integers(1, 3),
    st.sampled_from("abc"),
    st.floats(1.0, 200.0),
)
MANY = settings(derandomize=True, deadline=None, max_examples=150)


@MANY
@given(st.lists(STEP, max_size=80))
def test_asks_are_conserved_and_the_lowest_tier_is_shed_first(steps):
    queue, inside, number = FairQueue(), {}, 0
    for action, tier, workspace, cost in steps:
        if action == "push":
            inside[number] = build_waiting(number, tier, workspace, cost)
            queue.push(inside[number])
            number += 1
        elif action == "remove" and inside:
            assert queue.remove("node", min(inside)) is inside.pop(min(inside))
        elif action in ("pop", "shed") and inside:
            lowest = max(waiting.tier for waiting in inside.values())
            taken = queue.pop() if action == "pop" else queue.shed()
            assert inside.pop(taken.ask) is taken
            assert action == "pop" or taken.tier == lowest
        assert len(queue) == len(inside)
        for name in "abc":
            count = sum(waiting.workspace == name for waiting in inside.values())
            assert queue.of_workspace(name) == count
        assert queue.of_node("node") == len(inside)
    assert {queue.pop().ask for _ in range(len(inside))} == set(inside)
    assert queue.pop() is None and queue.shed() is None


@MANY
@given(st.lists(st.tuples(st.sampled_from("ab"), st.floats(1.0, 200.0)), min_size=4, max_size=80))
def test_two_backlogged_workspaces_differ_by_two_requests_at_most(asks):
    queue = FairQueue()
    for number, (workspace, cost) in enumerate(asks):
        queue.push(build_waiting(number, 2, workspace, cost))
    largest, served = max(cost for _, cost in asks), {"a": 0.0, "b": 0.0}
    while queue.of_workspace("a") and queue.of_workspace("b"):
        waiting = queue.pop()
        served[waiting.workspace] += waiting.cost
        assert abs(served["a"] - served["b"]) <= 2 * largest


@MANY
@given(st.integers(1, 3), st.integers(1, 3), st.integers(0, 30))
def test_nothing_starves_beside_a_flood(victim, flooding, before):
    queue = FairQueue()
    for number in range(before):
        queue.push(build_waiting(number, flooding, "flood"))
        queue.pop()
    queue.push(build_waiting(1000, victim, "victim"))
    for number in range(2000, 2060):
        queue.push(build_waiting(number, flooding, "flood"))
        if queue.pop().workspace == "victim":
            return
    raise AssertionError("not served among sixty")


@MANY
@given(st.lists(st.floats(0.0, 10.0), max_size=30))
def test_exactly_those_past_their_deadline_expire(deadlines):
    queue = FairQueue()
    for number, expires in enumerate(deadlines):
        waiting = build_waiting(number)
        waiting.expires = expires
        queue.push(waiting)
    gone = {waiting.ask for waiting in queue.expired(5.0)}
    assert gone == {number for number, expires in enumerate(deadlines) if expires <= 5.0}
    assert len(queue) == len(deadlines) - len(gone)
