"""What is learned of each target, and how long a request would take there."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

__all__ = ["ActiveGrant", "TargetLoad"]

FIRST_PREFILL = 0.00002  # s for a prompt token until learned; a current accelerator's
FIRST_EVENT_GAP = 0.02  # s between events until learned
FIRST_CALL = 0.03  # s for a plain call until learned
CHUNK = 1024  # prompt tokens read in one step, as engines commonly have it
BASE = 0.015  # s to the first event beside the prompt: a few steps and the way there
LEARNING = 0.2  # weight of a new observation; about ten settle an estimate
WORST_RATIO = 4.0  # an observation counts as no further from its prediction than this
FAILURE_LEARNING = 0.15  # weight of one success or failure
CROWDING = 0.3  # share by which a plain call is slower when all slots are taken
FIRST_BACKOFF = 0.5  # s without work after an unreachable target, doubled each time
LAST_BACKOFF = 4.0  # s
SILENCE_FACTOR = 4.0  # times the prediction after which a missing first byte is suspicious
SILENCE_LEAST = 1.0  # s


@dataclass(slots=True)
class ActiveGrant:
    """A slot in use.

    Parameters
    ----------
    granted, finish : float
        Times of the grant and of the expected end, in seconds.
    predicted : float
        Seconds to the first byte, as predicted.
    first : float or None
        Seconds to the first byte, once it has come.
    deadline : float
        When the request ends at the latest.
    """

    node: str
    pool: str
    target: str
    prompt: int
    events: float
    granted: float
    finish: float
    predicted: float
    first: float | None = None
    fingerprint: int = 0
    deadline: float = math.inf

    def due(self) -> float:
        """Return when the first byte should have come long ago, infinity once it has."""
        if self.first is not None:
            return math.inf
        return self.granted + max(SILENCE_LEAST, SILENCE_FACTOR * self.predicted)

    def is_overdue(self, now: float) -> bool:
        """Tell whether the first byte should have come long ago."""
        return now > self.due()


@dataclass(slots=True)
class TargetLoad:
    """State of one target.

    Parameters
    ----------
    stride : int
        Tokens in one event of a stream, each made in a step that may also read a prompt.
    prefill : float
        Seconds for one prompt token.
    event_gap : float
        Seconds between two events.
    call : float
        Seconds for a plain call.
    busy_until : float
        When the prompts granted so far should have been read.
    failure_rate : float
        Recent share of requests that failed.
    heard : float
        When the latest request was granted that has had its first byte.
    next_overdue : float
        Before this no first byte is overdue.
    """

    engine: bool
    slots: int
    stride: int = 1
    prefill: float = FIRST_PREFILL
    event_gap: float = FIRST_EVENT_GAP
    call: float = FIRST_CALL
    busy_until: float = 0.0
    failure_rate: float = 0.0
    avoid_until: float = 0.0
    backoff: float = FIRST_BACKOFF
    heard: float = -math.inf
    next_overdue: float = math.inf
    active_grants_by_id: dict[int, ActiveGrant] = field(default_factory=dict)

    def predict(self, prompt: int, events: float, start: float) -> tuple[float, float]:
        """Return the seconds to the first byte and to the end for a request that starts then.

        Parameters
        ----------
        start : float
            Time of the start in seconds.
        """
        if not self.engine:
            crowd = CROWDING * len(self.active_grants_by_id) / max(1, self.slots)
            seconds = self.call * (1 + crowd)
            return seconds, seconds
        first = max(0.0, self.busy_until - start) + prompt * self.prefill + BASE
        return first, first + events * self.event_gap

    def estimate(self, prompt: int, events: float) -> tuple[float, float]:
        """Return the seconds to the first byte and to the end on an idle target."""
        if not self.engine:
            return self.call, self.call
        first = prompt * self.prefill + BASE
        return first, first + events * self.event_gap

    def pause_with(self, prompt: int, now: float) -> float:
        """Return the seconds between two events of a stream while a prompt is read beside it."""
        unread = max(0.0, self.busy_until - now)
        reading = min(unread + prompt * self.prefill, self.stride * CHUNK * self.prefill)
        return self.event_gap + reading

    def add(self, grant: int, running: ActiveGrant) -> None:
        """Take a slot."""
        self.active_grants_by_id[grant] = running
        self.next_overdue = min(self.next_overdue, running.due())
        if self.engine:
            start = max(running.granted, self.busy_until)
            self.busy_until = start + running.prompt * self.prefill

    def remove(self, grant: int, now: float) -> ActiveGrant | None:
        """Free a slot."""
        running = self.active_grants_by_id.pop(grant, None)
        self.settle(now)
        return running

    def settle(self, now: float) -> None:
        """Shorten the expected reading to the prompts that are still unread."""
        unread = sum(
            run.prompt
            for run in self.active_grants_by_id.values()
            if run.first is None and not run.is_overdue(now)
        )
        self.busy_until = min(self.busy_until, now + unread * self.prefill)

    def has_overdue(self, now: float) -> bool:
        """Tell whether a first byte is long overdue."""
        if now <= self.next_overdue:
            return False
        dues = [run.due() for run in self.active_grants_by_id.values()]
        self.next_overdue = min(dues, default=math.inf)
        return now > self.next_overdue

    def present(self, now: float) -> list[ActiveGrant]:
        """Return the requests that take a slot.

        One whose first byte is long overdue, while a later one has had its own, has mostly ended
        with its answer lost on the way.
        """
        if not self.has_overdue(now):
            return list(self.active_grants_by_id.values())
        return [
            run
            for run in self.active_grants_by_id.values()
            if not (run.is_overdue(now) and run.granted < self.heard)
        ]

    def is_silent(self, now: float) -> bool:
        """Tell whether a first byte is long overdue and nothing came since, as if it were gone."""
        return self.has_overdue(now) and any(
            run.is_overdue(now) and run.granted >= self.heard
            for run in self.active_grants_by_id.values()
        )

    def learn_first(self, running: ActiveGrant, seconds: float) -> None:
        """Learn from the time to a first byte."""
        running.first = seconds
        self.heard = max(self.heard, running.granted)
        self.backoff = FIRST_BACKOFF
        if not self.engine:
            return
        reading = max(0.0, running.predicted - BASE)
        if running.predicted <= 0 or reading <= 0:
            return
        ratio = min(WORST_RATIO, max(1 / WORST_RATIO, seconds / running.predicted))
        weight = LEARNING * reading / running.predicted
        self.prefill *= 1 + (ratio - 1) * weight

    def learn_end(self, running: ActiveGrant, seconds: float, events: int) -> None:
        """Learn from a whole answer."""
        if not self.engine:
            self.call += (min(seconds, WORST_RATIO * self.call) - self.call) * LEARNING
        elif events > 1 and running.first is not None:
            gap = max(0.0, seconds - running.first) / (events - 1)
            self.event_gap += (min(gap, WORST_RATIO * self.event_gap) - self.event_gap) * LEARNING

    def note_result(self, failed: bool) -> None:
        """Learn whether a request was served."""
        self.failure_rate += ((1.0 if failed else 0.0) - self.failure_rate) * FAILURE_LEARNING

    def note_unreachable(self, now: float) -> None:
        """Give no work for a while, longer each time in a row."""
        if now >= self.avoid_until:
            self.avoid_until = now + self.backoff
            self.backoff = min(LAST_BACKOFF, 2 * self.backoff)
