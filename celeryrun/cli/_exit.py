"""Exit codes and error messages of the command."""

from __future__ import annotations

import sys
from typing import Any

import click

from celeryrun.exception import (
    CeleryrunError,
    ConfigurationRejectedError,
    LogUnavailableError,
    NoResponseError,
    RecordsExpiredError,
    SettingsError,
)

__all__ = ["EXIT_NOT_IN_FORCE", "ErrorGroup", "exit_code"]

EXIT_FAILED = 1
EXIT_SETTINGS = 2
EXIT_REJECTED = 3
EXIT_OUTCOME_UNKNOWN = 4
EXIT_NOT_IN_FORCE = 5
EXIT_RECORDS_EXPIRED = 6
EXIT_NO_RESPONSE = 7


def exit_code(error: CeleryrunError) -> int:
    """Return the exit code for an error.

    Examples
    --------
    >>> exit_code(ConfigurationRejectedError("another version is in force"))
    3
    """
    match error:
        case SettingsError():
            return EXIT_SETTINGS
        case ConfigurationRejectedError():
            return EXIT_REJECTED
        case LogUnavailableError():
            return EXIT_OUTCOME_UNKNOWN
        case RecordsExpiredError():
            return EXIT_RECORDS_EXPIRED
        case NoResponseError():
            return EXIT_NO_RESPONSE
    return EXIT_FAILED


class ErrorGroup(click.Group):
    """Command group that reports celeryrun's errors as messages and exit codes."""

    def invoke(self, context: click.Context) -> Any:
        """Run the subcommand, and exit with an error's code if it fails."""
        try:
            return super().invoke(context)
        except CeleryrunError as error:
            click.echo(f"celeryrun: {error}", err=True)
            sys.exit(exit_code(error))
