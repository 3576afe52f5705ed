"""Subcommand that runs a gateway."""

from __future__ import annotations

import gc

import click

from celeryrun.gateway import run_gateway

__all__ = ["gateway"]


@click.command()
@click.argument("settings_file", type=click.Path(dir_okay=False))
def gateway(settings_file: str) -> None:
    """Run one gateway until it is stopped (SIGTERM)."""
    gc.freeze()
    run_gateway(settings_file)
