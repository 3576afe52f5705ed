"""Membership of nodes that die, restart, drain, leave or are partitioned."""

import pytest

from celeryrun.streams import Vm
from celeryrun.tests.network import Network, wait_until
from celeryrun.wire import MemberUpdate

NAMES = [f"node-{number}" for number in range(7)]


@pytest.fixture
def network():
    network = Network()
    for name in NAMES:
        network.add(name)
    send_list(network)
    assert wait_until(lambda: all_nodes_see(network, set(NAMES)))
    yield network
    network.stop()


def send_list(network):
    vms = network.vms()
    for node in list(network.node_by_name.values()):
        node.update_vms(vms)


def all_nodes_see(network, names):
    running = [n for name, n in network.node_by_name.items() if name not in network.crashed_nodes]
    return all(set(node.members.eligible_nodes()) == names for node in running)


def test_list_does_not_revive_dead_node(network):
    network.crashed_nodes.add("node-3")
    others = set(NAMES) - {"node-3"}
    assert wait_until(lambda: all_nodes_see(network, others))
    send_list(network)
    assert all_nodes_see(network, others)
    assert not network.node_by_name["node-0"].members.all_listed_reachable()


def test_restart_at_another_address_with_lower_incarnation(network):
    former = network.node_by_name["node-2"]
    network.crashed_nodes.add("node-2")
    assert wait_until(lambda: all_nodes_see(network, set(NAMES) - {"node-2"}))
    former.kernel.stop()
    restarted = network.add("node-2", port=99)
    restarted.members.local_member.incarnation = 1
    send_list(network)
    assert wait_until(lambda: all_nodes_see(network, set(NAMES)))
    addresses = {
        node.members.by_name["node-2"].address
        for name, node in network.node_by_name.items()
        if name != "node-2"
    }
    assert addresses == {"127.0.0.1:99"}


def test_partition_heals_without_new_list(network):
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
    assert wait_until(lambda: all_nodes_see(network, set(NAMES)))


def test_draining_node_is_not_eligible_after_it_fails(network):
    draining = network.node_by_name["node-5"]
    draining.members.drain()
    others = set(NAMES) - {"node-5"}
    assert wait_until(lambda: all_nodes_see(network, others))
    network.crashed_nodes.add("node-5")
    states = network.node_by_name["node-0"].member_states
    assert wait_until(lambda: states()["node-5"] == "dead")
    assert all_nodes_see(network, others)


def test_listed_node_is_not_eligible_before_its_first_message(network):
    unheard = Vm("unheard", "zone-0", "127.0.0.1:500", "live", "node")
    for node in network.node_by_name.values():
        node.update_vms([*network.vms(), unheard])
    assert all_nodes_see(network, set(NAMES))
    assert not network.node_by_name["node-0"].members.all_listed_reachable()


def test_leaving_node_is_not_eligible(network):
    leaving = [
        Vm(vm.name, vm.zone, vm.address, "leaving" if vm.name == "node-1" else "live", "node")
        for vm in network.vms()
    ]
    for node in network.node_by_name.values():
        node.update_vms(leaving)
    assert all_nodes_see(network, set(NAMES) - {"node-1"})


def test_false_suspicion_is_refuted(network):
    suspect = network.node_by_name["node-4"]
    incarnation = suspect.members.local_member.incarnation
    member = suspect.members.local_member
    update = MemberUpdate(
        member.name, member.zone, member.address, member.operator, "suspect", incarnation
    )
    network.node_by_name["node-0"].members.apply_updates((update,))
    assert wait_until(lambda: member.incarnation > incarnation)
    states = [n.member_states for name, n in network.node_by_name.items() if name != "node-4"]
    assert wait_until(lambda: all(state()["node-4"] == "alive" for state in states))


def test_node_has_joined_if_it_alone_is_listed():
    network = Network()
    alone = network.add("alone")
    assert not alone.members.is_joined()
    alone.update_vms(network.vms())
    assert alone.members.is_joined()
    other = Vm("other", "zone-0", "127.0.0.1:500", "live", "node")
    alone.update_vms([*network.vms(), other])
    assert not alone.members.is_joined()
    network.stop()
