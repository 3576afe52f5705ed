"""The sections of a gateway's settings file."""

from __future__ import annotations

from dataclasses import dataclass

from celeryrun.settings._schema import setting
from celeryrun.settings._value_types import (
    Address,
    AddressType,
    Choice,
    Duration,
    Identifier,
    Integer,
    Number,
    Size,
)

__all__ = ["BoundSettings", "GatewayNodeSettings", "GatewaySettings", "StoreSettings"]


@dataclass(frozen=True, slots=True)
class GatewayNodeSettings:
    """``[node]``: who this process is and where it listens."""

    name: str = setting(Identifier(), "unique name of the node")
    zone: str = setting(Identifier(), "availability zone of this VM")
    caller_address: Address = setting(AddressType(), "where callers connect")
    readiness_address: Address = setting(AddressType(), "where the balancer asks for readiness")
    peer_address: Address = setting(AddressType(), "where other nodes connect")
    metrics_address: Address = setting(AddressType(), "where metrics are served")
    core_share: float = setting(Number(0.001, 4096), "part of its cores that the process gets", 1.0)
    cores: float = setting(Number(0.001, 4096), "cores of the VM", 1.0)
    memory: int = setting(Size(1 << 20, 1 << 40), "memory that the process may use", 256 << 20)
    descriptors: int = setting(Integer(64, 1 << 20), "files and connections it may open", 4096)
    first_start: str = setting(Choice(("yes", "no")), "whether the system has never run", "no")
    log_level: str = setting(Choice(("debug", "info", "warning", "error")), "least level", "info")

    @property
    def speed(self) -> float:
        """Processor time that the process gets, in cores."""
        return self.core_share * self.cores


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """``[store]``: the platform's metadata store."""

    address: Address = setting(AddressType(), "where the store is")


@dataclass(frozen=True, slots=True)
class BoundSettings:
    """``[bounds]``: what the operators ask of the system."""

    configuration_lag: float = setting(Duration(0.1, 600), "until a version is in force", 2.0)
    revocation_lag: float = setting(Duration(0.5, 600), "until a removed key is refused", 5.0)
    drain_lag: float = setting(Duration(0.1, 600), "until a leaving target gets no work", 2.0)
    stop_grace: float = setting(Duration(0.5, 600), "from the stop signal to the kill", 8.0)
    retry_ratio: float = setting(Number(0, 10), "retries for each request", 0.2)
    retry_window: float = setting(Duration(0.1, 600), "over which retries are counted", 10.0)
    retry_slack: float = setting(Number(0, 1e9), "retries beyond the ratio", 20.0)
    quota_over: float = setting(Number(0, 10), "share by which a quota may be exceeded", 0.1)
    quota_slack: float = setting(Number(0, 1e12), "amount beyond that", 0.0)
    quota_window: float = setting(Duration(0.1, 600), "over which quotas are counted", 8.0)


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All settings of a gateway, checked."""

    node: GatewayNodeSettings
    store: StoreSettings
    bounds: BoundSettings
