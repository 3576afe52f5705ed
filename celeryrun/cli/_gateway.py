"""Subcommand that runs a gateway."""

from __future__ import annotations

import gc

import click

from celeryrun.exception import CeleryrunError
from celeryrun.gateway import run_gateway

__all__ = ["gateway"]


@click.command()
@click.argument("settings_file", type=click.Path(dir_okay=False))
def gateway(settings_file: str) -> None:
    """Run one gateway until it is stopped (SIGTERM)."""
    gc.freeze()
    try:
        run_gateway(settings_file)
    except OSError as error:
        reason = f"can't listen ({error}); free the [node] addresses or choose others"
        raise CeleryrunError(reason) from error
