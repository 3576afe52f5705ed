"""Memory that callers may make a gateway keep."""

from __future__ import annotations

from celeryrun.transport import ByteBudget

__all__ = ["open_budget"]

PROCESS_BYTES = 40 << 20  # interpreter, libraries, configuration, and links of an idle gateway
USED_FRACTION = 0.75  # of what is left; the allocator and reads in progress take the rest
LEAST_FRACTION = 0.25  # of a memory that the process itself nearly fills


def open_budget(memory: int) -> ByteBudget:
    """Return the budget of all callers of a process with that many bytes of memory.

    Examples
    --------
    >>> open_budget(140 << 20).limit / (1 << 20)
    75.0
    """
    return ByteBudget(max(LEAST_FRACTION * memory, USED_FRACTION * (memory - PROCESS_BYTES)))
