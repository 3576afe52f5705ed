"""Differences between two configurations, in words."""

from celeryrun.checks import compare_drafts
from celeryrun.checks.tests.builders import build_draft


def compare(edit):
    def edit_newer(config):
        config["version"] = 2
        edit(config)

    lines = [str(each) for each in compare_drafts(build_draft(), build_draft(edit_newer))]
    assert lines.pop(0) == "version: 1 to 2"
    return lines


def test_changed_route_is_described_by_its_fields():
    def edit(config):
        config["routes"][0].update(
            timeoutMs=500, split=[{"service": "app", "weight": 3}, {"service": "model"}]
        )

    assert compare(edit) == [
        "route rcalls: pools app to app 3, model 1",
        "route rcalls: timeout 2 s to 500 ms",
    ]


def test_route_that_may_no_longer_be_repeated_says_so():
    def edit(config):
        config["routes"][0]["kind"] = "non_idempotent"

    assert compare(edit) == ["route rcalls: its requests: repeatable yes to no"]


def test_values_that_differ_read_differently():
    def edit(rate):
        return build_draft(lambda config: config["tenants"][0].update(ratePerS=rate))

    differences = compare_drafts(edit(1234567), edit(1234568))
    assert "quota rate 1234567 to 1234568" in [each.text for each in differences]


def test_added_and_removed_entries_are_listed():
    def edit(config):
        del config["routes"][1]
        config["services"].append({"name": "extra"})

    assert compare(edit) == ["route rbookings: removed", "pool extra: added"]


def test_keys_are_named_by_their_hashes():
    def edit(config):
        config["tenants"][0]["apiKeys"] = ["another"]

    added, removed = compare(edit)
    assert added.endswith("is added") and "is removed" in removed
    assert "key-cajas" not in removed and "another" not in added


def test_removed_list_of_workspaces_says_that_nobody_needs_a_key():
    def edit(config):
        del config["tenants"]

    assert "workspaces: the list is removed, so that nobody needs a key" in compare(edit)


def test_version_that_is_not_higher_would_not_come_into_force():
    (difference,) = compare_drafts(build_draft(), build_draft())
    assert "would not come into force" in difference.text
