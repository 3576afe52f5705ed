"""The sections of a node's settings file."""

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
    """Declare a dataclass field that is read from the file."""
    return field(default=default, metadata={"value_type": value_type, "description": description})


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """``[node]``: who this process is and where it listens."""

    name: str = setting(Identifier(), "unique name of the node")
    zone: str = setting(Identifier(), "availability zone of this VM")
    caller_address: Address = setting(AddressType(), "where callers connect")
    operator_address: Address = setting(AddressType(), "health, metrics and status")
    peer_address: Address = setting(AddressType(), "where other nodes connect")
    threads: int = setting(Integer(8, 4000), "callers that may wait or run at once", 600)
    drain_lag: float = setting(Duration(0, 120), "time the balancer keeps sending", 5.0)
    log_level: str = setting(Choice(("debug", "info", "warning", "error")), "least level", "info")


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """``[platform]``: the services that the platform gives."""

    log_url: str = setting(Url(), "the append-only log")
    list_url: str = setting(Url(), "the list of VMs")
    configuration_stream: str = setting(Identifier(), "stream of the two lists", "configuration")
    list_period: float = setting(Duration(0.1, 60), "between two looks at the list", 1.0)
    timeout: float = setting(Duration(0.05, 60), "for one call to the platform", 2.0)
    retention: float = setting(Duration(10, 31_536_000), "how long the log keeps records", 86_400.0)


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """``[peers]``: how nodes talk to each other."""

    key: str = setting(Secret(16), "shared secret that signs messages between nodes")
    probe_period: float = setting(Duration(0.05, 60), "between two membership probes", 0.5)
    probe_timeout: float = setting(Duration(0.01, 60), "for one probe", 0.25)
    suspect_timeout: float = setting(Duration(0.05, 600), "from suspect to dead", 2.0)
    lease: float = setting(Duration(0.2, 600), "life of a grant without heartbeat", 3.0)


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """``[limits]``: bounds on work."""

    max_body: int = setting(Size(1024, 64 * MIB), "largest request body", 1 * MIB)
    max_deadline: float = setting(Duration(1, 86_400), "longest deadline a caller may ask", 600.0)
    default_deadline: float = setting(Duration(1, 86_400), "deadline if none is asked", 60.0)
    max_waiting: int = setting(Integer(1, 100_000), "requests waiting for one pool", 400)
    answer_memory: int = setting(Size(0, 64 * MIB), "finished answers kept for retries", 4 * MIB)
    answer_age: float = setting(Duration(0, 86_400), "how long they are kept", 120.0)


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a node, checked."""

    node: NodeSettings
    platform: PlatformSettings
    peers: PeerSettings
    limits: LimitSettings
