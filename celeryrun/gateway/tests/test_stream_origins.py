"""Origins and histories of versions of one node, without other nodes or a store."""

import time
from dataclasses import replace

import pytest

from celeryrun.catalog import Catalog, RequestKind, Route, Split
from celeryrun.continuity import Bound, Unknown
from celeryrun.gateway._links import OriginReport, VersionReport
from celeryrun.gateway._metrics import GatewayMetrics
from celeryrun.gateway._stream_origins import RECORD_MARGIN, StreamOrigins, build_reports
from celeryrun.gateway._version_records import PoolVersion
from celeryrun.kernel import Kernel, now
from celeryrun.scheduling.tests.builders import build_slot_request, build_target
from celeryrun.settings import parse_gateway_settings
from standins.site import format_settings

TIMEOUT = 20.0  # s of the route; a stream lives for twice that at most


class Follower:
    """Follower of the list of targets, as of its last read."""

    def __init__(self):
        self.confirmed_at = now()
        self.formerly_confirmed_at = now() - 1.0
        self.hurried = 0
        self.is_store_lost = False

    def age(self):
        return now() - self.confirmed_at

    def hurry(self):
        self.hurried += 1


class DiscoveryStandIn:
    """Targets and routes of one pool."""

    def __init__(self):
        kind = RequestKind(repeatable=True, stream=True, resumable=True)
        splits = (Split("model", 1.0),)
        route = Route("r", "h", "/", kind, TIMEOUT, 0.4, 2, 0, True, splits)
        self.catalog = Catalog(1, (route,), {}, {}, None)
        self.targets = Follower()
        self.targets_by_id = {}

    def list_target(self, target):
        self.on_target_change(self.targets_by_id.get(target.id), target)
        self.targets_by_id[target.id] = target


class VersionRecordsStandIn:
    """Records of versions in the store."""

    def __init__(self):
        self.recorded = set()
        self.changes = 0

    def note_change(self):
        self.changes += 1

    def versions_of(self, pool):
        return self.recorded


class OriginRecordsStandIn:
    """Origins in the store."""

    def __init__(self):
        self.reads = 0

    def refresh(self):
        self.reads += 1


class Events:
    """Log that is not written."""

    def emit(self, event, **fields):
        pass


def build_origins(*versions, first_start="no"):
    """Return the origins and the discovery of a node that lists targets of these versions."""
    kernel = Kernel()
    discovery = DiscoveryStandIn()
    kernel.register("discovery", discovery)
    kernel.register("events", Events())
    kernel.register("metrics", GatewayMetrics())
    kernel.register("version-records", VersionRecordsStandIn())
    kernel.register("origin-records", OriginRecordsStandIn())
    settings = parse_gateway_settings(format_settings(first_start=first_start))
    origins = StreamOrigins(kernel, settings)
    discovery.on_snapshot()
    for number, version in enumerate(versions):
        discovery.list_target(build_target(f"t{number}", version=version))
    return origins, discovery


def resolve(origins, stream=9, arrived=0.0):
    slot_request = build_slot_request(stream=stream, resumed=True)
    return origins.resolve(slot_request, arrived, now(), is_last=True)


def test_system_that_has_never_run_has_no_earlier_version():
    origins, _ = build_origins("v1", first_start="yes")
    assert resolve(origins).version == "v1"


def test_new_node_infers_nothing_until_it_is_told():
    origins, _ = build_origins("v1")
    assert isinstance(resolve(origins), Unknown)
    origins.merge_versions(VersionReport(2 * TIMEOUT + 1, {"model": {"v1": 0.0}}))
    assert resolve(origins).version == "v1"


def test_version_that_another_node_has_seen_rules_out_inference():
    origins, _ = build_origins("v1", first_start="yes")
    origins.merge_versions(VersionReport(100.0, {"model": {"v1": 0.0, "v2": 2 * TIMEOUT - 1}}))
    assert isinstance(resolve(origins), Unknown)


def test_history_that_was_told_before_the_first_list_is_used():
    origins, discovery = build_origins()
    origins._observed_since = None
    origins.merge_versions(VersionReport(100.0, {"model": {"v2": 3.0}}))
    discovery.on_snapshot()
    discovery.list_target(build_target(version="v1"))
    assert resolve(origins) == Unknown("2 versions were listed")


@pytest.mark.parametrize("recorded, known", [({"v1"}, True), (set(), False), ({"v1", "v2"}, False)])
def test_recorded_versions_stand_for_a_history_that_is_too_short(recorded, known):
    origins, _ = build_origins("v1")
    assert isinstance(resolve(origins), Unknown)
    origins._version_records.recorded = recorded
    assert isinstance(resolve(origins), Bound) == known


def test_age_of_all_targets_does_not_stand_for_a_history():
    """A version that had just left the list was taken for one that had never been there."""
    origins, discovery = build_origins()
    born = int((time.time() - 100 * TIMEOUT) * 1000)
    discovery.list_target(replace(build_target(version="v1"), born=born))
    assert isinstance(resolve(origins), Unknown)


def test_version_is_recorded_until_no_stream_that_it_began_can_go_on(monkeypatch):
    origins, discovery = build_origins("v1", "v2", first_start="yes")
    gone = PoolVersion("model", "v2")
    assert origins._version_records.listed() == {PoolVersion("model", "v1"), gone}
    discovery.on_target_change(discovery.targets_by_id.pop("t1"), None)
    assert origins._version_records.listed() == {PoolVersion("model", "v1")}
    assert origins._version_records.may_have_streams(gone)
    later = now() + 2 * TIMEOUT + RECORD_MARGIN + 1.0
    monkeypatch.setattr("celeryrun.gateway._stream_origins.now", lambda: later)
    discovery.targets.confirmed_at = now() + 1000.0
    assert not origins._version_records.may_have_streams(gone)
    assert origins._version_records.may_have_streams(PoolVersion("model", "v1"))


def test_stored_origins_are_read_for_a_stream_that_no_node_knows():
    origins, _ = build_origins("v1", "v2")
    assert isinstance(resolve(origins), Unknown)
    assert isinstance(resolve(origins, stream=0), Unknown)
    assert origins._origin_records.reads == 1
    origins._origin_records.on_report(OriginReport("v2", (9,), (20,)))
    origins._table.find(9, now()).is_certain = True
    assert resolve(origins).version == "v2"
    assert origins._origin_records.reads == 1


def test_node_that_has_just_started_deletes_no_record():
    origins, _ = build_origins("v1")
    assert origins._version_records.may_have_streams(PoolVersion("model", "v2"))


def test_old_list_allows_no_inference_and_is_not_told():
    origins, discovery = build_origins("v1", first_start="yes")
    discovery.targets.confirmed_at -= 60.0
    assert isinstance(resolve(origins, arrived=now()), Unknown)
    assert origins.version_report() is None


def test_list_from_before_the_request_allows_no_inference():
    """A stream was taken for one of the only version in a list that was older than it."""
    origins, discovery = build_origins("v1", first_start="yes")
    arrived = now()
    assert resolve(origins, arrived=arrived) == Unknown("the list of targets is old")
    assert discovery.targets.hurried == 1
    discovery.targets.confirmed_at = now()
    assert resolve(origins, arrived=arrived).version == "v1"


def test_list_with_one_version_allows_inference_while_the_store_is_down_for_all():
    origins, discovery = build_origins("v1", first_start="yes")
    discovery.targets.is_store_lost = True
    origins.is_store_down = lambda: True
    assert resolve(origins, arrived=now()).version == "v1"


def test_list_that_may_lack_changes_begins_a_new_history():
    origins, discovery = build_origins("v1", first_start="yes")
    discovery.on_snapshot()
    assert isinstance(resolve(origins), Unknown)


def test_origin_is_relied_on_once_the_list_was_read_after_it():
    origins, discovery = build_origins("v1", "v2")
    origins.record_own(9, discovery.targets_by_id["t1"], deadline=10.0)
    assert isinstance(resolve(origins), Unknown)
    discovery.targets.confirmed_at = now() + 1.0
    assert resolve(origins).version == "v2"


def test_origin_of_a_target_that_is_certain_needs_no_read():
    origins, discovery = build_origins("v1", "v2")
    origins.record_own(9, discovery.targets_by_id["t1"], deadline=10.0)
    origins.note_target(9, "t1", True)
    assert resolve(origins).version == "v2"


@pytest.mark.parametrize("versions, known", [(("v1", "v1"), True), (("v1", "v2"), False)])
def test_origins_are_relied_on_while_the_store_is_lost_if_one_version_serves(versions, known):
    origins, discovery = build_origins(*versions)
    discovery.targets.is_store_lost = True
    origins.is_store_down = lambda: True
    origins.record_own(9, discovery.targets_by_id["t0"], deadline=10.0)
    assert isinstance(resolve(origins), Bound) == known


def test_origins_are_not_relied_on_while_only_this_node_has_lost_the_store():
    origins, discovery = build_origins("v1", "v1")
    discovery.targets.is_store_lost = True
    origins.record_own(9, discovery.targets_by_id["t0"], deadline=10.0)
    assert isinstance(resolve(origins), Unknown)


def test_origins_of_a_target_that_returned_at_another_version_are_given_up():
    origins, discovery = build_origins("v1", "v1")
    reports = []
    origins.on_contradiction = reports.append
    for stream, target in ((7, "t0"), (8, "t1")):
        origins.record_own(stream, discovery.targets_by_id[target], deadline=10.0)
        origins.note_target(stream, target, False)
    returned = replace(build_target("t0", version="v2"), born=int(time.time() * 1000))
    discovery.list_target(returned)
    discovery.targets.confirmed_at = now() + 1.0
    assert [report.streams for report in reports] == [(7,)]
    assert resolve(origins, 7) == Unknown("contradictory reports")
    assert resolve(origins, 8).version == "v1"


@pytest.mark.parametrize("evidence", ["read-since", "broken-since", "born-since"])
def test_origins_from_before_a_target_started_again_are_kept(evidence):
    origins, discovery = build_origins("v1", "v1")
    origins.record_own(7, discovery.targets_by_id["t0"], deadline=10.0)
    origins.note_target(7, "t0", False)
    born = int(time.time() * 1000)
    match evidence:
        case "read-since":
            discovery.targets.formerly_confirmed_at = now() + 0.3
        case "broken-since":
            broken_at = now()
            origins.broken_at = lambda target: broken_at
        case "born-since":
            born += 1000
    discovery.list_target(replace(build_target("t0", version="v2"), born=born))
    discovery.targets.confirmed_at = now() + 1.0
    assert resolve(origins, 7).version == "v1"


def test_reports_carry_a_table_to_another_node():
    origins, discovery = build_origins("v1", "v2")
    for stream, target in ((7, "t0"), (8, "t1")):
        origins.record_own(stream, discovery.targets_by_id[target], deadline=10.0)
    other, _ = build_origins("v1", "v2")
    for report in origins.reports():
        assert other.merge(report)
        assert not other.merge(report)
    assert other.merge(OriginReport("v2", (7,), (10,)))
    assert sorted(report.version for report in other.reports()) == ["", "v2"]
    assert list(build_reports([])) == []
