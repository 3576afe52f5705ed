"""Tests of the parser of both lists."""

import pytest

from celeryrun.configuration import diff_lists, hash_key, parse_lists
from celeryrun.exception import SettingsError

PLANS = f"[cajas]\nplan = sales\ntier = 1\nkey_hash = {hash_key('a')}\n"
USES = "[drafts]\nkind = engine\nplans = sales\n"


@pytest.mark.parametrize(
    ("plans", "uses", "location"),
    [
        (PLANS.replace("tier = 1", "tier = 4"), USES, ("plans", "cajas", "tier", "from 1 to 3")),
        (PLANS.replace("tier = 1\n", ""), USES, ("plans", "cajas", "tier", "is required")),
        (PLANS + "colour = red\n", USES, ("plans", "cajas", "colour", "unknown key")),
        (PLANS.replace("key_hash = ", "key_hash = z"), USES, ("plans", "cajas", "key_hash", "64")),
        (PLANS + PLANS.replace("cajas", "b"), USES, ("plans", "b", "key_hash", "[cajas] has")),
        (PLANS.replace("cajas", "a b"), USES, ("plans", "a b", "-", "a name of")),
        (PLANS + "max_outstanding = 0\n", USES, ("plans", "cajas", "max_outstanding", "from 1")),
        (PLANS, USES.replace("engine", "oven"), ("uses", "drafts", "kind", "one of engine")),
        (PLANS, USES.replace("= sales", "="), ("uses", "drafts", "plans", "at least one")),
        (PLANS, USES.replace("sales", "sails"), ("uses", "drafts", "plans", "known: sales")),
        (
            PLANS,
            USES + "non_idempotent = BOOK /x\n",
            ("uses", "drafts", "non_idempotent", "METHOD"),
        ),
        (PLANS, USES + "fencing = maybe\n", ("uses", "drafts", "fencing", "one of yes, no")),
    ],
)
def test_error_names_its_location_and_the_allowed_values(plans, uses, location):
    with pytest.raises(SettingsError) as caught:
        parse_lists(plans, uses)
    error = caught.value
    assert (error.file, error.section, error.key) == location[:3]
    assert location[3] in error.allowed


def test_change_turns_one_configuration_into_another():
    old = parse_lists(PLANS + PLANS.replace("cajas", "b").replace(hash_key("a"), hash_key("b")), "")
    new = parse_lists(PLANS.replace("tier = 1", "tier = 2"), USES)
    changed = old.apply(diff_lists(old, new, "id"), 1)
    assert (changed.plans, changed.pools) == (new.plans, new.pools)
    assert changed.content_hash == new.content_hash
