"""Time that counts suspension and never jumps."""

from __future__ import annotations

import time

__all__ = ["now"]


def now() -> float:
    """Return seconds since the VM started.

    The monotonic clock stands still while a VM is suspended and the time of day may be set, so
    neither tells how old something is.

    Examples
    --------
    >>> started = now()
    >>> now() >= started
    True
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
