"""Return of freed memory to the system."""

from __future__ import annotations

import ctypes

__all__ = ["return_freed_blocks"]

M_MMAP_THRESHOLD = -3  # number of the option of mallopt
OWN_BLOCK_BYTES = 128 << 10  # blocks from this size on are mapped each by itself


def return_freed_blocks() -> None:
    """Let large blocks of memory return to the system as soon as they are freed.

    Otherwise the C library raises the size from which it does so, and what bodies leave behind adds
    up to more than all bodies held. C libraries without that option are left as they are.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, OWN_BLOCK_BYTES)
