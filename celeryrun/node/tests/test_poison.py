"""A request that crashes each target that runs it, and is sent again through other nodes."""

import json
import threading

import pytest

from standins.fleet import Fleet, FleetConfig

POISON = {"prompt": "a poisonous draft", "max_tokens": 4}
ENGINES = 4


@pytest.fixture
def poisoned():
    with Fleet(FleetConfig(engines=ENGINES, applications=0)) as fleet:
        for number in range(ENGINES):
            fleet.set_faults(f"engine-{number}", crash_on="poison")
        yield fleet


def send(fleet, number, content):
    node = fleet.nodes[number % len(fleet.nodes)]
    return fleet.request(node, "contracts", "POST", "/drafts/v1/generate", content)


def send_until_whole(fleet, number, errors):
    content = {"prompt": f"draft {number}", "max_tokens": 150}
    for turn in range(6):
        answer = send(fleet, number + turn, content)
        if answer.status == 200:
            return
        errors.append(json.loads(answer.data)["error"])


def lost(fleet):
    return sum(
        fleet.process_by_name[f"engine-{number}"].poll() is not None for number in range(ENGINES)
    )


def test_poison_is_refused_before_it_takes_every_target(poisoned):
    errors = []
    callers = [
        threading.Thread(target=send_until_whole, args=(poisoned, number, errors))
        for number in range(12)
    ]
    for caller in callers:
        caller.start()
    answers = [send(poisoned, number, POISON) for number in range(6)]
    for caller in callers:
        caller.join()
    assert 2 <= lost(poisoned) <= 3
    assert answers[0].headers["Celeryrun-Outcome"] == "unknown"
    last = answers[-1]
    assert last.headers["Celeryrun-Outcome"] == "not-run"
    assert json.loads(last.data)["error"] == "suspect"
    assert 0 < int(last.headers["Retry-After"]) <= 120
    assert "suspect" not in errors
    mended = send(poisoned, 0, {"prompt": "a wholesome draft", "max_tokens": 4})
    assert mended.status == 200
