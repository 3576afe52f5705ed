"""Sections of a node's settings file."""

from __future__ import annotations

from dataclasses import MISSING, dataclass, field
from typing import Any

from celeryrun.settings._value_types import (
    Address,
    AddressType,
    Choice,
    Duration,
    Identifier,
    Integer,
    Secret,
    Size,
    Url,
    ValueType,
)

__all__ = ["LimitSettings", "NodeSettings", "PeerSettings", "PlatformSettings", "Settings"]

MIB = 1024 * 1024


def setting(value_type: ValueType, description: str, default: Any = MISSING) -> Any:
    """Declare a dataclass field that is read from the settings file."""
    return field(default=default, metadata={"value_type": value_type, "description": description})


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """``[node]``: identity and addresses of the process."""

    name: str = setting(Identifier(), "unique name of the node")
    zone: str = setting(Identifier(), "availability zone of this VM")
    caller_address: Address = setting(AddressType(), "address for callers")
    operator_address: Address = setting(AddressType(), "address for health, metrics and status")
    peer_address: Address = setting(AddressType(), "address for other nodes")
    threads: int = setting(Integer(8, 4000), "callers waiting or being served at once", 600)
    drain_lag: float = setting(
        Duration(0, 120), "time for which the balancer still sends requests", 5.0
    )
    log_level: str = setting(
        Choice(("debug", "info", "warning", "error")), "lowest logged level", "info"
    )


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """``[platform]``: the platform's log and list of VMs."""

    log_url: str = setting(Url(), "URL of the append-only log")
    list_url: str = setting(Url(), "URL of the list of VMs")
    configuration_stream: str = setting(
        Identifier(), "stream of the configuration", "configuration"
    )
    list_period: float = setting(Duration(0.1, 60), "time between two polls of the list", 1.0)
    timeout: float = setting(Duration(0.05, 60), "limit of one call to the platform", 2.0)
    retention: float = setting(
        Duration(10, 31_536_000), "time for which the log keeps records", 86_400.0
    )


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """``[peers]``: messages between nodes."""

    key: str = setting(Secret(16), "shared secret that signs messages between nodes")
    probe_period: float = setting(Duration(0.05, 60), "time between two membership probes", 0.5)
    probe_timeout: float = setting(Duration(0.01, 60), "limit of one direct probe", 0.25)
    suspect_timeout: float = setting(Duration(0.05, 600), "time from suspect to dead", 2.0)
    lease: float = setting(Duration(0.2, 600), "lifetime of a grant without a heartbeat", 3.0)


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """``[limits]``: limits on requests and kept answers."""

    max_body: int = setting(Size(1024, 64 * MIB), "largest request body", 1 * MIB)
    max_deadline: float = setting(
        Duration(1, 86_400), "longest deadline that a caller may set", 600.0
    )
    default_deadline: float = setting(Duration(1, 86_400), "deadline if the caller sets none", 60.0)
    max_waiting: int = setting(Integer(1, 100_000), "requests waiting for one pool", 400)
    answer_memory: int = setting(
        Size(0, 64 * MIB), "size of finished answers kept for retries", 4 * MIB
    )
    answer_age: float = setting(
        Duration(0, 86_400), "time for which finished answers are kept", 120.0
    )


@dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings of a node."""

    node: NodeSettings
    platform: PlatformSettings
    peers: PeerSettings
    limits: LimitSettings
