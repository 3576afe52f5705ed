"""Decoding of configurations and target entries, and rejection of invalid records."""

import ipaddress
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from celeryrun.platform import UnreadableRecordError, decode_catalog, decode_target
from standins.site import build_config, build_tenant

# Values that JSON can carry, or that Python's encoder writes, of any type and size.
ODD_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([0, -1, 2**31, 2**53, 2**62, 2**64, 10**400, -(10**400)])
    | st.floats()
    | st.text(max_size=40)
    | st.sampled_from(["\ud800", "a\r\nb: c", "x" * 70_000, "\0"]),
    lambda values: st.lists(values, max_size=3)
    | st.dictionaries(st.text(max_size=5), values, max_size=3),
    max_leaves=6,
)
ADDRESSES = st.builds(
    "{}{}{}".format,
    st.text(max_size=300) | st.sampled_from(["10.0.0.1", "[::1]", "::1", "a.example", "a..b", ""]),
    st.sampled_from([":", "", "::"]),
    st.integers().map(str) | st.text(max_size=6) | st.sampled_from(["80", "²", "9" * 5000]),
)

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
    ],
)
def test_target_entry_with_an_invalid_field_is_unreadable(change):
    with pytest.raises(UnreadableRecordError):
        decode_target("t", json.dumps(TARGET_ENTRY | change).encode())


@pytest.mark.parametrize("field", ["service", "address", "state"])
def test_target_entry_without_a_required_field_is_unreadable(field):
    entry = {name: value for name, value in TARGET_ENTRY.items() if name != field}
    with pytest.raises(UnreadableRecordError):
        decode_target("t", json.dumps(entry).encode())


def check_ranges(target):
    assert 1 <= target.port <= 65_535
    assert 1 <= target.slots <= 65_536
    assert 0 <= target.born < 2**53 and 0 <= target.sequence < 2**53
    assert target.id.isascii() and target.id.isprintable() and " " not in target.id
    try:
        ipaddress.ip_address(target.host)
    except ValueError:
        labels = target.host.split(".")
        assert target.host.isascii() and len(target.host) <= 253
        assert all(0 < len(label) <= 63 for label in labels)
        assert all(label.replace("-", "a").isalnum() for label in labels)


@given(
    st.text(max_size=20),
    st.dictionaries(st.sampled_from(sorted(TARGET_ENTRY)), ODD_VALUES, max_size=3),
    st.none() | ADDRESSES,
)
def test_entry_with_any_fields_is_decoded_within_its_ranges_or_unreadable(id, changes, address):
    entry = TARGET_ENTRY | changes | ({} if address is None else {"address": address})
    try:
        check_ranges(decode_target(id, json.dumps(entry).encode()))
    except UnreadableRecordError as error:
        assert len(str(error)) < 500


@given(
    st.sampled_from(["", "routes", "services", "tenants", "limits"]),
    st.dictionaries(
        st.sampled_from(
            "version routes services tenants limits name host timeoutMs targetLatencyMs maxAttempts"
            " priority split weight gapAimMs engine maxBodyBytes idleTimeoutMs apiKeys burst"
            " ratePerS plainTokens".split()
        ),
        ODD_VALUES,
        max_size=3,
    ),
)
def test_configuration_with_any_fields_is_decoded_within_its_ranges_or_unreadable(part, changes):
    config = build_config()
    changed = config[part] if part else config
    (changed[0] if isinstance(changed, list) else changed).update(changes)
    try:
        catalog = decode_catalog(json.dumps(config).encode())
    except UnreadableRecordError as error:
        assert len(str(error)) < 500
        return
    assert 0 <= catalog.version < 2**53
    for route in catalog.routes:
        assert 0 <= route.timeout <= 1e9 and 0 <= route.objective <= 1e9
        assert 1 <= route.max_attempts < 2**31 and abs(route.tier) < 2**31
        assert 0 < sum(split.weight for split in route.splits) < float("inf")
    for workspace in catalog.workspaces_by_key.values():
        assert all(character >= " " for character in workspace.name)
        assert 0 <= workspace.quota_rate <= 1e12 and 0 <= workspace.burst <= 1e12


@pytest.mark.parametrize("levels", [10, 500, 5000, 100_000])
def test_nesting_of_any_depth_is_decoded_or_unreadable(levels):
    field = b',"odd":' + b"[" * levels + b"]" * levels + b"}"
    for record, decode in (
        (TARGET_ENTRY, lambda body: decode_target("t", body)),
        (build_config(), decode_catalog),
    ):
        try:
            decode(json.dumps(record).encode()[:-1] + field)
        except UnreadableRecordError as error:
            assert "not readable" in str(error)


@pytest.mark.parametrize(
    ("address", "host"),
    [
        ("10.0.0.1:80", "10.0.0.1"),
        ("[2001:db8::1]:80", "2001:db8::1"),
        ("engine-3.zone-a.example:80", "engine-3.zone-a.example"),
        ("localhost:80", "localhost"),
        ("3com.example:80", "3com.example"),
    ],
)
def test_address_has_a_literal_or_a_host_name(address, host):
    target = decode_target("t", json.dumps(TARGET_ENTRY | {"address": address}).encode())
    assert (target.host, target.port) == (host, 80)


@pytest.mark.parametrize("slots", [1, 65_536])
def test_slots_up_to_the_maximum_are_read(slots):
    entry = json.dumps(TARGET_ENTRY | {"slots": slots}).encode()
    assert decode_target("t", entry).slots == slots


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_raise_unreadable_record_error(body):
    for decode in (decode_catalog, lambda data: decode_target("t", data)):
        try:
            decode(body)
        except UnreadableRecordError as error:
            assert "not readable" in str(error) or "no usable" in str(error)
