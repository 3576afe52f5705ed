"""Values of a configuration in words."""

from __future__ import annotations

from celeryrun.configuration import CallPattern, hash_key

__all__ = ["describe_key", "describe_seconds", "describe_value"]

HASH_CHARS = 8  # of a key's hash; a key itself is a secret


def describe_key(key: str) -> str:
    """Return a name for a key that does not disclose it.

    Examples
    --------
    >>> describe_key("secret")
    'the key with hash 2bb80d53'
    """
    return f"the key with hash {hash_key(key)[:HASH_CHARS]}"


def describe_seconds(seconds: float) -> str:
    """Return a duration as text.

    Examples
    --------
    >>> describe_seconds(0.25), describe_seconds(15.0)
    ('250 ms', '15 s')
    """
    return f"{seconds * 1000:.12g} ms" if seconds < 1 else f"{seconds:.12g} s"


def describe_value(value: object) -> str:
    """Return a value as an operator writes it.

    Examples
    --------
    >>> describe_value(True), describe_value(None), describe_value(2.0)
    ('yes', 'none', '2')
    """
    match value:
        case bool():
            return "yes" if value else "no"
        case None:
            return "none"
        case float():
            return f"{value:.15g}"
        case CallPattern():
            return f"{value.method} {value.path}"
        case tuple():
            return ", ".join(map(describe_value, value)) or "none"
    return str(value)
