"""Header names and paths of the platform's protocol."""

from __future__ import annotations

__all__ = [
    "ATTEMPT_ID",
    "DEADLINE_MS",
    "EXPECT_TARGET",
    "LEAVING",
    "LENGTH_HINT",
    "NOT_EXECUTED",
    "PROMPT_PREFIX",
    "RATE_LIMIT",
    "READY_PATH",
    "RESERVED_HEADERS",
    "RESPONSE_SEAL",
    "STORE_ERA",
    "TENANT",
    "TOKEN_USAGE",
]

ATTEMPT_ID = b"celeryrun-attempt-id"
DEADLINE_MS = b"celeryrun-deadline-ms"
EXPECT_TARGET = b"celeryrun-expect-instance"
LEAVING = b"server-leaving"
LENGTH_HINT = b"celeryrun-length-hint"
NOT_EXECUTED = b"celeryrun-not-executed"
PROMPT_PREFIX = b"celeryrun-prompt-prefix"
RATE_LIMIT = b"server-limit"
RESPONSE_SEAL = b"celeryrun-response-seal"
STORE_ERA = b"store-era"
TENANT = b"celeryrun-tenant"
TOKEN_USAGE = b"celeryrun-token-usage"
READY_PATH = "/celeryrun/readiness"

# Only the system may set these headers; they are removed from a caller's request.
RESERVED_HEADERS = frozenset(
    {
        DEADLINE_MS,
        EXPECT_TARGET,
        TENANT,
        NOT_EXECUTED,
        RESPONSE_SEAL,
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
