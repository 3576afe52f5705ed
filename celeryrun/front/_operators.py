"""HTTP listener for operators: health, metrics, status and drain, on threads of its own."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from celeryrun.front._listener import serve
from celeryrun.kernel import Kernel, violation_counts
from celeryrun.settings import Settings

__all__ = ["OperatorListener", "PoolStatus", "Status"]

THREADS = 4
KEEP_ALIVE_TIMEOUT = 10  # s


class TierStatus(msgspec.Struct):
    """Slot requests of one tier in the queue of a pool that this node keeps."""

    tier: int
    waiting: int


class TargetStatus(msgspec.Struct):
    """State of one target on this node.

    Parameters
    ----------
    in_flight : int
        Slots in use, 0 if this node does not keep the pool.
    slots : float
        Limit of concurrent requests, 0 if this node does not keep the pool.
    """

    name: str
    zone: str
    leaving: bool
    in_flight: int
    slots: float


class PoolStatus(msgspec.Struct):
    """State of one pool on this node.

    Parameters
    ----------
    keeper : str
        Node that keeps the pool, empty if none is known.
    pressure : float
        Queued and running requests per slot, meaningful on the pool's keeper; above 1, requests
        queue.
    """

    name: str
    keeper: str
    pressure: float
    tiers: list[TierStatus]
    targets: list[TargetStatus]


class MemberStatus(msgspec.Struct):
    """State of one member on this node."""

    name: str
    zone: str
    state: str
    operator: str


class Status(msgspec.Struct):
    """Status of a node, as ``GET /status`` returns it and ``celeryrun status`` shows it.

    Parameters
    ----------
    version : int
        Version of the configuration in force.
    digest : str
        Digest of the configuration in force.
    active : int
        Callers' requests accepted and not yet answered.
    waiting : int
        Slot requests of this node that wait for a reply.
    holding : int
        Slots that this node holds.
    violations : dict
        Violations of each invariant since the start.
    """

    node: str
    zone: str
    version: int
    digest: str
    ready: bool
    draining: bool
    active: int
    waiting: int
    holding: int
    members: list[MemberStatus]
    pools: list[PoolStatus]
    violations: dict[str, int]


class OperatorListener:
    """Service that answers operators' requests and the platform's readiness probes.

    Attributes
    ----------
    on_drain : callable
        Called on ``POST /drain``.
    """

    __slots__ = ("_kernel", "_server", "_settings", "on_drain")

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._server: Any = None
        self.on_drain: Callable[[], None] = lambda: None

    @classmethod
    def from_config(cls, kernel: Kernel, settings: Settings) -> OperatorListener:
        """Build the service from settings."""
        return cls(kernel, settings)

    def start(self) -> None:
        """Start listening."""
        address = self._settings.node.operator_address
        self._server = serve(address, "operator_address", self._app, THREADS, KEEP_ALIVE_TIMEOUT)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()

    def is_ready(self) -> bool:
        """Return whether the platform's load balancer should route callers to this node."""
        caught_up = self._kernel.find("configuration").caught_up.is_set()
        joined = self._kernel.find("members").is_joined()
        return joined and caught_up and not self._kernel.find("caller_listener").draining

    def status(self) -> Status:
        """Return the status of this node."""
        caller_listener = self._kernel.find("caller_listener")
        members = self._kernel.find("members")
        current = self._kernel.find("configuration").current
        waiting, holding = self._kernel.find("pools").outstanding()
        return Status(
            self._settings.node.name,
            self._settings.node.zone,
            current.version,
            current.digest,
            self.is_ready(),
            caller_listener.draining,
            caller_listener.active,
            waiting,
            holding,
            [
                MemberStatus(member.name, member.zone, member.state, member.operator)
                for member in list(members.by_name.values())
            ],
            [self._pool_status(name) for name in current.pools_by_name],
            dict(violation_counts),
        )

    def _pool_status(self, name: str) -> PoolStatus:
        keepers = self._kernel.find("keepers")
        keeper = self._kernel.find("members").owner(f"pool/{name}") or ""
        targets = [
            TargetStatus(
                target.name,
                target.zone,
                target.leaving,
                keepers.in_flight(name, target.name),
                keepers.slot_limit(name, target.name),
            )
            for target in self._kernel.find("targets").of_pool(name)
        ]
        waiting_by_tier = keepers.waiting_by_tier(name)
        tiers = [TierStatus(tier, waiting) for tier, waiting in waiting_by_tier.items()]
        return PoolStatus(name, keeper, _pressure(tiers, targets), tiers, targets)

    def _app(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        method_and_path = (environ["REQUEST_METHOD"], environ.get("PATH_INFO", "/"))
        match method_and_path:
            case ("GET", "/livez"):
                return _respond(start, "200 OK", b"alive\n", "text/plain")
            case ("GET", "/readyz"):
                ready = self.is_ready()
                status = "200 OK" if ready else "503 Service Unavailable"
                return _respond(
                    start, status, b"ready\n" if ready else b"not ready\n", "text/plain"
                )
            case ("GET", "/metrics"):
                self._set_gauges()
                text = self._kernel.find("metrics").render()
                return _respond(start, "200 OK", text, "text/plain; version=0.0.4")
            case ("GET", "/status"):
                body = msgspec.json.encode(self.status())
                return _respond(start, "200 OK", body, "application/json")
            case ("POST", "/drain"):
                self.on_drain()
                return _respond(start, "202 Accepted", b"draining\n", "text/plain")
        return _respond(start, "404 Not Found", b"try /status\n", "text/plain")

    def _set_gauges(self) -> None:
        gauges = self._kernel.find("metrics").node_state
        waiting, holding = self._kernel.find("pools").outstanding()
        gauges.labels("waiting").set(waiting)
        gauges.labels("holding").set(holding)
        gauges.labels("version").set(self._kernel.find("configuration").current.version)
        gauges.labels("ready").set(self.is_ready())
        for what, count in self._kernel.find("peers").counts.items():
            gauges.labels(f"peer messages {what}").set(count)


def _pressure(tiers: list[TierStatus], targets: list[TargetStatus]) -> float:
    demand = sum(tier.waiting for tier in tiers) + sum(target.in_flight for target in targets)
    slots = sum(target.slots for target in targets if not target.leaving)
    return demand / max(1.0, slots)


def _respond(start: Any, status: str, body: bytes, content_type: str) -> Iterable[bytes]:
    start(status, [("Content-Type", content_type), ("Content-Length", str(len(body)))])
    return [body]
