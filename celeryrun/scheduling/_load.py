"""Measured speed and current load of each target, and predicted response times."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from celeryrun.catalog import Target
from celeryrun.scheduling._lengths import MIN_CUT_EVENTS, LengthErrors

__all__ = ["BREAK_REPORT_DELAY", "ActiveGrant", "TargetLoad"]

INITIAL_PREFILL_TIME = 0.00002  # s per prompt token before any sample; a current accelerator's
INITIAL_EVENT_GAP = 0.02  # s between events before any sample
INITIAL_CALL_TIME = 0.03  # s for a plain call before any sample
PREFILL_CHUNK = 1024  # prompt tokens read in one step, a common size in engines
BASE_LATENCY = 0.015  # s to the first event without the prompt: a few steps and the network
SAMPLE_WEIGHT = 0.2  # weight of a new sample; an estimate settles after about ten
MAX_SAMPLE_RATIO = 4.0  # bound on the ratio of a sample to its prediction
FAILURE_WEIGHT = 0.15  # weight of one success or failure in the failure rate
FULL_LOAD_SLOWDOWN = 0.3  # fraction by which a plain call is slower when all slots are in use
INITIAL_BACKOFF = 0.5  # s without work after an unreachable target, doubled each time
MAX_BACKOFF = 4.0  # s
OVERDUE_FACTOR = 4.0  # multiple of the prediction after which a missing first byte is overdue
MIN_OVERDUE_DELAY = 1.0  # s
BREAK_REPORT_DELAY = 0.05  # s within which all nodes report that a target ended its connections
ENTRIES_UNDER_WAY = 1  # of a run that has ended, which it wrote before and are read after that


@dataclass(slots=True)
class ActiveGrant:
    """Slot in use and the request that runs on it.

    Parameters
    ----------
    granted, finish : float
        Times of the grant and of the expected end, in seconds.
    predicted_first_byte : float
        Predicted seconds from the grant to the first byte.
    first_byte_seconds : float or None
        Seconds to the first byte; None until it has arrived.
    deadline : float
        Latest time at which the request ends.
    retry_charged_at : float or None
        Time at which the request was charged to the retry budget, None if it was not.
    lengths : LengthErrors or None
        Errors of the expected lengths of its kind; None if its events don't show its length.
    hedge_work : float
        Seconds charged to the budget of hedges, 0 if it is no hedge or has won.
    route : str
        Name of the route if its response times decide on hedges, else empty.
    is_path_lost : bool
        Whether its node no longer reaches the target.
    """

    node: str
    pool: str
    target: str
    prompt_tokens: int
    expected_events: float
    granted: float
    finish: float
    predicted_first_byte: float
    first_byte_seconds: float | None = None
    fingerprint: int = 0
    deadline: float = math.inf
    retry_charged_at: float | None = None
    lengths: LengthErrors | None = None
    hedge_work: float = 0.0
    route: str = ""
    is_path_lost: bool = False

    def overdue_time(self) -> float:
        """Return when the first byte becomes overdue; infinity once it has arrived."""
        if self.first_byte_seconds is not None or self.is_path_lost:
            return math.inf
        return self.granted + max(MIN_OVERDUE_DELAY, OVERDUE_FACTOR * self.predicted_first_byte)

    def is_overdue(self, now: float) -> bool:
        """Return whether the first byte is overdue."""
        return now > self.overdue_time()


@dataclass(slots=True)
class TargetLoad:
    """Measured speed and active grants of one target.

    Parameters
    ----------
    engine : bool
        Whether the target streams events after reading a prompt; else it serves plain calls.
    tokens_per_event : int
        Tokens in one event of a stream. The engine makes each token in a step that may also read
        a chunk of a prompt.
    prefill_time : float
        Seconds per prompt token.
    event_gap : float
        Seconds between two events.
    call_time : float
        Seconds for a plain call.
    prefill_end : float
        Expected time at which all granted prompts are read.
    failure_rate : float
        Recent fraction of requests that failed.
    excluded_until : float
        Time before which the target gets no requests.
    backoff : float
        Seconds for which the target is excluded when it is unreachable again.
    must_respond : bool
        Whether the target was unreachable, and neither responded nor renewed its entry since.
    last_responsive_grant : float
        Time of the latest grant whose first byte has arrived.
    next_overdue : float
        Time before which no first byte is overdue.
    busy_since : float
        Time since which a slot has been in use without a break; infinite if none is.
    broken_at : float
        Time at which the target was last known to be down or to end a connection early, unless
        another response outlasted that.
    down_entry : tuple of (int, float) or None
        Start and sequence number of the target's entry when it was last known to be down, None if
        it never was, or another response outlasted that.
    """

    engine: bool
    slots: int
    tokens_per_event: int = 1
    prefill_time: float = INITIAL_PREFILL_TIME
    event_gap: float = INITIAL_EVENT_GAP
    call_time: float = INITIAL_CALL_TIME
    prefill_end: float = 0.0
    failure_rate: float = 0.0
    excluded_until: float = 0.0
    backoff: float = INITIAL_BACKOFF
    must_respond: bool = False
    last_responsive_grant: float = -math.inf
    next_overdue: float = math.inf
    busy_since: float = math.inf
    broken_at: float = -math.inf
    down_entry: tuple[int, float] | None = None
    active_grants_by_id: dict[int, ActiveGrant] = field(default_factory=dict)

    def predict(
        self, prompt_tokens: int, expected_events: float, start: float
    ) -> tuple[float, float]:
        """Return the seconds to the first byte and to the end under the current load.

        Parameters
        ----------
        start : float
            Time at which the request starts, in seconds.
        """
        if not self.engine:
            slowdown = FULL_LOAD_SLOWDOWN * len(self.active_grants_by_id) / max(1, self.slots)
            seconds = self.call_time * (1 + slowdown)
            return seconds, seconds
        first_byte = (
            max(0.0, self.prefill_end - start) + prompt_tokens * self.prefill_time + BASE_LATENCY
        )
        return first_byte, first_byte + expected_events * self.event_gap

    def estimate_idle(self, prompt_tokens: int, expected_events: float) -> tuple[float, float]:
        """Return the seconds to the first byte and to the end on an idle target."""
        if not self.engine:
            return self.call_time, self.call_time
        first_byte = prompt_tokens * self.prefill_time + BASE_LATENCY
        return first_byte, first_byte + expected_events * self.event_gap

    def event_gap_during_prefill(self, prompt_tokens: int, now: float) -> float:
        """Return the seconds between two events of a stream while a prompt is read."""
        backlog = max(0.0, self.prefill_end - now)
        prefill = min(
            backlog + prompt_tokens * self.prefill_time,
            self.tokens_per_event * PREFILL_CHUNK * self.prefill_time,
        )
        return self.event_gap + prefill

    def add_grant(self, grant_id: int, active_grant: ActiveGrant) -> None:
        """Occupy a slot."""
        if not self.active_grants_by_id:
            self.busy_since = active_grant.granted
        self.active_grants_by_id[grant_id] = active_grant
        self.next_overdue = min(self.next_overdue, active_grant.overdue_time())
        if self.engine:
            start = max(active_grant.granted, self.prefill_end)
            self.prefill_end = start + active_grant.prompt_tokens * self.prefill_time

    def remove_grant(self, grant_id: int, now: float) -> ActiveGrant | None:
        """Free a slot and return the grant that occupied it, or None if there is none."""
        active_grant = self.active_grants_by_id.pop(grant_id, None)
        if not self.active_grants_by_id:
            self.busy_since = math.inf
        self.shorten_prefill(now)
        return active_grant

    def shorten_prefill(self, now: float) -> None:
        """Limit the expected end of prefill to the prompts that are still unread."""
        unread_tokens = sum(
            active_grant.prompt_tokens
            for active_grant in self.active_grants_by_id.values()
            if active_grant.first_byte_seconds is None and not active_grant.is_overdue(now)
        )
        self.prefill_end = min(self.prefill_end, now + unread_tokens * self.prefill_time)

    def has_overdue(self, now: float) -> bool:
        """Return whether any first byte is overdue."""
        if now <= self.next_overdue:
            return False
        overdue_times = [
            active_grant.overdue_time() for active_grant in self.active_grants_by_id.values()
        ]
        self.next_overdue = min(overdue_times, default=math.inf)
        return now > self.next_overdue

    def occupying_grants(self, now: float) -> list[ActiveGrant]:
        """Return the grants that still occupy a slot.

        A grant is left out if its first byte is overdue although that of a later grant has
        arrived: such a request has usually ended and its response was lost.
        """
        if not self.has_overdue(now):
            return list(self.active_grants_by_id.values())
        return [
            active_grant
            for active_grant in self.active_grants_by_id.values()
            if not (
                active_grant.is_overdue(now) and active_grant.granted < self.last_responsive_grant
            )
        ]

    def is_unresponsive(self, now: float) -> bool:
        """Return whether a first byte is overdue and none of a later grant has arrived.

        Such a target may be down.
        """
        return self.has_overdue(now) and any(
            active_grant.is_overdue(now) and active_grant.granted >= self.last_responsive_grant
            for active_grant in self.active_grants_by_id.values()
        )

    def disregard_silence(self, node: str) -> None:
        """Note that a node no longer reaches the target, which may be sound."""
        for active_grant in self.active_grants_by_id.values():
            if active_grant.node == node:
                active_grant.is_path_lost = True

    def learn_first_byte(self, active_grant: ActiveGrant, seconds: float) -> None:
        """Update the prefill time from a measured time to the first byte."""
        active_grant.first_byte_seconds = seconds
        self.last_responsive_grant = max(self.last_responsive_grant, active_grant.granted)
        self.record_response()
        if not self.engine:
            return
        prefill = max(0.0, active_grant.predicted_first_byte - BASE_LATENCY)
        if active_grant.predicted_first_byte <= 0 or prefill <= 0:
            return
        ratio = min(
            MAX_SAMPLE_RATIO,
            max(1 / MAX_SAMPLE_RATIO, seconds / active_grant.predicted_first_byte),
        )
        weight = SAMPLE_WEIGHT * prefill / active_grant.predicted_first_byte
        self.prefill_time *= 1 + (ratio - 1) * weight

    def learn_cut(self, active_grant: ActiveGrant, seconds: float, events: int) -> None:
        """Update the event gap from a stream that was cut off after enough events."""
        if self.engine and events >= MIN_CUT_EVENTS:
            self.learn_duration(active_grant, seconds, events)

    def learn_duration(self, active_grant: ActiveGrant, seconds: float, events: int) -> None:
        """Update the call time or the event gap from a response."""
        if not self.engine:
            self.call_time += (
                min(seconds, MAX_SAMPLE_RATIO * self.call_time) - self.call_time
            ) * SAMPLE_WEIGHT
        elif events > 1 and active_grant.first_byte_seconds is not None:
            gap = max(0.0, seconds - active_grant.first_byte_seconds) / (events - 1)
            self.event_gap += (
                min(gap, MAX_SAMPLE_RATIO * self.event_gap) - self.event_gap
            ) * SAMPLE_WEIGHT

    def record_result(self, failed: bool) -> None:
        """Update the failure rate from a request that the target has run."""
        self.must_respond = False
        self.failure_rate += ((1.0 if failed else 0.0) - self.failure_rate) * FAILURE_WEIGHT

    def record_break(self, now: float) -> None:
        """Note that the target may have started again."""
        self.broken_at = now

    def record_down(self, target: Target) -> None:
        """Note that the run that a target's entry describes may have ended."""
        self.down_entry = target.born, target.sequence

    def may_be_unlisted_run(self, target: Target) -> bool:
        """Return whether a target may be another run than its entry says.

        It may if it was down and its entry has not been renewed since by the same run or another.
        """
        if self.down_entry is None:
            return False
        born, sequence = self.down_entry
        return target.born == born and 0 <= target.sequence - sequence <= ENTRIES_UNDER_WAY

    def record_completion(self, active_grant: ActiveGrant, seconds: float) -> None:
        """Note that the target was at work for some seconds from a grant on."""
        end = active_grant.granted + seconds
        if self._began_before_break(active_grant) and end > self.broken_at + BREAK_REPORT_DELAY:
            self._forget_break()

    def at_work_since(self, now: float) -> float:
        """Return since when the target has certainly not started again, infinite if idle."""
        if now > self.broken_at + BREAK_REPORT_DELAY and any(
            map(self._began_before_break, self.active_grants_by_id.values())
        ):
            self._forget_break()
        return max(self.busy_since, self.broken_at)

    def _forget_break(self) -> None:
        self.broken_at = -math.inf
        self.down_entry = None

    def _began_before_break(self, active_grant: ActiveGrant) -> bool:
        seconds = active_grant.first_byte_seconds
        if seconds is None:
            return False
        return active_grant.granted + seconds < self.broken_at - BREAK_REPORT_DELAY

    def record_response(self) -> None:
        """Note that the target has responded."""
        self.backoff = INITIAL_BACKOFF
        self.must_respond = False

    def record_unreachable(self, now: float) -> None:
        """Exclude the target for a time that doubles with each consecutive failure."""
        self.must_respond = True
        if now >= self.excluded_until:
            self.excluded_until = now + self.backoff
            self.backoff = min(MAX_BACKOFF, 2 * self.backoff)
