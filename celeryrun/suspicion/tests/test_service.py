"""Suspicion between nodes that are joined without sockets."""

from types import SimpleNamespace

import pytest

from celeryrun.kernel._rendezvous import rank
from celeryrun.suspicion import SuspectTracker

NAMES = ["a", "b", "c", "d"]
HOLDERS = rank("pool/drafts", NAMES)[:2]
OTHERS = rank("pool/drafts", NAMES)[2:]
POISON = 7


class Net:
    """Nodes whose messages arrive at once."""

    def __init__(self):
        self.handlers_by_name = {}
        self.service_by_name = {}
        self.incarnation_by_name = dict.fromkeys(NAMES, 1)
        for name in NAMES:
            self.start(name)

    def start(self, name):
        handlers = self.handlers_by_name[name] = {}
        members = SimpleNamespace(
            me=SimpleNamespace(name=name),
            live=lambda: NAMES,
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

    def die(self, reporter, target):
        self.service_by_name[reporter].report_crash("drafts", target, POISON)

    def is_refused(self, name):
        self.ask(name)
        return self.service_by_name[name].refusal(POISON) is not None

    def ask(self, name):
        self.service_by_name[HOLDERS[0]].on_slot_request(name, "drafts", POISON)


@pytest.fixture
def net():
    return Net()


def test_deaths_seen_by_two_nodes_refuse_the_request_at_all(net):
    net.die(OTHERS[0], "engine-0")
    assert not any(net.is_refused(name) for name in NAMES)
    net.die(OTHERS[1], "engine-1")
    assert all(net.is_refused(name) for name in NAMES)


def test_whole_answer_clears_the_request(net):
    net.die(OTHERS[0], "engine-0")
    net.service_by_name[OTHERS[0]].on_completed("drafts", POISON)
    net.die(OTHERS[1], "engine-1")
    assert not any(net.is_refused(name) for name in NAMES)


def test_copy_that_waits_for_a_slot_hears_of_a_later_death(net):
    net.ask("d")
    net.die(OTHERS[0], "engine-0")
    net.die(OTHERS[0], "engine-1")
    assert net.service_by_name["d"].refusal(POISON) is not None


def test_holder_that_was_started_anew_is_told(net):
    keeper, other = HOLDERS
    net.die(OTHERS[0], "engine-0")
    net.die(OTHERS[0], "engine-1")
    net.incarnation_by_name[keeper] = 2
    net.start(keeper)
    assert not net.is_refused(OTHERS[1])
    holder = net.service_by_name[other]
    holder._kernel.find("members").by_name[keeper].incarnation = 2
    holder._tell_new_holders("drafts")
    assert net.is_refused(OTHERS[1])


def test_node_that_holds_the_pool_no_more_forgets(net):
    net.die(OTHERS[0], "engine-0")
    holder = net.service_by_name[HOLDERS[1]]
    holder._kernel.find("members").me.name = "elsewhere"
    holder._tell_new_holders("drafts")
    assert holder._ledger_by_pool == {}
