"""Tests of the spread of the configuration between real processes under faults of the log."""

import re
import signal
import time

import pytest

from standins.fleet import Fleet, FleetConfig

MAX_SPREAD_TIME = 6.0  # s, guaranteed
RETENTION = 10.0  # s


@pytest.fixture
def spread_fleet():
    config = FleetConfig(nodes=3, engines=0, applications=0, retention=RETENTION)
    with Fleet(config) as running:
        yield running


def publish(fleet, **tiers):
    """Publish additional workspaces, given by their tiers; return the accepted version."""
    fleet.config.tier_by_workspace.update(tiers)
    return int(re.search(r"version (\d+) accepted", fleet.publish().stdout)[1])


def silence_connections(fleet):
    """Make all connections to the platform that are open now stop responding."""
    fleet.set_faults("platform", silent=True)
    fleet.http.clear()


def wait_until_equal(fleet, names, min_version=0, timeout=MAX_SPREAD_TIME):
    """Wait until nodes have equal lists of a minimum version; return their version."""
    until = time.monotonic() + timeout
    while True:
        states = {(s["version"], s["digest"]) for s in map(fleet.status, names)}
        if len(states) == 1 and min(states)[0] >= min_version:
            return states.pop()[0]
        assert time.monotonic() < until, f"lists below version {min_version} or not equal: {states}"
        time.sleep(0.1)


def test_change_is_in_force_everywhere(spread_fleet):
    fleet = spread_fleet
    wait_until_equal(fleet, fleet.nodes, publish(fleet, fresh=2))


def test_frozen_node_gets_the_newest_version_after_it_resumes(spread_fleet):
    fleet = spread_fleet
    frozen = fleet.nodes[0]
    fleet.send_signal(frozen, signal.SIGSTOP)
    for number in range(10):
        newest = publish(fleet, **{f"w{number}": 1 + number % 3})
    fleet.send_signal(frozen, signal.SIGCONT)
    wait_until_equal(fleet, fleet.nodes, newest)


def test_peers_pull_a_newer_version_while_the_log_is_unavailable(spread_fleet):
    fleet = spread_fleet
    first, *late = fleet.nodes
    for name in late:
        fleet.send_signal(name, signal.SIGSTOP)
    newest = publish(fleet, ahead=1)
    wait_until_equal(fleet, [first], newest)
    fleet.set_faults("platform", log_outage=True)
    silence_connections(fleet)
    for name in late:
        fleet.send_signal(name, signal.SIGCONT)
    wait_until_equal(fleet, fleet.nodes, newest)
    # A new node is ready with the version of its peers, although it can't read the log.
    fleet.add_node("node-9")
    fleet.put_vms()
    fleet.wait_ready(["node-9"])
    wait_until_equal(fleet, fleet.nodes, newest)


def test_unresponsive_log_connections_do_not_stop_the_spread(spread_fleet):
    fleet = spread_fleet
    silence_connections(fleet)
    wait_until_equal(fleet, fleet.nodes, publish(fleet, silent=1))


def test_configuration_survives_retention_and_the_loss_of_all_nodes(spread_fleet):
    fleet = spread_fleet
    first = wait_until_equal(fleet, fleet.nodes)
    time.sleep(RETENTION * 1.2)
    replace_all_nodes(fleet, "fresh")
    fleet.wait_ready(["fresh"])
    assert fleet.status("fresh")["version"] == first
    records = fleet.call_standin("GET", "platform", "/v1/streams/configuration/records?start=0")
    assert records["first"] >= first


def replace_all_nodes(fleet, name):
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
        replace_all_nodes(fleet, "fresh")
        fleet.wait_port(fleet.operator_port_by_name["fresh"])
        time.sleep(2.5)
        assert not fleet.status("fresh")["ready"]
        fleet.set_faults("platform", log_outage=False)
        fleet.wait_ready(["fresh"])
        assert fleet.status("fresh")["version"] == version
