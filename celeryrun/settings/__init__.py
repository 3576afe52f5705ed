"""INI settings of nodes and gateways."""

from celeryrun.settings._gateway import (
    BoundSettings,
    GatewayNodeSettings,
    GatewaySettings,
    HedgingSettings,
    StoreSettings,
)
from celeryrun.settings._load import (
    load_gateway_settings,
    load_settings,
    parse_gateway_settings,
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
from celeryrun.settings._value_types import Address, parse_seconds

__all__ = [
    "Address",
    "BoundSettings",
    "GatewayNodeSettings",
    "GatewaySettings",
    "HedgingSettings",
    "LimitSettings",
    "NodeSettings",
    "PeerSettings",
    "PlatformSettings",
    "Settings",
    "StoreSettings",
    "load_gateway_settings",
    "load_settings",
    "parse_gateway_settings",
    "parse_seconds",
    "parse_settings",
    "read_text",
]
