"""Members over a network whose nodes die, pause, return elsewhere and lose each other."""

import pytest

from celeryrun.streams import Vm
from celeryrun.tests.network import Network, wait_until
from celeryrun.wire import MemberUpdate

NAMES = [f"node-{number}" for number in range(7)]


@pytest.fixture
def network():
    running = Network()
    for name in NAMES:
        running.add(name)
    show_all(running)
    assert wait_until(lambda: all_see(running, set(NAMES)))
    yield running
    running.stop()


def show_all(network):
    vms = network.vms()
    for node in list(network.node_by_name.values()):
        node.update_vms(vms)


def all_see(network, names):
    living = [n for name, n in network.node_by_name.items() if name not in network.crashed_nodes]
    return all(set(node.members.eligible_nodes()) == names for node in living)


def test_dead_node_is_dropped_and_the_list_does_not_bring_it_back(network):
    network.crashed_nodes.add("node-3")
    others = set(NAMES) - {"node-3"}
    assert wait_until(lambda: all_see(network, others))
    show_all(network)
    assert all_see(network, others)
    assert not network.node_by_name["node-0"].members.all_listed_reachable()


def test_restart_under_the_same_name_elsewhere_with_a_slower_clock(network):
    old = network.node_by_name["node-2"]
    network.crashed_nodes.add("node-2")
    assert wait_until(lambda: all_see(network, set(NAMES) - {"node-2"}))
    old.kernel.stop()
    new = network.add("node-2", port=99)
    new.members.local_member.incarnation = 1
    show_all(network)
    assert wait_until(lambda: all_see(network, set(NAMES)))
    addresses = {
        node.members.by_name["node-2"].address
        for name, node in network.node_by_name.items()
        if name != "node-2"
    }
    assert addresses == {"127.0.0.1:99"}


def test_cut_heals_without_help_of_the_list(network):
    for name in NAMES[:3]:
        network.partition_by_node[name] = 1
    sides = [set(NAMES[:3]), set(NAMES[3:])]
    assert wait_until(
        lambda: all(
            set(network.node_by_name[name].members.eligible_nodes()) == side
            for side in sides
            for name in side
        )
    )
    network.partition_by_node.clear()
    assert wait_until(lambda: all_see(network, set(NAMES)))


def test_draining_node_has_no_duty_even_when_it_stops_answering(network):
    leaver = network.node_by_name["node-5"]
    leaver.members.drain()
    others = set(NAMES) - {"node-5"}
    assert wait_until(lambda: all_see(network, others))
    network.crashed_nodes.add("node-5")
    states = network.node_by_name["node-0"].member_states
    assert wait_until(lambda: states()["node-5"] == "dead")
    assert all_see(network, others)


def test_listed_node_that_nobody_has_heard_has_no_duty(network):
    ghost = Vm("ghost", "zone-0", "127.0.0.1:500", "live", "node")
    for node in network.node_by_name.values():
        node.update_vms([*network.vms(), ghost])
    assert all_see(network, set(NAMES))
    assert not network.node_by_name["node-0"].members.all_listed_reachable()


def test_node_that_the_list_shows_as_leaving_has_no_duty(network):
    leaving = [
        Vm(vm.name, vm.zone, vm.address, "leaving" if vm.name == "node-1" else "live", "node")
        for vm in network.vms()
    ]
    for node in network.node_by_name.values():
        node.update_vms(leaving)
    assert all_see(network, set(NAMES) - {"node-1"})


def test_false_suspicion_is_refuted(network):
    accused = network.node_by_name["node-4"]
    incarnation = accused.members.local_member.incarnation
    me = accused.members.local_member
    news = MemberUpdate(me.name, me.zone, me.address, me.operator, "suspect", incarnation)
    network.node_by_name["node-0"].members.apply_updates((news,))
    assert wait_until(lambda: me.incarnation > incarnation)
    states = [n.member_states for name, n in network.node_by_name.items() if name != "node-4"]
    assert wait_until(lambda: all(state()["node-4"] == "alive" for state in states))


def test_node_has_joined_once_another_was_heard_or_the_list_shows_it_alone():
    network = Network()
    alone = network.add("alone")
    assert not alone.members.is_joined()
    alone.update_vms(network.vms())
    assert alone.members.is_joined()
    other = Vm("other", "zone-0", "127.0.0.1:500", "live", "node")
    alone.update_vms([*network.vms(), other])
    assert not alone.members.is_joined()
    network.stop()
