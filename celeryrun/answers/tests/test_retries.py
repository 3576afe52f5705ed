"""Retries of requests through other nodes."""

import json
import signal
import threading
import time

import pytest

from celeryrun.answers._directory import AnswerDirectory
from celeryrun.tests.builders import build_idempotency_key

DRAFT = {"prompt": "A season contract", "max_tokens": 40}


def send_booking(fleet, node, key, workspace="bookings", content=None, **headers):
    headers["Idempotency_Key"] = key
    return fleet.request(node, workspace, "POST", "/warehouse/bookings", content or {}, **headers)


def outcome(answer):
    return answer.headers["Celeryrun-Outcome"]


def runs(fleet, key):
    runs_by_application = [
        fleet.call_standin("GET", f"application-{n}", "/record")["runs"] for n in range(2)
    ]
    return [run for runs in runs_by_application for run in runs if run["key"] == key]


def run_in_thread(action):
    results = []
    thread = threading.Thread(target=lambda: results.append(action()))
    thread.start()

    def result():
        thread.join()
        return results[0]

    return result


def test_finished_booking_is_found_from_every_node(fleet):
    key = build_idempotency_key()
    answers = [send_booking(fleet, node, key) for node in fleet.nodes * 2]
    assert {outcome(answer) for answer in answers} == {"complete"}
    assert len({answer.data for answer in answers}) == 1
    assert len(runs(fleet, key)) == 1


def test_running_booking_is_found_from_every_node(fleet):
    key = build_idempotency_key()
    for application in ("application-0", "application-1"):
        fleet.set_faults(application, late=0.5)
    try:
        results = [
            run_in_thread(lambda node=node: send_booking(fleet, node, key)) for node in fleet.nodes
        ]
        answers = [result() for result in results]
    finally:
        for application in ("application-0", "application-1"):
            fleet.set_faults(application, late=0)
    assert {outcome(answer) for answer in answers} == {"complete"}
    assert len({answer.data for answer in answers}) == 1
    assert len(runs(fleet, key)) == 1


@pytest.mark.parametrize("stream", [False, True])
def test_running_draft_is_found_from_every_node(fleet, stream):
    content = {**DRAFT, "stream": stream}
    name = f"draft-{stream}"

    def send(node):
        path = "/drafts/v1/generate"
        return fleet.request(node, "contracts", "POST", path, content, Request_Id=name)

    results = [run_in_thread(lambda node=node: send(node)) for node in fleet.nodes]
    answers = [result() for result in results]
    assert len({answer.data for answer in answers}) == 1
    assert send(fleet.nodes[1]).data == answers[0].data
    dispatched = [
        fleet.call_standin("GET", f"engine-{n}", "/record")["dispatched"] for n in range(2)
    ]
    assert sum(map(len, dispatched)) == 1 + stream


def test_request_with_other_content_does_not_get_the_first_answer(fleet):
    key = build_idempotency_key()
    send_booking(fleet, fleet.nodes[0], key, content={"crates": 1}, Request_Id="content-1")
    for node in fleet.nodes:
        answer = send_booking(fleet, node, key, content={"crates": 2})
        assert (answer.status, outcome(answer)) == (422, "not-run")
        assert json.loads(answer.data)["error"] == "idempotency-key-reused"
    assert len(runs(fleet, key)) == 1
    fleet.request(fleet.nodes[0], "routes", "GET", "/warehouse/a", Request_Id="content-2")
    for node in fleet.nodes:
        answer = fleet.request(node, "routes", "GET", "/warehouse/b", Request_Id="content-2")
        assert json.loads(answer.data)["path"] == "/b"


def test_answer_is_not_sent_to_another_workspace(fleet):
    key = build_idempotency_key()
    first = send_booking(fleet, fleet.nodes[0], key, "bookings", Request_Id="shared")
    for node in fleet.nodes:
        other = send_booking(fleet, node, key, "routes", Request_Id="shared")
        assert outcome(other) == "complete"
        assert other.data != first.data
    assert len(runs(fleet, key)) == 2
    path = "/warehouse/stock"
    lookup = fleet.request(fleet.nodes[0], "bookings", "GET", path, Request_Id="shared-2")
    for node in fleet.nodes:
        other = fleet.request(node, "routes", "GET", path, Request_Id="shared-2")
        assert other.data != lookup.data


def test_booking_of_a_crashed_node_is_unknown_and_a_lookup_runs_again(fleet):
    key = build_idempotency_key()
    first_node, other = fleet.nodes[2], fleet.nodes[0]
    send_booking(fleet, first_node, key)
    path = "/warehouse/stock/dead"
    fleet.request(first_node, "routes", "GET", path, Request_Id="dead-1")
    fleet.send_signal(first_node, signal.SIGKILL)
    try:
        answer = send_booking(fleet, other, key)
        assert outcome(answer) == "unknown"
        lookup = fleet.request(other, "routes", "GET", path, Request_Id="dead-1")
        assert outcome(lookup) == "complete"
    finally:
        fleet.restart(first_node)
        fleet.wait_ready()
    assert outcome(send_booking(fleet, first_node, key)) == "unknown"
    assert len(runs(fleet, key)) == 1


def test_directory_is_bounded():
    directory = AnswerDirectory(10, 5.0)
    for number in range(100):
        directory.find_or_register(bytes([number]), "node-0", "", float(number) / 100)
    assert len(directory) == 10
    directory.find_or_register(b"late", "node-0", "", 20.0)
    assert len(directory) == 1


def test_booking_on_a_paused_node_is_unknown_until_it_resumes(fleet):
    key = build_idempotency_key()
    first_node, other = fleet.nodes[1], fleet.nodes[0]
    for application in ("application-0", "application-1"):
        fleet.set_faults(application, late=1.0)
    first = run_in_thread(lambda: send_booking(fleet, first_node, key))
    while not runs(fleet, key):
        time.sleep(0.01)
    fleet.send_signal(first_node, signal.SIGSTOP)
    try:
        assert outcome(send_booking(fleet, other, key)) == "unknown"
    finally:
        fleet.send_signal(first_node, signal.SIGCONT)
        for application in ("application-0", "application-1"):
            fleet.set_faults(application, late=0)
    assert outcome(first()) == "complete"
    assert send_booking(fleet, other, key).data == first().data
    assert len(runs(fleet, key)) == 1


def test_refusal_of_a_key_that_may_have_run_has_an_unknown_outcome(fleet):
    key = build_idempotency_key()
    send_booking(fleet, fleet.nodes[0], key)
    refused = send_booking(fleet, fleet.nodes[1], key, Authorization="Bearer nobody")
    assert (refused.status, outcome(refused)) == (401, "unknown")
    refused = send_booking(fleet, fleet.nodes[1], "booking-1")
    assert (refused.status, outcome(refused)) == (400, "not-run")
