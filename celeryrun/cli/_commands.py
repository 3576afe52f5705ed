"""Subcommands for operators."""

from __future__ import annotations

import gc
import signal
import sys
import time
from pathlib import Path
from typing import Any

import click
import msgspec
import urllib3

from celeryrun import __version__
from celeryrun.configuration import Configuration, Publisher, parse_lists
from celeryrun.exception import (
    CeleryrunError,
    ConfigurationRejectedError,
    LogUnavailableError,
    SettingsError,
)
from celeryrun.front._operators import Status
from celeryrun.kernel import set_strict
from celeryrun.node import Node
from celeryrun.observe import json_handler
from celeryrun.platform import LogClient, fetch_vms
from celeryrun.settings import Settings, load_settings

__all__ = ["main"]

EXIT_SETTINGS = 2
EXIT_REJECTED = 3
EXIT_UNKNOWN = 4
EXIT_NOT_IN_FORCE = 5
PUBLISH_PATIENCE = 30.0  # s
IN_FORCE_PATIENCE = 30.0  # s
STATUS_PERIOD = 0.25  # s
FILE = click.Path(exists=True, dir_okay=False)

exit_by_error: list[tuple[type[CeleryrunError], int]] = [
    (SettingsError, EXIT_SETTINGS),
    (ConfigurationRejectedError, EXIT_REJECTED),
    (LogUnavailableError, EXIT_UNKNOWN),
    (CeleryrunError, 1),
]


class _Group(click.Group):
    """Turns the project's errors into messages and exit codes."""

    def invoke(self, context: click.Context) -> Any:
        try:
            return super().invoke(context)
        except CeleryrunError as error:
            click.echo(f"celeryrun: {error}", err=True)
            code = next(code for kind, code in exit_by_error if isinstance(error, kind))
            sys.exit(code)


@click.group(cls=_Group)
@click.version_option(__version__, prog_name="celeryrun")
def main() -> None:
    """Schedule requests for unlike engines behind one front door."""


@main.command()
@click.argument("settings_file", type=FILE)
@click.option("--strict", is_flag=True, help="End the process when an invariant is violated.")
def node(settings_file: str, strict: bool) -> None:
    """Run one node until it is drained (SIGTERM or ``celeryrun drain``)."""
    settings = load_settings(settings_file)
    set_strict(strict)
    running = Node.from_config(settings)
    signal.signal(signal.SIGTERM, lambda *_: running.drain())
    signal.signal(signal.SIGINT, lambda *_: running.drain())
    gc.freeze()
    with json_handler(settings.node.name, settings.node.log_level).applicationbound():
        running.run()


@main.command()
@click.option("--settings", "settings_file", type=FILE, help="Settings of a node.")
@click.option("--plans", type=FILE, help="List of customers' plans.")
@click.option("--uses", type=FILE, help="List of what each plan may use.")
def check(settings_file: str | None, plans: str | None, uses: str | None) -> None:
    """Check settings and lists without publishing."""
    if settings_file:
        load_settings(settings_file)
        click.echo(f"{settings_file}: good")
    if bool(plans) != bool(uses):
        raise click.UsageError("--plans and --uses go together")
    if plans and uses:
        wanted = _read_lists(plans, uses)
        click.echo(f"{len(wanted.plans)} workspaces and {len(wanted.pools)} pools: good")
    if not settings_file and not plans:
        raise click.UsageError("give --settings, or --plans and --uses")


@main.command()
@click.argument("settings_file", type=FILE)
@click.option("--plans", type=FILE, required=True, help="List of customers' plans.")
@click.option("--uses", type=FILE, required=True, help="List of what each plan may use.")
@click.option("--change-id", help="Repeat an earlier publish to learn its outcome.")
@click.option("--wait", is_flag=True, help="Wait until every node has it in force.")
def publish(settings_file: str, plans: str, uses: str, change_id: str | None, wait: bool) -> None:
    """Publish both lists."""
    settings = load_settings(settings_file)
    wanted = _read_lists(plans, uses)
    client = LogClient(settings.platform.log_url, settings.platform.timeout)
    publisher = Publisher(
        client, PUBLISH_PATIENCE, settings.peers.key, settings.platform.configuration_stream
    )
    outcome = publisher.publish(wanted, change_id)
    click.echo(f"version {outcome.version} accepted {outcome.reason}".rstrip())
    if wait:
        _wait_in_force(settings, outcome.version)


@main.command()
@click.argument("settings_file", type=FILE)
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def status(settings_file: str, as_json: bool) -> None:
    """Show what each node has in force and who waits where."""
    statuses = _fetch_statuses(load_settings(settings_file))
    if as_json:
        click.echo(msgspec.json.encode(statuses))
        return
    click.echo(f"{'node':16}{'zone':10}{'version':>8} {'ready':7}{'waiting':>8}{'holding':>8}")
    for name, item in statuses.items():
        if item is None:
            click.echo(f"{name:16}no answer; look at the VM or wait for the list")
            continue
        ready = "draining" if item.draining else "yes" if item.ready else "no"
        click.echo(
            f"{name:16}{item.zone:10}{item.version:8} {ready:7}{item.waiting:8}{item.holding:8}"
        )
    _show_pools([item for item in statuses.values() if item is not None])


@main.command()
@click.argument("operator_address")
def drain(operator_address: str) -> None:
    """Tell one node (IP:PORT of its operators' listener) to finish what it holds and leave."""
    http = urllib3.PoolManager(retries=False)
    try:
        response = http.request("POST", f"http://{operator_address}/drain", timeout=5.0)
    except urllib3.exceptions.HTTPError as error:
        raise CeleryrunError(f"no answer from {operator_address}; check the address") from error
    click.echo(response.data.decode().strip())


def _read_lists(plans: str, uses: str) -> Configuration:
    plans_text = Path(plans).read_text(encoding="utf-8")
    uses_text = Path(uses).read_text(encoding="utf-8")
    return parse_lists(plans_text, uses_text, plans, uses)


def _fetch_statuses(settings: Settings) -> dict[str, Status | None]:
    http = urllib3.PoolManager(retries=False)
    vms = fetch_vms(http, settings.platform.list_url, settings.platform.timeout)
    return {vm.name: _fetch_status(http, vm.operator) for vm in vms if vm.role == "node"}


def _fetch_status(http: urllib3.PoolManager, operator: str) -> Status | None:
    try:
        response = http.request("GET", f"http://{operator}/status", timeout=2.0)
        return msgspec.json.decode(response.data, type=Status)
    except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
        return None


def _show_pools(statuses: list[Status]) -> None:
    for item in statuses:
        for pool in item.pools:
            if pool.keeper != item.node:
                continue
            waiting = " ".join(f"tier {tier.tier}: {tier.waiting}" for tier in pool.tiers)
            click.echo(f"pool {pool.name} kept by {pool.keeper}; waiting {waiting}")
            for target in pool.targets:
                state = "leaving" if target.leaving else "live"
                used = f"{target.in_flight}/{target.slots:.0f} slots"
                click.echo(f"  {target.name:20}{target.zone:10}{state:9}{used}")


def _wait_in_force(settings: Settings, version: int) -> None:
    until = time.monotonic() + IN_FORCE_PATIENCE
    behind: list[str] = ["the list of VMs"]
    while behind and time.monotonic() < until:
        time.sleep(STATUS_PERIOD)
        try:
            statuses = _fetch_statuses(settings)
        except CeleryrunError:
            continue
        behind = [name for name, item in statuses.items() if item is None or item.version < version]
    if behind:
        click.echo(f"not in force on: {', '.join(behind)}; see celeryrun status", err=True)
        sys.exit(EXIT_NOT_IN_FORCE)
    click.echo("in force on every node")
