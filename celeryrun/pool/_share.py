"""A node's own share of the targets' slots, used while the keeper does not respond."""

from __future__ import annotations

import itertools
import random
from collections import Counter

from celeryrun.membership import rank
from celeryrun.pool._targets import Target

__all__ = ["LocalShare", "slots_of_node"]

SHARED_SLOTS_BY_KIND = {"engine": 8, "application": 16}  # of each target, for all nodes together


def slots_of_node(target: str, slots: int, node: str, nodes: list[str]) -> int:
    """Return the number of a target's slots in a node's share; the shares add up to all slots.

    Parameters
    ----------
    target : str
        Name of the target.
    slots : int
        Slots to be divided among the nodes.
    nodes : list of str
        Names of all nodes that may be running, this one included.

    Examples
    --------
    >>> nodes = [f"node-{number}" for number in range(400)]
    >>> sum(slots_of_node("engine", 8, node, nodes) for node in nodes)
    8
    >>> sorted(slots_of_node("engine", 8, node, nodes[:3]) for node in nodes[:3])
    [2, 3, 3]
    """
    quotient, remainder = divmod(slots, max(1, len(nodes)))
    extra = node in rank(target, nodes)[:remainder] if remainder else False
    return quotient + extra


class LocalShare:
    """Slots that a node grants to its own requests.

    Nodes with the same list of nodes never use more than a target's shared slots together, even
    if they cannot reach each other. Nodes with different lists may exceed them, which only lowers
    goodput.

    Parameters
    ----------
    node : str
        Name of this node.
    """

    __slots__ = ("_grant_ids", "_node", "_target_by_grant_id", "_used_by_target")

    def __init__(self, node: str) -> None:
        self._node = node
        self._grant_ids = itertools.count(random.getrandbits(31) << 32 | 1 << 31)
        self._target_by_grant_id: dict[int, str] = {}
        self._used_by_target: Counter[str] = Counter()

    def acquire(
        self, kind: str, targets: list[Target], nodes: list[str]
    ) -> tuple[int, Target] | None:
        """Use a slot of the target with the fewest in use, or return None if none is free.

        Parameters
        ----------
        kind : str
            Kind of the pool.
        nodes : list of str
            Names of all nodes that may be running.

        Returns
        -------
        tuple of int and Target, or None
            The id of the grant and its target.
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
        grant_id = next(self._grant_ids)
        self._target_by_grant_id[grant_id] = target.name
        self._used_by_target[target.name] += 1
        return grant_id, target

    def release(self, grant_id: int) -> bool:
        """Release a slot; return whether it belonged to this node's share."""
        target = self._target_by_grant_id.pop(grant_id, None)
        if target is None:
            return False
        self._used_by_target[target] -= 1
        return True
