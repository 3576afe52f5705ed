"""Tests of the walkthroughs in the operators' guide."""

import asyncio

from standins.walks import collect_walkthroughs


def event_names(lines):
    return [line.split()[2] for line in lines]


def test_each_failure_is_explained_by_its_events():
    explanations = asyncio.run(collect_walkthroughs())
    assert event_names(explanations["refused"]) == ["refused"]
    assert "kind=quota by=scheduler" in explanations["refused"][0]
    assert event_names(explanations["broken off"]) == ["placed", "broken-off", "aborted"]
    assert "events=2" in explanations["broken off"][1]
    assert "why=target" in explanations["broken off"][2]
    assert event_names(explanations["unknown"]) == ["placed", "broken-off", "refused"]
    assert "status=502 kind=unknown by=target" in explanations["unknown"][2]
