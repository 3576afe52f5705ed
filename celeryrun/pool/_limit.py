"""Adaptive limit of the concurrent requests on one target."""

from __future__ import annotations

import math

__all__ = ["SlotLimit"]

MIN_SLOTS = 2.0
MAX_SLOTS = 256.0
FULL_MARGIN = 1.5  # slots below the limit from which on a target counts as full
COMPARISON_RATIO = 0.75  # at most, of the lower concurrency to the one compared with it
MIN_GAIN = 0.35  # relative gain of throughput for a relative gain of slots
INITIAL_STEP = 0.5  # slots for each response until the limit first falls
AVERAGING_WINDOW = 64.0  # tokens


class SlotLimit:
    """Finds the concurrency beyond which a target's throughput no longer grows.

    A target that batches gains throughput with each further request up to a knee; beyond it all
    requests slow down together. By Little's law [1]_ the throughput is the number of requests in
    flight divided by the seconds that each takes for a token. The limit rises while a relative
    gain of slots brings a relative gain of throughput, and falls when it does not, as congestion
    control does with the gradient of delay [2]_. Until it first falls it rises in larger steps.

    Parameters
    ----------
    slots : float
        Initial limit.

    Examples
    --------
    >>> limit = SlotLimit(4.0)
    >>> limit.observe(concurrency=3.0, step_time=0.02, tokens=50)
    >>> limit.observe(concurrency=4.0, step_time=0.02, tokens=50)
    >>> limit.slots > 4.0
    True
    >>> for _ in range(30):
    ...     limit.observe(concurrency=5.0, step_time=0.04, tokens=50)
    >>> limit.slots < 4.0
    True

    References
    ----------
    .. [1] Little, "A Proof for the Queuing Formula L = λW", Operations Research 9, 1961.
    .. [2] Brakmo, Peterson, "TCP Vegas: End to End Congestion Avoidance on a Global Internet",
       IEEE Journal on Selected Areas in Communications 13, 1995.
    """

    __slots__ = ("_in_initial_rise", "_throughput_by_concurrency", "slots")

    def __init__(self, slots: float) -> None:
        self.slots = slots
        self._throughput_by_concurrency: dict[int, float] = {}
        self._in_initial_rise = True

    def observe(self, concurrency: float, step_time: float, tokens: int) -> None:
        """Update the throughput and the limit from one complete response.

        Parameters
        ----------
        concurrency : float
            Mean number of requests in flight on the target while this one ran.
        step_time : float
            Seconds for each token, or for the whole call of an application.
        tokens : int
            Number of tokens over which the figures are averaged.
        """
        rounded = max(1, round(concurrency))
        throughput = max(1.0, concurrency) / step_time
        average = self._throughput_by_concurrency.get(rounded, throughput)
        self._throughput_by_concurrency[rounded] = average + (throughput - average) * tokens / (
            tokens + AVERAGING_WINDOW
        )
        if concurrency >= self.slots - FULL_MARGIN:
            gains = self._relative_gain(rounded) > MIN_GAIN
            self._in_initial_rise = self._in_initial_rise and gains
            step = INITIAL_STEP if self._in_initial_rise else 1.0 / self.slots
            changed = self.slots + (step if gains else -step)
            self.slots = min(MAX_SLOTS, max(MIN_SLOTS, changed))

    def expected_step_time(self, concurrency: int) -> float:
        """Return the seconds for each token at a concurrency, 0 before the first observation."""
        nearest = min(
            self._throughput_by_concurrency,
            key=lambda observed: abs(observed - concurrency),
            default=None,
        )
        if nearest is None:
            return 0.0
        return max(concurrency, nearest) / self._throughput_by_concurrency[nearest]

    def _relative_gain(self, concurrency: int) -> float:
        """Return the growth of throughput in relation to the growth of concurrency."""
        lower = [
            observed
            for observed in self._throughput_by_concurrency
            if observed <= concurrency * COMPARISON_RATIO
        ]
        if not lower:
            return 1.0
        compared = max(lower)
        gain = math.log(
            self._throughput_by_concurrency[concurrency] / self._throughput_by_concurrency[compared]
        )
        return gain / math.log(concurrency / compared)
