"""The stories that the operators' page walks through."""

import asyncio

from standins.walks import walk


def events(lines):
    return [line.split()[2] for line in lines]


def test_each_failure_is_told_from_its_id_to_its_cause():
    stories = asyncio.run(walk())
    assert events(stories["refused"]) == ["refused"]
    assert "kind=quota by=scheduler" in stories["refused"][0]
    assert events(stories["broken off"]) == ["placed", "broken-off"]
    assert "events=2" in stories["broken off"][1]
    assert events(stories["unknown"]) == ["placed", "broken-off", "refused"]
    assert "status=502 kind=unknown by=target" in stories["unknown"][2]
