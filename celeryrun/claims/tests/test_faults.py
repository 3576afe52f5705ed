"""Claims by node processes while the log fails."""

import json
import threading
import time

import pytest

from celeryrun.tests.builders import build_idempotency_key


@pytest.fixture
def log(fleet):
    yield lambda **faults: fleet.set_faults("platform", **faults)
    fleet.set_faults("platform", outage=False, slow=0, lose_answers=0)
    deadline = time.monotonic() + 10
    while outcome(send_booking(fleet, fleet.nodes[0], build_idempotency_key())) != "complete":
        assert time.monotonic() < deadline


def send_booking(fleet, node, key, **headers):
    headers["Idempotency_Key"] = key
    return fleet.request(node, "bookings", "POST", "/warehouse/bookings", {}, **headers)


def outcome(response):
    return response.headers["Celeryrun-Outcome"]


def runs(fleet, key):
    runs_by_application = [
        fleet.call_standin("GET", f"application-{n}", "/record")["runs"] for n in range(2)
    ]
    return sum(run["key"] == key for runs in runs_by_application for run in runs)


def retry_until_complete(fleet, key, timeout=15.0):
    deadline = time.monotonic() + timeout
    responses = []
    while time.monotonic() < deadline:
        responses.append(send_booking(fleet, fleet.nodes[len(responses) % len(fleet.nodes)], key))
        if outcome(responses[-1]) == "complete":
            return responses[-1]
        time.sleep(0.1)
    raise AssertionError([(response.status, response.data) for response in responses])


def test_outage_refuses_bookings_without_running_them_and_serves_lookups(fleet, log):
    log(outage=True)
    keys = [build_idempotency_key() for _ in range(3)]
    for node, key in zip(fleet.nodes, keys, strict=True):
        response = send_booking(fleet, node, key)
        assert outcome(response) == "unknown"
        assert fleet.request(node, "routes", "GET", "/warehouse/stock").status == 200
    time.sleep(4.0)
    response = send_booking(fleet, fleet.nodes[0], build_idempotency_key())
    assert (response.status, json.loads(response.data)["error"]) == (503, "log-unavailable")
    log(outage=False)
    for key in keys:
        assert runs(fleet, key) == 0
        retry_until_complete(fleet, key)
        assert runs(fleet, key) == 1


def test_lost_append_responses_lose_no_booking(fleet, log):
    log(lose_answers=4)
    keys = [build_idempotency_key() for _ in range(4)]
    for key in keys:
        retry_until_complete(fleet, key)
    assert [runs(fleet, key) for key in keys] == [1] * 4


def test_key_sent_to_all_nodes_at_once_runs_once(fleet):
    for _ in range(5):
        key = build_idempotency_key()
        start = threading.Barrier(len(fleet.nodes))
        responses = []

        def send(node, key=key, start=start, responses=responses):
            start.wait()
            responses.append(send_booking(fleet, node, key))

        threads = [threading.Thread(target=send, args=(node,)) for node in fleet.nodes]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert {outcome(response) for response in responses} == {"complete"}
        assert len({response.data for response in responses}) == 1
        assert runs(fleet, key) == 1


def test_booking_that_reaches_no_target_is_not_run_and_runs_later(fleet):
    key = build_idempotency_key()
    applications = ("application-0", "application-1")
    for application in applications:
        fleet.send_signal(application)
    try:
        response = send_booking(fleet, fleet.nodes[0], key, Request_Timeout="1")
        assert outcome(response) == "not-run"
    finally:
        for application in applications:
            fleet.restart(application)
    retry_until_complete(fleet, key)
    assert runs(fleet, key) == 1
