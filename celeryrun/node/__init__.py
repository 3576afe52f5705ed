"""The node process."""

from celeryrun.node._node import Node

__all__ = ["Node"]
