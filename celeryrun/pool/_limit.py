"""How many requests one target may run at once."""

from __future__ import annotations

import math

__all__ = ["SlotLimit"]

MIN_SLOTS = 2.0
MAX_SLOTS = 256.0
BUSY_MARGIN = 1.5  # slots below the limit that still count as full
COMPARED_SHARE = 0.75  # of a level, with which its rate is compared
LEAST_GAIN = 0.35  # relative gain of rate for a relative gain of slots
START_GAIN = 0.5  # slots for each answer until the first fall
INERTIA = 64.0  # tokens that an average looks back upon


class SlotLimit:
    """Finds the number of requests beyond which a target only shares, and no longer gains.

    A target that batches gains throughput with each further request up to a knee; beyond it all
    requests slow down together. By Little's law [1]_ the throughput at a level is the number in
    flight divided by the seconds that each takes for a token. The limit climbs while a relative
    gain of slots brings a relative gain of throughput, and falls when it does not, as congestion
    control does with the gradient of delay [2]_. Until it first falls it climbs fast.

    Parameters
    ----------
    slots : float
        Where to begin.

    Examples
    --------
    >>> limit = SlotLimit(4.0)
    >>> limit.observe(level=3.0, gap=0.02, tokens=50)
    >>> limit.observe(level=4.0, gap=0.02, tokens=50)
    >>> limit.slots > 4.0
    True
    >>> for _ in range(30):
    ...     limit.observe(level=5.0, gap=0.04, tokens=50)
    >>> limit.slots < 4.0
    True

    References
    ----------
    .. [1] Little, "A Proof for the Queuing Formula L = λW", Operations Research 9, 1961.
    .. [2] Brakmo, Peterson, "TCP Vegas: End to End Congestion Avoidance on a Global Internet",
       IEEE Journal on Selected Areas in Communications 13, 1995.
    """

    __slots__ = ("_rate_by_level", "_starting", "slots")

    def __init__(self, slots: float) -> None:
        self.slots = slots
        self._rate_by_level: dict[int, float] = {}
        self._starting = True

    def observe(self, level: float, gap: float, tokens: int) -> None:
        """Learn from one whole answer.

        Parameters
        ----------
        level : float
            Mean number of requests in flight at the target while it ran.
        gap : float
            Seconds for each token, or for the whole call of an application.
        tokens : int
            How many tokens the figures are a mean of.
        """
        number = max(1, round(level))
        rate = max(1.0, level) / gap
        known = self._rate_by_level.get(number, rate)
        self._rate_by_level[number] = known + (rate - known) * tokens / (tokens + INERTIA)
        if level >= self.slots - BUSY_MARGIN:
            gains = self._gain(number) > LEAST_GAIN
            self._starting = self._starting and gains
            step = START_GAIN if self._starting else 1.0 / self.slots
            changed = self.slots + (step if gains else -step)
            self.slots = min(MAX_SLOTS, max(MIN_SLOTS, changed))

    def expected_gap(self, level: int) -> float:
        """Return the seconds for each token at a level, 0 while nothing is known."""
        nearest = min(self._rate_by_level, key=lambda known: abs(known - level), default=None)
        if nearest is None:
            return 0.0
        return max(level, nearest) / self._rate_by_level[nearest]

    def _gain(self, number: int) -> float:
        lower = [known for known in self._rate_by_level if known <= number * COMPARED_SHARE]
        if not lower:
            return 1.0
        compared = max(lower)
        gain = math.log(self._rate_by_level[number] / self._rate_by_level[compared])
        return gain / math.log(number / compared)
