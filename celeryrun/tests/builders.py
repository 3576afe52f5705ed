"""Builders of test data: configuration, claims, log pages, settings and responses."""

from __future__ import annotations

import json
import random
import secrets
import time

import msgspec

from celeryrun.claims._key import new_idempotency_key
from celeryrun.claims._records import Batch, Claim, new_claim_id
from celeryrun.configuration import CallPattern, Change, Plan, Pool, hash_key
from celeryrun.configuration._model import encode_record
from celeryrun.pool import QueuedRequest
from celeryrun.streams import Page, Record

__all__ = [
    "build_change",
    "build_claim",
    "build_claim_key",
    "build_claim_page",
    "build_events",
    "build_idempotency_key",
    "build_page",
    "build_plan",
    "build_pool",
    "build_queued_request",
    "build_response",
    "build_settings",
]

FAR_FUTURE = 1e12  # s


def build_plan(workspace: str = "cajas", tier: int = 1, max_outstanding: int = 100) -> Plan:
    """Build a plan whose key is ``key-WORKSPACE``."""
    return Plan(workspace, workspace, tier, hash_key(f"key-{workspace}"), max_outstanding)


def build_pool(name: str = "drafts", kind: str = "engine", plans: tuple[str, ...] = ()) -> Pool:
    """Build a pool; an application pool has one non-idempotent call."""
    calls = (CallPattern("POST", "/bookings"),) if kind == "application" else ()
    return Pool(name, kind, plans, calls)


def build_change(base: int = 0, change_id: str = "", **content: tuple[object, ...]) -> Change:
    """Build a change with a random id."""
    return Change(change_id or secrets.token_hex(4), base, **content)  # type: ignore[arg-type]


def build_page(*contents: object, first: int = 0) -> Page:
    """Build a page of encoded records; contents of type bytes are not encoded."""
    records = tuple(
        Record(first + index, 0.0, content if isinstance(content, bytes) else _encode(content))
        for index, content in enumerate(contents)
    )
    return Page(first, first + len(records), 0.0, records)


def _encode(content: object) -> bytes:
    return encode_record(content)  # type: ignore[arg-type]


def build_queued_request(
    slot_request_id: int,
    tier: int = 1,
    workspace: str = "cajas",
    cost: float = 10.0,
    node: str = "node",
    fingerprint: int = 0,
) -> QueuedRequest:
    """Build a queued slot request."""
    return QueuedRequest(node, slot_request_id, tier, workspace, cost, (), FAR_FUTURE, fingerprint)


def build_settings(**changes: str) -> str:
    """Build the text of a settings file.

    A change has the form ``section__key=value``; the value None removes the key.
    """
    sections = {
        "node": {
            "name": "node-0",
            "zone": "zone-0",
            "caller_address": "127.0.0.1:8000",
            "operator_address": "127.0.0.1:8001",
            "peer_address": "127.0.0.1:8002",
        },
        "platform": {
            "log_url": "http://127.0.0.1:9000",
            "list_url": "http://127.0.0.1:9001",
        },
        "peers": {"key": "0123456789abcdef"},
    }
    for name, value in changes.items():
        section, _, key = name.partition("__")
        sections.setdefault(section, {})[key] = value
    return "\n".join(
        f"[{section}]\n" + "".join(f"{k} = {v}\n" for k, v in values.items() if v is not None)
        for section, values in sections.items()
    )


def build_idempotency_key(seed: int | None = None) -> str:
    """Build an idempotency key with the current time."""
    bits = random.Random(seed).getrandbits(74) if seed is not None else secrets.randbits(74)
    return new_idempotency_key(time.time(), bits)


def build_response(body: bytes, *headers: str, status: str = "200 OK") -> bytes:
    """Build the bytes of a target's HTTP response."""
    lines = [f"HTTP/1.1 {status}", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def build_events(stream: str, *indexes: int, end: int | None = None, head: bool = True) -> bytes:
    """Build the bytes of an engine's event stream, in which each token's text is its index.

    Parameters
    ----------
    end : int, optional
        Index of the final event; without it the stream is not finished.
    head : bool
        Whether the response head comes first.
    """
    events = [{"id": stream, "index": index, "text": str(index)} for index in indexes]
    if end is not None:
        usage = {"prompt_tokens": 1, "cached_tokens": 0, "completion_tokens": end}
        events.append({"id": stream, "index": end, "done": True, **usage})
    encoded_events = b"".join(b"data: " + json.dumps(event).encode() + b"\n\n" for event in events)
    return (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" if head else b"") + encoded_events


def build_claim_key(created_at: float | None = None, workspace: str = "cajas") -> str:
    """Build a claim's key, created now or at a time in seconds since the epoch."""
    return f"{workspace}/{new_idempotency_key(created_at or time.time(), secrets.randbits(74))}"


def build_claim(key: str, node: str) -> Claim:
    """Build a claim of a node on a key, for random content."""
    return Claim(key, new_claim_id(secrets.token_bytes(8)), node)


def build_claim_page(*batches: Batch | bytes, first: int = 0) -> Page:
    """Build a page of the claims stream with the current time; bytes are not encoded."""
    now = time.time()
    bodies = [item if isinstance(item, bytes) else msgspec.json.encode(item) for item in batches]
    records = tuple(Record(first + index, now, body) for index, body in enumerate(bodies))
    return Page(first, first + len(records), now, records)
