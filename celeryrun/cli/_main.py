"""Command group that imports each subcommand's module on first use."""

from __future__ import annotations

import importlib

import click

from celeryrun import __version__
from celeryrun.cli._exit import ErrorGroup

__all__ = ["main"]

MODULE_BY_COMMAND = {
    "check": "_check",
    "completion": "_commands",
    "crashes": "_crashes",
    "drain": "_commands",
    "explain": "_explain",
    "gateway": "_gateway",
    "keys": "_commands",
    "node": "_commands",
    "publish": "_commands",
    "status": "_commands",
}


class LazyGroup(ErrorGroup):
    """Command group that loads subcommands by name, to keep unused modules out of memory."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all subcommands."""
        return sorted(MODULE_BY_COMMAND)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Load a subcommand, or return None if no subcommand has that name."""
        module = MODULE_BY_COMMAND.get(cmd_name)
        if module is None:
            return None
        loaded_module = importlib.import_module(f"celeryrun.cli.{module}")
        command: click.Command = getattr(loaded_module, cmd_name)
        return command


@click.group(cls=LazyGroup)
@click.version_option(__version__, prog_name="celeryrun")
def main() -> None:
    """Schedule requests to inference engines and applications behind one HTTP entry point."""
