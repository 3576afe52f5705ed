"""Which messages of one sender have come."""

from __future__ import annotations

import time

__all__ = ["ReplayWindow"]

WINDOW = 1024  # messages below the highest that may still come late


class ReplayWindow:
    """Numbers of the messages that have come, so that none is taken twice.

    Parameters
    ----------
    boot : int
        The sender's boot that the numbers belong to.

    Examples
    --------
    >>> received = ReplayWindow(boot=1)
    >>> [received.accept(seq) for seq in (1, 3, 2, 2, 3)]
    [True, True, True, False, False]
    >>> received.highest
    3

    References
    ----------
    .. [1] RFC 4303, "IP Encapsulating Security Payload (ESP)", section 3.4.3.
    """

    __slots__ = ("_window", "boot", "highest", "last")

    def __init__(self, boot: int) -> None:
        self.boot = boot
        self.highest = 0
        self.last = time.monotonic()
        self._window = 0

    def accept(self, seq: int) -> bool:
        """Note a message; returns False if it came before or is too old to tell."""
        self.last = time.monotonic()
        if seq > self.highest:
            self._window = (self._window << min(WINDOW, seq - self.highest)) | 1
            self._window &= (1 << WINDOW) - 1
            self.highest = seq
            return True
        bit = 1 << (self.highest - seq)
        if self.highest - seq >= WINDOW or self._window & bit:
            return False
        self._window |= bit
        return True
