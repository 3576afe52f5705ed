"""Checked INI settings of a node."""

from celeryrun.settings._gateway import (
    BoundSettings,
    GatewayNodeSettings,
    GatewaySettings,
    StoreSettings,
)
from celeryrun.settings._kinds import Address, parse_seconds
from celeryrun.settings._load import (
    load_gateway,
    load_settings,
    parse_gateway,
    parse_settings,
    read_text,
)
from celeryrun.settings._schema import (
    LimitSettings,
    NodeSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
)

__all__ = [
    "Address",
    "BoundSettings",
    "GatewayNodeSettings",
    "GatewaySettings",
    "LimitSettings",
    "NodeSettings",
    "PeerSettings",
    "PlatformSettings",
    "Settings",
    "StoreSettings",
    "load_gateway",
    "load_settings",
    "parse_gateway",
    "parse_seconds",
    "parse_settings",
    "read_text",
]
