"""Change, crash, pause and silence of keepers; lower tiers are always shed first."""

import time

import pytest

from celeryrun.exception import Refusal
from celeryrun.membership import Members
from celeryrun.pool._share import SHARED_SLOTS_BY_KIND, LocalShare
from celeryrun.pool._state import INITIAL_SLOTS_BY_KIND
from celeryrun.streams import Vm
from celeryrun.tests.builders import build_pool
from celeryrun.tests.network import Network, wait_until
from celeryrun.wire import Denial, Grant, PoolHandover

NAMES = ["node-0", "node-1", "node-2"]
SLOTS = int(INITIAL_SLOTS_BY_KIND["engine"])  # initial limit of the only engine
SHARE_SLOTS = SHARED_SLOTS_BY_KIND["engine"] // len(NAMES)  # of a node without a keeper


@pytest.fixture
def network():
    running = Network((build_pool(),), max_waiting=6)
    for name in NAMES:
        running.add(name)
    engine = Vm("engine", "zone-0", "127.0.0.1:700", "live", "target", "drafts")
    for node in running.node_by_name.values():
        node.update_vms([*running.vms(), engine])
    is_whole = lambda node: node.members.all_listed_reachable()  # noqa: E731
    assert wait_until(lambda: all(map(is_whole, running.node_by_name.values())))
    yield running
    running.stop()


def get_keeper(network):
    return network.node_by_name[network.node_by_name["node-0"].members.owner("pool/drafts")]


def others(network):
    return [node for node in network.node_by_name.values() if node is not get_keeper(network)]


def request_slot(node, tier=3, seconds=60.0):
    return node.pools.request_slot("drafts", tier, "w", 10.0, (), time.monotonic() + seconds)


def fill(network):
    """Use every slot for the highest tier, so that all further slot requests are queued."""
    node = others(network)[0]
    grants = [node.pools.wait(request_slot(node, tier=1)) for _ in range(SLOTS)]
    assert all(isinstance(grant, Grant) for grant in grants)


def queue_size(network, node):
    state = node.keepers.state_by_pool.get("drafts")
    return len(state.queue) if state is not None else 0


def test_draining_keeper_hands_over_queue_and_held_slots(network):
    fill(network)
    former, requester = get_keeper(network), others(network)[1]
    pending = request_slot(requester)
    assert wait_until(lambda: queue_size(network, former) == 1)
    former.members.drain()
    assert any(isinstance(message, PoolHandover) for _, message in former.peers.sent)
    assert wait_until(
        lambda: get_keeper(network) is not former and queue_size(network, get_keeper(network))
    )
    state = get_keeper(network).keepers.state_by_pool["drafts"]
    assert state.in_flight("engine") == SLOTS
    assert pending.result is None


def test_message_to_a_former_keeper_is_forwarded(network):
    former = get_keeper(network)
    former.members.drain()
    outdated = others(network)[0]
    assert wait_until(lambda: get_keeper(network) is not former)
    outdated.members._owner_by_key["pool/drafts"] = former.members.local_member.name
    assert isinstance(outdated.pools.wait(request_slot(outdated)), Grant)


def test_denial_of_a_node_that_is_not_the_keeper_is_ignored(network):
    fill(network)
    requester = others(network)[0]
    pending = request_slot(requester, tier=1)
    requester.pools._on_denial(
        others(network)[1].members.local_member.name,
        Denial("drafts", pending.slot_request.slot_request_id, "overload", 1.0),
    )
    assert pending.result is None


def test_denial_for_overload_falls_on_the_nodes_lowest_tier(network):
    fill(network)
    requester = others(network)[0]
    high, low = request_slot(requester, tier=1), request_slot(requester, tier=3)
    name = get_keeper(network).members.local_member.name
    requester.pools._on_denial(
        name, Denial("drafts", high.slot_request.slot_request_id, "overload", 1.0)
    )
    assert high.result is None
    assert isinstance(low.result, Refusal)


def test_new_keeper_sheds_only_the_lowest_tier(network):
    fill(network)
    get_keeper(network).keepers.state_by_pool["drafts"].settling_since = time.monotonic() + 60.0
    high = [request_slot(node, tier=1) for node in others(network) for _ in range(5)]
    assert wait_until(lambda: queue_size(network, get_keeper(network)) == 10)
    low = request_slot(others(network)[0], tier=3)
    assert isinstance(others(network)[0].pools.wait(low), Refusal)
    assert all(pending.result is None for pending in high)


def test_settled_keeper_sheds_surplus_requests_lowest_tier_first(network, monkeypatch):
    monkeypatch.setattr("celeryrun.pool._keeper.SETTLING_TIME", 0.0)
    fill(network)
    requester = others(network)[0]
    low, high = request_slot(requester, tier=3), [request_slot(requester, tier=1) for _ in range(7)]
    assert wait_until(lambda: sum(pending.result is not None for pending in high) == 1)
    assert isinstance(low.result, Refusal)


def test_requests_of_a_dead_node_are_removed(network, monkeypatch):
    monkeypatch.setattr("celeryrun.pool._keeper.NODE_TIMEOUT", 0.8)
    fill(network)
    dead = others(network)[1]
    request_slot(dead)
    assert wait_until(lambda: queue_size(network, get_keeper(network)) == 1)
    network.crashed_nodes.add(dead.members.local_member.name)
    assert wait_until(lambda: queue_size(network, get_keeper(network)) == 0)


def test_node_without_a_keeper_grants_its_share_highest_tier_first(network, monkeypatch):
    fill(network)
    requester = others(network)[1]
    monkeypatch.setattr(Members, "owner", lambda self, key: "nobody")
    low = [request_slot(requester, tier=3) for _ in range(3)]
    high = [request_slot(requester, tier=1) for _ in range(2)]
    assert wait_until(lambda: any(pending.result for pending in high + low))
    resolved = [pending for pending in high + low if pending.result is not None]
    assert SHARE_SLOTS <= len(resolved) <= SHARE_SLOTS + 1
    assert all(pending.result is not None for pending in high)
    requester.pools.release(requester.pools.wait(high[0]), 1.0, 0.1, 0.2, True)
    resolved_low = len(resolved) - len(high) + 1
    assert wait_until(lambda: sum(pending.result is not None for pending in low) == resolved_low)


def test_released_slot_returns_to_the_local_share():
    share = LocalShare("a")
    target = type("T", (), {"name": "t", "is_usable": lambda self: True})()
    grants = [share.acquire("engine", [target], ["a", "b"]) for _ in range(5)]
    assert [item is not None for item in grants] == [True] * 4 + [False]
    assert share.release(grants[0][0])
    assert not share.release(grants[0][0])
    assert share.acquire("engine", [target], ["a", "b"]) is not None
