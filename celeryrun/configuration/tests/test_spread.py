"""Spread of the configuration through real processes under faults of the log."""

import re
import signal
import time

import pytest

from standins.fleet import Fleet, FleetConfig

IN_FORCE = 6.0  # s that the promise allows
RETENTION = 10.0  # s


@pytest.fixture
def spread_fleet():
    config = FleetConfig(nodes=3, engines=0, applications=0, retention=RETENTION)
    with Fleet(config) as running:
        yield running


def publish(fleet, **tiers):
    """Publish with some more workspaces and return the version that was accepted."""
    fleet.config.tier_by_workspace.update(tiers)
    return int(re.search(r"version (\d+) accepted", fleet.publish().stdout)[1])


def silence(fleet):
    """Let every connection to the platform that is open now go silent."""
    fleet.set_faults("platform", silent=True)
    fleet.http.clear()


def wait_equal(fleet, names, least=0, patience=IN_FORCE):
    """Wait until nodes have one content in force, of a version or a later one; return it."""
    until = time.monotonic() + patience
    while True:
        states = {(s["version"], s["digest"]) for s in map(fleet.status, names)}
        if len(states) == 1 and min(states)[0] >= least:
            return states.pop()[0]
        assert time.monotonic() < until, f"not at {least} or not equal: {states}"
        time.sleep(0.1)


def test_change_is_in_force_everywhere(spread_fleet):
    fleet = spread_fleet
    wait_equal(fleet, fleet.nodes, publish(fleet, fresh=2))


def test_frozen_node_wakes_to_the_newest_version(spread_fleet):
    fleet = spread_fleet
    frozen = fleet.nodes[0]
    fleet.send_signal(frozen, signal.SIGSTOP)
    for number in range(10):
        newest = publish(fleet, **{f"w{number}": 1 + number % 3})
    fleet.send_signal(frozen, signal.SIGCONT)
    wait_equal(fleet, fleet.nodes, newest)


def test_peers_pull_from_the_one_that_is_ahead_of_a_dead_log(spread_fleet):
    fleet = spread_fleet
    first, *late = fleet.nodes
    for name in late:
        fleet.send_signal(name, signal.SIGSTOP)
    newest = publish(fleet, ahead=1)
    wait_equal(fleet, [first], newest)
    fleet.set_faults("platform", log_outage=True)
    silence(fleet)
    for name in late:
        fleet.send_signal(name, signal.SIGCONT)
    wait_equal(fleet, fleet.nodes, newest)
    # A fresh node is ready with what its peers hold, though it can't read the log.
    fleet.add_node("node-9")
    fleet.put_vms()
    fleet.wait_ready(["node-9"])
    wait_equal(fleet, fleet.nodes, newest)


def test_silent_log_answers_do_not_stop_the_spread(spread_fleet):
    fleet = spread_fleet
    silence(fleet)
    wait_equal(fleet, fleet.nodes, publish(fleet, silent=1))


def test_state_outlives_retention_and_every_node(spread_fleet):
    fleet = spread_fleet
    first = wait_equal(fleet, fleet.nodes)
    time.sleep(RETENTION * 1.2)
    replace_all_by(fleet, "fresh")
    fleet.wait_ready(["fresh"])
    assert fleet.status("fresh")["version"] == first
    records = fleet.call_standin("GET", "platform", "/v1/streams/configuration/records?start=0")
    assert records["first"] >= first


def replace_all_by(fleet, name):
    for old in fleet.nodes:
        fleet.send_signal(old)
        del fleet.operator_port_by_name[old]
    fleet.vms.clear()
    fleet.add_node(name)
    fleet.put_vms()


def test_node_is_not_ready_before_it_has_read_the_log():
    with Fleet(FleetConfig(nodes=1, engines=0, applications=0)) as fleet:
        version = fleet.status(fleet.nodes[0])["version"]
        fleet.set_faults("platform", log_outage=True)
        replace_all_by(fleet, "fresh")
        fleet.wait_port(fleet.operator_port_by_name["fresh"])
        time.sleep(2.5)
        assert not fleet.status("fresh")["ready"]
        fleet.set_faults("platform", log_outage=False)
        fleet.wait_ready(["fresh"])
        assert fleet.status("fresh")["version"] == version
