"""Gateway node that relays callers' requests to targets within fleet-wide limits."""

from celeryrun.gateway._gateway import Gateway, run_gateway

__all__ = ["Gateway", "run_gateway"]
