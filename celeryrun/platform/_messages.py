"""Conversion between HTTP messages with the platform's headers and celeryrun's types."""

from __future__ import annotations

from dataclasses import dataclass

from celeryrun.platform import _names as names
from celeryrun.records import parse_count
from celeryrun.transport import RequestHead, ResponseHead, end_to_end_headers, format_head

__all__ = [
    "CallerRequest",
    "TargetResponse",
    "format_request",
    "read_request",
    "read_response",
    "response_headers",
]

DEFAULT_DEADLINE = 60.0  # s, for a request without a deadline header
HTTP_MISDIRECTED_REQUEST = 421
MAX_TOKENS = 10**9  # of a prompt or an output; larger numbers count as this
MAX_DEADLINE_MS = 10**9  # ms, eleven days; a caller that names more waits as long
HTTP_SERVICE_UNAVAILABLE = 503


@dataclass(slots=True)
class CallerRequest:
    """Request of a caller, decoded from its headers.

    Parameters
    ----------
    id : bytes
        Attempt id; the target repeats it in its response.
    host, path : str
        Select the route; the host has no port, the path no query.
    api_key : str or None
        Bearer token of the ``Authorization`` header, None if absent.
    deadline : float
        Seconds from arrival that the caller waits for the response.
    prompt_tokens, output_tokens : int
        Sizes from the token usage header, 0 without it.
    expected_output_tokens : int
        Output tokens that the caller expects, at most ``output_tokens``.
    last_event_id : bytes
        Id of the event after which a stream resumes, empty for its start.
    has_token_counts : bool
        Whether the token usage header is present and valid.
    shared_prompt_parts : tuple of bytes
        Ids of the parts of the prompt that other requests may share, in order: all but the last.
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
    shared_prompt_parts: tuple[bytes, ...] = ()


@dataclass(slots=True)
class TargetResponse:
    """Head of a target's response, with its platform headers decoded.

    Parameters
    ----------
    matches_request : bool
        Whether the response carries the attempt id of the request.
    not_run : bool
        Whether the target states that it did not run the request.
    sealed : bool
        Whether the response seal header, the target's signature, is present.
    has_content_encoding : bool
        Whether the body has a content coding other than ``identity``.
    rate_limit : float or None
        Requests per second that the target takes from all nodes, None if it names no limit.
    leaving : bool
        Whether the target states that it leaves and wants no new requests.
    pause : float or None
        Seconds for which a target that turned the request away wants no others.
    """

    head: ResponseHead
    matches_request: bool
    not_run: bool
    sealed: bool
    has_content_encoding: bool
    rate_limit: float | None = None
    leaving: bool = False
    pause: float | None = None


def read_request(head: RequestHead, body: bytes) -> CallerRequest | str:
    """Decode a caller's request, or return the text of the refusal of a malformed one."""
    for name in (names.ATTEMPT_ID, names.DEADLINE_MS, b"host", b"authorization", names.TOKEN_USAGE):
        if len(head.values(name)) > 1:
            return f"send one {name.decode()} header"
    if not head.request_target.startswith(b"/"):
        return "send a path that begins with a slash"
    attempt_id = b"".join(head.values(names.ATTEMPT_ID))
    host = b"".join(head.values(b"host"))
    if not attempt_id or not host:
        return "send a host and an attempt id"
    deadline = head.number(names.DEADLINE_MS)
    prompt_tokens, output_tokens, has_token_counts = _parse_token_counts(head)
    length_hint = head.number(names.LENGTH_HINT)
    path = head.request_target.split(b"?", 1)[0]
    return CallerRequest(
        attempt_id,
        host.decode("latin-1").lower().partition(":")[0],
        path.decode("latin-1"),
        head.bearer_token(),
        min(deadline, MAX_DEADLINE_MS) / 1000 if deadline is not None else DEFAULT_DEADLINE,
        prompt_tokens,
        output_tokens,
        min(output_tokens, int(length_hint)) if length_hint else output_tokens,
        b"".join(head.values(b"last-event-id")),
        head,
        body,
        has_token_counts,
        _parse_shared_prompt_parts(head),
    )


def _parse_token_counts(head: RequestHead) -> tuple[int, int, bool]:
    parts = b"".join(head.values(names.TOKEN_USAGE)).split(b",")
    match [parse_count(part, MAX_TOKENS) for part in parts]:
        case [int(prompt_tokens), int(output_tokens)]:
            return prompt_tokens, output_tokens, True
    return 0, 0, False


def _parse_shared_prompt_parts(head: RequestHead) -> tuple[bytes, ...]:
    entries = b",".join(head.values(names.PROMPT_PREFIX)).split(b",")[:-1]
    ids = (entry.partition(b":")[0].strip().lower() for entry in entries)
    return tuple(dict.fromkeys(id for id in ids if id))


def format_request(
    request: CallerRequest,
    target_id: str,
    workspace: str | None,
    remaining: float,
    last_event_id: bytes | None = None,
) -> bytes:
    """Return the encoded request for a target.

    Parameters
    ----------
    workspace : str or None
        Workspace that the API key belongs to, None without one.
    remaining : float
        Seconds left until the request's deadline.
    last_event_id : bytes or None
        Event to resume after; replaces the caller's ``Last-Event-Id``.
    """
    headers = [
        (name, value)
        for name, value in end_to_end_headers(request.head.headers, _is_end_to_end)
        if name.replace(b"_", b"-") not in names.RESERVED_HEADERS
        and not (last_event_id is not None and name == b"last-event-id")
    ]
    if last_event_id is not None:
        headers.append((b"Last-Event-Id", last_event_id))
    headers.append((names.DEADLINE_MS, b"%d" % max(1, int(remaining * 1000))))
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
    """Decode the head of a target's response."""
    response_id = head.value(names.ATTEMPT_ID)
    # Another target, which has the address now, speaks of itself.
    is_misdirected = head.status == HTTP_MISDIRECTED_REQUEST
    not_run = head.value(names.NOT_EXECUTED) is not None or is_misdirected
    # A refusal with the id of another request is repeated or misplaced.
    not_run = not_run and response_id in (None, request.id)
    is_turned_away = not_run and head.status == HTTP_SERVICE_UNAVAILABLE
    return TargetResponse(
        head,
        response_id == request.id,
        not_run,
        head.value(names.RESPONSE_SEAL) is not None,
        head.value(b"content-encoding") not in (None, b"identity"),
        head.number(names.RATE_LIMIT),
        not is_misdirected and set(head.values(names.LEAVING)) == {b"1"},
        head.retry_after() if is_turned_away else None,
    )


def response_headers(head: ResponseHead) -> list[tuple[bytes, bytes]]:
    """Return the headers of a target's response that are forwarded to the caller."""
    return end_to_end_headers(head.headers, _is_end_to_end)
