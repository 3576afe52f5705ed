"""Decimal numbers in headers."""

from __future__ import annotations

__all__ = ["parse_count", "parse_number"]

MAX_NUMBER_CHARS = 32


def parse_count(text: bytes, largest: int) -> int | None:
    """Return a whole number of ASCII digits, at most ``largest``; None if it is none.

    Examples
    --------
    >>> parse_count(b" 7", 9), parse_count(b"10", 9), parse_count(b"1.5", 9)
    (7, 9, None)
    """
    digits = text.strip()
    if not digits.isdigit():
        return None
    significant = digits.lstrip(b"0") or b"0"
    return largest if len(significant) > len(str(largest)) else min(largest, int(significant))


def parse_number(text: bytes) -> float | None:
    """Return a finite number that is not negative, or None.

    Examples
    --------
    >>> parse_number(b"1.5"), parse_number(b"-1"), parse_number(b"1e999")
    (1.5, None, None)
    """
    if len(text) > MAX_NUMBER_CHARS or b"_" in text:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < float("inf") else None
