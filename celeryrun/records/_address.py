"""Syntax of addresses."""

from __future__ import annotations

import ipaddress
import re

__all__ = ["parse_address"]

MAX_HOST_CHARS = 253
MAX_PORT = 65_535
HOST_LABEL = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?")
PORT = re.compile(r"[0-9]{1,5}")


def parse_address(text: str) -> tuple[str, int] | None:
    """Return the host, without the brackets of IPv6, and the port; None if either is invalid.

    Examples
    --------
    >>> parse_address("10.0.0.1:80"), parse_address("[::1]:80"), parse_address("a.example:80")
    (('10.0.0.1', 80), ('::1', 80), ('a.example', 80))
    >>> parse_address("10.0.0.256:80"), parse_address("a..b:80"), parse_address("a.example:0")
    (None, None, None)
    """
    host, _, port = text.rpartition(":")
    if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        return None
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
        return (host, int(port)) if _is_ipv6(host) else None
    return (host, int(port)) if _is_ipv4_or_name(host) else None


def _is_ipv6(host: str) -> bool:
    try:
        ipaddress.IPv6Address(host)
    except ValueError:
        return False
    return "%" not in host


def _is_ipv4_or_name(host: str) -> bool:
    """Return whether a host is an IPv4 address or a host name, whose last label is no number."""
    labels = host.split(".")
    if labels[-1].isdecimal():
        try:
            ipaddress.IPv4Address(host)
        except ValueError:
            return False
        return True
    return len(host) <= MAX_HOST_CHARS and all(map(HOST_LABEL.fullmatch, labels))
