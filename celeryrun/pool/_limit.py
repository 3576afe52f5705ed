"""How many requests one target may run at once."""

from __future__ import annotations

__all__ = ["SlotLimit"]

MIN_SLOTS = 2.0
MAX_SLOTS = 256.0
FIRST_TOLERANCE = 2.0
DECREASE = 0.9
BASELINE_GAIN = 0.02


class SlotLimit:
    """Additive increase and multiplicative decrease on the time to the first byte.

    Parameters
    ----------
    slots : float
        Where to begin.

    Examples
    --------
    >>> limit = SlotLimit(4.0)
    >>> limit.observe(first=0.1, busy=True)
    >>> limit.slots
    4.25
    >>> limit.observe(first=9.0, busy=True)
    >>> limit.slots < 4.25
    True

    References
    ----------
    .. [1] Chiu, Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance
       in Computer Networks", Computer Networks and ISDN Systems 17, 1989.
    """

    __slots__ = ("baseline", "slots")

    def __init__(self, slots: float) -> None:
        self.slots = slots
        self.baseline: float | None = None

    def observe(self, first: float, busy: bool) -> None:
        """Learn from one finished request.

        Parameters
        ----------
        first : float
            Seconds from dispatch to the first byte.
        busy : bool
            Whether all slots were in use.
        """
        if self.baseline is None or first < self.baseline:
            self.baseline = first
        self.baseline += (first - self.baseline) * BASELINE_GAIN
        if first > self.baseline * FIRST_TOLERANCE:
            self.slots = max(MIN_SLOTS, self.slots * DECREASE)
        elif busy:
            self.slots = min(MAX_SLOTS, self.slots + 1.0 / self.slots)
