"""Leaving targets, as told by the list, by themselves and by peers."""

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
        node.show(running.vms() + listed())
    yield running
    running.stop()


@pytest.fixture
def targets(network):
    return network.node_by_name["node-0"].targets


def is_leaving(node):
    return node.targets.by_name["engine"].leaving


def show(targets, vms):
    targets._on_list(vms)


def test_own_answer_reaches_every_node_while_the_list_says_nothing(network):
    network.node_by_name["node-2"].targets.note_leaving("engine")
    assert wait_until(lambda: all(map(is_leaving, network.node_by_name.values())))


def test_lagging_list_does_not_take_a_target_back(targets):
    targets.note_leaving("engine")
    show(targets, listed())
    assert targets.address_of("engine", ADDRESS) is None


def test_target_that_the_list_showed_leaving_comes_back(targets):
    targets.note_leaving("engine")
    show(targets, listed("leaving"))
    show(targets, listed())
    assert targets.address_of("engine", "") == ADDRESS


def test_old_news_does_not_outweigh_the_return(targets):
    show(targets, listed("leaving"))
    show(targets, listed())
    old = TargetUpdate("engine", ADDRESS, "leaving", 5.0)
    targets._on_gossip("node-1", TargetGossip((old,)))
    assert not targets.by_name["engine"].leaving


def test_another_address_is_another_target(targets):
    targets.note_leaving("engine")
    show(targets, listed(address="127.0.0.1:701"))
    assert targets.address_of("engine", "") == "127.0.0.1:701"
    targets._on_gossip("node-1", TargetGossip((TargetUpdate("engine", ADDRESS, "leaving", 0.0),)))
    assert not targets.by_name["engine"].leaving


def test_list_that_shows_only_live_for_long_outweighs_the_answer(targets, monkeypatch):
    targets.note_leaving("engine")
    monkeypatch.setattr("celeryrun.pool._targets.LIST_PATIENCE", 0.0)
    show(targets, listed())
    assert targets.by_name["engine"].is_usable()


def test_granted_target_that_the_list_does_not_show(targets):
    assert targets.address_of("new-engine", "127.0.0.1:800") == "127.0.0.1:800"
    show(targets, [])
    assert targets.address_of("engine", ADDRESS) is None


def test_news_is_bounded(targets):
    many = [Vm(f"e{n}", "z", f"127.0.0.1:{n}", "leaving", "target", "p") for n in range(1, 200)]
    show(targets, many)
    sizes = []
    while news := targets._pick_news():
        sizes.append(len(news))
    assert max(sizes) == 8
    # The running probes take a part.
    assert 1000 < sum(sizes) <= 199 * 10
