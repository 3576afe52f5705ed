"""Values of header fields that are not specific to a platform."""

from __future__ import annotations

from celeryrun.transport._message import RequestHead, ResponseHead

__all__ = ["parse_bearer_token", "parse_number"]


def parse_number(head: RequestHead | ResponseHead, name: bytes) -> float | None:
    """Return the number in the first value of a header; None if there is none in [0, inf)."""
    value = b"".join(head.values(name)[:1])
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < float("inf") else None


def parse_bearer_token(head: RequestHead) -> str | None:
    """Return the token of the ``Authorization`` header, None without one."""
    scheme, _, token = b"".join(head.values(b"authorization")).partition(b" ")
    if scheme.lower() != b"bearer":
        return None
    return token.strip().decode("latin-1") or None
