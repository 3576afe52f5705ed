"""Subcommands for gateways and their logs."""

import subprocess
import sys

import pytest
from click.testing import CliRunner

from celeryrun.cli import main
from standins.site import format_settings

LOG_LINES = """
 0.1 b {"time":"2026-01-01T00:00:02","node":"b","event":"answered","request":"x","status":200}
nonsense {"time
{"time":"2026-01-01T00:00:01","node":"a","event":"placed","request":"x","target":"t","waited":0.1}
{"time":"2026-01-01T00:00:01","node":"a","event":"placed","request":"y","target":"t"}
"""


def test_explain_sorts_the_events_of_one_request():
    result = CliRunner().invoke(main, ["explain", "x"], input=LOG_LINES)
    assert result.exit_code == 0
    assert result.output.splitlines() == [
        "2026-01-01T00:00:01 a placed target=t waited=0.1",
        "2026-01-01T00:00:02 b answered status=200",
    ]


def test_explain_fails_for_a_request_without_events():
    result = CliRunner().invoke(main, ["explain", "z"], input=LOG_LINES)
    assert result.exit_code == 7
    assert "logs of all nodes" in result.output


@pytest.mark.parametrize(
    ("bounds", "code"), [("drain_lag = 2s", 0), ("drain_lag = 2", 2), ("drain_lagg = 2s", 2)]
)
def test_check_validates_gateway_settings(tmp_path, bounds, code):
    path = tmp_path / "gateway.ini"
    path.write_text(format_settings(bounds=bounds))
    result = CliRunner().invoke(main, ["check", "--gateway", str(path)])
    assert result.exit_code == code


def test_start_of_a_gateway_imports_no_other_server():
    script = "import sys, celeryrun.cli._gateway; print(*sys.modules)"
    modules = subprocess.check_output([sys.executable, "-c", script], text=True).split()
    assert "celeryrun.gateway" in modules
    assert not {"cheroot", "urllib3", "celeryrun.front"} & set(modules)
