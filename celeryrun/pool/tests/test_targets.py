"""Leaving targets, reported by the platform's list, by their responses and by peers."""

import pytest

from celeryrun.streams import Vm
from celeryrun.tests.network import Network, wait_until
from celeryrun.wire import TargetGossip, TargetUpdate

ADDRESS = "127.0.0.1:700"


def listed(state="live", address=ADDRESS):
    return [Vm("engine", "zone-0", address, state, "target", "drafts")]


@pytest.fixture
def network():
    running = Network()
    for number in range(5):
        running.add(f"node-{number}")
    for node in running.node_by_name.values():
        node.update_vms(running.vms() + listed())
    yield running
    running.stop()


@pytest.fixture
def targets(network):
    return network.node_by_name["node-0"].targets


def is_leaving(node):
    return node.targets.by_name["engine"].leaving


def apply_list(targets, vms):
    targets._on_list(vms)


def test_targets_own_response_reaches_every_node_before_the_list_shows_it(network):
    network.node_by_name["node-2"].targets.note_leaving("engine")
    assert wait_until(lambda: all(map(is_leaving, network.node_by_name.values())))


def test_lagging_list_does_not_readmit_a_target(targets):
    targets.note_leaving("engine")
    apply_list(targets, listed())
    assert targets.address_of("engine", ADDRESS) is None


def test_target_that_the_list_showed_leaving_is_readmitted_when_live(targets):
    targets.note_leaving("engine")
    apply_list(targets, listed("leaving"))
    apply_list(targets, listed())
    assert targets.address_of("engine", "") == ADDRESS


def test_update_from_before_the_readmission_is_ignored(targets):
    apply_list(targets, listed("leaving"))
    apply_list(targets, listed())
    outdated = TargetUpdate("engine", ADDRESS, "leaving", 5.0)
    targets._on_gossip("node-1", TargetGossip((outdated,)))
    assert not targets.by_name["engine"].leaving


def test_target_with_another_address_is_a_new_target(targets):
    targets.note_leaving("engine")
    apply_list(targets, listed(address="127.0.0.1:701"))
    assert targets.address_of("engine", "") == "127.0.0.1:701"
    targets._on_gossip("node-1", TargetGossip((TargetUpdate("engine", ADDRESS, "leaving", 0.0),)))
    assert not targets.by_name["engine"].leaving


def test_list_that_shows_only_live_for_long_overrides_the_response(targets, monkeypatch):
    targets.note_leaving("engine")
    monkeypatch.setattr("celeryrun.pool._targets.LIST_OVERRIDE_DELAY", 0.0)
    apply_list(targets, listed())
    assert targets.by_name["engine"].is_usable()


def test_address_of_a_granted_target_that_the_list_does_not_show(targets):
    assert targets.address_of("new-engine", "127.0.0.1:800") == "127.0.0.1:800"
    apply_list(targets, [])
    assert targets.address_of("engine", ADDRESS) is None


def test_updates_per_message_and_transmissions_are_bounded(targets):
    many = [Vm(f"e{n}", "z", f"127.0.0.1:{n}", "leaving", "target", "p") for n in range(1, 200)]
    apply_list(targets, many)
    sizes = []
    while updates := targets._pick_updates():
        sizes.append(len(updates))
    assert max(sizes) == 8
    # Probes between the nodes carry some of the updates meanwhile.
    assert 1000 < sum(sizes) <= 199 * 10
