"""Keepers that leave, die, wake late or lose the others; nothing is shed out of order."""

import time

import pytest

from celeryrun.exception import Refusal
from celeryrun.membership import Members
from celeryrun.pool._share import SHARED_SLOTS_BY_KIND, LocalShare
from celeryrun.pool._state import SLOTS_BY_KIND
from celeryrun.streams import Vm
from celeryrun.tests.builders import build_pool
from celeryrun.tests.network import Network, wait_until
from celeryrun.wire import Denial, Grant, PoolHandover

NAMES = ["node-0", "node-1", "node-2"]
SLOTS = int(SLOTS_BY_KIND["engine"])  # of the only engine
OWN_SLOTS = SHARED_SLOTS_BY_KIND["engine"] // len(NAMES)  # of a node without a keeper


@pytest.fixture
def network():
    running = Network((build_pool(),), max_waiting=6)
    for name in NAMES:
        running.add(name)
    engine = Vm("engine", "zone-0", "127.0.0.1:700", "live", "target", "drafts")
    for node in running.node_by_name.values():
        node.show([*running.vms(), engine])
    whole = lambda node: node.members.is_whole()  # noqa: E731
    assert wait_until(lambda: all(map(whole, running.node_by_name.values())))
    yield running
    running.stop()


def keeper(network):
    return network.node_by_name[network.node_by_name["node-0"].members.duty("pool/drafts")]


def others(network):
    return [node for node in network.node_by_name.values() if node is not keeper(network)]


def ask(node, tier=3, seconds=60.0):
    return node.pools.request_slot("drafts", tier, "w", 10.0, (), time.monotonic() + seconds)


def fill(network):
    """Use every slot by the highest tier, beyond which none goes; what is asked next waits."""
    node = others(network)[0]
    grants = [node.pools.wait(ask(node, tier=1)) for _ in range(SLOTS)]
    assert all(isinstance(grant, Grant) for grant in grants)


def queue_size(network, node):
    state = node.keepers.state_by_pool.get("drafts")
    return len(state.queue) if state is not None else 0


def test_draining_keeper_hands_asks_and_holds_over(network):
    fill(network)
    old, asker = keeper(network), others(network)[1]
    waiter = ask(asker)
    assert wait_until(lambda: queue_size(network, old) == 1)
    old.members.drain()
    assert any(isinstance(message, PoolHandover) for _, message in old.peers.sent)
    assert wait_until(lambda: keeper(network) is not old and queue_size(network, keeper(network)))
    state = keeper(network).keepers.state_by_pool["drafts"]
    assert state.in_flight("engine") == SLOTS
    assert waiter.result is None


def test_late_message_to_an_old_keeper_is_passed_on(network):
    old = keeper(network)
    old.members.drain()
    late = others(network)[0]
    assert wait_until(lambda: keeper(network) is not old)
    late.members._duty_by_key["pool/drafts"] = old.members.me.name
    assert isinstance(late.pools.wait(ask(late)), Grant)


def test_shed_of_a_node_that_is_not_the_keeper_is_ignored(network):
    fill(network)
    asker = others(network)[0]
    waiter = ask(asker, tier=1)
    asker.pools._on_shed(
        others(network)[1].members.me.name,
        Denial("drafts", waiter.ask.slot_request_id, "overload", 1.0),
    )
    assert waiter.result is None


def test_shed_falls_on_the_nodes_lowest_tier(network):
    fill(network)
    asker = others(network)[0]
    high, low = ask(asker, tier=1), ask(asker, tier=3)
    name = keeper(network).members.me.name
    asker.pools._on_shed(name, Denial("drafts", high.ask.slot_request_id, "overload", 1.0))
    assert high.result is None
    assert isinstance(low.result, Refusal)


def test_new_keeper_sheds_nothing_above_the_lowest_tier(network):
    fill(network)
    keeper(network).keepers.state_by_pool["drafts"].started = time.monotonic() + 60.0
    high = [ask(node, tier=1) for node in others(network) for _ in range(5)]
    assert wait_until(lambda: queue_size(network, keeper(network)) == 10)
    low = ask(others(network)[0], tier=3)
    assert isinstance(others(network)[0].pools.wait(low), Refusal)
    assert all(waiter.result is None for waiter in high)


def test_settled_keeper_sheds_its_surplus_lowest_tier_first(network, monkeypatch):
    monkeypatch.setattr("celeryrun.pool._keeper.SETTLE", 0.0)
    fill(network)
    asker = others(network)[0]
    low, high = ask(asker, tier=3), [ask(asker, tier=1) for _ in range(7)]
    assert wait_until(lambda: sum(w.result is not None for w in high) == 1)
    assert isinstance(low.result, Refusal)


def test_asks_of_a_dead_node_get_no_slot(network, monkeypatch):
    monkeypatch.setattr("celeryrun.pool._keeper.NODE_SILENCE", 0.8)
    fill(network)
    dying = others(network)[1]
    ask(dying)
    assert wait_until(lambda: queue_size(network, keeper(network)) == 1)
    network.dead.add(dying.members.me.name)
    assert wait_until(lambda: queue_size(network, keeper(network)) == 0)


def test_node_without_a_keeper_runs_its_share_highest_tier_first(network, monkeypatch):
    fill(network)
    asker = others(network)[1]
    monkeypatch.setattr(Members, "duty", lambda self, key: "nobody")
    low = [ask(asker, tier=3) for _ in range(3)]
    high = [ask(asker, tier=1) for _ in range(2)]
    assert wait_until(lambda: any(waiter.result for waiter in high + low))
    served = [waiter for waiter in high + low if waiter.result is not None]
    assert OWN_SLOTS <= len(served) <= OWN_SLOTS + 1
    assert all(waiter.result is not None for waiter in high)
    asker.pools.release(asker.pools.wait(high[0]), 1.0, 0.1, 0.2, True)
    served_low = len(served) - len(high) + 1
    assert wait_until(lambda: sum(waiter.result is not None for waiter in low) == served_low)


def test_released_slot_returns_to_the_local_share():
    share = LocalShare("a")
    target = type("T", (), {"name": "t", "is_usable": lambda self: True})()
    grants = [share.acquire("engine", [target], ["a", "b"]) for _ in range(5)]
    assert [item is not None for item in grants] == [True] * 4 + [False]
    assert share.release(grants[0][0])
    assert not share.release(grants[0][0])
    assert share.acquire("engine", [target], ["a", "b"]) is not None
