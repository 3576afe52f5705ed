"""Paths from this node to targets: direct connections, and those that another node carries."""

from celeryrun.paths._carrier import Carrier
from celeryrun.paths._opener import PathLostError, PathOpener, Peer
from celeryrun.paths._table import PathTable

__all__ = ["Carrier", "PathLostError", "PathOpener", "PathTable", "Peer"]
