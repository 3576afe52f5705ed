"""Measured error of expected stream lengths, and the risk that a stream misses its deadline."""

from __future__ import annotations

import math
from bisect import bisect_right
from itertools import accumulate

__all__ = ["MIN_CUT_EVENTS", "LengthErrors"]

RATIO_STEPS = 2  # bins for each doubling of the ratio of measured to expected events
MAX_DOUBLINGS = 5
BOUNDS = [
    2.0 ** (step / RATIO_STEPS)
    for step in range(-MAX_DOUBLINGS * RATIO_STEPS, MAX_DOUBLINGS * RATIO_STEPS + 1)
]
PRIOR_WEIGHT = 4.0  # samples that count as exact before any is measured
MAX_WEIGHT = 1000.0  # samples after which older ones lose weight
MIN_LONGER = 1e-6  # weight of longer streams below which none counts as seen
MIN_CUT_EVENTS = 3  # events of a stream that was cut off before they tell its speed


class LengthErrors:
    """Distribution of the ratio of measured to expected events of one kind of stream.

    Examples
    --------
    >>> errors = LengthErrors()
    >>> errors.risk_above(1.5), errors.risk_above(0.5)
    (0.0, 1.0)
    >>> for events in (10, 20, 40, 160) * 10:
    ...     errors.record(20.0, events, is_whole=True)
    >>> round(errors.risk_above(4.0), 2), errors.risk_above(16.0)
    (0.23, 0.0)

    A stream that was cut off counts as each longer length in turn:

    >>> for _ in range(10):
    ...     errors.record(20.0, 60, is_whole=False)
    >>> round(errors.risk_above(4.0), 2)
    0.37
    """

    __slots__ = ("_risks", "_weights")

    def __init__(self) -> None:
        # Bin n holds ratios from BOUNDS[n - 1] to BOUNDS[n]; exact lengths lie below 1.
        self._weights = [0.0] * (len(BOUNDS) + 1)
        self._weights[bisect_right(BOUNDS, 1.0) - 1] = PRIOR_WEIGHT
        self._risks: list[float] | None = None

    def record(self, expected_events: float, events: int, is_whole: bool) -> None:
        """Add one stream.

        Parameters
        ----------
        events : int
            Number of events that it had, or had when it was cut off.
        """
        if expected_events <= 0 or events <= 0:
            return
        index = bisect_right(BOUNDS, events / expected_events * (1 - 1e-9))
        if is_whole:
            self._weights[index] += 1.0
        else:
            longer = sum(self._weights[index:])
            if longer > MIN_LONGER:
                for position in range(index, len(self._weights)):
                    self._weights[position] *= 1 + 1 / longer
            else:
                self._weights[min(index + 1, len(self._weights) - 1)] += 1.0
        total = sum(self._weights)
        if total > MAX_WEIGHT:
            self._weights = [weight * MAX_WEIGHT / total for weight in self._weights]
        self._risks = None

    def risk_above(self, ratio: float) -> float:
        """Return the probability that a stream has more events than a multiple of those expected.

        Between two bounds it falls linearly with the logarithm of the ratio.
        """
        if ratio <= BOUNDS[0]:
            return 1.0
        if self._risks is None:
            above = list(accumulate(reversed(self._weights)))[::-1]
            self._risks = [risk / above[0] for risk in above]
        index = bisect_right(BOUNDS, ratio)
        if index == len(BOUNDS):
            return self._risks[index]
        part = RATIO_STEPS * math.log2(ratio / BOUNDS[index - 1])
        return self._risks[index] * (1 - part) + self._risks[index + 1] * part

    def risk_of_overrun(self, expected_events: float, event_gap: float, seconds: float) -> float:
        """Return the probability that a stream's events take longer than some seconds."""
        if expected_events <= 0 or event_gap <= 0 or seconds == math.inf:
            return 0.0
        return self.risk_above(seconds / event_gap / expected_events)
