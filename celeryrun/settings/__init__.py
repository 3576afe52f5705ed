"""Checked INI settings of a node."""

from celeryrun.settings._kinds import Address, parse_seconds
from celeryrun.settings._load import load_settings, parse_settings, read_text
from celeryrun.settings._schema import (
    LimitSettings,
    NodeSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
)

__all__ = [
    "Address",
    "LimitSettings",
    "NodeSettings",
    "PeerSettings",
    "PlatformSettings",
    "Settings",
    "load_settings",
    "parse_seconds",
    "parse_settings",
    "read_text",
]
