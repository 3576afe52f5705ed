"""Established connections deliver no more data, while new connections work."""

import json
import threading
import time

from celeryrun.node.tests.test_dispatch import wait_for
from celeryrun.tests.builders import build_idempotency_key

STREAM = {"prompt": "a contract of some length", "max_tokens": 400, "stream": True}


def silence(fleet, *names):
    """Make stand-ins send nothing more on their established connections."""
    for name in names:
        fleet.set_faults(name, silent=True, slow=0)


def run_in_background(call):
    results = []
    thread = threading.Thread(target=lambda: results.append(call()))
    thread.start()
    return thread, results


def test_stream_completes_despite_silent_connections(fleet):
    thread, responses = run_in_background(
        lambda: fleet.request(fleet.nodes[0], "routes", "POST", "/drafts/v1/generate", STREAM)
    )
    engines = ("engine-0", "engine-1")
    wait_for(lambda: any(fleet.call_standin("GET", name, "/record")["running"] for name in engines))
    silence(fleet, *engines)
    thread.join()
    events = responses[0].data.decode().strip().split("\n\n")
    indexes = [json.loads(event.removeprefix("data: "))["index"] for event in events[:-1]]
    assert indexes == list(range(400))
    assert '"complete"' in events[-1]
    records = [fleet.call_standin("GET", name, "/record") for name in engines]
    assert sum(len(record["dispatched"]) for record in records) == 1


def test_call_on_a_silent_connection_has_unknown_outcome_and_runs_at_most_once(fleet):
    fleet.set_faults("application-0", slow=0.5)
    fleet.set_faults("application-1", slow=0.5)
    thread, responses = run_in_background(
        lambda: fleet.request(
            fleet.nodes[1], "bookings", "GET", "/warehouse/stock/silent", Request_Timeout="3"
        )
    )
    time.sleep(0.2)
    silence(fleet, "application-0", "application-1")
    thread.join()
    runs = [
        run
        for name in ("application-0", "application-1")
        for run in fleet.call_standin("GET", name, "/record")["runs"]
        if run["path"] == "/stock/silent"
    ]
    assert responses[0].headers["Celeryrun-Outcome"] == "unknown"
    assert len(runs) <= 1
    new_response = fleet.request(fleet.nodes[1], "bookings", "GET", "/warehouse/stock/again")
    assert new_response.headers["Celeryrun-Outcome"] == "complete"


def test_silent_platform_delays_bookings_and_runs_none_twice(fleet):
    keys = [build_idempotency_key() for _ in range(6)]
    silence(fleet, "platform")
    responses = [
        fleet.request(
            fleet.nodes[number % 3],
            "bookings",
            "POST",
            "/warehouse/bookings",
            {},
            Idempotency_Key=key,
            Request_Timeout="20",
        )
        for number, key in enumerate(keys)
    ]
    runs = [
        run["key"]
        for name in ("application-0", "application-1")
        for run in fleet.call_standin("GET", name, "/record")["runs"]
    ]
    for key, response in zip(keys, responses, strict=True):
        assert runs.count(key) <= 1
        outcome = response.headers["Celeryrun-Outcome"]
        assert outcome != "complete" or runs.count(key) == 1
        assert outcome != "not-run" or runs.count(key) == 0
    later_response = fleet.request(
        fleet.nodes[0],
        "bookings",
        "POST",
        "/warehouse/bookings",
        {},
        Idempotency_Key=build_idempotency_key(),
    )
    assert later_response.headers["Celeryrun-Outcome"] == "complete"
