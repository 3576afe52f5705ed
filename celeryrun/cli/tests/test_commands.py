"""Exit codes and output of the subcommands."""

import json
import re
import signal
import socket
import subprocess
import sys
import time

import pytest
from click.testing import CliRunner

from celeryrun import __version__
from celeryrun.cli import main
from celeryrun.cli._exit import exit_code
from celeryrun.configuration import hash_key
from celeryrun.exception import (
    CeleryrunError,
    LogUnavailableError,
    NoResponseError,
    RecordsExpiredError,
)
from celeryrun.tests.builders import build_settings
from standins.ports import lease_ports
from standins.site import format_settings

IN_FORCE_LIMIT = 6.0  # s, as promised for a published version on every node

PLANS = "[cajas]\nplan = sales\ntier = 1\nkey_hash = " + hash_key("key-cajas") + "\n"
USES = "[drafts]\nkind = engine\nplans = sales\n"


def run(*arguments, **options):
    return CliRunner().invoke(main, [str(argument) for argument in arguments], **options)


def write(folder, name, text):
    path = folder / name
    path.write_text(text)
    return path


def publish(fleet, *options):
    plans, uses = fleet.write_lists()
    settings = fleet.settings_path(fleet.nodes[0])
    return run("publish", settings, "--plans", plans, "--uses", uses, *options)


def test_version_and_completion():
    assert __version__ in run("--version").output
    for shell in ("bash", "zsh", "fish"):
        script = run("completion", shell)
        assert script.exit_code == 0
        assert "_CELERYRUN_COMPLETE" in script.output


def test_keys_prints_a_key_with_its_hash():
    result = run("keys", "cajas")
    key = re.search(r"shown once: (\S+)", result.output)[1]
    assert f"[cajas]\nkey_hash = {hash_key(key)}" in result.output
    assert run("keys", "cajas", "--stdin", input=key + "\n").output.endswith(hash_key(key) + "\n")
    assert run("keys", "cajas", "--stdin", input="\n").exit_code == 2


def test_check_reports_the_invalid_value(tmp_path):
    settings = write(tmp_path, "node.ini", build_settings())
    plans, uses = write(tmp_path, "plans.ini", PLANS), write(tmp_path, "uses.ini", USES)
    valid = run("check", "--settings", settings, "--plans", plans, "--uses", uses)
    assert valid.exit_code == 0
    assert "1 workspaces and 1 pools: good" in valid.output
    write(tmp_path, "plans.ini", PLANS.replace("tier = 1", "tier = 9"))
    invalid = run("check", "--plans", plans, "--uses", uses)
    assert invalid.exit_code == 2
    assert f"{plans}: [cajas] tier: a whole number from 1 to 3; found '9'" in invalid.output
    assert run("check", "--plans", plans).exit_code == 2
    assert run("check").exit_code == 2
    assert "readable file" in run("check", "--settings", tmp_path / "none.ini").output


def test_node_rejects_invalid_settings(tmp_path):
    settings = write(tmp_path, "node.ini", build_settings(node__zone=None))
    result = run("node", settings)
    assert result.exit_code == 2
    assert "[node] zone: is required" in result.output


@pytest.mark.parametrize(
    ("error", "code"),
    [
        (LogUnavailableError("no response", True), 4),
        (RecordsExpiredError("records expired"), 6),
        (NoResponseError("no response"), 7),
        (CeleryrunError("other"), 1),
    ],
)
def test_exit_codes(error, code):
    assert exit_code(error) == code


def test_publish_with_wait_lists_the_nodes(fleet):
    fleet.config.tier_by_workspace["permits"] = 1
    result = publish(fleet, "--wait")
    assert result.exit_code == 0
    change_id, version = re.search(r"change (\S+);.*version (\d+)", result.output, re.S).groups()
    assert "in force on all 3 nodes: node-0, node-1, node-2" in result.output
    repeated = publish(fleet, "--change-id", change_id)
    assert f"version {version} accepted" in repeated.output
    assert "already in force" in publish(fleet).output


def test_publish_based_on_an_old_version_is_rejected(fleet):
    fleet.config.tier_by_workspace["clerks"] = 2
    result = publish(fleet, "--base", 0)
    assert result.exit_code == 3
    assert "publish again" in result.output
    assert publish(fleet).exit_code == 0


def test_publish_with_wait_lists_the_nodes_without_the_version(fleet):
    fleet.config.tier_by_workspace["tallymen"] = 3
    paused_node = fleet.nodes[2]
    fleet.send_signal(paused_node, signal.SIGSTOP)
    try:
        result = publish(fleet, "--wait", "--patience", 0.5)
    finally:
        fleet.send_signal(paused_node, signal.SIGCONT)
    assert result.exit_code == 5
    assert "in force on: node-0, node-1" in result.output
    assert "not in force on: node-2 (no response); it is accepted" in result.output


def test_unknown_change_id_is_rejected_and_a_published_one_repeated(fleet):
    fleet.config.tier_by_workspace["drivers"] = 1
    published = publish(fleet)
    change_id = re.search(r"change (\S+);", published.output)[1]
    unknown = publish(fleet, "--change-id", "made-up")
    assert unknown.exit_code == 6
    assert "publish anew" in unknown.output
    assert publish(fleet, "--change-id", change_id).exit_code == 0


def test_status_for_people_and_programs(fleet):
    settings = fleet.settings_path(fleet.nodes[0])
    table = run("status", settings).output
    assert re.search(r"^node-1 +zone-1 +\d+ \w+ +yes +3 ", table, re.M)
    assert re.search(r"^pool drafts kept by node-\d; pressure 0.00; waiting ", table, re.M)
    assert re.search(r"^  engine-0 +zone-0 +live +0/\d+ slots", table, re.M)
    # The tests before publish without waiting; a version is in force everywhere within the limit.
    deadline = time.monotonic() + IN_FORCE_LIMIT
    while len(digests := read_digests(settings)) > 1:
        assert time.monotonic() < deadline, digests
        time.sleep(0.1)


def read_digests(settings):
    """Return the digests of the configurations in force on all nodes."""
    statuses = json.loads(run("status", settings, "--json").output)
    assert len(statuses) == 3
    return {item["digest"] for item in statuses.values()}


def test_status_finds_the_nodes_without_the_vm_list(fleet):
    fleet.set_faults("platform", list_outage=True)
    try:
        table = run("status", fleet.settings_path(fleet.nodes[0])).output
    finally:
        fleet.set_faults("platform", list_outage=False)
    assert all(name in table for name in fleet.nodes)


def test_unreachable_nodes_are_reported(tmp_path):
    (port,) = lease_ports(1)
    url = f"http://127.0.0.1:{port}"
    text = build_settings(platform__list_url=url, node__operator_address=f"127.0.0.1:{port}")
    settings = write(tmp_path, "node.ini", text)
    assert run("status", settings).exit_code == 7
    result = run("drain", f"127.0.0.1:{port}")
    assert result.exit_code == 7
    assert "check the address" in result.output
    assert run("drain", "node-0").exit_code == 2


def test_node_reports_an_address_in_use(fleet):
    settings = fleet.settings_path(fleet.nodes[0])
    command = [sys.executable, "-m", "celeryrun", "node", str(settings)]
    result = subprocess.run(command, capture_output=True, text=True, timeout=20)
    assert result.returncode == 1
    assert "free it or choose another [node] peer_address" in result.stderr


@pytest.mark.parametrize("key", ["caller_address", "operator_address", "peer_address"])
def test_node_exits_at_once_if_one_address_is_in_use(fleet, tmp_path, key):
    """A node that lives on would answer on its other addresses."""
    text = fleet.settings_path(fleet.nodes[0]).read_text()
    for other, port in zip(
        ("caller_address", "operator_address", "peer_address"), lease_ports(3), strict=True
    ):
        if other != key:
            text = re.sub(f"{other} = .*", f"{other} = 127.0.0.1:{port}", text)
    address = re.search(f"{key} = (.*)", text)[1]
    settings = write(tmp_path, "node.ini", text)
    command = [sys.executable, "-m", "celeryrun", "node", str(settings)]
    result = subprocess.run(command, capture_output=True, text=True, timeout=20)
    assert result.returncode == 1
    assert f"can't listen on {address}" in result.stderr
    assert f"free it or choose another [node] {key}" in result.stderr


@pytest.mark.parametrize(
    "key", ["caller_address", "readiness_address", "peer_address", "metrics_address"]
)
def test_gateway_exits_at_once_if_one_address_is_in_use(tmp_path, key):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        text = format_settings(ports=lease_ports(4), store=lease_ports(1)[0])
        settings = write(tmp_path, "gateway.ini", re.sub(f"{key} = .*", f"{key} = {address}", text))
        command = [sys.executable, "-m", "celeryrun", "gateway", str(settings)]
        result = subprocess.run(command, capture_output=True, text=True, timeout=20)
    assert result.returncode == 1
    assert f"can't listen on {address}" in result.stderr
    assert f"free it or choose another [node] {key}" in result.stderr


def test_drain_by_name_and_by_address(fleet):
    settings = fleet.settings_path(fleet.nodes[0])
    unknown = run("drain", "node-9", "--settings", settings)
    assert unknown.exit_code == 7
    assert "known are node-0, node-1, node-2" in unknown.output
    caller_address = f"127.0.0.1:{fleet.port_by_name['node-1']}"
    assert "operator_address" in run("drain", caller_address).output
    assert run("drain", "node-1", "--settings", settings).output == "draining\n"
    assert fleet.process_by_name["node-1"].wait(20) == 0
    assert run("drain", f"127.0.0.1:{fleet.operator_port_by_name['node-2']}").exit_code == 0
    assert fleet.process_by_name["node-2"].wait(20) == 0
