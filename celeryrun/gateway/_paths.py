"""Service that opens connections to targets, and carries those of other nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from celeryrun.catalog import Target
from celeryrun.gateway._discovery import Discovery
from celeryrun.gateway._events import EventLog
from celeryrun.gateway._links import Carry, Link, encode
from celeryrun.gateway._members import Members
from celeryrun.gateway._metrics import GatewayMetrics
from celeryrun.kernel import Kernel
from celeryrun.paths import Carrier, PathLostError, PathOpener, Peer
from celeryrun.settings import Address, GatewaySettings
from celeryrun.transport import Exchange, TargetFailedError, is_kept

__all__ = ["Paths"]

FORGET_INTERVAL = 1.0  # s between two removals of targets that are gone


class Paths:
    """Service with this node's paths to targets.

    Attributes
    ----------
    carrier : Carrier
        Connections that this node carries for others.
    """

    __slots__ = (
        "_discovery",
        "_events",
        "_members",
        "_metrics",
        "_name",
        "_opener",
        "_task",
        "carrier",
    )

    def __init__(self, kernel: Kernel, settings: GatewaySettings) -> None:
        self._discovery: Discovery = kernel.find("discovery")
        self._events: EventLog = kernel.find("events")
        self._members: Members = kernel.find("members")
        self._metrics: GatewayMetrics = kernel.find("metrics")
        self._name = settings.node.name
        self._task: asyncio.Task[None] | None = None
        self._opener = PathOpener(
            settings.node.zone,
            self._find_peers,
            lambda target: encode(Carry(target)),
            self._on_change,
            self._on_carried,
        )
        self.carrier = Carrier(self._find_address)

    def start(self) -> None:
        """Start forgetting the paths to targets that are gone."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop and abort the connections that are carried."""
        if self._task is not None:
            self._task.cancel()
        self.carrier.close()

    @property
    def lost(self) -> tuple[str, ...]:
        """Targets that this node reaches by way of others only."""
        return self._opener.table.lost

    async def open(self, target: Target) -> Exchange:
        """Connect to a target, by way of another node if need be.

        Raises
        ------
        TargetFailedError
            If the target is unreachable; no bytes were sent.
        PathLostError
            If that may be true of this node alone; no bytes were sent.
        """
        return await self._opener.open(target.id, Address(target.host, target.port))

    def is_lost(self, target: Target) -> bool:
        """Return whether this node reaches a target by way of others only."""
        return self._opener.table.is_lost(target.id)

    def has_lost_other(self, target: Target) -> bool:
        """Return whether this node has lost its paths to other targets."""
        return self._opener.table.has_lost_other(target.id)

    async def is_up_for_others(self, target: Target, timeout: float) -> bool:
        """Return whether a target accepts a connection by way of another node, and keeps it.

        Parameters
        ----------
        timeout : float
            Limit in seconds for establishing the connection.
        """
        try:
            async with asyncio.timeout(timeout):
                exchange = await self._opener.open_carried(target.id)
        except (TargetFailedError, PathLostError, TimeoutError):
            return False
        return await is_kept(exchange)

    def carry(self, link: Link, message: Carry) -> None:
        """Carry the bytes of a link to and from a target, or decline to."""
        self.carrier.accept(link.detach(), message.target)

    def _find_address(self, target_id: str) -> Address | None:
        """Return the address of a target that this node itself may and can send to."""
        target = self._discovery.targets_by_id.get(target_id)
        if target is None or not self._discovery.is_ready(target):
            return None
        if self._opener.table.is_lost(target_id):
            return None
        return Address(target.host, target.port)

    def _find_peers(self) -> Iterator[Peer]:
        zones = self._members.zone_by_node
        for name, address in self._members.address_by_node.items():
            if name != self._name:
                yield Peer(name, address, zones.get(name, ""))

    def _on_change(self, target: str, is_lost: bool) -> None:
        if is_lost:
            self._events.emit("path-lost", target=target)
        else:
            self._events.emit("path-regained", target=target)
        self._metrics.lost_paths.set(len(self.lost))

    def _on_carried(self, target: str, peer: str) -> None:
        self._events.emit("carried", target=target, peer=peer)
        self._metrics.carried.inc()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(FORGET_INTERVAL)
            self._opener.table.forget_targets(set(self._discovery.targets_by_id))
            self._metrics.lost_paths.set(len(self.lost))
