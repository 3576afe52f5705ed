"""Checks of settings files."""

import pytest

from celeryrun.exception import SettingsError
from celeryrun.settings import parse_settings
from celeryrun.tests.builders import build_settings


def test_good_settings_are_typed():
    settings = parse_settings(build_settings(peers__lease="2s"))
    assert settings.node.caller_address.port == 8000
    assert settings.peers.lease == 2.0


@pytest.mark.parametrize(
    ("change", "place"),
    [
        ({"node__colour": "red"}, ("node", "colour", "unknown key")),
        ({"nodes__name": "a"}, ("nodes", "-", "unknown section")),
        ({"node__threads": "2"}, ("node", "threads", "from 8 to 4000")),
        ({"peers__lease": "3"}, ("peers", "lease", "with its unit")),
        ({"node__zone": None}, ("node", "zone", "is required")),
        ({"node__caller_address": "localhost:80"}, ("node", "caller_address", "IP:PORT")),
        ({"peers__key": "short"}, ("peers", "key", "at least 16")),
    ],
)
def test_fault_is_named_with_its_remedy(change, place):
    section, key, allowed = place
    with pytest.raises(SettingsError) as caught:
        parse_settings(build_settings(**change), "node.ini")
    assert (caught.value.file, caught.value.section, caught.value.key) == ("node.ini", section, key)
    assert allowed in caught.value.allowed
