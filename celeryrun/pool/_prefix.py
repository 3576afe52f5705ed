"""Which target is believed to have a prompt's prefix cached."""

from __future__ import annotations

import hashlib
from collections import OrderedDict

__all__ = ["PrefixBelief", "hash_prefix"]

BLOCK_CHARS = 256
MAX_BLOCKS = 8
BLOCKS_KEPT = 2048  # for each target


def hash_prefix(prompt: str) -> tuple[int, ...]:
    """Hash the leading blocks of a prompt, each with all before it.

    Examples
    --------
    >>> len(hash_prefix("x" * 600))
    2
    """
    digest = hashlib.blake2b(digest_size=4)
    hashes = []
    whole_blocks = min(MAX_BLOCKS, len(prompt) // BLOCK_CHARS)
    for block in range(whole_blocks):
        digest.update(prompt[block * BLOCK_CHARS : (block + 1) * BLOCK_CHARS].encode())
        hashes.append(int.from_bytes(digest.digest(), "big"))
    return tuple(hashes)


class PrefixBelief:
    """Blocks sent to each target, the most recent ones."""

    __slots__ = ("_blocks_by_target",)

    def __init__(self) -> None:
        self._blocks_by_target: dict[str, OrderedDict[int, None]] = {}

    def note(self, target: str, prefix: tuple[int, ...]) -> None:
        """Remember that a prefix went to a target."""
        blocks = self._blocks_by_target.setdefault(target, OrderedDict())
        for block in prefix:
            blocks[block] = None
            blocks.move_to_end(block)
        while len(blocks) > BLOCKS_KEPT:
            blocks.popitem(last=False)

    def cached_blocks(self, target: str, prefix: tuple[int, ...]) -> int:
        """Count the leading blocks that a target is believed to have."""
        blocks = self._blocks_by_target.get(target, ())
        count = 0
        for block in prefix:
            if block not in blocks:
                break
            count += 1
        return count
