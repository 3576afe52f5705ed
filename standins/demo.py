"""Demonstration: requests of three tiers through three nodes to engines and applications."""

from __future__ import annotations

import secrets
import time

from celeryrun.claims._key import new_idempotency_key
from standins.fleet import Fleet, FleetConfig

__all__ = ["main"]


def main() -> None:
    """Start the fleet, send requests of each workspace, and print the responses."""
    print("starting a stand-in platform, 2 engines, 2 applications and 3 nodes ...")
    with Fleet(FleetConfig()) as fleet:
        for node, workspace in zip(fleet.nodes, fleet.config.tier_by_workspace, strict=True):
            print_draft(fleet, node, workspace, stream=False)
            print_draft(fleet, node, workspace, stream=True)
            print_response(fleet.request(node, workspace, "GET", "/warehouse/stock/crates"))
            key = new_idempotency_key(time.time(), secrets.randbits(74))
            response = fleet.request(
                node, workspace, "POST", "/warehouse/bookings", {"crates": 40}, Idempotency_Key=key
            )
            print_response(response)
        print("bookings executed by the applications:", count_bookings(fleet))


def print_draft(fleet: Fleet, node: str, workspace: str, stream: bool) -> None:
    """Request a draft of three tokens and print the response."""
    content = {"prompt": f"A contract for {workspace}", "max_tokens": 3, "stream": stream}
    print_response(fleet.request(node, workspace, "POST", "/drafts/v1/generate", content))


def print_response(response: object) -> None:
    """Print status, outcome and body of a response."""
    outcome = response.headers["Celeryrun-Outcome"]  # type: ignore[attr-defined]
    print(response.status, outcome, response.data.decode())  # type: ignore[attr-defined]


def count_bookings(fleet: Fleet) -> int:
    """Return the number of bookings that the applications executed."""
    names = [name for name in fleet.port_by_name if name.startswith("application")]
    runs = [run for name in names for run in fleet.call_standin("GET", name, "/record")["runs"]]
    return sum(1 for run in runs if run["method"] == "POST")


if __name__ == "__main__":
    main()
