"""Sections of a gateway's settings file."""

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

__all__ = [
    "BoundSettings",
    "GatewayNodeSettings",
    "GatewaySettings",
    "HedgingSettings",
    "StoreSettings",
]


@dataclass(frozen=True, slots=True)
class GatewayNodeSettings:
    """``[node]``: identity, addresses and resources of the process."""

    name: str = setting(Identifier(), "unique name of the node")
    zone: str = setting(Identifier(), "availability zone of this VM")
    caller_address: Address = setting(AddressType(), "address for callers")
    readiness_address: Address = setting(
        AddressType(), "address for the balancer's readiness checks"
    )
    peer_address: Address = setting(AddressType(), "address for other nodes")
    metrics_address: Address = setting(AddressType(), "address for metrics")
    core_share: float = setting(Number(0.001, 4096), "share of the VM's cores for the process", 1.0)
    cores: float = setting(Number(0.001, 4096), "cores of the VM", 1.0)
    memory: int = setting(Size(1 << 20, 1 << 40), "memory that the process may use", 256 << 20)
    descriptors: int = setting(Integer(64, 1 << 20), "open files and connections allowed", 4096)
    first_start: str = setting(
        Choice(("yes", "no")), "whether the system has never run before", "no"
    )
    log_level: str = setting(
        Choice(("debug", "info", "warning", "error")), "lowest logged level", "info"
    )

    @property
    def speed(self) -> float:
        """Processor time for the process, in cores."""
        return self.core_share * self.cores


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """``[store]``: the platform's metadata store."""

    address: Address = setting(AddressType(), "address of the store")


@dataclass(frozen=True, slots=True)
class BoundSettings:
    """``[bounds]``: guarantees that the operators require."""

    configuration_lag: float = setting(
        Duration(0.1, 600), "longest time until a version is in force", 2.0
    )
    revocation_lag: float = setting(
        Duration(0.5, 600), "longest time until a removed key is refused", 5.0
    )
    drain_lag: float = setting(
        Duration(0.1, 600), "longest time until a leaving target gets no work", 2.0
    )
    stop_grace: float = setting(Duration(0.5, 600), "time from the stop signal to the kill", 8.0)
    retry_ratio: float = setting(Number(0, 10), "retries allowed per request", 0.2)
    retry_window: float = setting(Duration(0.1, 600), "time over which retries are counted", 10.0)
    retry_slack: float = setting(Number(0, 1e9), "retries allowed beyond the ratio", 20.0)
    quota_over: float = setting(Number(0, 10), "fraction by which a quota may be exceeded", 0.1)
    quota_slack: float = setting(Number(0, 1e12), "amount allowed beyond that fraction", 0.0)
    quota_window: float = setting(Duration(0.1, 600), "time over which quotas are counted", 8.0)
    expose_share: float = setting(
        Number(0, 1), "share of a pool's requests that an unproved version may get", 0.1
    )
    expose_slack: float = setting(Number(0, 1e9), "requests allowed beyond that share", 0.0)
    rollback_lag: float = setting(
        Duration(0, 600), "longest time until a bad version gets no work; 0 for no roll-outs", 0.0
    )


@dataclass(frozen=True, slots=True)
class HedgingSettings:
    """``[hedging]``: second attempts at slow requests."""

    extra_work: float = setting(
        Number(0, 1), "extra work for second attempts, as a share of all work; 0 for none", 0.0
    )


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Validated settings of a gateway."""

    node: GatewayNodeSettings
    store: StoreSettings
    bounds: BoundSettings
    hedging: HedgingSettings
