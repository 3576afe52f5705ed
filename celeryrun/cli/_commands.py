"""Subcommands that run a node, publish configuration and show or drain nodes."""

from __future__ import annotations

import gc
import secrets
import signal
import sys

import click
import msgspec
from click.shell_completion import ShellComplete, get_completion_class

from celeryrun.cli._nodes import drain_node, fetch_statuses, find_operator_address
from celeryrun.cli._publish import publish_lists, read_lists, wait_until_in_force
from celeryrun.cli._status import format_statuses
from celeryrun.configuration import hash_key
from celeryrun.kernel import set_strict
from celeryrun.node import Node
from celeryrun.observe import json_handler, redirect_errors_to_log
from celeryrun.settings import Address, load_settings

__all__ = ["completion", "drain", "keys", "node", "publish", "status"]

IN_FORCE_TIMEOUT = 30.0  # s
KEY_BYTES = 32
FILE_TYPE = click.Path(dir_okay=False)


@click.command()
@click.argument("settings_file", type=FILE_TYPE)
@click.option("--strict", is_flag=True, help="Exit when an invariant is violated.")
def node(settings_file: str, strict: bool) -> None:
    """Run one node until it is drained (SIGTERM or ``celeryrun drain``)."""
    settings = load_settings(settings_file)
    set_strict(strict)
    node_process = Node.from_config(settings)
    signal.signal(signal.SIGTERM, lambda *_: node_process.drain())
    signal.signal(signal.SIGINT, lambda *_: node_process.drain())
    gc.freeze()
    with json_handler(settings.node.name, settings.node.log_level).applicationbound():
        redirect_errors_to_log()
        node_process.run()


@click.command()
@click.argument("settings_file", type=FILE_TYPE)
@click.option(
    "--plans",
    type=FILE_TYPE,
    required=True,
    help="Plans file: plan, tier and key of each workspace.",
)
@click.option(
    "--uses", type=FILE_TYPE, required=True, help="Uses file: plans that may use each pool."
)
@click.option(
    "--base",
    type=int,
    help="Version that the files are based on; publishing fails if another one is in force.",
)
@click.option("--change-id", help="Id of an earlier publish, repeated to learn its outcome.")
@click.option("--wait", is_flag=True, help="Wait until the new version is in force on every node.")
@click.option(
    "--patience",
    type=click.FloatRange(0.0),
    default=IN_FORCE_TIMEOUT,
    show_default=True,
    help="Longest time to wait, in seconds.",
)
def publish(
    settings_file: str,
    plans: str,
    uses: str,
    base: int | None,
    change_id: str | None,
    wait: bool,
    patience: float,
) -> None:
    """Publish the plans and uses files as a new version of the configuration."""
    settings = load_settings(settings_file)
    version = publish_lists(settings, read_lists(plans, uses), change_id, base)
    if wait:
        wait_until_in_force(settings, version, patience)


@click.command()
@click.argument("settings_file", type=FILE_TYPE)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def status(settings_file: str, as_json: bool) -> None:
    """Show each node's configuration version and load, and each pool's queue and targets."""
    statuses = fetch_statuses(load_settings(settings_file))
    if as_json:
        click.echo(msgspec.json.encode(statuses))
        return
    for line in format_statuses(statuses):
        click.echo(line)


@click.command()
@click.argument("node_or_address")
@click.option(
    "--settings",
    "settings_file",
    type=FILE_TYPE,
    help="Settings file of a node, needed to find a node by name.",
)
def drain(node_or_address: str, settings_file: str | None) -> None:
    """Drain one node, given by name or by the IP:PORT of its operators' listener."""
    try:
        address = str(Address.from_text(node_or_address))
    except ValueError:
        if settings_file is None:
            raise click.UsageError(
                "--settings is needed to find a node by name; or give IP:PORT"
            ) from None
        address = find_operator_address(load_settings(settings_file), node_or_address)
    click.echo(drain_node(address))


@click.command()
@click.argument("workspace")
@click.option("--stdin", "from_stdin", is_flag=True, help="Hash the key on standard input.")
def keys(workspace: str, from_stdin: bool) -> None:
    """Generate a key for a workspace and print its hash for the plans file."""
    key = secrets.token_urlsafe(KEY_BYTES)
    if from_stdin:
        key = sys.stdin.readline().strip()
        if not key:
            raise click.UsageError("no key on standard input")
    else:
        click.echo(f"key for {workspace}, shown once: {key}", err=True)
    click.echo(f"[{workspace}]\nkey_hash = {hash_key(key)}")


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the script that enables command completion in a shell."""
    from celeryrun.cli import main

    completion_class = get_completion_class(shell)
    assert completion_class is not None
    # The method of the bash subclass starts a process to find the version of bash.
    click.echo(ShellComplete.source(completion_class(main, {}, "celeryrun", "_CELERYRUN_COMPLETE")))
