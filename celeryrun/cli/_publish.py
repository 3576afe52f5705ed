"""Publish a configuration and wait until it is in force on every node."""

from __future__ import annotations

import sys
import time

import click

from celeryrun.cli._exit import EXIT_NOT_IN_FORCE
from celeryrun.cli._nodes import fetch_statuses
from celeryrun.configuration import Configuration, Publisher, new_change_id, parse_lists
from celeryrun.front import Status
from celeryrun.settings import Settings, read_text
from celeryrun.streams import LogClient

__all__ = ["publish_lists", "read_lists", "wait_until_in_force"]

PUBLISH_TIMEOUT = 30.0  # s
STATUS_INTERVAL = 0.25  # s


def read_lists(plans: str, uses: str) -> Configuration:
    """Read and validate the plans and uses files."""
    return parse_lists(read_text(plans), read_text(uses), plans, uses)


def publish_lists(
    settings: Settings, configuration: Configuration, change_id: str | None, base: int | None
) -> int:
    """Publish a configuration and return the version that came into force.

    Parameters
    ----------
    change_id : str or None
        Id of an earlier publish to repeat.
    base : int or None
        Version that the configuration is based on; publishing fails if another one is in force.
    """
    platform = settings.platform
    client = LogClient(platform.log_url, platform.timeout)
    publisher = Publisher(
        client, PUBLISH_TIMEOUT, settings.peers.key, platform.configuration_stream
    )
    if change_id is None:
        new_id = new_change_id()
        click.echo(f"change {new_id}; if the outcome is unknown, repeat it with --change-id")
        outcome = publisher.publish(configuration, new_id, base)
    else:
        outcome = publisher.publish(configuration, change_id, base)
    click.echo(f"version {outcome.version} accepted {outcome.reason}".rstrip())
    return outcome.version


def wait_until_in_force(settings: Settings, version: int, timeout: float) -> None:
    """Wait until a version is in force on every node; after the timeout, exit with an error.

    Parameters
    ----------
    timeout : float
        In seconds.
    """
    deadline = time.monotonic() + timeout
    while True:
        # The last check starts after the deadline; an earlier, slow one could report a stale state.
        is_last = time.monotonic() > deadline
        statuses = fetch_statuses(settings)
        behind = {name: item for name, item in statuses.items() if not _is_in_force(item, version)}
        if statuses and not behind:
            click.echo(f"in force on all {len(statuses)} nodes: {', '.join(statuses)}")
            return
        if is_last:
            break
        time.sleep(STATUS_INTERVAL)
    current = [name for name in statuses if name not in behind]
    click.echo(f"in force on: {', '.join(current) or 'no node'}")
    late = ", ".join(f"{name} ({_describe(item)})" for name, item in behind.items())
    remedy = "it is accepted and need not be published again; see celeryrun status"
    click.echo(f"celeryrun: not in force on: {late or 'any node'}; {remedy}", err=True)
    sys.exit(EXIT_NOT_IN_FORCE)


def _is_in_force(status: Status | None, version: int) -> bool:
    return status is not None and status.version >= version


def _describe(status: Status | None) -> str:
    return "no response" if status is None else f"version {status.version}"
