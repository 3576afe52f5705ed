"""Requests and answers between the platform's headers and the product's types."""

from __future__ import annotations

from dataclasses import dataclass

from celeryrun.platform import _names as names
from celeryrun.transport import RequestHead, ResponseHead, end_to_end_headers, format_head

__all__ = [
    "CallerRequest",
    "TargetResponse",
    "format_request",
    "read_request",
    "read_response",
    "response_headers",
]

DEFAULT_DEADLINE = 60.0  # s, for a caller that names none
HTTP_MISDIRECTED = 421


@dataclass(slots=True)
class CallerRequest:
    """What a caller asks.

    Parameters
    ----------
    id : bytes
        Of this attempt; echoed by the target.
    host, path : str
        Select the route; the path is without its query.
    api_key : str or None
        The caller's secret.
    deadline : float
        Seconds that the caller will wait.
    prompt_tokens, output_tokens : int
        Announced size; 0 where the caller names none.
    expected_output_tokens : int
        The caller's estimate of output tokens, at most ``output_tokens``.
    last_event_id : bytes
        Where a stream goes on, empty for a whole one.
    """

    id: bytes
    host: str
    path: str
    api_key: str | None
    deadline: float
    prompt_tokens: int
    output_tokens: int
    expected_output_tokens: int
    last_event_id: bytes
    head: RequestHead
    body: bytes
    has_token_counts: bool = False


@dataclass(slots=True)
class TargetResponse:
    """What a target's head says.

    Parameters
    ----------
    matches_request : bool
        Whether it belongs to the request: it carries the request's id.
    not_run : bool
        Whether the target states that it did not run the request.
    sealed : bool
        Whether it bears the target's signature.
    """

    head: ResponseHead
    matches_request: bool
    not_run: bool
    sealed: bool
    has_content_encoding: bool


def read_request(head: RequestHead, body: bytes) -> CallerRequest | str:
    """Decode a request; a text says what is wrong with it."""
    for name in (names.ATTEMPT, names.DEADLINE, b"host", b"authorization", names.TOKENS):
        if len(head.values(name)) > 1:
            return f"send one {name.decode()} header"
    if not head.request_target.startswith(b"/"):
        return "send a path that begins with a slash"
    attempt = b"".join(head.values(names.ATTEMPT))
    host = b"".join(head.values(b"host"))
    if not attempt or not host:
        return "send a host and an attempt id"
    deadline = _number(head, names.DEADLINE)
    prompt, output, sized = _sizes(head)
    hint = _number(head, names.LENGTH_HINT)
    path = head.request_target.split(b"?", 1)[0]
    return CallerRequest(
        attempt,
        host.decode("latin-1").lower().partition(":")[0],
        path.decode("latin-1"),
        _key(head),
        deadline / 1000 if deadline is not None else DEFAULT_DEADLINE,
        prompt,
        output,
        min(output, int(hint)) if hint else output,
        b"".join(head.values(b"last-event-id")),
        head,
        body,
        sized,
    )


def _number(head: RequestHead, name: bytes) -> float | None:
    value = b"".join(head.values(name)[:1])
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < float("inf") else None


def _sizes(head: RequestHead) -> tuple[int, int, bool]:
    parts = b"".join(head.values(names.TOKENS)).split(b",")
    if len(parts) != 2 or not all(part.strip().isdigit() for part in parts):
        return 0, 0, False
    return int(parts[0]), int(parts[1]), True


def _key(head: RequestHead) -> str | None:
    scheme, _, key = b"".join(head.values(b"authorization")).partition(b" ")
    if scheme.lower() != b"bearer":
        return None
    return key.strip().decode("latin-1") or None


def format_request(
    request: CallerRequest,
    target_id: str,
    workspace: str | None,
    remaining: float,
    last_event_id: bytes | None = None,
) -> bytes:
    """Return the bytes that a target gets.

    Parameters
    ----------
    workspace : str or None
        Whose key the caller showed.
    remaining : float
        Seconds that are left of the caller's time.
    last_event_id : bytes or None
        Where to go on, in place of what the caller sent.
    """
    headers = [
        (name, value)
        for name, value in end_to_end_headers(request.head.headers, _is_end_to_end)
        if name.replace(b"_", b"-") not in names.RESERVED
        and not (last_event_id is not None and name == b"last-event-id")
    ]
    if last_event_id is not None:
        headers.append((b"Last-Event-Id", last_event_id))
    headers.append((names.DEADLINE, b"%d" % max(1, int(remaining * 1000))))
    headers.append((names.EXPECT_TARGET, target_id.encode("latin-1", "replace")))
    if workspace is not None:
        headers.append((names.TENANT, workspace.encode()))
    has_body = request.body or b"content-length" in {name for name, _ in request.head.headers}
    if has_body:
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    start = b"%b %b HTTP/1.1" % (request.head.method, request.head.request_target)
    return format_head(start, headers) + request.body


def _is_end_to_end(name: bytes) -> bool:
    return name.startswith(b"celeryrun-") or name in (b"host", b"last-event-id")


def read_response(head: ResponseHead, request: CallerRequest) -> TargetResponse:
    """Decode the head of a target's answer."""
    return TargetResponse(
        head,
        head.value(names.ATTEMPT) == request.id,
        head.value(names.NOT_EXECUTED) is not None or head.status == HTTP_MISDIRECTED,
        head.value(names.SEAL) is not None,
        head.value(b"content-encoding") not in (None, b"identity"),
    )


def response_headers(head: ResponseHead) -> list[tuple[bytes, bytes]]:
    """Return the headers of a target's answer that its caller gets."""
    return end_to_end_headers(head.headers, _is_end_to_end)
