"""Validation of settings files."""

import pytest

from celeryrun.exception import SettingsError
from celeryrun.settings import load_settings, parse_settings
from celeryrun.tests.builders import build_settings


def test_valid_settings_have_typed_values():
    settings = parse_settings(build_settings(peers__lease="2s"))
    assert settings.node.caller_address.port == 8000
    assert settings.peers.lease == 2.0


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"node__colour": "red"}, ("node", "colour", "unknown key")),
        ({"nodes__name": "a"}, ("nodes", "-", "unknown section")),
        ({"node__threads": "2"}, ("node", "threads", "from 8 to 4000")),
        ({"peers__lease": "3"}, ("peers", "lease", "with its unit")),
        ({"node__zone": None}, ("node", "zone", "is required")),
        ({"node__caller_address": "localhost:80"}, ("node", "caller_address", "IP:PORT")),
        ({"peers__key": "short"}, ("peers", "key", "at least 16")),
        ({"node__threads": "1_0"}, ("node", "threads", "whole number")),
        ({"node__Threads": "10"}, ("node", "Threads", "unknown key")),
        ({"DEFAULT__name": "a"}, ("DEFAULT", "-", "unknown section")),
        ({"platform__timeout": "1.2.3s"}, ("platform", "timeout", "with its unit")),
        ({"platform__log_url": "10.0.0.1:80"}, ("platform", "log_url", "http://IP:PORT")),
        ({"limits__max_body": "5MB"}, ("limits", "max_body", "with its unit (B, KiB, MiB)")),
        ({"node__log_level": "loud"}, ("node", "log_level", "one of debug")),
        ({"node__name": "a b"}, ("node", "name", "letters, digits")),
        ({"node__caller_address": None}, ("node", "caller_address", "is required")),
        ({"node__peer_address": "[::1]:80"}, ("node", "peer_address", "IP:PORT")),
        ({"node__peer_address": "127.0.0.1:+8"}, ("node", "peer_address", "IP:PORT")),
        ({"node__peer_address": "127.0.0.1:8001"}, ("node", "peer_address", "operator_address")),
        (
            {"node__operator_address": "127.0.0.1:8000"},
            ("node", "operator_address", "other than caller_address"),
        ),
        ({"node__peer_address": "0.0.0.0:9"}, ("node", "peer_address", "this VM's IP address")),
        ({"peers__lease": "1s"}, ("peers", "lease", "at least 2 times probe_period")),
        ({"peers__suspect_timeout": "0.5s"}, ("peers", "suspect_timeout", "at least 3 times")),
        (
            {"platform__timeout": "60s", "platform__retention": "1m"},
            ("platform", "timeout", "half"),
        ),
        ({"limits__default_deadline": "700s"}, ("limits", "default_deadline", "max_deadline")),
    ],
)
def test_error_names_section_key_and_allowed_values(change, expected):
    section, key, allowed = expected
    with pytest.raises(SettingsError) as caught:
        parse_settings(build_settings(**change), "node.ini")
    assert (caught.value.file, caught.value.section, caught.value.key) == ("node.ini", section, key)
    assert allowed in caught.value.allowed


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[node]\nname = a\nname = b\n", ("node", "name", "line 3 repeats it")),
        ("[node]\n[peers]\n[node]\n", ("node", "-", "line 3 repeats it")),
        ("name = a\n", ("-", "-", "line 1 is in no section")),
        ("[node]\nname\n", ("-", "-", "malformed lines: 2")),
    ],
)
def test_error_of_malformed_file_names_line(text, expected):
    section, key, allowed = expected
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, "node.ini")
    assert (caught.value.file, caught.value.section, caught.value.key) == ("node.ini", section, key)
    assert allowed in caught.value.allowed


def test_encoding_error_names_line_and_byte_order_mark_is_accepted(tmp_path):
    path = tmp_path / "node.ini"
    path.write_bytes(build_settings().encode() + b"# se\xf1or\n")
    with pytest.raises(SettingsError, match="UTF-8 text; line"):
        load_settings(path)
    path.write_bytes(b"\xef\xbb\xbf" + build_settings().encode())
    assert load_settings(path).node.name == "node-0"
