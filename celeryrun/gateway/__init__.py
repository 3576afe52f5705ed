"""A node on the users' platform: callers in, targets out, limits shared by all nodes."""

from celeryrun.gateway._gateway import Gateway, run_gateway

__all__ = ["Gateway", "run_gateway"]
