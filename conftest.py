"""Passes over the tests listed in KNOWN-RED.txt, prints them, and gives tests a fleet."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.fleet import Fleet, FleetConfig

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def known_red() -> list[str]:
    """Return the entries of the list."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.strip() and not line.startswith("#")]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let listed tests fail."""
    entry_by_test = {line.split("|")[0].strip(): line for line in known_red()}
    for item in items:
        if item.nodeid in entry_by_test:
            item.add_marker(pytest.mark.xfail(reason=entry_by_test[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list."""
    for line in known_red():
        terminalreporter.write_line(f"KNOWN-RED {line}")


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    """Three nodes before stand-ins, shared by the tests of a module."""
    with Fleet(FleetConfig()) as running:
        yield running
