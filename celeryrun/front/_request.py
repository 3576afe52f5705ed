"""Parsing and validation of callers' requests."""

from __future__ import annotations

import re
import time
import uuid
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import msgspec

from celeryrun.claims import KEY_TOO_OLD, content_digest, key_age
from celeryrun.configuration import Configuration, Plan, Pool, hash_key
from celeryrun.exception import Refusal
from celeryrun.settings import LimitSettings

__all__ = ["GenerationParameters", "Request", "admit"]

REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
MAX_TOKENS = 1_000_000
MAX_LENGTH_DIGITS = 18  # of a Content-Length that is read as a number
CHARS_PER_TOKEN = 4
DOT_SEGMENTS = (".", "..")
PATH_SAFE = "%/:?@!$&'()*+,;=~[]"
GENERATE_PATH = "/v1/generate"
APPLICATION_COST = 50.0  # token equivalent of a call of an application


class GenerationParameters(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON body of a request to an engine."""

    prompt: str
    max_tokens: int = 256
    stream: bool = False


@dataclass(slots=True)
class Request:
    """Caller's request that has been admitted.

    Parameters
    ----------
    path : str
        Path and query below the pool, encoded as the caller encoded them.
    has_caller_chosen_id : bool
        Whether the caller chose the request id, so that it may retry under the same id.
    arrived_at, deadline : float
        Monotonic times in seconds.
    idempotency_key : str
        Idempotency key, empty for an idempotent call.
    generation : GenerationParameters or None
        The parsed body of a request to an engine, None for an application.
    digest : bytes
        Digest of the content, empty if the caller cannot retry the request.
    """

    plan: Plan
    pool: Pool
    method: str
    path: str
    body: bytes
    content_type: str
    request_id: str
    has_caller_chosen_id: bool
    arrived_at: float
    deadline: float
    idempotency_key: str
    generation: GenerationParameters | None
    digest: bytes

    @property
    def answer_id(self) -> str:
        """Id under which a retry finds the answer; it differs if the content differs."""
        name = (
            f"key/{self.idempotency_key}" if self.idempotency_key else f"request/{self.request_id}"
        )
        return f"{name}/{self.digest.hex()}"

    @property
    def cost(self) -> float:
        """Estimated work in tokens, or the equivalent for an application."""
        if self.generation is None:
            return APPLICATION_COST
        return len(self.generation.prompt) / CHARS_PER_TOKEN + self.generation.max_tokens


def admit(
    environ: dict[str, Any],
    configuration: Configuration,
    limits: LimitSettings,
    max_key_age: float,
    now: float,
) -> Request | Refusal:
    """Return the validated request, or the refusal of an invalid one.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    max_key_age : float
        Seconds after its creation for which an idempotency key is accepted.
    now : float
        Time by the clock of the claim log, in seconds since the epoch.
    """
    arrived_at = time.monotonic()
    plan = _find_plan(environ, configuration)
    if isinstance(plan, Refusal):
        return plan
    pool_name, _, rest = environ.get("PATH_INFO", "/").lstrip("/").partition("/")
    pool = configuration.pools_by_name.get(pool_name)
    if pool is None:
        return Refusal(404, "unknown-pool", "no such pool; use one that your plan lists")
    if plan.plan not in pool.plans:
        return Refusal(403, "not-allowed", f"plan {plan.plan!r} may not use {pool_name!r}")
    body = _read_body(environ, limits.max_body)
    if isinstance(body, Refusal):
        return body
    timeout = _read_timeout(environ, limits)
    if isinstance(timeout, Refusal):
        return timeout
    request_id = environ.get("HTTP_REQUEST_ID", "")
    if request_id and not REQUEST_ID_PATTERN.fullmatch(request_id):
        return Refusal(400, "bad-request-id", "Request-Id: 1 to 128 letters, digits or . _ : -")
    method, path = environ["REQUEST_METHOD"], "/" + rest
    if any(part in DOT_SEGMENTS for part in rest.split("/")):
        return Refusal(400, "bad-path", "the path may hold no . or .. segment")
    generation = _read_generation(pool, method, path, body)
    if isinstance(generation, Refusal):
        return generation
    key = _read_idempotency_key(environ, pool, method, path, max_key_age, now)
    if isinstance(key, Refusal):
        return key
    path_as_sent = _path_as_sent(environ)
    may_retry = bool(request_id or key)
    digest = content_digest(pool.name, method, path_as_sent, body) if may_retry else b""
    return Request(
        plan,
        pool,
        method,
        path_as_sent,
        body,
        environ.get("CONTENT_TYPE", "") or "application/octet-stream",
        request_id or uuid.uuid4().hex,
        bool(request_id),
        arrived_at,
        arrived_at + timeout,
        key,
        generation,
        digest,
    )


def _path_as_sent(environ: dict[str, Any]) -> str:
    """Return path and query below the pool, encoded as the caller encoded them."""
    path, question_mark, query = environ["REQUEST_URI"].partition("?")
    rest = path.lstrip("/").partition("/")[2]
    return "/" + quote((rest + question_mark + query).encode("latin-1"), safe=PATH_SAFE)


def _find_plan(environ: dict[str, Any], configuration: Configuration) -> Plan | Refusal:
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return Refusal(401, "no-key", "send Authorization: Bearer with your workspace's key")
    plan = configuration.plans_by_key_hash.get(hash_key(key.strip()))
    if plan is None:
        return Refusal(401, "bad-key", "the key is not known; check it with your operator")
    return plan


def _read_body(environ: dict[str, Any], max_body: int) -> bytes | Refusal:
    too_large = Refusal(413, "body-too-large", f"the body may have at most {max_body} bytes")
    length = environ.get("CONTENT_LENGTH") or ""
    chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    if not length and not chunked:
        return b""
    if length and not (length.isascii() and length.isdigit()):
        return Refusal(400, "bad-length", "Content-Length must be a whole number")
    if len(length) > MAX_LENGTH_DIGITS or (length and int(length) > max_body):
        return too_large
    body = environ["wsgi.input"].read(int(length) if length else max_body + 1)
    if len(body) > max_body:
        return too_large
    if length and len(body) < int(length):
        return Refusal(400, "short-body", "the body is shorter than its Content-Length")
    return body


def _read_timeout(environ: dict[str, Any], limits: LimitSettings) -> float | Refusal:
    text = environ.get("HTTP_REQUEST_TIMEOUT", "")
    if not text:
        return limits.default_deadline
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds <= limits.max_deadline:
        remedy = f"Request-Timeout must be seconds above 0 and up to {limits.max_deadline:g}"
        return Refusal(400, "bad-timeout", remedy)
    return seconds


def _read_generation(
    pool: Pool, method: str, path: str, body: bytes
) -> GenerationParameters | None | Refusal:
    if pool.kind != "engine":
        return None
    if (method, path) != ("POST", GENERATE_PATH):
        return Refusal(404, "unknown-call", f"an engine takes POST {GENERATE_PATH} only")
    try:
        generation = msgspec.json.decode(body, type=GenerationParameters)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Refusal(400, "bad-body", f"send JSON with prompt, max_tokens, stream: {error}")
    if not 1 <= generation.max_tokens <= MAX_TOKENS:
        return Refusal(400, "bad-body", f"max_tokens must be from 1 to {MAX_TOKENS}")
    return generation


def _read_idempotency_key(
    environ: dict[str, Any], pool: Pool, method: str, path: str, max_key_age: float, now: float
) -> str | Refusal:
    if pool.is_idempotent(method, path):
        return ""
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    age = key_age(key, now)
    if age is None:
        remedy = "this call may not be repeated: send Idempotency-Key with a new UUIDv7"
        return Refusal(400, "bad-idempotency-key", remedy)
    if age > max_key_age:
        return KEY_TOO_OLD
    if age < -60:
        return Refusal(400, "bad-idempotency-key", "the key's time is in the future; set the clock")
    return key.lower()
