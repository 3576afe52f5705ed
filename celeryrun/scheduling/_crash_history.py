"""Crashes of targets by the requests that were in flight on them."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

__all__ = ["SHARED_CRASH_LIMIT", "Crash", "CrashAssessment", "CrashHistory"]

SAME_CRASH_WINDOW = 1.0  # s within which reports about one target mean the same crash
UNSHARED_CRASH_LIMIT = 2  # crashes; refused if no other request shares number and last crash
SHARED_CRASH_LIMIT = 3  # crashes; refused in any case
MAX_TRACKED_REQUESTS = 256
MAX_CRASHES_PER_REQUEST = 4
MAX_EXPLAINED_CRASHES = 64  # latest crashes whose cause is known


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash of a target, at a monotonic time in seconds.

    Parameters
    ----------
    born : int
        Start of the target's run that crashed, in Unix milliseconds, 0 if unknown.
    """

    target: str
    time: float
    born: int = 0

    def is_same(self, other: Crash) -> bool:
        """Return whether two reports mean one crash; a target that restarts at once may have two.

        Examples
        --------
        >>> crash = Crash("t", 1.0, born=7)
        >>> crash.is_same(Crash("t", 1.5, born=7)), crash.is_same(Crash("t", 1.5))
        (True, True)
        >>> crash.is_same(Crash("t", 1.5, born=8))
        False
        """
        if self.target != other.target or abs(self.time - other.time) > SAME_CRASH_WINDOW:
            return False
        return self.born == other.born or not self.born or not other.born


@dataclass(frozen=True, slots=True)
class CrashAssessment:
    """Crashes attributed to a request and the resulting decision.

    Parameters
    ----------
    crashes : int
        Number of crashes with the request in flight.
    refused : bool
        Whether the request must not run on another target.
    retry_after : float
        Seconds until the oldest crash expires.
    """

    crashes: int
    refused: bool
    retry_after: float


class CrashHistory:
    """Recent crashes by request, bounded in number and age.

    Parameters
    ----------
    max_age : float
        Seconds after which a crash expires.

    Notes
    -----
    All requests in flight on a crashed target are suspect, most of them without cause. Another
    request usually completes on its next attempt, which clears it. A request that alone has two
    crashes has therefore caused them. If several requests share the same two crashes, they
    cannot be told apart, and all of them may run on a third target.

    Examples
    --------
    >>> history = CrashHistory(max_age=60.0)
    >>> for fingerprint in (1, 2):
    ...     _ = history.record_crash(fingerprint, "engine-0", now=0.0)
    >>> history.clear(2)
    >>> history.record_crash(1, "engine-1", now=5.0)
    True
    >>> history.assess(1, now=5.0)
    CrashAssessment(crashes=2, refused=True, retry_after=55.0)
    >>> history.assess(1, now=61.0).refused
    False
    """

    __slots__ = ("_crashes_by_fingerprint", "_explained", "_max_age")

    def __init__(self, max_age: float) -> None:
        self._max_age = max_age
        self._crashes_by_fingerprint: OrderedDict[int, list[Crash]] = OrderedDict()
        self._explained: deque[Crash] = deque(maxlen=MAX_EXPLAINED_CRASHES)

    def __len__(self) -> int:
        return len(self._crashes_by_fingerprint)

    def __contains__(self, fingerprint: int) -> bool:
        return fingerprint in self._crashes_by_fingerprint

    def record_crash(self, fingerprint: int, target: str, now: float, born: int = 0) -> bool:
        """Record that a target crashed with a request in flight.

        Parameters
        ----------
        now : float
            Monotonic time of the crash in seconds.
        born : int
            Start of the target's run, 0 if unknown.

        Returns
        -------
        bool
            Whether this was news.
        """
        crash = Crash(target, now, born)
        crashes = self._recent(fingerprint, now)
        is_new = not any(known.is_same(crash) for known in crashes)
        is_new = is_new and not self._is_explained(crash)
        if not crashes and not is_new:
            return False
        if is_new:
            crashes.append(crash)
            crashes.sort(key=lambda known: known.time)
        self._crashes_by_fingerprint[fingerprint] = crashes[-MAX_CRASHES_PER_REQUEST:]
        self._crashes_by_fingerprint.move_to_end(fingerprint)
        while len(self._crashes_by_fingerprint) > MAX_TRACKED_REQUESTS:
            self._crashes_by_fingerprint.popitem(last=False)
        return is_new

    def crashes(self, now: float) -> list[tuple[int, Crash]]:
        """Return all unexpired crashes, each with the fingerprint of a request in flight."""
        return [
            (fingerprint, crash)
            for fingerprint in self._crashes_by_fingerprint
            for crash in self._recent(fingerprint, now)
        ]

    def clear(self, fingerprint: int) -> None:
        """Remove the crashes of a request that has completed."""
        self._crashes_by_fingerprint.pop(fingerprint, None)

    def explain(self, crash: Crash) -> None:
        """Ignore a crash, now and in later reports, since its cause is known."""
        if not self._is_explained(crash):
            self._explained.append(crash)
        for fingerprint, crashes in list(self._crashes_by_fingerprint.items()):
            kept = [known for known in crashes if not known.is_same(crash)]
            if not kept:
                del self._crashes_by_fingerprint[fingerprint]
            elif len(kept) < len(crashes):
                self._crashes_by_fingerprint[fingerprint] = kept

    def assess(self, fingerprint: int, now: float) -> CrashAssessment:
        """Decide whether a request may run on another target."""
        crashes = self._recent(fingerprint, now)
        if not crashes:
            self._crashes_by_fingerprint.pop(fingerprint, None)
            return CrashAssessment(0, False, 0.0)
        count = len(crashes)
        refused = count >= SHARED_CRASH_LIMIT
        if count >= UNSHARED_CRASH_LIMIT and not refused:
            refused = not self._is_shared(fingerprint, crashes[-1], now)
        return CrashAssessment(count, refused, crashes[0].time + self._max_age - now)

    def _is_explained(self, crash: Crash) -> bool:
        return any(crash.is_same(explained) for explained in self._explained)

    def _recent(self, fingerprint: int, now: float) -> list[Crash]:
        crashes = self._crashes_by_fingerprint.get(fingerprint, [])
        return [crash for crash in crashes if crash.time + self._max_age > now]

    def _is_shared(self, fingerprint: int, last: Crash, now: float) -> bool:
        others = (other for other in self._crashes_by_fingerprint if other != fingerprint)
        for other in others:
            crashes = self._recent(other, now)
            if len(crashes) >= UNSHARED_CRASH_LIMIT and any(
                crash.is_same(last) for crash in crashes
            ):
                return True
        return False
