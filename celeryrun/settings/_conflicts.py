"""Checks of settings that depend on each other."""

from __future__ import annotations

from collections.abc import Iterator

from celeryrun.settings._schema import Settings

__all__ = ["find_conflicts"]

PROBE_STEPS = 3  # a direct probe, then the way through another node and back
LEASE_BEATS = 2
ANY_HOST = "0.0.0.0"

Conflict = tuple[str, str, str]


def find_conflicts(settings: Settings) -> Iterator[Conflict]:
    """Yield section, key and what is allowed, for each setting that does not fit the others."""
    yield from _check_addresses(settings)
    yield from _check_peers(settings)
    yield from _check_times(settings)


def _check_addresses(settings: Settings) -> Iterator[Conflict]:
    node = settings.node
    taken = {node.caller_address: "caller_address"}
    for key, address in (
        ("operator_address", node.operator_address),
        ("peer_address", node.peer_address),
    ):
        if address in taken:
            yield "node", key, f"another address than {taken[address]}; found {address} in both"
        taken[address] = key
        if address.host == ANY_HOST:
            yield "node", key, f"this VM's own IP number, which others connect to; found {address}"


def _check_peers(settings: Settings) -> Iterator[Conflict]:
    peers = settings.peers
    probe = peers.probe_period + peers.probe_timeout
    if peers.lease < LEASE_BEATS * probe:
        allowed = f"at least {LEASE_BEATS} times probe_period and probe_timeout together"
        yield "peers", "lease", f"{allowed}, {LEASE_BEATS * probe:g}s; found {peers.lease:g}s"
    if peers.suspect_timeout < PROBE_STEPS * peers.probe_timeout:
        allowed = f"at least {PROBE_STEPS} times probe_timeout"
        least = PROBE_STEPS * peers.probe_timeout
        yield "peers", "suspect_timeout", f"{allowed}, {least:g}s; found {peers.suspect_timeout:g}s"


def _check_times(settings: Settings) -> Iterator[Conflict]:
    platform, limits = settings.platform, settings.limits
    if platform.timeout * 2 > platform.retention:
        allowed = f"at most half of retention, {platform.retention / 2:g}s"
        yield "platform", "timeout", f"{allowed}; found {platform.timeout:g}s"
    if limits.default_deadline > limits.max_deadline:
        allowed = f"at most max_deadline, {limits.max_deadline:g}s"
        yield "limits", "default_deadline", f"{allowed}; found {limits.default_deadline:g}s"
