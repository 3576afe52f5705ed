"""What a dispatch may come to."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ApplicationResponse", "NotDispatched", "Token", "UnknownOutcome", "Usage"]


@dataclass(frozen=True, slots=True)
class ApplicationResponse:
    """A whole answer of a target.

    Parameters
    ----------
    headers : tuple of (str, str)
        Those that are passed on.
    has_body : bool
        Whether an answer of this kind has a body at all, be it empty.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    has_body: bool = True


@dataclass(frozen=True, slots=True)
class NotDispatched:
    """Sentinel: no byte of the request reached a target, or the target itself turned it away.

    Parameters
    ----------
    leaving : bool
        Whether the target itself said that it is leaving.
    connection_refused : bool
        Whether nothing listens at the target's address.
    """

    reason: str
    leaving: bool = False
    connection_refused: bool = False


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """Sentinel: the request may have run, and its whole answer was not had.

    Parameters
    ----------
    target_crashed : bool
        Whether the target's process ended while it ran the request.
    """

    reason: str
    target_crashed: bool = False


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
