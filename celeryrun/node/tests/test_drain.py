"""A draining node completes every request."""

import signal

import pytest
import urllib3

from celeryrun.node.tests.load import Load
from standins.fleet import Fleet, FleetConfig


@pytest.fixture(scope="module")
def fleet():
    # With fewer threads than callers, some connections are still unread when the node drains.
    config = FleetConfig(threads=16, extra_settings={"node": {"drain_lag": "500ms"}})
    with Fleet(config) as started_fleet:
        yield started_fleet


def test_rolling_restart_interrupts_no_request_under_load(fleet):
    load = Load(fleet, list(fleet.nodes)).run(callers=24)
    for name in list(fleet.nodes):
        fleet.send_signal(name, signal.SIGTERM)
        assert fleet.process_by_name[name].wait(30) == 0
        fleet.restart(name)
        fleet.wait_ready([name])
    load.stop()
    assert sum(request.complete for request in load.requests) > 50
    assert load.interrupted() == []


def test_draining_node_is_not_ready_and_closes_connections(fleet):
    name = fleet.nodes[0]
    operator_url = f"http://127.0.0.1:{fleet.operator_port_by_name[name]}"
    fleet.http.request("POST", operator_url + "/drain")
    assert fleet.http.request("GET", operator_url + "/readyz").status == 503
    response = fleet.request(name, "routes", "GET", "/warehouse/stock/a")
    assert response.status == 200
    assert response.headers["Connection"] == "close"
    assert fleet.process_by_name[name].wait(30) == 0
    with pytest.raises(urllib3.exceptions.HTTPError):
        fleet.request(name, "routes", "GET", "/warehouse/stock/a")
