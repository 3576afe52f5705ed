"""A request that crashes every target that runs it is retried through several nodes."""

import json
import threading

import pytest

from standins.fleet import Fleet, FleetConfig

CRASHING_DRAFT = {"prompt": "a poisonous draft", "max_tokens": 4}
ENGINE_COUNT = 4


@pytest.fixture
def crash_fleet():
    with Fleet(FleetConfig(engines=ENGINE_COUNT, applications=0)) as fleet:
        for number in range(ENGINE_COUNT):
            fleet.set_faults(f"engine-{number}", crash_on="poison")
        yield fleet


def send(fleet, number, content):
    node = fleet.nodes[number % len(fleet.nodes)]
    return fleet.request(node, "contracts", "POST", "/drafts/v1/generate", content)


def send_until_complete(fleet, number, errors):
    content = {"prompt": f"draft {number}", "max_tokens": 150}
    for turn in range(6):
        response = send(fleet, number + turn, content)
        if response.status == 200:
            return
        errors.append(json.loads(response.data)["error"])


def count_crashed_engines(fleet):
    return sum(
        fleet.process_by_name[f"engine-{number}"].poll() is not None
        for number in range(ENGINE_COUNT)
    )


def test_crashing_request_is_refused_before_it_crashes_every_target(crash_fleet):
    errors = []
    callers = [
        threading.Thread(target=send_until_complete, args=(crash_fleet, number, errors))
        for number in range(12)
    ]
    for caller in callers:
        caller.start()
    responses = [send(crash_fleet, number, CRASHING_DRAFT) for number in range(6)]
    for caller in callers:
        caller.join()
    assert 2 <= count_crashed_engines(crash_fleet) <= 3
    assert responses[0].headers["Celeryrun-Outcome"] == "unknown"
    last_response = responses[-1]
    assert last_response.headers["Celeryrun-Outcome"] == "not-run"
    assert json.loads(last_response.data)["error"] == "suspect"
    assert 0 < int(last_response.headers["Retry-After"]) <= 120
    assert "suspect" not in errors
    other_response = send(crash_fleet, 0, {"prompt": "a wholesome draft", "max_tokens": 4})
    assert other_response.status == 200


def test_drafts_that_share_a_crashing_beginning_do_not_crash_every_target(crash_fleet):
    beginning = "poison " + "x" * 600
    for number in range(6):
        if count_crashed_engines(crash_fleet) < ENGINE_COUNT:
            send(crash_fleet, number, {"prompt": f"{beginning} draft {number}", "max_tokens": 4})
    assert count_crashed_engines(crash_fleet) <= 3
