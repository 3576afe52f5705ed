"""The command's group; a subcommand's code is loaded when it is used."""

from __future__ import annotations

import importlib

import click

from celeryrun import __version__
from celeryrun.cli._exit import ErrorGroup

__all__ = ["main"]

MODULE_BY_COMMAND = {
    "check": "_commands",
    "completion": "_commands",
    "drain": "_commands",
    "explain": "_explain",
    "gateway": "_gateway",
    "keys": "_commands",
    "node": "_commands",
    "publish": "_commands",
    "status": "_commands",
}


class LazyGroup(ErrorGroup):
    """Loads subcommands by name, so that each process holds only what it runs."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all subcommands."""
        return sorted(MODULE_BY_COMMAND)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Load a subcommand, or return None if there is none of that name."""
        module = MODULE_BY_COMMAND.get(cmd_name)
        if module is None:
            return None
        loaded = importlib.import_module(f"celeryrun.cli.{module}")
        command: click.Command = getattr(loaded, cmd_name)
        return command


@click.group(cls=LazyGroup)
@click.version_option(__version__, prog_name="celeryrun")
def main() -> None:
    """Schedule requests for unlike engines behind one front door."""
