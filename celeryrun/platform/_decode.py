"""Decoders of the operator's configuration and of target entries from the metadata store."""

from __future__ import annotations

import re

import msgspec

from celeryrun.catalog import (
    CallerLimits,
    Catalog,
    CatalogDraft,
    Pool,
    RequestKind,
    Route,
    Split,
    Target,
    Workspace,
    WorkspaceEntry,
    expect_patience,
)
from celeryrun.records import (
    HeaderText,
    Milliseconds,
    Rate,
    Sequence,
    Slots,
    Small,
    UnreadableRecordError,
    Version,
    Weight,
    Whole,
    decode_json,
    parse_address,
)

__all__ = ["decode_catalog", "decode_draft", "decode_target"]

MS_PER_SECOND = 1000.0
TOKEN_UNIT = "token_count"
MAX_ENTRY_BYTES = 65_536  # of one target's entry
TARGET_ID = re.compile(r"[!-~]{1,255}")  # sent in a header


class _Split(msgspec.Struct):
    service: str
    weight: Weight = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds = 0.0
    max_attempts: Small = 1
    priority: Small = 0
    public: bool = False
    resumable: bool = False
    gap_aim_ms: Milliseconds = 0.0
    service: str = ""
    split: list[_Split] = []


class _Engine(msgspec.Struct, rename="camel"):
    stride: Small = 1


class _Service(msgspec.Struct, rename="camel"):
    name: str
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: Whole = 16_384
    max_body_bytes: Whole = 1_048_576
    header_timeout_ms: Milliseconds = 3000.0
    idle_timeout_ms: Milliseconds = 15_000.0


class _Tenant(msgspec.Struct, rename="camel"):
    name: HeaderText
    api_keys: list[str] = []
    priority: Small | None = None
    unit: str = ""
    plain_tokens: Whole = 1
    rate_per_s: Rate = 0.0
    burst: Rate = 0.0


class _Config(msgspec.Struct, rename="camel"):
    version: Whole
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _TargetEntry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    version: Version
    state: str
    slots: Slots = 1
    born: Whole = 0
    sequence: Sequence = 0.0


def decode_catalog(body: bytes) -> Catalog:
    """Decode one version of the operator's configuration; see `decode_draft`."""
    return decode_draft(body).catalog


def decode_draft(body: bytes) -> CatalogDraft:
    """Decode a configuration with all its entries, or raise UnreadableRecordError."""
    config = decode_json(body, _Config, "configuration")
    entries = tuple(_decode_workspace(tenant) for tenant in config.tenants or ())
    workspaces_by_key = {key: entry.workspace for entry in entries for key in entry.keys}
    pools = tuple(_decode_pool(service) for service in config.services)
    catalog = Catalog(
        config.version,
        tuple(_decode_route(route) for route in config.routes),
        {pool.name: pool for pool in pools},
        workspaces_by_key,
        CallerLimits(
            config.limits.max_header_bytes,
            config.limits.max_body_bytes,
            config.limits.header_timeout_ms / MS_PER_SECOND,
            config.limits.idle_timeout_ms / MS_PER_SECOND,
        ),
        config.tenants is not None,
    )
    return CatalogDraft(catalog, pools, entries)


def _decode_workspace(tenant: _Tenant) -> WorkspaceEntry:
    workspace = Workspace(
        tenant.name,
        tenant.priority,
        tenant.rate_per_s,
        tenant.burst,
        tenant.plain_tokens,
        tenant.unit == TOKEN_UNIT,
    )
    return WorkspaceEntry(workspace, tuple(tenant.api_keys))


def _decode_pool(service: _Service) -> Pool:
    engine = service.engine
    return Pool(
        service.name,
        engine is not None,
        max(1, engine.stride) if engine is not None else 1,
    )


def _decode_route(route: _Route) -> Route:
    splits = tuple(Split(split.service, split.weight) for split in route.split)
    if splits and not any(split.weight for split in splits):
        raise UnreadableRecordError("configuration is not readable (a split without any weight)")
    is_stream = route.kind == "streaming"
    kind = RequestKind(
        repeatable=route.kind == "idempotent" or (is_stream and route.resumable),
        stream=is_stream,
        resumable=is_stream and route.resumable,
    )
    objective = (route.target_latency_ms or route.timeout_ms) / MS_PER_SECOND
    max_pause = route.gap_aim_ms / MS_PER_SECOND
    return Route(
        route.name,
        route.host.lower(),
        route.path_prefix,
        kind,
        route.timeout_ms / MS_PER_SECOND,
        objective,
        max(1, route.max_attempts),
        route.priority,
        route.public,
        splits or (Split(route.service, 1.0),),
        max_pause,
        expect_patience(objective, max_pause) if is_stream else route.timeout_ms / MS_PER_SECOND,
    )


def decode_target(id: str, body: bytes) -> Target:
    """Decode the store entry that a target writes about itself.

    Raises
    ------
    UnreadableRecordError
        If the entry does not match the published schema, is too large, or has no usable id, address
        or state.
    """
    if len(body) > MAX_ENTRY_BYTES:
        raise UnreadableRecordError(f"entry of target {id!r} is not readable ({len(body)} bytes)")
    entry = decode_json(body, _TargetEntry, f"entry of target {id!r}")
    address = parse_address(entry.address)
    if address is None or entry.state not in ("ready", "draining") or not TARGET_ID.fullmatch(id):
        raise UnreadableRecordError(f"entry of target {id!r} has no usable id, address or state")
    ready = entry.state == "ready"
    place = (*address, entry.zone)
    run = (entry.born, entry.version)
    return Target(id, entry.service, *place, entry.slots, ready, *run, entry.sequence)
