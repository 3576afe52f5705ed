"""Subcommands for operators."""

from __future__ import annotations

import gc
import secrets
import signal
import sys

import click
import msgspec
import pynng
from click.shell_completion import ShellComplete, get_completion_class

from celeryrun.cli._nodes import drain_node, fetch_statuses, find_operator
from celeryrun.cli._publish import publish_lists, read_lists, wait_in_force
from celeryrun.cli._status import format_statuses
from celeryrun.configuration import hash_key
from celeryrun.exception import CeleryrunError
from celeryrun.kernel import set_strict
from celeryrun.node import Node
from celeryrun.observe import json_handler, redirect_output
from celeryrun.settings import Address, load_gateway_settings, load_settings

__all__ = ["check", "completion", "drain", "keys", "node", "publish", "status"]

IN_FORCE_PATIENCE = 30.0  # s
KEY_BYTES = 32
FILE = click.Path(dir_okay=False)


@click.command()
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
        redirect_output()
        try:
            running.run()
        except (OSError, pynng.NNGException) as error:
            reason = f"can't listen ({error}); free the [node] addresses or choose others"
            raise CeleryrunError(reason) from error


@click.command()
@click.option("--settings", "settings_file", type=FILE, help="Settings of a node.")
@click.option("--plans", type=FILE, help="List of customers' plans.")
@click.option("--uses", type=FILE, help="List of what each plan may use.")
@click.option("--gateway", "gateway_file", type=FILE, help="Settings of a gateway.")
def check(
    settings_file: str | None, plans: str | None, uses: str | None, gateway_file: str | None
) -> None:
    """Check settings and lists without publishing."""
    if bool(plans) != bool(uses):
        raise click.UsageError("--plans and --uses go together")
    if not settings_file and not plans and not gateway_file:
        raise click.UsageError("give --settings, --gateway, or --plans and --uses")
    if gateway_file:
        load_gateway_settings(gateway_file)
        click.echo(f"{gateway_file}: good")
    if settings_file:
        load_settings(settings_file)
        click.echo(f"{settings_file}: good")
    if plans and uses:
        wanted = read_lists(plans, uses)
        click.echo(f"{len(wanted.plans)} workspaces and {len(wanted.pools)} pools: good")


@click.command()
@click.argument("settings_file", type=FILE)
@click.option("--plans", type=FILE, required=True, help="List of customers' plans.")
@click.option("--uses", type=FILE, required=True, help="List of what each plan may use.")
@click.option("--base", type=int, help="Version that the lists were made upon; refuse any other.")
@click.option("--change-id", help="Repeat an earlier publish to learn its outcome.")
@click.option("--wait", is_flag=True, help="Wait until every node has it in force.")
@click.option(
    "--patience",
    type=click.FloatRange(0.0),
    default=IN_FORCE_PATIENCE,
    show_default=True,
    help="Seconds to wait at most.",
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
    """Publish both lists."""
    settings = load_settings(settings_file)
    version = publish_lists(settings, read_lists(plans, uses), change_id, base)
    if wait:
        wait_in_force(settings, version, patience)


@click.command()
@click.argument("settings_file", type=FILE)
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def status(settings_file: str, as_json: bool) -> None:
    """Show what each node has in force and who waits where."""
    statuses = fetch_statuses(load_settings(settings_file))
    if as_json:
        click.echo(msgspec.json.encode(statuses))
        return
    for line in format_statuses(statuses):
        click.echo(line)


@click.command()
@click.argument("node_or_address")
@click.option("--settings", "settings_file", type=FILE, help="Settings, to find a node by name.")
def drain(node_or_address: str, settings_file: str | None) -> None:
    """Tell one node, by name or by IP:PORT of its operators' listener, to leave gracefully."""
    try:
        address = str(Address.from_text(node_or_address))
    except ValueError:
        if settings_file is None:
            raise click.UsageError("a node's name needs --settings; or give IP:PORT") from None
        address = find_operator(load_settings(settings_file), node_or_address)
    click.echo(drain_node(address))


@click.command()
@click.argument("workspace")
@click.option("--stdin", "from_stdin", is_flag=True, help="Hash the key on standard input.")
def keys(workspace: str, from_stdin: bool) -> None:
    """Make a key for a workspace and the hash to publish."""
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
    """Print the script that completes commands in a shell."""
    from celeryrun.cli import main

    found = get_completion_class(shell)
    assert found is not None
    # The subclass for bash would start a process to learn its version.
    click.echo(ShellComplete.source(found(main, {}, "celeryrun", "_CELERYRUN_COMPLETE")))
