"""Value types of settings and the text that each accepts."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass
from typing import Any

__all__ = [
    "Address",
    "AddressType",
    "Choice",
    "Duration",
    "Identifier",
    "Integer",
    "KeyHash",
    "Number",
    "Secret",
    "Size",
    "Url",
    "ValueType",
    "parse_seconds",
    "parse_value",
]

SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
BYTES_BY_UNIT = {"B": 1, "KiB": 1024, "MiB": 1024 * 1024}


@dataclass(frozen=True, slots=True)
class Address:
    """IPv4 address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def from_text(cls, text: str) -> Address:
        """Parse ``IP:PORT``.

        Raises
        ------
        ValueError
            If the host is not an IPv4 address or the port is not from 1 to 65535.

        Examples
        --------
        >>> Address.from_text("127.0.0.1:80")
        Address(host='127.0.0.1', port=80)
        """
        host, _, port = text.rpartition(":")
        ipaddress.IPv4Address(host)
        if not 0 < _parse_integer(port) < 65536:
            raise ValueError(text)
        return cls(host, int(port))


@dataclass(frozen=True, slots=True)
class Identifier:
    """Name of ASCII letters, digits, dots, dashes and underscores."""

    max_chars: int = 64


@dataclass(frozen=True, slots=True)
class Secret:
    """Shared secret with a minimum length."""

    min_chars: int


@dataclass(frozen=True, slots=True)
class KeyHash:
    """SHA-256 digest of a key in hexadecimal."""


@dataclass(frozen=True, slots=True)
class Integer:
    """Integer within inclusive bounds."""

    low: int
    high: int


@dataclass(frozen=True, slots=True)
class Number:
    """Number within inclusive bounds, without a unit."""

    low: float
    high: float


@dataclass(frozen=True, slots=True)
class Duration:
    """Duration within inclusive bounds in seconds, written with its unit."""

    low: float
    high: float


@dataclass(frozen=True, slots=True)
class Size:
    """Size within inclusive bounds in bytes, written with its unit."""

    low: int
    high: int


@dataclass(frozen=True, slots=True)
class AddressType:
    """Address of the form ``IP:PORT``."""


@dataclass(frozen=True, slots=True)
class Url:
    """URL of the form ``http://IP:PORT``."""


@dataclass(frozen=True, slots=True)
class Choice:
    """One of several words."""

    words: tuple[str, ...]


ValueType = (
    Identifier | Secret | KeyHash | Integer | Number | Duration | Size | AddressType | Url | Choice
)


def parse_seconds(text: str) -> float:
    """Parse a duration with its unit into seconds.

    Examples
    --------
    >>> parse_seconds("250ms")
    0.25
    """
    return _parse_with_unit(text, SECONDS_BY_UNIT)


def parse_value(value_type: ValueType, text: str) -> Any:
    """Parse one value.

    Parameters
    ----------
    value_type : ValueType
        Type of the value.
    text : str
        Text of the value in the file.

    Raises
    ------
    ValueError
        If the text is not valid; the message names the allowed values.

    Examples
    --------
    >>> parse_value(Integer(1, 5), "3")
    3
    >>> parse_value(Duration(0, 10), "3")
    Traceback (most recent call last):
    ...
    ValueError: a duration with its unit from 0s to 10s, such as 250ms or 5s; found '3'
    """
    match value_type:
        case Identifier(max_chars):
            allowed = f"1 to {max_chars} letters, digits, '.', '-' or '_'"
            valid = re.fullmatch(r"[A-Za-z0-9._-]+", text) and len(text) <= max_chars
            return text if valid else _reject(allowed, text)
        case Secret(min_chars):
            return (
                text if len(text) >= min_chars else _reject(f"at least {min_chars} characters", "")
            )
        case KeyHash():
            allowed = "the SHA-256 of the key, 64 hexadecimal digits, as celeryrun keys prints it"
            return text if re.fullmatch(r"[0-9a-f]{64}", text) else _reject(allowed, text)
        case Integer(low, high):
            allowed = f"a whole number from {low} to {high}"
            return _check_bounds(
                _parse_or_reject(_parse_integer, text, allowed), low, high, allowed, text
            )
        case Number(low, high):
            allowed = f"a number from {low:g} to {high:g}"
            return _check_bounds(_parse_or_reject(float, text, allowed), low, high, allowed, text)
        case Duration(low, high):
            allowed = f"a duration with its unit from {low:g}s to {high:g}s, such as 250ms or 5s"
            return _check_bounds(
                _parse_or_reject(parse_seconds, text, allowed), low, high, allowed, text
            )
        case Size(low, high):
            allowed = f"a size with its unit (B, KiB, MiB) from {low}B to {high}B"
            return _check_bounds(
                _parse_or_reject(_parse_bytes, text, allowed), low, high, allowed, text
            )
        case AddressType():
            return _parse_or_reject(Address.from_text, text, "IP:PORT, such as 10.0.0.5:8000")
        case Url():
            return _parse_or_reject(_parse_url, text, "http://IP:PORT")
        case Choice(words):
            return text if text in words else _reject("one of " + ", ".join(words), text)


def _parse_integer(text: str) -> int:
    if not re.fullmatch(r"[0-9]{1,18}", text):
        raise ValueError(text)
    return int(text)


def _reject(allowed: str, text: str) -> Any:
    found = f"; found {text!r}" if text else ""
    raise ValueError(allowed + found)


def _parse_or_reject(parse: Any, text: str, allowed: str) -> Any:
    try:
        return parse(text)
    except ValueError:
        return _reject(allowed, text)


def _check_bounds(value: Any, low: float, high: float, allowed: str, text: str) -> Any:
    return value if low <= value <= high else _reject(allowed, text)


def _parse_with_unit(text: str, factor_by_unit: dict[str, Any]) -> Any:
    parsed = re.fullmatch(r"([0-9.]+)\s*([A-Za-z]+)", text.strip())
    if parsed is None or parsed[2] not in factor_by_unit:
        raise ValueError(text)
    return float(parsed[1]) * factor_by_unit[parsed[2]]


def _parse_bytes(text: str) -> int:
    return int(_parse_with_unit(text, BYTES_BY_UNIT))


def _parse_url(text: str) -> str:
    scheme, _, address = text.partition("://")
    if scheme not in ("http", "https"):
        raise ValueError(text)
    Address.from_text(address.rstrip("/"))
    return text.rstrip("/")
