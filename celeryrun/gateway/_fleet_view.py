"""What one node knows of the others: which may be at work, and which are gone."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable

__all__ = ["ASSUMED_NODES", "MAJORITY_SHARE", "SILENCE_TIMEOUT", "FleetView"]

SILENCE_TIMEOUT = 30.0  # s without a sign of a node after which its share is redistributed
MAJORITY_SHARE = 0.5  # fleet share above which most nodes have told what they know
ASSUMED_NODES = 400  # nodes of the largest fleet supported, assumed while the fleet is not known


class FleetView:
    """Signs of life of the other nodes, as one node has them.

    The registry only names the nodes that may exist, and the other nodes connect only to the one
    that schedules. A node that uses another's scheduler therefore does not know them silent: until
    it loses touch with that scheduler, they may all be using it.

    Parameters
    ----------
    own : str
        Name of this node.

    Examples
    --------
    >>> view = FleetView("a")
    >>> view.record_in_touch(100.0)  # with the scheduler of "b" and "c"
    >>> view.share({"a", "b", "c"}, {"a"}, 101.0)
    0.3333333333333333
    >>> view.share({"a", "b", "c"}, {"a"}, 101.0 + SILENCE_TIMEOUT)
    1.0
    """

    __slots__ = ("_absent", "_in_touch_at", "_own", "_seen_at_by_node")

    def __init__(self, own: str) -> None:
        self._own = own
        self._absent: set[str] = set()
        self._in_touch_at = -math.inf
        self._seen_at_by_node: dict[str, float] = {}

    @property
    def absent(self) -> frozenset[str]:
        """Nodes that are gone, as found by a scheduler that most nodes used."""
        return frozenset(self._absent)

    def record_seen(self, node: str, time: float) -> None:
        """Record a message of a node, or its registration."""
        self._seen_at_by_node[node] = time
        self._absent.discard(node)

    def record_in_touch(self, time: float) -> None:
        """Record a message of the scheduler that this node uses, which others may use as well."""
        self._in_touch_at = time

    def replace_absent(self, nodes: Iterable[str]) -> None:
        """Replace the absent nodes by those that this node's scheduler names."""
        self._absent = set(nodes) - {self._own}

    def silent_nodes(
        self, listed: Collection[str], connected: Collection[str], time: float
    ) -> list[str]:
        """Return the listed nodes that may be at work, but use no scheduler known here.

        Parameters
        ----------
        listed : collection of str
            Nodes in the registry.
        connected : collection of str
            Nodes that use this node's scheduler.
        time : float
            Current time in seconds.
        """
        return [
            node
            for node in self._find_unconnected(listed, connected)
            if self._silence(node, time) < SILENCE_TIMEOUT
        ]

    def share(
        self,
        listed: Collection[str],
        connected: Collection[str],
        time: float,
        is_complete: bool = True,
    ) -> float:
        """Return the portion of the fleet's limits for the connected nodes.

        Parameters
        ----------
        is_complete : bool
            Whether the listed nodes are known to be all; the largest fleet is assumed otherwise.
        """
        nodes = len(connected) + len(self.silent_nodes(listed, connected, time))
        if self._own not in connected:
            nodes += 1
        return max(1, len(connected)) / (nodes if is_complete else max(nodes, ASSUMED_NODES))

    def are_most(self, listed: Collection[str], connected: Collection[str]) -> bool:
        """Return whether the connected nodes are most of those not known to be gone.

        Unlike in `share`, silence alone does not count: a node that is cut off hears nothing.
        """
        return len(connected) > MAJORITY_SHARE * len({*listed, *connected} - self._absent)

    def update_absent(
        self, listed: Collection[str], connected: Collection[str], time: float
    ) -> list[str]:
        """Add the nodes that have been silent for too long; return those that are new.

        Only the scheduler of most nodes may conclude that; the silent ones are cut off at best.
        """
        self._absent.intersection_update(listed)
        if not self.are_most(listed, connected):
            return []
        found = [
            node
            for node in self._find_unconnected(listed, connected)
            if self._silence(node, time) >= SILENCE_TIMEOUT
        ]
        self._absent.update(found)
        return found

    def _find_unconnected(self, listed: Collection[str], connected: Collection[str]) -> list[str]:
        found = set(listed).difference(connected, self._absent)
        found.discard(self._own)
        return list(found)

    def _silence(self, node: str, time: float) -> float:
        # A node without any sign counts from when it was first asked for, as it may be starting.
        seen_at = self._seen_at_by_node.setdefault(node, time)
        return time - max(seen_at, self._in_touch_at)
