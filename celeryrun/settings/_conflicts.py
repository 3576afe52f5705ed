"""Checks of settings that depend on other settings."""

from __future__ import annotations

from collections.abc import Iterator

from celeryrun.settings._schema import Settings

__all__ = ["find_conflicts"]

TIMEOUTS_PER_PROBE = 3  # one for the direct probe and two for the indirect probe
MIN_LEASE_PROBES = 2
ANY_HOST = "0.0.0.0"

Conflict = tuple[str, str, str]


def find_conflicts(settings: Settings) -> Iterator[Conflict]:
    """Yield section, key and allowed values of each setting that contradicts another."""
    yield from _check_addresses(settings)
    yield from _check_peers(settings)
    yield from _check_times(settings)


def _check_addresses(settings: Settings) -> Iterator[Conflict]:
    node = settings.node
    key_by_address = {node.caller_address: "caller_address"}
    for key, address in (
        ("operator_address", node.operator_address),
        ("peer_address", node.peer_address),
    ):
        if address in key_by_address:
            yield "node", key, (
                f"an address other than {key_by_address[address]}; found {address} in both"
            )
        key_by_address[address] = key
        if address.host == ANY_HOST:
            yield "node", key, (f"this VM's IP address, reachable from other VMs; found {address}")


def _check_peers(settings: Settings) -> Iterator[Conflict]:
    peers = settings.peers
    probe = peers.probe_period + peers.probe_timeout
    if peers.lease < MIN_LEASE_PROBES * probe:
        allowed = f"at least {MIN_LEASE_PROBES} times probe_period and probe_timeout together"
        yield "peers", "lease", f"{allowed}, {MIN_LEASE_PROBES * probe:g}s; found {peers.lease:g}s"
    if peers.suspect_timeout < TIMEOUTS_PER_PROBE * peers.probe_timeout:
        allowed = f"at least {TIMEOUTS_PER_PROBE} times probe_timeout"
        minimum = TIMEOUTS_PER_PROBE * peers.probe_timeout
        yield "peers", "suspect_timeout", (
            f"{allowed}, {minimum:g}s; found {peers.suspect_timeout:g}s"
        )


def _check_times(settings: Settings) -> Iterator[Conflict]:
    platform, limits = settings.platform, settings.limits
    if platform.timeout * 2 > platform.retention:
        allowed = f"at most half of retention, {platform.retention / 2:g}s"
        yield "platform", "timeout", f"{allowed}; found {platform.timeout:g}s"
    if limits.default_deadline > limits.max_deadline:
        allowed = f"at most max_deadline, {limits.max_deadline:g}s"
        yield "limits", "default_deadline", f"{allowed}; found {limits.default_deadline:g}s"
