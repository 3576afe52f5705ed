"""The checker reports each violated guarantee and no other."""

import pytest

from soak._checker import (
    DrainPeriod,
    FaultPeriod,
    SentRequest,
    VersionPeriod,
    check_drains,
    check_failures,
    check_leaving,
    check_requests,
    check_resumed,
    check_retry_after,
    check_versions,
    check_whole_responses,
)
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


def build_stream(attempt_id="a", events=(), **changes):
    fields = {"sent_at": 10.0, "ended_at": 10.2, "status": 200, "complete": True, "deadline": 6.0}
    fields["event_ids"] = [id for id, _ in events]
    return SentRequest(
        attempt_id,
        "/chats/a",
        "key",
        events=list(events),
        **({"node": "node-0"} | fields | changes),
    )


def build_resumed(attempt_id, last_event_id, events, **changes):
    return build_stream(
        attempt_id,
        events,
        **({"sent_at": 11.0, "resumes": "a", "last_event_id": last_event_id} | changes),
    )


def test_resumed_stream_goes_on_after_its_last_event():
    recorded = [build_recorded("/chats/a")]
    whole = build_resumed("a", 1, [(2, "v1"), (3, "v1")], resumes="earlier")
    assert violated_guarantees(whole, {"m": recorded}) == set()
    for events, guarantee in (([1, 2, 3], "order"), ([3], "order"), ([2], "cut")):
        request = build_resumed("a", 1, [(id, "v1") for id in events], resumes="earlier")
        assert guarantee in violated_guarantees(request, {"m": recorded})


@pytest.mark.parametrize(
    ("changes", "broken_off", "faults", "count"),
    [
        ({}, False, [], 1),
        ({"status": 504}, False, [], 0),
        ({"complete": True}, False, [], 0),
        ({"broken_by_caller": True}, False, [], 0),
        ({"ended_at": 15.95}, False, [], 0),
        ({}, True, [], 0),
        ({}, False, [FaultPeriod("kill", 8.0, 9.0, "node-0")], 0),
        ({}, False, [FaultPeriod("kill", 8.0, 9.0, "node-1")], 1),
        ({}, False, [FaultPeriod("kill", 1.0, 2.0, "node-0")], 1),
    ],
)
def test_response_that_its_node_broke_off_is_reported(changes, broken_off, faults, count):
    request = build_stream(events=[(1, "v1")], **({"complete": False, "ended_at": 12.0} | changes))
    recorded = build_recorded("/chats/a")
    recorded.broken_off = broken_off
    assert len(check_whole_responses([request], {"m": [recorded]}, faults)) == count


@pytest.mark.parametrize(
    ("status", "broken_off", "faults", "count"),
    [
        (502, False, [], 1),
        (503, False, [], 0),
        (504, False, [], 1),
        (502, True, [], 0),
        (502, False, [FaultPeriod("runner-reset", 9.0, 9.0)], 0),
        (502, False, [FaultPeriod("runner-reset", 5.0, 5.0)], 1),
    ],
)
def test_failure_is_reported_unless_a_target_broke_off(status, broken_off, faults, count):
    recorded = build_recorded()
    recorded.broken_off = broken_off
    request = build_request(status=status)
    assert len(check_failures([request], {"app-0": [recorded]}, faults)) == count


def test_timeout_at_the_deadline_is_no_failure():
    request = build_request(status=504, ended_at=11.95)
    assert check_failures([request], {"app-0": [build_recorded()]}, []) == []


@pytest.mark.parametrize(
    ("ids", "guarantees"), [([2, 3], []), ([3], ["order"]), ([1, 2], ["order"])]
)
def test_events_over_all_tries_have_no_gap_and_no_repeat(ids, guarantees):
    tries = [
        build_resumed("b", 1, [(id, "v1") for id in ids]),
        build_stream("a", [(1, "v1")], complete=False),
    ]
    assert [violation.guarantee for violation in check_versions(tries)] == guarantees


@pytest.mark.parametrize(("mixed", "guarantees"), [(2, []), (3, ["versions"])])
def test_two_streams_at_most_hold_events_of_two_versions(mixed, guarantees):
    over_tries = [
        build_stream("a", [(1, "v1")], complete=False),
        build_resumed("b", 1, [(2, "v2"), (3, "v2")]),
    ]
    in_one_response = [
        build_stream(f"c{number}", [(1, "v1"), (2, "v2")]) for number in range(mixed - 1)
    ]
    pure = [build_stream(f"d{number}", [(1, f"v{number}")]) for number in range(4)]
    requests = [*over_tries, *in_one_response, *pure]
    assert [violation.guarantee for violation in check_versions(requests)] == guarantees


def build_streams_taken_up(count, going_on):
    requests = []
    for number in range(count):
        requests.append(build_stream(f"n{number}", [(1, "v1")], complete=False))
        is_going_on = number < going_on
        requests.append(
            build_resumed(
                f"r{number}",
                1,
                [(2, "v1"), (3, "v1")] if is_going_on else [],
                status=200 if is_going_on else 503,
                resumes=f"n{number}",
            )
        )
    return requests


VERSION_PERIODS = [
    VersionPeriod("model-0", "v1", 0.0, 20.0),
    VersionPeriod("model-1", "v1", 0.0, 20.0),
    VersionPeriod("model-2", "v2", 0.0, 20.0),
]


@pytest.mark.parametrize(
    ("count", "going_on", "periods", "disturbances", "outages", "violations"),
    [
        (12, 6, VERSION_PERIODS, [], [], 0),
        (12, 5, VERSION_PERIODS, [], [], 1),
        (11, 0, VERSION_PERIODS, [], [], 0),
        (12, 0, VERSION_PERIODS[1:], [], [], 0),
        (12, 0, VERSION_PERIODS, [FaultPeriod("term", 7.0, 7.5, "node-0")], [], 0),
        (12, 0, VERSION_PERIODS, [FaultPeriod("term", 7.0, 7.5, "node-1")], [], 1),
        (12, 0, VERSION_PERIODS, [FaultPeriod("term", 1.0, 2.0, "node-0")], [], 1),
        (12, 0, VERSION_PERIODS, [], [FaultPeriod("silence", 9.0, 11.0, "model-0")], 0),
        (12, 0, VERSION_PERIODS, [], [FaultPeriod("silence", 9.0, 11.0, "model-2")], 1),
    ],
)
def test_half_as_many_streams_go_on_as_begin(
    count, going_on, periods, disturbances, outages, violations
):
    requests = build_streams_taken_up(count, going_on)
    assert len(check_resumed(requests, periods, disturbances, outages)) == violations


def test_share_of_streams_that_go_on_is_held_against_those_that_begin():
    unserved = [build_stream(f"u{number}", status=503, complete=False) for number in range(12)]
    requests = [*build_streams_taken_up(12, 3), *unserved]
    assert check_resumed(requests, VERSION_PERIODS, [], []) == []


def build_reached(attempt_id, arrived_at, born=1, target="app-0", **changes):
    recorded = build_recorded(
        attempt_id=attempt_id,
        arrived_at=arrived_at,
        **{"celeryrun-expect-instance": target.encode()},
    )
    recorded.born = born
    for name, value in changes.items():
        setattr(recorded, name, value)
    return recorded


@pytest.mark.parametrize(
    ("sent_at", "node", "changes", "stops", "count"),
    [
        (12.8, "node-0", {}, [], 1),
        (12.5, "node-0", {}, [], 0),
        (12.8, "node-1", {}, [], 0),
        (12.8, "node-0", {"born": 2}, [], 0),
        (12.8, "node-0", {"target": "app-1"}, [], 0),
        (12.8, "node-0", {}, [FaultPeriod("term", 11.0, 12.0, "node-0")], 0),
        (12.8, "node-0", {}, [FaultPeriod("pause", 11.0, 12.0, "node-1")], 1),
        (12.8, "node-0", {}, [FaultPeriod("kill", 8.0, 9.0, "node-0")], 1),
    ],
)
def test_target_that_says_that_it_leaves_receives_nothing_after_the_lag(
    sent_at, node, changes, stops, count
):
    first = build_request(responded_at=10.1, target="app-0")
    late = build_request(sent_at=sent_at, ended_at=sent_at + 0.1)
    late.attempt_id, late.node = "b", node
    recorded = [
        build_reached("a", 10.05, leaving=True),
        build_reached("b", sent_at + 0.05, **changes),
    ]
    assert len(check_leaving([first, late], {"app-0": recorded}, stops)) == count


def test_node_that_passed_on_no_response_need_not_know_that_a_target_leaves():
    first = build_request(status=0, complete=False)
    late = build_request(sent_at=14.0)
    late.attempt_id = "b"
    recorded = [build_reached("a", 10.05, leaving=True), build_reached("b", 14.1)]
    assert check_leaving([first, late], {"app-0": recorded}, []) == []


@pytest.mark.parametrize(
    ("times", "nodes", "changes", "stops", "count"),
    [
        ((10.6, 11.0, 11.9), "000", {}, [], 1),
        ((10.6, 11.9), "00", {}, [], 0),
        ((10.1, 10.4, 10.6, 11.9), "0000", {}, [], 0),
        ((10.6, 11.9, 12.1), "000", {}, [], 0),
        ((10.6, 11.0, 11.9), "010", {}, [], 0),
        ((10.6, 11.0, 11.9), "000", {"born": 2}, [], 0),
        ((10.6, 11.0, 11.9), "000", {"target": "app-1"}, [], 0),
        ((10.6, 11.0, 11.9), "000", {}, [FaultPeriod("kill", 10.2, 10.5, "node-0")], 0),
        ((10.6, 11.0, 11.9), "000", {}, [FaultPeriod("runner-silent", 10.2, 10.5)], 0),
        ((10.6, 11.0, 11.9), "000", {}, [FaultPeriod("kill", 10.2, 10.5, "node-1")], 1),
    ],
)
def test_node_obeys_retry_after(times, nodes, changes, stops, count):
    sent_requests = [build_request()]
    recorded = [build_reached("a", 10.0, retry_after=2.0, executed=False)]
    for number, (time, node) in enumerate(zip(times, nodes, strict=True)):
        request = build_request(sent_at=time)
        request.attempt_id, request.node = f"b{number}", f"node-{node}"
        sent_requests.append(request)
        recorded.append(build_reached(request.attempt_id, time, **changes))
    assert len(check_retry_after(sent_requests, {"app-0": recorded}, stops)) == count
