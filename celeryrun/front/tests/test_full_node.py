"""A node whose threads are nearly all in use."""

import threading
import time
from collections import Counter

from standins.fleet import Fleet, FleetPlan

THREADS = 16


def test_urgent_request_finds_room_on_a_node_full_of_waiting_drafts():
    plan = FleetPlan(nodes=1, engines=1, applications=1, threads=THREADS)
    with Fleet(plan) as fleet:
        fleet.fault("engine-0", speed=0.02)
        outcomes = Counter()
        callers = [
            threading.Thread(target=draft, args=(fleet, outcomes), daemon=True)
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


def draft(fleet, outcomes):
    content = {"prompt": "x", "max_tokens": 100}
    answer = fleet.request(
        "node-0", "contracts", "POST", "/drafts/v1/generate", content, Request_Timeout="8"
    )
    outcomes[answer.json().get("error", "complete")] += 1
