"""Suspect tracking between nodes that are connected without sockets."""

from types import SimpleNamespace

import pytest

from celeryrun.kernel._rendezvous import rank
from celeryrun.suspicion import SuspectTracker

NAMES = ["a", "b", "c", "d"]
REPLICAS = rank("pool/drafts", NAMES)[:2]
OTHER_NODES = rank("pool/drafts", NAMES)[2:]
SUSPECT_FINGERPRINT = 7


class Network:
    """Nodes whose messages are delivered synchronously."""

    def __init__(self):
        self.handlers_by_name = {}
        self.service_by_name = {}
        self.incarnation_by_name = dict.fromkeys(NAMES, 1)
        for name in NAMES:
            self.start(name)

    def start(self, name):
        handlers = self.handlers_by_name[name] = {}
        members = SimpleNamespace(
            local_member=SimpleNamespace(name=name),
            eligible_nodes=lambda: NAMES,
            by_name={
                other: SimpleNamespace(incarnation=incarnation)
                for other, incarnation in self.incarnation_by_name.items()
            },
        )
        peers = SimpleNamespace(
            set_handler=handlers.__setitem__,
            send=lambda to, message: self.handlers_by_name[to][type(message)](name, message),
        )
        services = {"members": members, "peers": peers}
        service = self.service_by_name[name] = SuspectTracker(SimpleNamespace(find=services.get))
        service.start()
        service.stop()

    def crash(self, reporter, target):
        self.service_by_name[reporter].report_crash("drafts", target, SUSPECT_FINGERPRINT)

    def is_refused(self, name):
        self.request_slot(name)
        return self.service_by_name[name].refusal(SUSPECT_FINGERPRINT) is not None

    def request_slot(self, name):
        self.service_by_name[REPLICAS[0]].on_slot_request(name, "drafts", SUSPECT_FINGERPRINT)


@pytest.fixture
def network():
    return Network()


def test_crashes_seen_by_two_nodes_refuse_the_request_on_all_nodes(network):
    network.crash(OTHER_NODES[0], "engine-0")
    assert not any(network.is_refused(name) for name in NAMES)
    network.crash(OTHER_NODES[1], "engine-1")
    assert all(network.is_refused(name) for name in NAMES)


def test_complete_answer_clears_the_request(network):
    network.crash(OTHER_NODES[0], "engine-0")
    network.service_by_name[OTHER_NODES[0]].on_completed("drafts", SUSPECT_FINGERPRINT)
    network.crash(OTHER_NODES[1], "engine-1")
    assert not any(network.is_refused(name) for name in NAMES)


def test_repetition_that_waits_for_a_slot_is_notified_of_a_later_crash(network):
    network.request_slot("d")
    network.crash(OTHER_NODES[0], "engine-0")
    network.crash(OTHER_NODES[0], "engine-1")
    assert network.service_by_name["d"].refusal(SUSPECT_FINGERPRINT) is not None


def test_restarted_replica_receives_the_crashes(network):
    keeper, successor = REPLICAS
    network.crash(OTHER_NODES[0], "engine-0")
    network.crash(OTHER_NODES[0], "engine-1")
    network.incarnation_by_name[keeper] = 2
    network.start(keeper)
    assert not network.is_refused(OTHER_NODES[1])
    replica = network.service_by_name[successor]
    replica._kernel.find("members").by_name[keeper].incarnation = 2
    replica._update_new_replicas("drafts")
    assert network.is_refused(OTHER_NODES[1])


def test_node_that_is_no_longer_a_replica_removes_the_history(network):
    network.crash(OTHER_NODES[0], "engine-0")
    replica = network.service_by_name[REPLICAS[1]]
    replica._kernel.find("members").local_member.name = "elsewhere"
    replica._update_new_replicas("drafts")
    assert replica._crash_history_by_pool == {}
