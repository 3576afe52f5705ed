"""Reading of complete HTTP responses of bounded size."""

from __future__ import annotations

import urllib3

from celeryrun.dispatch._results import ApplicationResponse, UnknownOutcome

__all__ = ["LEAVING_HEADER", "MAX_RESPONSE_BYTES", "is_leaving", "read_response"]

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
MAX_LENGTH_DIGITS = 18  # of a Content-Length that is read as a number
LEAVING_HEADER = "Target-Leaving"
READ_CHUNK_BYTES = 65_536
BODILESS_STATUSES = (204, 304)
FORWARDED_HEADERS = (
    "Allow",
    "Cache-Control",
    "Content-Disposition",
    "Content-Encoding",
    "Content-Language",
    "Content-Location",
    "Content-Type",
    "ETag",
    "Expires",
    "Last-Modified",
    "Link",
    "Location",
    "Retry-After",
    "Vary",
)


def is_leaving(response: urllib3.BaseHTTPResponse, request_id: str) -> bool:
    """Return whether a target rejected this request because it is shutting down."""
    is_rejection = response.status == 503 and bool(response.headers.get(LEAVING_HEADER))
    return is_rejection and response.headers.get("Request-Id", request_id) == request_id


def read_response(
    response: urllib3.BaseHTTPResponse, request_id: str, method: str
) -> ApplicationResponse | UnknownOutcome:
    """Read the body of a response whose head has been read.

    Parameters
    ----------
    request_id : str
        Id of the request. A response with another ``Request-Id`` header is discarded.
    method : str
        HTTP method of the request; a response to HEAD has no body.

    Returns
    -------
    ApplicationResponse or UnknownOutcome
        `UnknownOutcome` if the response belongs to another request, is too large, or cannot be
        checked for completeness.

    Raises
    ------
    urllib3.exceptions.HTTPError, OSError
        If the body is truncated or does not arrive in time.
    """
    if response.headers.get("Request-Id", request_id) != request_id:
        return UnknownOutcome("the target answered another request")
    if response.status < 200:
        return UnknownOutcome(f"the target gave interim status {response.status} and no answer")
    headers = _forwarded_headers(response)
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return ApplicationResponse(response.status, headers, b"", has_body=False)
    content_length = response.headers.get("Content-Length", "")
    is_number = content_length.isascii() and content_length.isdigit()
    is_long = len(content_length) > MAX_LENGTH_DIGITS
    if is_number and (is_long or int(content_length) > MAX_RESPONSE_BYTES):
        return UnknownOutcome(f"the answer is larger than {MAX_RESPONSE_BYTES} bytes")
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    if not content_length and not chunked:
        return UnknownOutcome("the answer gives no length, so it can't be known to be whole")
    body = _read_body(response)
    if body is None:
        return UnknownOutcome(f"the answer is larger than {MAX_RESPONSE_BYTES} bytes")
    return ApplicationResponse(response.status, headers, body)


def _forwarded_headers(response: urllib3.BaseHTTPResponse) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value) for name in FORWARDED_HEADERS for value in response.headers.getlist(name)
    )


def _read_body(response: urllib3.BaseHTTPResponse) -> bytes | None:
    chunks = []
    size = 0
    for chunk in response.stream(READ_CHUNK_BYTES):
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_RESPONSE_BYTES:
            return None
    return b"".join(chunks)
