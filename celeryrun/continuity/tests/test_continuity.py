"""Streams of several versions in random orders of events, without a network."""

from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from celeryrun.continuity import (
    CONTRADICTORY,
    Bound,
    OriginTable,
    Unknown,
    VersionHistory,
    resolve,
)

NODES = 3
TARGETS = 3
LIFETIME = 30.0
VERSIONS = st.sampled_from(["v1", "v2"])
NODE = st.integers(0, NODES - 1)
TARGET = st.integers(0, TARGETS - 1)
REPORTS = st.lists(
    st.tuples(st.integers(1, 3), st.sampled_from(["v1", "v2", CONTRADICTORY]), st.floats(1, 60)),
    max_size=12,
)


def record_all(reports):
    table = OriginTable()
    for key, version, lifetime in reports:
        table.record(key, version, lifetime, 0.0)
    return {key: (origin.version, origin.expires_at) for key, origin in table.origins(0.5)}


@given(REPORTS, st.randoms())
def test_reports_may_come_in_any_order_and_again(reports, random):
    shuffled = reports * 2
    random.shuffle(shuffled)
    assert record_all(shuffled) == record_all(reports)


def test_reports_of_two_versions_are_unknown_for_good():
    table = OriginTable()
    assert table.record(1, "v1", 30.0, 0.0)
    assert table.record(1, "v2", 30.0, 1.0)
    assert not table.record(1, "v1", 30.0, 2.0)
    history = VersionHistory(observed_since=-LIFETIME)
    history.add("v1")
    assert resolve(table.find(1, 3.0), history, LIFETIME, (), 3.0) == Unknown(
        "contradictory reports"
    )


@given(st.lists(st.tuples(st.integers(1, 500), st.floats(0.1, 200.0)), max_size=200))
def test_table_is_bounded_in_number_and_time(reports):
    table = OriginTable(max_origins=20)
    now = 0.0
    for key, lifetime in reports:
        now += 0.5
        table.record(key, "v1", lifetime, now)
        assert len(table) <= 20
    table.record(1000, "v1", 1.0, now + 200.0)
    assert len(table) == 1


@pytest.mark.parametrize(
    "observed_since, recorded, known",
    [
        (0, set(), True),
        (20, set(), False),
        (20, {"v1"}, True),
        (20, {"v2"}, False),
        (20, {"v1", "v2"}, False),
        (0, {"v1", "v2"}, True),
    ],
)
def test_single_version_is_inferred_from_a_whole_lifetime(observed_since, recorded, known):
    history = VersionHistory(observed_since)
    history.add("v1")
    resolution = resolve(None, history, LIFETIME, recorded, 40.0)
    assert isinstance(resolution, Bound) == known


def test_version_that_was_listed_within_a_lifetime_rules_out_inference():
    history = VersionHistory(observed_since=float("-inf"))
    history.add("v1")
    history.add("v2")
    history.remove("v1", now=100.0)
    assert isinstance(resolve(None, history, LIFETIME, (), 129.0), Unknown)
    assert resolve(None, history, LIFETIME, (), 131.0).version == "v2"
    told = VersionHistory(observed_since=120.0)
    told.add("v2")
    told.merge(float("-inf"), history.ages(129.0), 129.0)
    assert isinstance(resolve(None, told, LIFETIME, (), 129.0), Unknown)


def test_old_list_allows_no_inference():
    history = VersionHistory(observed_since=float("-inf"))
    history.add("v1")
    assert isinstance(
        resolve(None, history, LIFETIME, ("v1",), 40.0, list_is_current=False), Unknown
    )


@dataclass
class Node:
    """Node with its own table; it asks the scheduler of a node, perhaps its own."""

    history: VersionHistory
    scheduler: int
    listed: list
    table: OriginTable = field(default_factory=OriginTable)
    reads_store: bool = True


class MixedVersions(RuleBasedStateMachine):
    """Nodes, targets that change their version, and callers that come back anywhere.

    A node tells its scheduler what it knows as it turns to it; all other reports are lost,
    repeated and delivered at any time.
    """

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.versions = ["v1"] * TARGETS
        self.last_listed_by_version = {"v1": self.now}
        self.begun_at_by_key = {}
        self.version_by_key = {}
        self.reports = []
        self.nodes = [self.build_node(number, float("-inf")) for number in range(NODES)]

    def build_node(self, number, observed_since):
        history = VersionHistory(observed_since)
        for version in self.versions:
            history.add(version)
        return Node(history, number, list(self.versions))

    @initialize()
    def use_one_scheduler(self):
        for node in self.nodes:
            node.scheduler = 0

    @rule(seconds=st.sampled_from([0.01, 1.0, 20.0]))
    def advance(self, seconds):
        self.now += seconds
        for key, begun_at in list(self.begun_at_by_key.items()):
            if self.now - begun_at >= LIFETIME:
                del self.begun_at_by_key[key], self.version_by_key[key]

    @rule(number=NODE, index=TARGET, is_passed_on=st.booleans(), is_reported=st.booleans())
    def begin(self, number, index, is_passed_on, is_reported):
        key = len(self.begun_at_by_key) + int(self.now * 1e6) + 1
        if is_passed_on and key not in self.version_by_key:
            self.begun_at_by_key[key] = self.now
            self.version_by_key[key] = self.versions[index]
            self.pass_on(self.nodes[number], key, self.versions[index], is_reported)

    def pass_on(self, node, key, version, is_reported):
        node.table.record(key, version, LIFETIME, self.now)
        if is_reported:
            self.reports.append((node.scheduler, key, version, self.now + LIFETIME))

    @precondition(lambda self: self.reports)
    @rule(data=st.data(), again=st.booleans())
    def deliver(self, data, again):
        index = data.draw(st.integers(0, len(self.reports) - 1))
        report = self.reports[index] if again else self.reports.pop(index)
        number, key, version, expires_at = report
        self.nodes[number].table.record(key, version, expires_at - self.now, self.now)

    @rule(number=NODE, to=NODE)
    def replicate(self, number, to):
        self.tell(self.nodes[number], self.nodes[to])

    def tell(self, node, other):
        for key, origin in list(node.table.origins(self.now)):
            other.table.record(key, origin.version, origin.expires_at - self.now, self.now)
        if node.reads_store:
            ages = node.history.ages(self.now)
            other.history.merge(node.history.observed_since, ages, self.now)

    @rule(number=NODE, to=NODE)
    def turn_to_scheduler(self, number, to):
        self.nodes[number].scheduler = to
        self.tell(self.nodes[number], self.nodes[to])

    @rule(number=NODE)
    def cut_off(self, number):
        self.nodes[number].scheduler = number

    @rule(number=NODE)
    def lose_store(self, number):
        self.nodes[number].reads_store = False

    @rule(number=NODE)
    def regain_store(self, number):
        node = self.nodes[number]
        if not node.reads_store:
            node.reads_store = True
            node.history.observed_since = self.now
            self.read_list(node)

    def read_list(self, node):
        for index, version in enumerate(self.versions):
            if node.listed[index] != version:
                node.history.remove(node.listed[index], self.now)
                node.history.add(version)
                node.listed[index] = version

    @rule(number=NODE)
    def restart(self, number):
        self.nodes[number] = self.build_node(number, self.now)

    @rule()
    def restart_all(self):
        self.nodes = [self.build_node(number, self.now) for number in range(NODES)]
        for number in range(NODES):
            self.turn_to_scheduler(number, 0)

    @rule(index=TARGET, version=VERSIONS)
    def restart_target(self, index, version):
        former, self.versions[index] = self.versions[index], version
        self.last_listed_by_version |= {former: self.now, version: self.now}
        for node in self.nodes:
            if node.reads_store:
                self.read_list(node)

    @rule(version=VERSIONS)
    def release(self, version):
        for index in range(TARGETS):
            self.restart_target(index, version)

    @precondition(lambda self: self.version_by_key)
    @rule(number=NODE, data=st.data(), is_reported=st.booleans())
    def resume(self, number, data, is_reported):
        key = data.draw(st.sampled_from(sorted(self.version_by_key)))
        node = self.nodes[number]
        scheduler = self.nodes[node.scheduler]
        origin = scheduler.table.find(key, self.now)
        recorded = {
            version
            for version, last_listed in self.last_listed_by_version.items()
            if version in self.versions or self.now - last_listed <= LIFETIME
        }
        match resolve(
            origin, scheduler.history, LIFETIME, recorded, self.now, scheduler.reads_store
        ):
            case Bound(version):
                assert version == self.version_by_key[key]
                self.pass_on(node, key, version, is_reported)
            case Unknown():
                assert origin is None


TestMixedVersions = MixedVersions.TestCase
TestMixedVersions.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)
