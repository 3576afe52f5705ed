"""A node's own share of the targets' slots, used while no keeper answers."""

from __future__ import annotations

import itertools
import random
from collections import Counter

from celeryrun.membership import rank
from celeryrun.pool._targets import Target

__all__ = ["LocalShare", "slots_of_node"]

SHARED_SLOTS_BY_KIND = {"engine": 8, "application": 16}  # of each target, among all nodes


def slots_of_node(target: str, slots: int, node: str, nodes: list[str]) -> int:
    """Return a node's part of a target's slots; the parts of all nodes add up to the slots.

    Parameters
    ----------
    target : str
        Name of the target.
    slots : int
        Slots to be parted.
    nodes : list of str
        All nodes that may run, this one included.

    Examples
    --------
    >>> nodes = [f"node-{number}" for number in range(400)]
    >>> sum(slots_of_node("engine", 8, node, nodes) for node in nodes)
    8
    >>> sorted(slots_of_node("engine", 8, node, nodes[:3]) for node in nodes[:3])
    [2, 3, 3]
    """
    each, left = divmod(slots, max(1, len(nodes)))
    extra = node in rank(target, nodes)[:left] if left else False
    return each + extra


class LocalShare:
    """Grants that a node gives itself.

    Nodes that agree on who exists never use more of a target than its shared slots together,
    whether they can talk to each other or not. Nodes that do not agree cost goodput only.

    Parameters
    ----------
    node : str
        This node.
    """

    __slots__ = ("_ids", "_node", "_target_by_grant", "_used_by_target")

    def __init__(self, node: str) -> None:
        self._node = node
        self._ids = itertools.count(random.getrandbits(31) << 32 | 1 << 31)
        self._target_by_grant: dict[int, str] = {}
        self._used_by_target: Counter[str] = Counter()

    def take(self, kind: str, targets: list[Target], nodes: list[str]) -> tuple[int, Target] | None:
        """Take a slot of the target that this node uses least, or return None if none is left.

        Parameters
        ----------
        kind : str
            Kind of the pool.
        nodes : list of str
            All nodes that may run.
        """
        slots = SHARED_SLOTS_BY_KIND[kind]
        free = [
            target
            for target in targets
            if target.is_usable()
            and self._used_by_target[target.name]
            < slots_of_node(target.name, slots, self._node, nodes)
        ]
        if not free:
            return None
        target = min(free, key=lambda target: (self._used_by_target[target.name], target.name))
        grant = next(self._ids)
        self._target_by_grant[grant] = target.name
        self._used_by_target[target.name] += 1
        return grant, target

    def give_back(self, grant: int) -> bool:
        """Free a slot; return whether it was one of this node's own share."""
        target = self._target_by_grant.pop(grant, None)
        if target is None:
            return False
        self._used_by_target[target] -= 1
        return True
