"""Exceptions, and refusals of requests; each message states a remedy."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "CeleryrunError",
    "ConfigurationRejectedError",
    "InvariantViolatedError",
    "ListenError",
    "LogUnavailableError",
    "NoResponseError",
    "RecordsExpiredError",
    "Refusal",
    "SettingsError",
]


class CeleryrunError(Exception):
    """Base class of all errors raised by celeryrun."""


class SettingsError(CeleryrunError):
    """A value in a settings, plans or uses file is invalid or missing.

    Parameters
    ----------
    file, section, key : str
        File, section and key of the value.
    allowed : str
        Description of the values that are allowed.
    """

    def __init__(self, file: str, section: str, key: str, allowed: str) -> None:
        self.file = file
        self.section = section
        self.key = key
        self.allowed = allowed
        super().__init__(f"{file}: [{section}] {key}: {allowed}")


class ConfigurationRejectedError(CeleryrunError):
    """A published configuration change was rejected."""


class RecordsExpiredError(CeleryrunError):
    """The log no longer holds the records that a publish needs.

    Parameters
    ----------
    reason : str
        Records or outcome that are missing.
    """

    def __init__(self, reason: str) -> None:
        remedy = "compare celeryrun status with your lists and publish anew without --change-id"
        super().__init__(f"{reason}; {remedy}")


class LogUnavailableError(CeleryrunError):
    """The platform's log did not respond.

    Parameters
    ----------
    reason : str
        Description of the failure.
    effect_possible : bool
        Whether the append may have taken effect.
    """

    def __init__(self, reason: str, effect_possible: bool) -> None:
        self.effect_possible = effect_possible
        super().__init__(f"{reason}; wait for the platform's log and repeat with the same id")


class ListenError(CeleryrunError):
    """A node can't listen on one of its addresses.

    Parameters
    ----------
    address : str
        ``IP:PORT`` that can't be listened on.
    key : str
        Key of the address in the section ``[node]`` of the settings.
    reason : str
        Description of the failure.
    """

    def __init__(self, address: str, key: str, reason: str) -> None:
        self.address = address
        self.key = key
        super().__init__(
            f"can't listen on {address} ({reason}); free it or choose another [node] {key}"
        )


class NoResponseError(CeleryrunError):
    """A node or a request that an operator names is unknown, or the node does not respond."""


class InvariantViolatedError(CeleryrunError):
    """An invariant of the program was violated."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Sentinel returned in place of a result when a request was not run.

    Parameters
    ----------
    status : int
        HTTP status for the caller.
    kind : str
        Kind of refusal, stable between releases.
    remedy : str
        Action for the caller, in words.
    retry_after : float, optional
        Seconds after which a retry may succeed.
    """

    status: int
    kind: str
    remedy: str
    retry_after: float | None = None
