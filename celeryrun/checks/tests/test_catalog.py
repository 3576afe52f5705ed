"""Findings on configurations with one fault each, and on random edits."""

import copy
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrun.checks import Severity, check_draft, compare_drafts
from celeryrun.checks.tests.builders import build_draft
from celeryrun.platform import UnreadableRecordError, decode_draft
from standins.site import build_config, build_tenant


def set_values(section, index, **values):
    """Return an edit that sets values of one entry; an index of None means a section itself."""

    def edit(config):
        entry = config[section] if index is None else config[section][index]
        entry.update(values)

    return edit


def repeat(section):
    return lambda config: config[section].append(copy.deepcopy(config[section][0]))


def quota(**values):
    return set_values("tenants", 0, ratePerS=100, burst=100, **values)


def add_tenant(*keys):
    return lambda config: config["tenants"].append(build_tenant("third", *keys))


ERRORS = {
    "same match": (repeat("routes"), "never matches, since route rcalls"),
    "same pool": (repeat("services"), "2 entries have this name"),
    "same workspace": (repeat("tenants"), "2 entries have this name"),
    "prefix without slash": (set_values("routes", 0, pathPrefix="calls/"), "begin with a slash"),
    "query in prefix": (set_values("routes", 0, pathPrefix="/calls?/"), "no path holds"),
    "host with port": (set_values("routes", 0, host="site.example:80"), "not a host name"),
    "unknown pool": (set_values("routes", 0, service="other"), "'other' is not configured"),
    "objective": (set_values("routes", 0, targetLatencyMs=3000), "longer than its timeout of 2 s"),
    "pause": (set_values("routes", 3, gapAimMs=3000), "longest pause between events exceeds"),
    "no timeout": (set_values("routes", 0, timeoutMs=0), "its timeout is 0"),
    "shared key": (add_tenant("key-cajas"), "is also that of workspace cajas"),
    "key that no header carries": (add_tenant("ключ"), "no header can carry it"),
    "blank key": (add_tenant(" key"), "no header can carry it"),
    "small headers": (set_values("limits", None, maxHeaderBytes=100), "100 bytes of headers"),
    "zero timeout": (set_values("limits", None, idleTimeoutMs=0), "closes every connection"),
    "no keys": (lambda config: config.update(tenants=[]), "no workspace has a key"),
}
WARNINGS = {
    "open prefix": (set_values("routes", 0, pathPrefix="/calls"), "middle of a segment"),
    "small burst": (quota(plainTokens=200), "its burst of 100 is less than the 200 tokens"),
    "attempts": (set_values("routes", 1, maxAttempts=3), "may run once only"),
    "pause of a call": (set_values("routes", 0, gapAimMs=100), "its responses are no streams"),
    "zero weight": (
        set_values("routes", 0, split=[{"service": "app"}, {"service": "model", "weight": 0}]),
        "'model' gets none",
    ),
    "unused pool": (lambda config: config["services"].append({"name": "idle"}), "no route uses it"),
    "keyless": (add_tenant(), "it has no key"),
    "burst alone": (set_values("tenants", 0, burst=5), "its burst has no effect"),
    "no body": (set_values("limits", None, maxBodyBytes=0), "with a body is refused"),
    "timeouts": (set_values("limits", None, headerTimeoutMs=9000), "9 s for the headers"),
    "all public": (
        lambda config: [route.update(public=True) for route in config["routes"]],
        "no key is ever asked for",
    ),
}


def test_sound_configuration_has_no_findings():
    assert check_draft(build_draft()) == []


@pytest.mark.parametrize("name", ERRORS)
def test_fault_is_an_error_with_a_remedy(name):
    edit, text = ERRORS[name]
    findings = check_draft(build_draft(edit))
    assert any(text in each.text and each.severity is Severity.ERROR for each in findings)
    assert all(finding.place and finding.remedy for finding in findings)


@pytest.mark.parametrize("name", WARNINGS)
def test_questionable_entry_is_a_warning(name):
    edit, text = WARNINGS[name]
    findings = check_draft(build_draft(edit))
    assert [each.severity for each in findings if text in each.text] == [Severity.WARNING]
    assert not any(finding.severity is Severity.ERROR for finding in findings)


def test_quota_that_refills_slower_than_any_timeout_is_a_warning():
    edit = set_values("tenants", 0, ratePerS=1, burst=100)
    (finding,) = check_draft(build_draft(edit))
    assert "refills one request in 10 s" in finding.text


def test_findings_do_not_disclose_keys():
    findings = check_draft(build_draft(add_tenant("key-cajas")))
    assert findings and not any("key-cajas" in str(finding) for finding in findings)


def find_leaves(value, path=()):
    """Yield the paths of all values in a JSON object."""
    yield path
    match value:
        case dict():
            items = value.items()
        case list():
            items = enumerate(value)
        case _:
            return
    for key, child in items:
        yield from find_leaves(child, (*path, key))


LEAVES = [path for path in find_leaves(build_config()) if path]
VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(10**20), 10**20),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=8),
    st.just([]),
    st.just({}),
)


@settings(max_examples=300, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(LEAVES), VALUES), min_size=1, max_size=4))
def test_random_edits_crash_no_check(edits):
    config = json.loads(json.dumps(build_config()))
    for path, value in edits:
        parent = config
        try:
            for key in path[:-1]:
                parent = parent[key]
            parent[path[-1]] = value
        except (KeyError, IndexError, TypeError):
            continue  # an earlier edit has replaced a parent
    try:
        draft = decode_draft(json.dumps(config).encode())
    except UnreadableRecordError:
        return
    sound = build_draft()
    for finding in check_draft(draft):
        assert str(finding)
    for difference in (*compare_drafts(sound, draft), *compare_drafts(draft, sound)):
        assert str(difference)
