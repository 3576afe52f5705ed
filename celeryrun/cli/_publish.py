"""Publishing from the command line, and waiting until it is in force."""

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

__all__ = ["publish_lists", "read_lists", "wait_in_force"]

PUBLISH_PATIENCE = 30.0  # s
STATUS_PERIOD = 0.25  # s


def read_lists(plans: str, uses: str) -> Configuration:
    """Read and check the two files."""
    return parse_lists(read_text(plans), read_text(uses), plans, uses)


def publish_lists(
    settings: Settings, wanted: Configuration, change_id: str | None, base: int | None
) -> int:
    """Publish and return the version that came into force."""
    platform = settings.platform
    client = LogClient(platform.log_url, platform.timeout)
    publisher = Publisher(
        client, PUBLISH_PATIENCE, settings.peers.key, platform.configuration_stream
    )
    if change_id is None:
        new_id = new_change_id()
        click.echo(f"change {new_id}; if the outcome is unknown, repeat it with --change-id")
        outcome = publisher.publish(wanted, new_id, base)
    else:
        outcome = publisher.publish(wanted, change_id, base)
    click.echo(f"version {outcome.version} accepted {outcome.reason}".rstrip())
    return outcome.version


def wait_in_force(settings: Settings, version: int, patience: float) -> None:
    """Wait until every node has a version in force, and report which have; else end the process."""
    until = time.monotonic() + patience
    while True:
        # The last look begins after the patience, so that a slow one is not reported as it began.
        is_last = time.monotonic() > until
        statuses = fetch_statuses(settings)
        behind = {name: item for name, item in statuses.items() if not _has(item, version)}
        if statuses and not behind:
            click.echo(f"in force on all {len(statuses)} nodes: {', '.join(statuses)}")
            return
        if is_last:
            break
        time.sleep(STATUS_PERIOD)
    there = [name for name in statuses if name not in behind]
    click.echo(f"in force on: {', '.join(there) or 'no node'}")
    late = ", ".join(f"{name} ({_describe(item)})" for name, item in behind.items())
    remedy = "it is accepted and need not be published again; see celeryrun status"
    click.echo(f"celeryrun: not in force on: {late or 'any node'}; {remedy}", err=True)
    sys.exit(EXIT_NOT_IN_FORCE)


def _has(status: Status | None, version: int) -> bool:
    return status is not None and status.version >= version


def _describe(status: Status | None) -> str:
    return "no answer" if status is None else f"version {status.version}"
