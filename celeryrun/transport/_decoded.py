"""Requests and responses whose headers are decoded."""

from __future__ import annotations

from dataclasses import dataclass

from celeryrun.transport._message import RequestHead, ResponseHead

__all__ = ["CallerRequest", "TargetResponse"]


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
    resumed_id : bytes
        Id of the attempt that brought the first event of the stream that resumes, empty without.
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
    resumed_id: bytes = b""


@dataclass(slots=True)
class TargetResponse:
    """Head of a target's response, with its headers decoded.

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
