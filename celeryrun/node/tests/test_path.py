"""Requests from a caller to a target and back, through node processes."""

import json

import pytest

from celeryrun.tests.builders import build_idempotency_key

DRAFT = {"prompt": "A season contract", "max_tokens": 5}


def test_every_node_answers_a_draft_completely(fleet):
    for node in fleet.nodes:
        response = fleet.request(node, "contracts", "POST", "/drafts/v1/generate", DRAFT)
        assert response.status == 200
        assert response.headers["Celeryrun-Outcome"] == "complete"
        content = json.loads(response.data)
        assert len(content["text"].split()) == content["completion_tokens"] == 5


def test_stream_ends_with_its_outcome(fleet):
    body = {**DRAFT, "stream": True}
    response = fleet.request(fleet.nodes[0], "routes", "POST", "/drafts/v1/generate", body)
    events = response.data.decode().strip().split("\n\n")
    indexes = [json.loads(event.removeprefix("data: "))["index"] for event in events[:-1]]
    assert indexes == [0, 1, 2, 3, 4]
    assert events[-1].startswith("event: outcome\n")
    assert json.loads(events[-1].partition("data: ")[2])["outcome"] == "complete"


def test_lookup_and_booking_are_run(fleet):
    node = fleet.nodes[1]
    response = fleet.request(node, "bookings", "GET", "/warehouse/stock/crates?size=2")
    assert json.loads(response.data)["path"] == "/stock/crates?size=2"
    key = build_idempotency_key()
    booking = fleet.request(
        node, "bookings", "POST", "/warehouse/bookings", {}, Idempotency_Key=key
    )
    assert booking.status == 200
    repeated = fleet.request(
        node, "bookings", "POST", "/warehouse/bookings", {}, Idempotency_Key=key
    )
    assert repeated.headers["Celeryrun-Outcome"] == "complete"
    assert repeated.data == booking.data
    runs = [run for app in ("application-0", "application-1") for run in list_runs(fleet, app)]
    assert sum(run["key"] == key for run in runs) == 1


def list_runs(fleet, application):
    return fleet.call_standin("GET", application, "/record")["runs"]


INVALID_REQUESTS = {
    "no key": ("GET", "/warehouse/stock", {"Authorization": ""}, None, 401),
    "bad key": ("GET", "/warehouse/stock", {"Authorization": "Bearer nobody"}, None, 401),
    "unknown pool": ("GET", "/nowhere/stock", {}, None, 404),
    "no idempotency key": ("POST", "/warehouse/bookings", {}, {}, 400),
    "foreign idempotency key": ("POST", "/warehouse/bookings", {"Idempotency-Key": "1"}, {}, 400),
    "bad request id": ("GET", "/warehouse/stock", {"Request-Id": "a b"}, None, 400),
    "bad timeout": ("GET", "/warehouse/stock", {"Request-Timeout": "soon"}, None, 400),
    "malformed body": ("POST", "/drafts/v1/generate", {}, {"promt": "x"}, 400),
    "no tokens": ("POST", "/drafts/v1/generate", {}, {"prompt": "x", "max_tokens": 0}, 400),
    "oversized body": ("POST", "/drafts/v1/generate", {}, {"prompt": "x" * 2_000_000}, 413),
    "unknown call": ("GET", "/drafts/v1/models", {}, None, 404),
}


@pytest.mark.parametrize("case", INVALID_REQUESTS)
def test_invalid_request_is_refused_with_a_remedy(fleet, case):
    method, path, headers, content, status = INVALID_REQUESTS[case]
    response = fleet.request(fleet.nodes[0], "routes", method, path, content, **headers)
    assert response.status == status
    assert response.headers["Celeryrun-Outcome"] == "not-run"
    assert set(json.loads(response.data)) == {"error", "remedy"}


def test_retry_with_the_same_request_id_gets_the_same_answer(fleet):
    node = fleet.nodes[2]
    responses = [
        fleet.request(node, "routes", "GET", "/warehouse/stock/a", Request_Id="retry-1")
        for _ in range(2)
    ]
    assert responses[0].data == responses[1].data
    other = fleet.request(node, "bookings", "GET", "/warehouse/stock/a", Request_Id="retry-1")
    assert other.data != responses[0].data
