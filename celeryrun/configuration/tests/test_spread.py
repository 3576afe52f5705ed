"""Spread of the configuration through real processes under faults of the log."""

import signal
import time

import pytest

from standins.fleet import Fleet, FleetPlan

IN_FORCE = 6.0  # s that the promise allows
RETENTION = 10.0  # s


@pytest.fixture
def spread_fleet():
    plan = FleetPlan(nodes=3, engines=0, applications=0, retention=RETENTION)
    with Fleet(plan) as running:
        yield running


def publish(fleet, **tiers):
    fleet.plan.plans.update(tiers)
    fleet.publish()
    return max(version(fleet, name) or 0 for name in fleet.nodes)


def version(fleet, name):
    try:
        return fleet.status(name)["version"]
    except Exception:
        return None


def silence(fleet):
    """Let every connection to the platform that is open now go silent."""
    fleet.fault("platform", silent=True)
    fleet.http.clear()


def wait_equal(fleet, names, patience=IN_FORCE):
    """Wait until nodes have one version and digest in force, and return the version."""
    until = time.monotonic() + patience
    while True:
        states = {(s["version"], s["digest"]) for s in map(fleet.status, names)}
        if len(states) == 1:
            return states.pop()[0]
        assert time.monotonic() < until, f"not equal: {states}"
        time.sleep(0.1)


def test_change_is_in_force_everywhere(spread_fleet):
    fleet = spread_fleet
    fleet.publish("--wait")
    first = wait_equal(fleet, fleet.nodes)
    publish(fleet, fresh=2)
    time.sleep(0.2)
    assert wait_equal(fleet, fleet.nodes) > first


def test_frozen_node_wakes_to_the_newest_version(spread_fleet):
    fleet = spread_fleet
    frozen, others = fleet.nodes[0], fleet.nodes[1:]
    fleet.kill(frozen, signal.SIGSTOP)
    for number in range(10):
        fleet.plan.plans[f"w{number}"] = 1 + number % 3
        fleet.publish()
    newest = wait_equal(fleet, others)
    fleet.kill(frozen, signal.SIGCONT)
    assert wait_equal(fleet, fleet.nodes) == newest


def test_peers_pull_from_the_one_that_is_ahead_of_a_dead_log(spread_fleet):
    fleet = spread_fleet
    late = fleet.nodes[1:]
    for name in late:
        fleet.kill(name, signal.SIGSTOP)
    time.sleep(0.3)
    newest = publish(fleet, ahead=1)
    fleet.fault("platform", log_outage=True)
    silence(fleet)
    for name in late:
        fleet.kill(name, signal.SIGCONT)
    assert wait_equal(fleet, fleet.nodes) >= newest
    # A fresh node is ready with what its peers hold, though it can't read the log.
    fleet.add_node("node-9")
    fleet.show_vms()
    fleet.wait_ready(["node-9"])
    assert wait_equal(fleet, fleet.nodes) >= newest


def test_silent_log_answers_do_not_stop_the_spread(spread_fleet):
    fleet = spread_fleet
    wait_equal(fleet, fleet.nodes)
    silence(fleet)
    newest = publish(fleet, silent=1)
    time.sleep(0.1)
    assert wait_equal(fleet, fleet.nodes) >= newest


def test_state_outlives_retention_and_every_node(spread_fleet):
    fleet = spread_fleet
    first = wait_equal(fleet, fleet.nodes)
    time.sleep(RETENTION * 1.2)
    replace_all_by(fleet, "fresh")
    fleet.wait_ready(["fresh"])
    assert fleet.status("fresh")["version"] == first
    records = fleet.call("GET", "platform", "/v1/streams/configuration/records?start=0")
    assert records["first"] >= first


def replace_all_by(fleet, name):
    for old in fleet.nodes:
        fleet.kill(old)
        del fleet.operator_by_name[old]
    fleet.vms.clear()
    fleet.add_node(name)
    fleet.show_vms()


def test_node_is_not_ready_before_it_has_read_the_log():
    with Fleet(FleetPlan(nodes=1, engines=0, applications=0)) as fleet:
        version = fleet.status(fleet.nodes[0])["version"]
        fleet.fault("platform", log_outage=True)
        replace_all_by(fleet, "fresh")
        fleet.wait_port(fleet.operator_by_name["fresh"])
        time.sleep(2.5)
        assert not fleet.status("fresh")["ready"]
        fleet.fault("platform", log_outage=False)
        fleet.wait_ready(["fresh"])
        assert fleet.status("fresh")["version"] == version
