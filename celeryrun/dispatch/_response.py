"""Reading one whole answer of bounded size."""

from __future__ import annotations

import urllib3

from celeryrun.dispatch._results import ApplicationResponse, UnknownOutcome

__all__ = ["LEAVING_HEADER", "MAX_ANSWER_BYTES", "is_leaving", "read_response"]

MAX_ANSWER_BYTES = 8 * 1024 * 1024
LEAVING_HEADER = "Target-Leaving"
READ_BYTES = 65_536
BODILESS_STATUSES = (204, 304)
PASSED_HEADERS = (
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


def is_leaving(response: urllib3.BaseHTTPResponse) -> bool:
    """Tell whether a target refused the request because it is leaving."""
    return response.status == 503 and bool(response.headers.get(LEAVING_HEADER))


def read_response(
    response: urllib3.BaseHTTPResponse, request_id: str, method: str
) -> ApplicationResponse | UnknownOutcome:
    """Read the rest of an answer.

    Parameters
    ----------
    response : urllib3.BaseHTTPResponse
        Of which the head is read.
    request_id : str
        An answer that names another one is not delivered.
    method : str
        Of the request; an answer to HEAD has no body.

    Raises
    ------
    urllib3.exceptions.HTTPError, OSError
        If the body ended short or did not come in time.
    """
    if response.headers.get("Request-Id", request_id) != request_id:
        return UnknownOutcome("the target answered another request")
    if response.status < 200:
        return UnknownOutcome(f"the target gave interim status {response.status} and no answer")
    headers = _passed_headers(response)
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return ApplicationResponse(response.status, headers, b"", has_body=False)
    announced = response.headers.get("Content-Length", "")
    if announced.isdigit() and int(announced) > MAX_ANSWER_BYTES:
        return UnknownOutcome(f"the answer is larger than {MAX_ANSWER_BYTES} bytes")
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    if not announced and not chunked:
        return UnknownOutcome("the answer gives no length, so it can't be known to be whole")
    body = _read_body(response)
    if body is None:
        return UnknownOutcome(f"the answer is larger than {MAX_ANSWER_BYTES} bytes")
    return ApplicationResponse(response.status, headers, body)


def _passed_headers(response: urllib3.BaseHTTPResponse) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value) for name in PASSED_HEADERS for value in response.headers.getlist(name)
    )


def _read_body(response: urllib3.BaseHTTPResponse) -> bytes | None:
    parts = []
    size = 0
    for part in response.stream(READ_BYTES):
        parts.append(part)
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            return None
    return b"".join(parts)
