"""Shows the whole path: three nodes, two engines, two applications, requests of three tiers."""

from __future__ import annotations

import secrets
import time

from celeryrun.claims._key import new_idempotency_key
from standins.fleet import Fleet, FleetConfig

__all__ = ["main"]


def main() -> None:
    """Start the fleet, send some requests, and print what comes back."""
    print("starting a stand-in platform, 2 engines, 2 applications and 3 nodes ...")
    with Fleet(FleetConfig()) as fleet:
        for node, workspace in zip(fleet.nodes, fleet.config.tier_by_workspace, strict=True):
            show_draft(fleet, node, workspace, stream=False)
            show_draft(fleet, node, workspace, stream=True)
            show(fleet.request(node, workspace, "GET", "/warehouse/stock/crates"))
            key = new_idempotency_key(time.time(), secrets.randbits(74))
            answer = fleet.request(
                node, workspace, "POST", "/warehouse/bookings", {"crates": 40}, Idempotency_Key=key
            )
            show(answer)
        print("bookings that the applications ran:", count_bookings(fleet))


def show_draft(fleet: Fleet, node: str, workspace: str, stream: bool) -> None:
    """Ask for a short draft and print the answer."""
    content = {"prompt": f"A contract for {workspace}", "max_tokens": 3, "stream": stream}
    show(fleet.request(node, workspace, "POST", "/drafts/v1/generate", content))


def show(response: object) -> None:
    """Print status, outcome and body of an answer."""
    outcome = response.headers["Celeryrun-Outcome"]  # type: ignore[attr-defined]
    print(response.status, outcome, response.data.decode())  # type: ignore[attr-defined]


def count_bookings(fleet: Fleet) -> int:
    """Ask the applications how many bookings they ran."""
    names = [name for name in fleet.port_by_name if name.startswith("application")]
    runs = [run for name in names for run in fleet.call_standin("GET", name, "/record")["runs"]]
    return sum(1 for run in runs if run["method"] == "POST")


if __name__ == "__main__":
    main()
