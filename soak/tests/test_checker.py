"""The checker reports each violated guarantee and no other."""

import pytest

from soak._checker import DrainPeriod, FaultPeriod, SentRequest, check_drains, check_requests
from standins.runner import RecordedRequest

EVENTS = 3
WORKSPACE_BY_KEY = {"key": "cajas"}


def build_request(path="/bookings/a", **changes):
    fields = {
        "sent_at": 10.0,
        "ended_at": 10.2,
        "status": 200,
        "complete": True,
        "response_body": b"app-0:a",
    }
    return SentRequest("a", path, "key", "node-0", **(fields | changes))


def build_recorded(
    path="/bookings/a", executed=True, arrived_at=10.1, attempt_id="a", body=b"", **headers
):
    all_headers = {b"celeryrun-tenant": b"cajas"} | {k.encode(): v for k, v in headers.items()}
    return RecordedRequest(
        attempt_id, path.encode(), all_headers, body, executed=executed, arrived_at=arrived_at
    )


def violated_guarantees(request, recorded_by_target, unplanned_faults=(), revoked_at=None):
    violations = check_requests(
        [request],
        recorded_by_target,
        list(unplanned_faults),
        WORKSPACE_BY_KEY,
        revoked_at or {},
        EVENTS,
    )
    return {violation.guarantee for violation in violations}


def test_successful_requests_violate_nothing():
    assert violated_guarantees(build_request(), {"app-0": [build_recorded()]}) == set()
    stream = build_request("/drafts/a", event_ids=[1, 2, 3])
    assert violated_guarantees(stream, {"model-0": [build_recorded("/drafts/a")]}) == set()


@pytest.mark.parametrize(
    ("sent_request", "recorded_by_target", "guarantee"),
    [
        (build_request(), {"app-0": [build_recorded()], "app-1": [build_recorded()]}, "twice"),
        (build_request(status=503), {"app-0": [build_recorded()]}, "refused"),
        (build_request(), {"app-0": [build_recorded(path="/calls/b")]}, "changed"),
        (build_request(), {"app-0": [build_recorded(body=b"x")]}, "changed"),
        (build_request(), {"app-0": [build_recorded(authorization=b"Bearer key")]}, "key"),
        (build_request(response_body=b"app-0:b"), {"app-0": [build_recorded()]}, "mixed"),
        (build_request("/chats/a", event_ids=[1, 3]), {"m": [build_recorded("/chats/a")]}, "order"),
        (build_request("/chats/a", event_ids=[1, 2]), {"m": [build_recorded("/chats/a")]}, "cut"),
        (build_request(status=0, complete=False), {"app-0": [build_recorded()]}, "lost"),
        (build_request(parse_error="bad chunk"), {"app-0": [build_recorded()]}, "malformed"),
    ],
)
def test_each_violation_is_reported(sent_request, recorded_by_target, guarantee):
    assert guarantee in violated_guarantees(sent_request, recorded_by_target)


def test_wrong_workspace_is_reported():
    recorded = build_recorded()
    recorded.headers[b"celeryrun-tenant"] = b"herd"
    assert violated_guarantees(build_request(), {"app-0": [recorded]}) == {"workspace"}


def test_revoked_key_is_accepted_only_within_the_revocation_lag():
    assert (
        violated_guarantees(build_request(), {"app-0": [build_recorded()]}, revoked_at={"key": 6.0})
        == set()
    )
    assert violated_guarantees(
        build_request(), {"app-0": [build_recorded()]}, revoked_at={"key": 4.9}
    ) == {"revoked"}


def test_response_may_be_lost_only_near_a_fault_of_its_node():
    lost = build_request(status=0, complete=False)
    recorded_by_target = {"app-0": [build_recorded()]}
    assert (
        violated_guarantees(lost, recorded_by_target, [FaultPeriod("kill", 8.0, 9.0, "node-0")])
        == set()
    )
    assert violated_guarantees(
        lost, recorded_by_target, [FaultPeriod("kill", 8.0, 9.0, "node-1")]
    ) == {"lost"}
    assert violated_guarantees(
        lost, recorded_by_target, [FaultPeriod("kill", 1.0, 2.0, "node-0")]
    ) == {"lost"}


@pytest.mark.parametrize(("arrived_at", "count"), [(12.0, 0), (13.0, 1), (21.0, 0)])
def test_draining_target_receives_nothing_after_the_lag_until_its_return(arrived_at, count):
    drain_periods = [DrainPeriod("app-0", 10.0, 20.0)]
    assert (
        len(check_drains(drain_periods, {"app-0": [build_recorded(arrived_at=arrived_at)]}, []))
        == count
    )
