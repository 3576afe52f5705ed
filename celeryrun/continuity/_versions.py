"""History of the versions that one pool's targets have had."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

__all__ = ["VersionHistory"]

MAX_HISTORY = 600.0  # s for which versions are remembered, several times the life of a stream


class VersionHistory:
    """Versions of the listed targets of a pool, and when others were last listed.

    Parameters
    ----------
    observed_since : float
        Time since which every listed version is known, in seconds.

    Examples
    --------
    >>> history = VersionHistory(observed_since=0.0)
    >>> history.add("1.4")
    >>> history.add("1.5")
    >>> history.remove("1.4", now=50.0)
    >>> sorted(history.versions_since(40.0)), sorted(history.versions_since(60.0))
    (['1.4', '1.5'], ['1.5'])
    """

    __slots__ = ("_last_listed_by_version", "_targets_by_version", "observed_since")

    def __init__(self, observed_since: float) -> None:
        self.observed_since = observed_since
        self._targets_by_version: Counter[str] = Counter()
        self._last_listed_by_version: dict[str, float] = {}

    def add(self, version: str) -> None:
        """Count a target that is listed, also one that drains."""
        self._targets_by_version[version] += 1

    def remove(self, version: str, now: float) -> None:
        """Count a target that is no longer listed at this version."""
        self._last_listed_by_version[version] = now
        self._targets_by_version[version] -= 1
        if self._targets_by_version[version] <= 0:
            del self._targets_by_version[version]
        for other, last_listed in list(self._last_listed_by_version.items()):
            if now - last_listed > MAX_HISTORY:
                del self._last_listed_by_version[other]

    def versions_since(self, time: float) -> set[str]:
        """Return the versions that were listed at some time since then."""
        recent = {
            version
            for version, last_listed in self._last_listed_by_version.items()
            if last_listed >= time
        }
        return recent | set(self._targets_by_version)

    def ages(self, now: float) -> dict[str, float]:
        """Return the seconds since each version was last listed."""
        ages = {version: now - at for version, at in self._last_listed_by_version.items()}
        return ages | dict.fromkeys(self._targets_by_version, 0.0)

    def merge(self, observed_since: float, ages: Mapping[str, float], now: float) -> None:
        """Add what another node has observed until now."""
        self.observed_since = min(self.observed_since, observed_since)
        for version, age in ages.items():
            last_listed = self._last_listed_by_version.get(version, float("-inf"))
            self._last_listed_by_version[version] = max(last_listed, now - age)
