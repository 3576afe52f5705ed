"""Deaths of targets by the requests that were in flight on them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["Crash", "CrashAssessment", "CrashHistory"]

DEATH_WINDOW = 1.0  # s within which reports of one target tell of one death
DEATHS_ALONE = 2  # refused if no other request shares both the count and the last death
DEATHS_AT_MOST = 3  # refused whoever shares them
MAX_TRACKED_REQUESTS = 256
MAX_DEATHS = 4  # remembered for one request


@dataclass(frozen=True, slots=True)
class Crash:
    """A target that died, and when in monotonic seconds."""

    target: str
    time: float

    def is_same(self, other: Crash) -> bool:
        return self.target == other.target and abs(self.time - other.time) <= DEATH_WINDOW


@dataclass(frozen=True, slots=True)
class CrashAssessment:
    """What is held against a request.

    Parameters
    ----------
    deaths : int
        Targets that died with it in flight.
    refused : bool
        Whether it must not take another target.
    retry_after : float
        Seconds until the oldest death is forgotten.
    """

    crashes: int
    refused: bool
    retry_after: float


class CrashHistory:
    """Counts deaths by request, bounded in number and age.

    Parameters
    ----------
    age : float
        Seconds after which a death is forgotten.

    Notes
    -----
    Whoever is in flight on a dying target is suspect, mostly without cause. A bystander's next try
    completes, which clears it; so the one that is alone with two deaths caused them. If several
    share the same two, none can be told from the others, and all may go on to a third target.

    Examples
    --------
    >>> ledger = CrashHistory(age=60.0)
    >>> for fingerprint in (1, 2):
    ...     ledger.record_crash(fingerprint, "engine-0", now=0.0)
    >>> ledger.clear(2)
    >>> ledger.record_crash(1, "engine-1", now=5.0)
    >>> ledger.assess(1, now=5.0)
    CrashAssessment(crashes=2, refused=True, retry_after=55.0)
    >>> ledger.assess(1, now=61.0).refused
    False
    """

    __slots__ = ("_age", "_deaths_by_fingerprint")

    def __init__(self, age: float) -> None:
        self._age = age
        self._deaths_by_fingerprint: OrderedDict[int, list[Crash]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._deaths_by_fingerprint)

    def __contains__(self, fingerprint: int) -> bool:
        return fingerprint in self._deaths_by_fingerprint

    def record_crash(self, fingerprint: int, target: str, now: float) -> None:
        """Note that a target died with a request in flight.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        death = Crash(target, now)
        deaths = self._recent(fingerprint, now)
        if not any(known.is_same(death) for known in deaths):
            deaths.append(death)
            deaths.sort(key=lambda known: known.time)
        self._deaths_by_fingerprint[fingerprint] = deaths[-MAX_DEATHS:]
        self._deaths_by_fingerprint.move_to_end(fingerprint)
        while len(self._deaths_by_fingerprint) > MAX_TRACKED_REQUESTS:
            self._deaths_by_fingerprint.popitem(last=False)

    def crashes(self, now: float) -> list[tuple[int, Crash]]:
        """Return every death that is remembered, with the request that was in flight."""
        return [
            (fingerprint, death)
            for fingerprint in self._deaths_by_fingerprint
            for death in self._recent(fingerprint, now)
        ]

    def clear(self, fingerprint: int) -> None:
        """Forget what is held against a request, since it has completed."""
        self._deaths_by_fingerprint.pop(fingerprint, None)

    def assess(self, fingerprint: int, now: float) -> CrashAssessment:
        """Tell whether a request may take another target."""
        deaths = self._recent(fingerprint, now)
        if not deaths:
            self._deaths_by_fingerprint.pop(fingerprint, None)
            return CrashAssessment(0, False, 0.0)
        count = len(deaths)
        refused = count >= DEATHS_AT_MOST
        if count >= DEATHS_ALONE and not refused:
            refused = not self._has_company(fingerprint, deaths[-1], now)
        return CrashAssessment(count, refused, deaths[0].time + self._age - now)

    def _recent(self, fingerprint: int, now: float) -> list[Crash]:
        deaths = self._deaths_by_fingerprint.get(fingerprint, [])
        return [death for death in deaths if death.time + self._age > now]

    def _has_company(self, fingerprint: int, last: Crash, now: float) -> bool:
        others = (other for other in self._deaths_by_fingerprint if other != fingerprint)
        for other in others:
            deaths = self._recent(other, now)
            if len(deaths) >= DEATHS_ALONE and any(death.is_same(last) for death in deaths):
                return True
        return False
