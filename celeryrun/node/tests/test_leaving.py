"""A leaving target gets no new work, also while the platform's list is down."""

import time

from standins.fleet import Fleet, FleetConfig

REQUESTS = 90


def refusals(fleet):
    """Count what the nodes' logs say the leaving target refused."""
    logs = [(fleet.folder / f"{name}.log").read_text() for name in fleet.nodes]
    return sum(log.count("the target is leaving") for log in logs)


def test_own_answer_stops_work_everywhere_while_the_list_is_down():
    with Fleet(FleetConfig()) as fleet:
        fleet.set_faults("platform", list_outage=1)
        fleet.set_faults("application-0", leaving=1)
        before = len(fleet.call_standin("GET", "application-0", "/record")["runs"])
        for number in range(REQUESTS):
            node = fleet.nodes[number % len(fleet.nodes)]
            assert fleet.request(node, "routes", "GET", "/warehouse/stock/a").status == 200
        assert refusals(fleet) <= len(fleet.nodes)
        assert len(fleet.call_standin("GET", "application-0", "/record")["runs"]) == before
        returns_when_the_list_says_so(fleet)


def returns_when_the_list_says_so(fleet):
    fleet.set_faults("platform", list_outage=0)
    fleet.set_vm_state("application-0", "leaving")
    time.sleep(1.0)
    fleet.set_faults("application-0", leaving=0)
    fleet.set_vm_state("application-0", "live")
    until = time.monotonic() + 10
    while (
        not fleet.call_standin("GET", "application-0", "/record")["runs"]
        and time.monotonic() < until
    ):
        for node in fleet.nodes:
            assert fleet.request(node, "routes", "GET", "/warehouse/stock/a").status == 200
    assert fleet.call_standin("GET", "application-0", "/record")["runs"]
