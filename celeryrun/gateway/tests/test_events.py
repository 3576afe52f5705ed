"""Event log: documented events, bounded buffers, non-blocking output."""

import json
import os
import re
from pathlib import Path

from celeryrun.gateway._events import MAX_BUFFERED_LINES, MAX_LINES_PER_KIND, EventLog
from standins.site import ROOT, Site, run

PACKAGE = Path(__file__).parents[1]


def test_every_event_is_documented_for_operators():
    document = (ROOT / "docs" / "OPERATIONS.md").read_text()
    table = document[document.index("## Events") : document.index("## Three walks")]
    listed = {
        name for row in table.splitlines() if row.startswith("| `") for name in event_names(row)
    }
    source = "".join(path.read_text() for path in PACKAGE.glob("_*.py"))
    found = set(re.findall(r'emit\(\s*(?:state,\s*)?"([a-z-]+)"', source))
    assert len(found) > 25
    assert found == listed


def event_names(row):
    return re.findall(r"`([a-z-]+)`", row.split("|")[1])


def test_writer_is_not_blocked_by_idle_reader():
    read_end, write_end = os.pipe()
    events = EventLog("n", write_end)
    os.set_blocking(write_end, False)
    for number in range(20_000):
        events.emit(f"kind-{number % 400}", number=number)
        if number % 100 == 0:
            events.flush()
    assert len(events._lines) <= MAX_BUFFERED_LINES + 1
    data = os.read(read_end, 1 << 20)
    for _ in range(200):
        events.flush()
        data += os.read(read_end, 1 << 20)
        if data.endswith(b"\n") and b"events-left-out" in data:
            break
    assert all(json.loads(line) for line in data.splitlines())
    assert b"events-left-out" in data


def test_long_lines_behind_an_idle_reader_are_bounded_in_bytes():
    """Two thousand lines with ids as long as heads may be took 32 MB."""
    _, write_end = os.pipe()
    events = EventLog("n", write_end)
    os.set_blocking(write_end, False)
    for number in range(4000):
        events.emit(f"kind-{number % 400}", request="a" * 16_000)
        if number % 100 == 0:
            events.flush()
    assert sum(map(len, events._lines)) <= 2 << 20


def test_frequent_event_does_not_displace_others():
    read_end, write_end = os.pipe()
    events = EventLog("n", write_end)
    for number in range(5 * MAX_LINES_PER_KIND):
        events.emit("flood", number=number)
    events.emit("rare")
    events.flush()
    events.flush()
    lines = [json.loads(line) for line in os.read(read_end, 1 << 20).splitlines()]
    assert sum(line["event"] == "flood" for line in lines) == MAX_LINES_PER_KIND
    assert any(line["event"] == "rare" for line in lines)
    (omitted,) = [line for line in lines if line["event"] == "events-left-out"]
    assert omitted["flood"] == 4 * MAX_LINES_PER_KIND


def test_requests_are_served_while_log_output_is_blocked():
    async def scenario():
        async with Site(apps=1) as site:
            read_end, write_end = os.pipe()
            events = site.gateways[0].kernel.find("events")
            os.set_blocking(write_end, False)
            events._descriptor = write_end
            for _ in range(3):
                for number in range(800):
                    events.emit(f"kind-{number}", filler="x" * 100)
                events.flush()
            for _ in range(20):
                assert (await site.send_request("/calls/a")).status == 200
            os.close(read_end)
            assert (await site.send_request("/calls/a")).status == 200

    run(scenario())


def test_value_that_json_cannot_hold_is_escaped():
    read_end, write_end = os.pipe()
    events = EventLog("n", write_end)
    events.emit("odd", text="\ud800", number=10**400)
    events.flush()
    (line,) = [json.loads(line) for line in os.read(read_end, 1 << 20).splitlines()]
    assert "ud800" in line["text"] and len(line["number"]) <= 500
    assert "odd" in line["event"]
