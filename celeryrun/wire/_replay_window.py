"""Detection of repeated messages."""

from __future__ import annotations

import time

__all__ = ["ReplayWindow"]

WINDOW_SIZE = 1024  # sequence numbers; a message further below the highest is rejected


class ReplayWindow:
    """Sequence numbers of the messages received from one sender, to reject repeated ones.

    Parameters
    ----------
    boot_id : int
        Boot id of the sender; its sequence numbers start anew with each boot.

    Attributes
    ----------
    highest : int
        Highest sequence number received.
    last_received : float
        Monotonic time of the last message, in seconds.

    Examples
    --------
    >>> window = ReplayWindow(boot_id=1)
    >>> [window.accept(seq) for seq in (1, 3, 2, 2, 3)]
    [True, True, True, False, False]
    >>> window.highest
    3

    References
    ----------
    .. [1] RFC 4303, "IP Encapsulating Security Payload (ESP)", section 3.4.3.
    """

    __slots__ = ("_bitmap", "boot_id", "highest", "last_received")

    def __init__(self, boot_id: int) -> None:
        self.boot_id = boot_id
        self.highest = 0
        self.last_received = time.monotonic()
        self._bitmap = 0

    def accept(self, seq: int) -> bool:
        """Record a message; return False if it is a repeat or too old to tell.

        A message is too old if its number is `WINDOW_SIZE` or more below the highest.
        """
        self.last_received = time.monotonic()
        if seq > self.highest:
            self._bitmap = (self._bitmap << min(WINDOW_SIZE, seq - self.highest)) | 1
            self._bitmap &= (1 << WINDOW_SIZE) - 1
            self.highest = seq
            return True
        bit = 1 << (self.highest - seq)
        if self.highest - seq >= WINDOW_SIZE or self._bitmap & bit:
            return False
        self._bitmap |= bit
        return True
