"""A leaving target gets no new requests, also while the platform's VM list is unavailable."""

import time

from standins.fleet import Fleet, FleetConfig

REQUEST_COUNT = 90


def count_leaving_refusals(fleet):
    """Return the number of requests that the leaving target refused, by the nodes' logs."""
    logs = [(fleet.folder / f"{name}.log").read_text() for name in fleet.nodes]
    return sum(log.count("the target is leaving") for log in logs)


def test_refusal_by_a_leaving_target_stops_requests_from_all_nodes_without_the_vm_list():
    with Fleet(FleetConfig()) as fleet:
        fleet.set_faults("platform", list_outage=1)
        fleet.set_faults("application-0", leaving=1)
        runs_before = len(fleet.call_standin("GET", "application-0", "/record")["runs"])
        for number in range(REQUEST_COUNT):
            node = fleet.nodes[number % len(fleet.nodes)]
            assert fleet.request(node, "routes", "GET", "/warehouse/stock/a").status == 200
        assert count_leaving_refusals(fleet) <= len(fleet.nodes)
        assert len(fleet.call_standin("GET", "application-0", "/record")["runs"]) == runs_before
        assert_target_is_used_again_once_listed_live(fleet)


def assert_target_is_used_again_once_listed_live(fleet):
    fleet.set_faults("platform", list_outage=0)
    fleet.set_vm_state("application-0", "leaving")
    time.sleep(1.0)
    fleet.set_faults("application-0", leaving=0)
    fleet.set_vm_state("application-0", "live")
    deadline = time.monotonic() + 10
    while (
        not fleet.call_standin("GET", "application-0", "/record")["runs"]
        and time.monotonic() < deadline
    ):
        for node in fleet.nodes:
            assert fleet.request(node, "routes", "GET", "/warehouse/stock/a").status == 200
    assert fleet.call_standin("GET", "application-0", "/record")["runs"]
