"""Results of a dispatch."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ApplicationResponse", "NotDispatched", "Token", "UnknownOutcome", "Usage"]


@dataclass(frozen=True, slots=True)
class ApplicationResponse:
    """Complete HTTP response of a target.

    Parameters
    ----------
    headers : tuple of (str, str)
        Headers that are forwarded to the caller.
    has_body : bool
        Whether HTTP allows a body in this response; the body may still be empty.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    has_body: bool = True


@dataclass(frozen=True, slots=True)
class NotDispatched:
    """Sentinel: the request did not reach a target, or the target rejected it without running it.

    Parameters
    ----------
    leaving : bool
        Whether the target rejected the request because it is shutting down.
    connection_refused : bool
        Whether the target's address refused the connection.
    """

    reason: str
    leaving: bool = False
    connection_refused: bool = False


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """Sentinel: the request may have run, but no complete response arrived.

    Parameters
    ----------
    target_crashed : bool
        Whether the target's process ended while the request was in flight.
    """

    reason: str
    target_crashed: bool = False


@dataclass(frozen=True, slots=True)
class Token:
    """One piece of an engine's output."""

    index: int
    text: str


@dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of a finished engine request."""

    prompt: int
    cached: int
    completion: int
