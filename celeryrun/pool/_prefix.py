"""Index of the prompt prefixes that each target probably has in its cache."""

from __future__ import annotations

import hashlib
from collections import OrderedDict

__all__ = ["PrefixIndex", "hash_prefix"]

BLOCK_CHARS = 256
MAX_PREFIX_BLOCKS = 8
MAX_BLOCKS_PER_TARGET = 2048


def hash_prefix(prompt: str) -> tuple[int, ...]:
    """Hash the leading blocks of a prompt; each hash covers its block and all blocks before it.

    Examples
    --------
    >>> len(hash_prefix("x" * 600))
    2
    """
    digest = hashlib.blake2b(digest_size=4)
    hashes = []
    whole_blocks = min(MAX_PREFIX_BLOCKS, len(prompt) // BLOCK_CHARS)
    for block in range(whole_blocks):
        digest.update(prompt[block * BLOCK_CHARS : (block + 1) * BLOCK_CHARS].encode())
        hashes.append(int.from_bytes(digest.digest(), "big"))
    return tuple(hashes)


class PrefixIndex:
    """Hashes of the blocks most recently sent to each target."""

    __slots__ = ("_blocks_by_target",)

    def __init__(self) -> None:
        self._blocks_by_target: dict[str, OrderedDict[int, None]] = {}

    def add(self, target: str, prefix: tuple[int, ...]) -> None:
        """Record that a target receives a prompt with a prefix."""
        blocks = self._blocks_by_target.setdefault(target, OrderedDict())
        for block in prefix:
            blocks[block] = None
            blocks.move_to_end(block)
        while len(blocks) > MAX_BLOCKS_PER_TARGET:
            blocks.popitem(last=False)

    def cached_blocks(self, target: str, prefix: tuple[int, ...]) -> int:
        """Count the leading blocks of a prefix that a target probably has in its cache."""
        blocks = self._blocks_by_target.get(target, ())
        count = 0
        for block in prefix:
            if block not in blocks:
                break
            count += 1
        return count
