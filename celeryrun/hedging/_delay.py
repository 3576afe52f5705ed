"""Delay after which a request is hedged, learned by route and size."""

from __future__ import annotations

import math

__all__ = ["DecayingQuantile", "HedgeDelays"]

BUCKET_RATIO = 1.1  # of the bounds of a bucket, which is the error of an estimate
MIN_SECONDS = 1e-4  # s, upper bound of the first bucket
MEMORY = 500.0  # samples after which the weight of one has fallen to 1/e
MAX_WEIGHT = 1e9  # of a new sample, before all weights are scaled down
MIN_SAMPLES = 50  # before there is an estimate
HEDGE_QUANTILE = 0.95  # of the response times; the fraction above it limits the hedges
MAX_CLASSES = 1024  # routes and sizes with an estimate


class DecayingQuantile:
    """Quantiles of the latest samples, from a histogram with buckets of geometric bounds.

    Examples
    --------
    >>> quantile = DecayingQuantile()
    >>> for sample in range(1, 101):
    ...     quantile.record(sample / 100)
    >>> 0.85 < quantile.estimate(0.9) < 1.0
    True
    """

    __slots__ = ("_new_weight", "_weight_by_bucket", "sample_count")

    def __init__(self) -> None:
        self._weight_by_bucket: dict[int, float] = {}
        self._new_weight = 1.0
        self.sample_count = 0

    def record(self, seconds: float) -> None:
        """Add a sample."""
        bucket = math.ceil(math.log(max(MIN_SECONDS, seconds) / MIN_SECONDS, BUCKET_RATIO))
        self._weight_by_bucket[bucket] = self._weight_by_bucket.get(bucket, 0) + self._new_weight
        self.sample_count += 1
        self._new_weight *= 1 + 1 / MEMORY
        if self._new_weight > MAX_WEIGHT:
            for known in self._weight_by_bucket:
                self._weight_by_bucket[known] /= self._new_weight
            self._new_weight = 1.0

    def estimate(self, quantile: float) -> float:
        """Return the seconds that a fraction of the samples does not exceed; 0 without any."""
        missing = quantile * sum(self._weight_by_bucket.values())
        for bucket in sorted(self._weight_by_bucket):
            missing -= self._weight_by_bucket[bucket]
            if missing <= 0:
                return MIN_SECONDS * BUCKET_RATIO**bucket
        return 0.0


class HedgeDelays:
    """Time within which most requests of a route and size have their response.

    That is the whole response of a plain request and the first event of a stream.
    """

    __slots__ = ("_quantiles",)

    def __init__(self) -> None:
        self._quantiles: dict[tuple[str, int], DecayingQuantile] = {}

    def record(self, route: str, prompt_tokens: int, seconds: float) -> None:
        """Add the time that a target took, or for which a slower one was waited for."""
        key = route, _size_class(prompt_tokens)
        quantile = self._quantiles.pop(key, None) or DecayingQuantile()
        quantile.record(seconds)
        self._quantiles[key] = quantile
        if len(self._quantiles) > MAX_CLASSES:
            del self._quantiles[next(iter(self._quantiles))]

    def find(self, route: str, prompt_tokens: int) -> float | None:
        """Return the seconds after which a request is hedged, None before enough samples."""
        quantile = self._quantiles.get((route, _size_class(prompt_tokens)))
        if quantile is None or quantile.sample_count < MIN_SAMPLES:
            return None
        return quantile.estimate(HEDGE_QUANTILE)


def _size_class(prompt_tokens: int) -> int:
    """Return the size of a prompt in powers of four."""
    return max(0, prompt_tokens).bit_length() // 2
