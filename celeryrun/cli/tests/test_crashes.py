"""Table of what requests on crashed targets had in common."""

import json

from click.testing import CliRunner

from celeryrun.cli import main


def line(time, event, request, **fields):
    return "node " + json.dumps({"time": time, "event": event, "request": request, **fields})


def placed_and_down(number, target, *parts):
    traits = {"fingerprint": number, "parts": parts}
    request = f"r{number}"
    return [
        line(f"t{number}.0", "placed", request, target=target, **traits),
        line(f"t{number}.1", "target-down", request, target=target, **traits),
    ]


def test_part_of_every_crash_without_a_response_leads_the_table():
    lines = [
        *placed_and_down(1, "e-0", "common", "bad"),
        *placed_and_down(2, "e-1", "common", "bad"),
        line("t3.0", "placed", "r3", target="e-2", fingerprint=3, parts=["common", "own"]),
        line("t3.1", "answered", "r3", target="e-2", status=200),
        line("t4.0", "refused", "r4", kind="suspect", parts=["common", "bad"]),
    ]
    result = CliRunner().invoke(main, ["crashes"], input="\n".join(lines))
    rows = [row.split() for row in result.output.splitlines()[1:]]
    assert rows[:2] == [["2", "0", "1", "bad"], ["2", "1", "1", "common"]]


def test_logs_without_a_crash_are_an_error_with_a_remedy():
    result = CliRunner().invoke(main, ["crashes"], input="no event\n")
    assert result.exit_code != 0
    assert "give the logs of all nodes" in result.output
