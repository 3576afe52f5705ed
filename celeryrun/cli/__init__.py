"""The ``celeryrun`` command."""

from celeryrun.cli._main import main

__all__ = ["main"]
