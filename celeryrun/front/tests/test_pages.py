"""Agreement of the documentation for callers and operators with the code."""

import dataclasses
import doctest
import re
import typing
from pathlib import Path

from celeryrun.cli import _exit
from celeryrun.pool._client import REFUSAL_BY_KIND
from celeryrun.settings import Settings
from celeryrun.tests.builders import build_idempotency_key

ROOT = Path(__file__).parents[3]
OPERATOR_PAGE = (ROOT / "docs" / "operators.md").read_text()


def test_examples_in_caller_documentation_pass(fleet):
    names = {
        "node": fleet.url(fleet.nodes[0]),
        "http": fleet.http,
        "new_uuid7": build_idempotency_key,
    }
    results = doctest.testfile(str(ROOT / "docs" / "callers.md"), False, globs=names)
    assert results.attempted > 15
    assert results.failed == 0


def test_caller_documentation_lists_every_refusal():
    page = (ROOT / "docs" / "callers.md").read_text()
    sources = [path.read_text() for path in (ROOT / "celeryrun").rglob("_*.py")]
    found = [
        kind for text in sources for kind in re.findall(r'Refusal\(\s*\d+,\s*"([a-z-]+)"', text)
    ]
    assert len(found) > 10
    missing = [kind for kind in {*found, *REFUSAL_BY_KIND} - {"unknown"} if f"`{kind}`" not in page]
    assert not missing


def test_operator_documentation_lists_every_setting_and_exit_code():
    names = [
        field.name
        for section in typing.get_type_hints(Settings).values()
        for field in dataclasses.fields(section)
    ]
    assert not [name for name in names if f"`{name}`" not in OPERATOR_PAGE]
    codes = [getattr(_exit, name) for name in dir(_exit) if name.startswith("EXIT_")]
    assert not [code for code in codes if f"\n| {code} |" not in OPERATOR_PAGE]
