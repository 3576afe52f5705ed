"""Claims through real processes while the log fails."""

import json
import threading
import time

import pytest

from celeryrun.tests.builders import fresh_key


@pytest.fixture
def log(fleet):
    yield lambda **faults: fleet.fault("platform", **faults)
    fleet.fault("platform", outage=False, slow=0, lose_answers=0)
    until = time.monotonic() + 10
    while outcome(book(fleet, fleet.nodes[0], fresh_key())) != "complete":
        assert time.monotonic() < until


def book(fleet, node, key, **headers):
    headers["Idempotency_Key"] = key
    return fleet.request(node, "bookings", "POST", "/warehouse/bookings", {}, **headers)


def outcome(answer):
    return answer.headers["Celeryrun-Outcome"]


def runs(fleet, key):
    books = [fleet.call("GET", f"application-{n}", "/record")["runs"] for n in range(2)]
    return sum(run["key"] == key for runs in books for run in runs)


def retry(fleet, key, seconds=15.0):
    until = time.monotonic() + seconds
    answers = []
    while time.monotonic() < until:
        answers.append(book(fleet, fleet.nodes[len(answers) % len(fleet.nodes)], key))
        if outcome(answers[-1]) == "complete":
            return answers[-1]
        time.sleep(0.1)
    raise AssertionError([(answer.status, answer.data) for answer in answers])


def test_outage_refuses_without_running_and_lookups_go_on(fleet, log):
    log(outage=True)
    keys = [fresh_key() for _ in range(3)]
    for node, key in zip(fleet.nodes, keys, strict=True):
        answer = book(fleet, node, key)
        assert outcome(answer) == "unknown"
        assert fleet.request(node, "routes", "GET", "/warehouse/stock").status == 200
    time.sleep(4.0)
    answer = book(fleet, fleet.nodes[0], fresh_key())
    assert (answer.status, json.loads(answer.data)["error"]) == (503, "log-unavailable")
    log(outage=False)
    for key in keys:
        assert runs(fleet, key) == 0
        retry(fleet, key)
        assert runs(fleet, key) == 1


def test_lost_answers_of_appends_cost_no_booking(fleet, log):
    log(lose_answers=4)
    keys = [fresh_key() for _ in range(4)]
    for key in keys:
        retry(fleet, key)
    assert [runs(fleet, key) for key in keys] == [1] * 4


def test_one_key_at_all_nodes_in_the_same_instant(fleet):
    for _ in range(5):
        key = fresh_key()
        start = threading.Barrier(len(fleet.nodes))
        answers = []

        def ask(node, key=key, start=start, answers=answers):
            start.wait()
            answers.append(book(fleet, node, key))

        threads = [threading.Thread(target=ask, args=(node,)) for node in fleet.nodes]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert {outcome(answer) for answer in answers} == {"complete"}
        assert len({answer.data for answer in answers}) == 1
        assert runs(fleet, key) == 1


def test_booking_that_reaches_no_target_is_not_run_and_runs_later(fleet):
    key = fresh_key()
    applications = ("application-0", "application-1")
    for application in applications:
        fleet.kill(application)
    try:
        answer = book(fleet, fleet.nodes[0], key, Request_Timeout="1")
        assert outcome(answer) == "not-run"
    finally:
        for application in applications:
            fleet.restart(application)
    retry(fleet, key)
    assert runs(fleet, key) == 1
