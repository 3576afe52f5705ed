"""The judge names each broken promise, and nothing else."""

import pytest

from soak._judge import Disturbance, Leaving, Sent, judge, judge_leavings
from standins.runner import RecordedRequest

EVENTS = 3
WORKSPACES = {"key": "cajas"}


def build_sent(path="/bookings/a", **changes):
    fields = {"at": 10.0, "ended": 10.2, "status": 200, "complete": True, "answer": b"app-0:a"}
    return Sent("a", path, "key", "node-0", **(fields | changes))


def build_run(path="/bookings/a", ran=True, at=10.1, attempt="a", body=b"", **headers):
    known = {b"celeryrun-tenant": b"cajas"} | {k.encode(): v for k, v in headers.items()}
    return RecordedRequest(attempt, path.encode(), known, body, executed=ran, arrived_at=at)


def promises(sent, runs_by_target, unplanned=(), revoked_at=None):
    found = judge([sent], runs_by_target, list(unplanned), WORKSPACES, revoked_at or {}, EVENTS)
    return {violation.promise for violation in found}


def test_what_went_well_breaks_nothing():
    assert promises(build_sent(), {"app-0": [build_run()]}) == set()
    stream = build_sent("/drafts/a", ids=[1, 2, 3])
    assert promises(stream, {"model-0": [build_run("/drafts/a")]}) == set()


@pytest.mark.parametrize(
    ("sent", "runs", "promise"),
    [
        (build_sent(), {"app-0": [build_run()], "app-1": [build_run()]}, "twice"),
        (build_sent(status=503), {"app-0": [build_run()]}, "refused"),
        (build_sent(), {"app-0": [build_run(path="/calls/b")]}, "changed"),
        (build_sent(), {"app-0": [build_run(body=b"x")]}, "changed"),
        (build_sent(), {"app-0": [build_run(authorization=b"Bearer key")]}, "key"),
        (build_sent(answer=b"app-0:b"), {"app-0": [build_run()]}, "mixed"),
        (build_sent("/chats/a", ids=[1, 3]), {"m": [build_run("/chats/a")]}, "order"),
        (build_sent("/chats/a", ids=[1, 2]), {"m": [build_run("/chats/a")]}, "cut"),
        (build_sent(status=0, complete=False), {"app-0": [build_run()]}, "lost"),
        (build_sent(malformed="bad chunk"), {"app-0": [build_run()]}, "malformed"),
    ],
)
def test_each_broken_promise_is_found(sent, runs, promise):
    assert promise in promises(sent, runs)


def test_another_workspace_is_found():
    run = build_run()
    run.headers[b"celeryrun-tenant"] = b"herd"
    assert promises(build_sent(), {"app-0": [run]}) == {"workspace"}


def test_removed_key_may_be_used_within_its_lag_only():
    assert promises(build_sent(), {"app-0": [build_run()]}, revoked_at={"key": 6.0}) == set()
    assert promises(build_sent(), {"app-0": [build_run()]}, revoked_at={"key": 4.9}) == {"revoked"}


def test_answer_may_be_lost_near_a_fault_of_its_node_only():
    lost = build_sent(status=0, complete=False)
    runs = {"app-0": [build_run()]}
    assert promises(lost, runs, [Disturbance("kill", 8.0, 9.0, "node-0")]) == set()
    assert promises(lost, runs, [Disturbance("kill", 8.0, 9.0, "node-1")]) == {"lost"}
    assert promises(lost, runs, [Disturbance("kill", 1.0, 2.0, "node-0")]) == {"lost"}


@pytest.mark.parametrize(("at", "found"), [(12.0, 0), (13.0, 1), (21.0, 0)])
def test_leaving_target_gets_nothing_after_its_lag_until_it_is_back(at, found):
    leavings = [Leaving("app-0", 10.0, 20.0)]
    assert len(judge_leavings(leavings, {"app-0": [build_run(at=at)]}, [])) == found
