"""Load shedding on a node with no free threads."""

import threading
import time
from collections import Counter

from standins.fleet import Fleet, FleetConfig

THREADS = 16


def test_urgent_request_displaces_a_queued_one_of_a_lower_tier():
    config = FleetConfig(nodes=1, engines=1, applications=1, threads=THREADS)
    with Fleet(config) as fleet:
        fleet.set_faults("engine-0", speed=0.02)
        outcomes = Counter()
        callers = [
            threading.Thread(target=request_draft, args=(fleet, outcomes), daemon=True)
            for _ in range(2 * THREADS)
        ]
        for caller in callers:
            caller.start()
        while fleet.status("node-0")["waiting"] + outcomes["node-full"] < THREADS:
            time.sleep(0.05)
        lookup = fleet.request("node-0", "bookings", "GET", "/warehouse/stock/a", timeout=4.0)
        assert lookup.status == 200
        assert outcomes["node-full"] >= THREADS
        for caller in callers:
            caller.join(30)
        assert set(outcomes) <= {"node-full", "deadline", "unknown"}


def request_draft(fleet, outcomes):
    content = {"prompt": "x", "max_tokens": 100}
    response = fleet.request(
        "node-0", "contracts", "POST", "/drafts/v1/generate", content, Request_Timeout="8"
    )
    outcomes[response.json().get("error", "complete")] += 1
