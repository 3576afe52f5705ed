"""Exit codes, and errors turned into messages."""

from __future__ import annotations

import sys
from typing import Any

import click

from celeryrun.exception import (
    CeleryrunError,
    ConfigurationForgottenError,
    ConfigurationRejectedError,
    LogUnavailableError,
    NoAnswerError,
    SettingsError,
)

__all__ = ["EXIT_NOT_IN_FORCE", "ErrorGroup", "exit_code"]

EXIT_FAILED = 1
EXIT_SETTINGS = 2
EXIT_REJECTED = 3
EXIT_UNKNOWN = 4
EXIT_NOT_IN_FORCE = 5
EXIT_FORGOTTEN = 6
EXIT_NO_ANSWER = 7


def exit_code(error: CeleryrunError) -> int:
    """Return the exit code that tells a kind of error.

    Examples
    --------
    >>> exit_code(ConfigurationRejectedError("another operator was first"))
    3
    """
    match error:
        case SettingsError():
            return EXIT_SETTINGS
        case ConfigurationRejectedError():
            return EXIT_REJECTED
        case LogUnavailableError():
            return EXIT_UNKNOWN
        case ConfigurationForgottenError():
            return EXIT_FORGOTTEN
        case NoAnswerError():
            return EXIT_NO_ANSWER
    return EXIT_FAILED


class ErrorGroup(click.Group):
    """Turns the project's errors into messages and exit codes."""

    def invoke(self, context: click.Context) -> Any:
        """Run the subcommand."""
        try:
            return super().invoke(context)
        except CeleryrunError as error:
            click.echo(f"celeryrun: {error}", err=True)
            sys.exit(exit_code(error))
