"""Exceptions and refusals; every message names its remedy."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "CeleryrunError",
    "ConfigurationForgottenError",
    "ConfigurationRejectedError",
    "InvariantViolatedError",
    "LogUnavailableError",
    "NoAnswerError",
    "Refusal",
    "SettingsError",
]


class CeleryrunError(Exception):
    """Base class of all errors raised by celeryrun."""


class SettingsError(CeleryrunError):
    """A settings or list file is wrong.

    Parameters
    ----------
    file, section, key : str
        Where the value stands.
    allowed : str
        What may stand there instead.
    """

    def __init__(self, file: str, section: str, key: str, allowed: str) -> None:
        self.file = file
        self.section = section
        self.key = key
        self.allowed = allowed
        super().__init__(f"{file}: [{section}] {key}: {allowed}")


class ConfigurationRejectedError(CeleryrunError):
    """A published change did not come into force."""


class ConfigurationForgottenError(CeleryrunError):
    """The log no longer tells what was asked for."""

    def __init__(self, reason: str) -> None:
        remedy = "compare celeryrun status with your lists and publish anew without --change-id"
        super().__init__(f"{reason}; {remedy}")


class LogUnavailableError(CeleryrunError):
    """The platform's log did not answer, so the effect of an append is unknown.

    Parameters
    ----------
    reason : str
        What was seen.
    effect_possible : bool
        Whether the append may have taken place.
    """

    def __init__(self, reason: str, effect_possible: bool) -> None:
        self.effect_possible = effect_possible
        super().__init__(f"{reason}; wait for the platform's log and repeat with the same id")


class NoAnswerError(CeleryrunError):
    """A node that an operator wants to reach does not answer or is not known."""


class InvariantViolatedError(CeleryrunError):
    """The program found one of its own promises broken; report it with the log."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Sentinel returned in place of a result: the request was not run, and why.

    Parameters
    ----------
    status : int
        HTTP status for the caller.
    kind : str
        Typed error kind, stable between releases.
    remedy : str
        What the caller can do.
    retry_after : float, optional
        Seconds after which a retry may succeed.
    """

    status: int
    kind: str
    remedy: str
    retry_after: float | None = None
