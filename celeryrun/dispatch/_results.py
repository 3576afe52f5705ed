"""What a dispatch may come to."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Answer", "NotDispatched", "Token", "Unknown", "Usage"]


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of an application."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class NotDispatched:
    """Sentinel: no byte of the request reached a target.

    Parameters
    ----------
    leaving : bool
        Whether the target itself said that it is leaving.
    """

    reason: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Unknown:
    """Sentinel: the request may have run, and its whole answer was not had."""

    reason: str


@dataclass(frozen=True, slots=True)
class Token:
    """One piece of an engine's answer."""

    index: int
    text: str


@dataclass(frozen=True, slots=True)
class Usage:
    """What a finished engine request used, in tokens."""

    prompt: int
    cached: int
    completion: int
