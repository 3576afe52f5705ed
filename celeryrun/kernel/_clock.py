"""Clock that includes suspension and is never set."""

from __future__ import annotations

import time

__all__ = ["now"]


def now() -> float:
    """Return the seconds since the VM booted, including time in suspension.

    Ages must not be measured with the monotonic clock, which stops while a VM is suspended, nor
    with the time of day, which may be set.

    Examples
    --------
    >>> started = now()
    >>> now() >= started
    True
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
