"""Names of the platform's headers and calls, each once."""

from __future__ import annotations

__all__ = [
    "ATTEMPT",
    "DEADLINE",
    "EXPECT_TARGET",
    "LENGTH_HINT",
    "NOT_EXECUTED",
    "READY_PATH",
    "RESERVED",
    "SEAL",
    "TENANT",
    "TOKENS",
]

ATTEMPT = b"celeryrun-attempt-id"
DEADLINE = b"celeryrun-deadline-ms"
EXPECT_TARGET = b"celeryrun-expect-instance"
LENGTH_HINT = b"celeryrun-length-hint"
NOT_EXECUTED = b"celeryrun-not-executed"
SEAL = b"celeryrun-response-seal"
TENANT = b"celeryrun-tenant"
TOKENS = b"celeryrun-token-usage"
READY_PATH = "/celeryrun/readiness"

# Headers that only the system may set: what a client sends under these names is dropped.
RESERVED = frozenset(
    {
        DEADLINE,
        EXPECT_TARGET,
        TENANT,
        NOT_EXECUTED,
        SEAL,
        b"celeryrun-expect-version",
        b"celeryrun-hold",
        b"celeryrun-kv-backup",
        b"celeryrun-pin-ms",
        b"celeryrun-runner-id",
        b"kv-fetch",
        b"kv-from",
        b"authorization",
    }
)
