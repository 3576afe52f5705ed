"""The ``celeryrun`` command."""

from celeryrun.cli._commands import main

__all__ = ["main"]
