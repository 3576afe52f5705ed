"""Pauses that targets ask for, and the gradual return of requests after them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from celeryrun.catalog import TargetRun
from celeryrun.scheduling._load import ActiveGrant

__all__ = ["TargetPause", "TargetPauses"]

MAX_PAUSE = 600.0  # s; a value beyond it is absurd, and would take the target away from the fleet
RETURN_TIMEOUT = 10.0  # s after its end; a target that had few requests since is used in full again
CHECK_DELAY = 0.05  # s until a returning target may get more requests, one planning interval
MAX_TARGETS = 4096


@dataclass(slots=True)
class TargetPause:
    """Time for which a run of a target wants no requests.

    Parameters
    ----------
    until : float
        Time of its end, in seconds.
    slots : int
        Requests since the end that may be in progress at a time.
    """

    run: TargetRun
    until: float
    slots: int = 1

    def free_slots(self, active_grants: Iterable[ActiveGrant], now: float) -> int:
        """Return how many requests the target may get at once."""
        if now < self.until:
            return 0
        returned = sum(active_grant.granted >= self.until for active_grant in active_grants)
        return max(0, self.slots - returned)

    def next_send(self, now: float) -> float:
        """Return the earliest time of a request beyond the free slots."""
        return max(self.until, now + CHECK_DELAY)


class TargetPauses:
    """Pauses of all targets, by their ids.

    A pause ends at the latest time that any response has named. The first request after it goes
    alone; with each that is served, one more may be in progress, as in TCP's slow start.

    Examples
    --------
    >>> pauses = TargetPauses()
    >>> run = TargetRun("engine-0", "10.0.0.7", 8000, born=1_700_000_000_000)
    >>> pauses.apply(run, 3.0, now=10.0), pauses.apply(run, 1.0, now=10.1)
    (True, False)
    >>> pauses.remaining(run, now=11.0), pauses.remaining(run, now=13.0)
    (2.0, 0.0)
    >>> pauses.find(run, now=13.0).slots
    1
    >>> pauses.record_served("engine-0", granted=13.0, slots=8)
    >>> pauses.find(run, now=13.1).slots
    2
    """

    __slots__ = ("_pauses_by_target",)

    def __init__(self) -> None:
        self._pauses_by_target: dict[str, TargetPause] = {}

    def __len__(self) -> int:
        return len(self._pauses_by_target)

    def apply(self, run: TargetRun, seconds: float, now: float) -> bool:
        """Apply a pause that begins now; return whether it ends later than known."""
        if not seconds > 0:
            return False
        until = now + min(seconds, MAX_PAUSE)
        pause = self._pauses_by_target.get(run.id)
        if pause is not None and pause.run != run and pause.run.born > run.born:
            return False
        if pause is not None and pause.run == run and until <= pause.until:
            return False
        if pause is None and len(self._pauses_by_target) >= MAX_TARGETS:
            self._forget_first_to_end()
        self._pauses_by_target[run.id] = TargetPause(run, until)
        return True

    def find(self, run: TargetRun, now: float) -> TargetPause | None:
        """Return the pause of a run, also while requests return; None if there is none."""
        pause = self._pauses_by_target.get(run.id)
        if pause is None or pause.run != run:
            return None
        if now >= pause.until + RETURN_TIMEOUT:
            del self._pauses_by_target[run.id]
            return None
        return pause

    def remaining(self, run: TargetRun, now: float) -> float:
        """Return the seconds for which a run still wants no requests."""
        pause = self.find(run, now)
        return 0.0 if pause is None else max(0.0, pause.until - now)

    def record_served(self, target: str, granted: float, slots: int) -> None:
        """Record the response to a request that was granted at a time.

        Parameters
        ----------
        slots : int
            Number of concurrent requests that the target takes; its return is then complete.
        """
        pause = self._pauses_by_target.get(target)
        if pause is None or granted < pause.until:
            return
        pause.slots += 1
        if pause.slots >= slots:
            del self._pauses_by_target[target]

    def pauses(self, now: float) -> Iterator[tuple[TargetRun, float]]:
        """Iterate over the paused runs and the seconds that remain."""
        for pause in list(self._pauses_by_target.values()):
            if pause.until > now:
                yield pause.run, pause.until - now

    def _forget_first_to_end(self) -> None:
        pauses = self._pauses_by_target
        del pauses[min(pauses, key=lambda target: pauses[target].until)]
