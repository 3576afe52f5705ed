"""Decoding of configurations and target entries, and rejection of invalid records."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from celeryrun.platform import UnreadableRecordError, decode_catalog, decode_target
from standins.site import build_config, build_tenant

TARGET_ENTRY = {
    "service": "app",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 12,
}


def test_catalog_has_the_values_of_the_configuration():
    tenant = build_tenant("cajas", "k1", "k2", priority=1, ratePerS=10, burst=20)
    catalog = decode_catalog(json.dumps(build_config(7, tenants=[tenant])).encode())
    assert catalog.version == 7
    route = catalog.find_route("site.example", "/chats/x")
    assert route.kind.repeatable and route.kind.resumable
    assert (route.timeout, route.objective, route.max_pause) == (2.0, 0.4, 0.25)
    assert route.patience == 2.0
    assert not catalog.find_route("site.example", "/drafts/x").kind.repeatable
    workspace = catalog.workspaces_by_key["k2"]
    assert (workspace.name, workspace.tier, workspace.quota_rate) == ("cajas", 1, 10)
    assert catalog.pools_by_name["model"].engine
    assert catalog.pools_by_name["model"].tokens_per_event == 5


def test_route_with_the_longest_matching_prefix_is_found():
    config = build_config()
    config["routes"].append(config["routes"][0] | {"name": "deep", "pathPrefix": "/calls/deep/"})
    catalog = decode_catalog(json.dumps(config).encode())
    assert catalog.find_route("site.example", "/calls/deep/x").name == "deep"
    assert catalog.find_route("site.example", "/calls/deeper").name == "rcalls"
    assert catalog.find_route("other.example", "/calls/deep/x") is None


@pytest.mark.parametrize(
    "change",
    [
        {"service": 7},
        {"service": None},
        {"address": "nowhere"},
        {"address": "10.0.0.1:port"},
        {"state": "odd"},
        {"slots": "six"},
        {"born": 1.5},
        {"version": 2},
        {"version": None},
        {"version": ""},
    ],
)
def test_target_entry_with_an_invalid_field_is_unreadable(change):
    with pytest.raises(UnreadableRecordError):
        decode_target("t", json.dumps(TARGET_ENTRY | change).encode())


@pytest.mark.parametrize("field", ["service", "address", "state", "version"])
def test_target_entry_without_a_required_field_is_unreadable(field):
    entry = {name: value for name, value in TARGET_ENTRY.items() if name != field}
    with pytest.raises(UnreadableRecordError):
        decode_target("t", json.dumps(entry).encode())


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_raise_unreadable_record_error(body):
    for decode in (decode_catalog, lambda data: decode_target("t", data)):
        try:
            decode(body)
        except UnreadableRecordError as error:
            assert "not readable" in str(error) or "no usable" in str(error)
