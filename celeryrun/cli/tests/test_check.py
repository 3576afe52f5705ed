"""The subcommand that checks configurations of gateways."""

import json

import pytest
from click.testing import CliRunner

from celeryrun.cli import main
from standins.site import build_config


@pytest.fixture
def write(tmp_path):
    def write(name, **changes):
        path = tmp_path / name
        path.write_text(json.dumps(build_config() | changes))
        return str(path)

    return write


def invoke(*arguments):
    return CliRunner().invoke(main, ["check", *arguments])


def test_sound_configuration_exits_with_0(write):
    result = invoke(write("new.json"))
    assert result.exit_code == 0
    assert "4 routes, 2 pools and 2 workspaces: good" in result.output


def test_error_exits_with_1_and_names_place_and_remedy(write):
    result = invoke(write("new.json", services=[]))
    assert result.exit_code == 1
    assert "error: route rcalls: its pool 'app' is not configured" in result.output
    assert "add the pool or name another" in result.output


def test_warning_exits_with_1_only_if_strict(write):
    file = write("new.json", services=[*build_config()["services"], {"name": "idle"}])
    assert invoke(file).exit_code == 0
    assert invoke(file, "--strict").exit_code == 1


@pytest.mark.parametrize("text", ["{", "[]", '{"version": -1}', '{"version": 1, "routes": 3}'])
def test_unreadable_file_exits_with_2(tmp_path, text):
    path = tmp_path / "new.json"
    path.write_text(text)
    result = invoke(str(path))
    assert result.exit_code == 2
    assert "not readable" in result.stderr


def test_differences_are_printed_as_json(write):
    result = invoke(
        write("new.json", version=2), "--against", write("current.json"), "--format", "json"
    )
    assert result.exit_code == 0
    assert json.loads(result.output) == {
        "sound": True,
        "findings": [],
        "differences": [{"place": "version", "text": "1 to 2"}],
    }


def test_differences_of_plans_and_uses(tmp_path):
    plans, uses, new_uses = (tmp_path / name for name in ("plans", "uses", "new_uses"))
    plans.write_text("")
    uses.write_text("[drafts]\nkind = engine\nplans = sales")
    new_uses.write_text("[drafts]\nkind = application\nplans = sales")
    files = ("--plans", str(plans), "--uses", str(new_uses))
    result = invoke(*files, "--against-plans", str(plans), "--against-uses", str(uses))
    assert "pool drafts: kind engine to application" in result.output


def test_version_in_force_needs_a_new_one(write):
    assert "needs a new one" in invoke("--against", write("current.json")).stderr
