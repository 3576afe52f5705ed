"""Planned stop: which requests are still sent to targets, and when the others are refused."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from celeryrun.exception import Refusal
from celeryrun.kernel import now

__all__ = ["STOPPING", "DurationHistory", "PlannedStop", "StopSchedule"]

EXIT_MARGIN = 0.4  # s before the kill at which the process exits
FLUSH_TIME = 0.25  # s before the exit in which the last responses are written
ESTIMATE_TIME = 2.5  # s for which new connections come, whose callers have nowhere else to go yet
MAX_ESTIMATE_FRACTION = 0.5  # of the time until the kill
MAX_MARGIN_FRACTION = 0.1  # of the time until the kill, for each of these two
DURATIONS_KEPT = 32  # latest durations of a route
DURATION_QUANTILE = 0.9
MAX_ROUTES = 1024  # routes with the latest responses
# Another node takes the request.
STOPPING = Refusal(503, "stopping", "send it again; this node is shutting down", 0.1)


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """Times of a planned stop.

    Parameters
    ----------
    answer_by : float
        Time by which each request has its response, or its response has begun.
    exit_at : float
        Time at which the process exits.
    estimate_until : float
        Time until which an estimate decides whether a request that arrives can be answered. Later
        only requests whose deadline ends before ``answer_by`` are sent to a target, since an
        estimate that falls short would break their responses off.
    """

    answer_by: float
    exit_at: float
    estimate_until: float = float("inf")

    @classmethod
    def from_config(cls, stop_grace: float, time: float) -> StopSchedule:
        """Return the schedule of a stop that begins at ``time``, given the seconds until the kill.

        Examples
        --------
        >>> StopSchedule.from_config(8.0, 100.0)
        StopSchedule(answer_by=107.35, exit_at=107.6, estimate_until=102.5)
        """
        exit_at = time + stop_grace - min(EXIT_MARGIN, MAX_MARGIN_FRACTION * stop_grace)
        return cls(
            exit_at - min(FLUSH_TIME, MAX_MARGIN_FRACTION * stop_grace),
            exit_at,
            time + min(ESTIMATE_TIME, MAX_ESTIMATE_FRACTION * stop_grace),
        )

    def latest_start(self, expected_duration: float) -> float:
        """Return the time after which a request can't be expected to be answered."""
        return self.answer_by - expected_duration

    def allows(
        self, time: float, expected_duration: float, arrived_at: float, respond_by: float
    ) -> bool:
        """Return whether a request may be sent to a target at a time.

        Parameters
        ----------
        arrived_at, respond_by : float
            Time at which the request was read, and by which its caller has a response or leaves.

        Examples
        --------
        >>> schedule = StopSchedule(answer_by=10.0, exit_at=10.2, estimate_until=6.0)
        >>> schedule.allows(8.0, 1.5, 5.0, 20.0), schedule.allows(9.0, 1.5, 5.0, 20.0)
        (True, False)
        >>> schedule.allows(8.0, 1.5, 8.0, 20.0), schedule.allows(8.0, 1.5, 8.0, 9.9)
        (False, True)
        """
        if arrived_at > self.estimate_until and respond_by > self.answer_by:
            return False
        return time < self.latest_start(expected_duration)


class DurationHistory:
    """Time that targets took for whole responses, by route.

    Examples
    --------
    >>> history = DurationHistory()
    >>> history.record("drafts", 2.0, size=10)
    >>> history.expect("drafts", size=5), history.expect("chats", size=5)
    (1.0, 0.0)
    """

    __slots__ = ("_rates_by_route",)

    def __init__(self) -> None:
        self._rates_by_route: dict[str, deque[float]] = {}

    def record(self, route: str, seconds: float, size: float) -> None:
        """Record a whole response.

        Parameters
        ----------
        size : float
            Expected length of the response, 1 where it is not known.
        """
        rates = self._rates_by_route.pop(route, None) or deque(maxlen=DURATIONS_KEPT)
        rates.append(seconds / size)
        self._rates_by_route[route] = rates
        if len(self._rates_by_route) > MAX_ROUTES:
            del self._rates_by_route[next(iter(self._rates_by_route))]

    def expect(self, route: str, size: float) -> float:
        """Return the seconds within which most responses of a size are whole, 0 if unknown."""
        rates = sorted(self._rates_by_route.get(route, ()))
        return rates[int(DURATION_QUANTILE * (len(rates) - 1))] * size if rates else 0.0


class PlannedStop:
    """State of the stop that the requests in progress share; there is none at first.

    Attributes
    ----------
    schedule : StopSchedule or None
        Times of the stop, None before it begins.
    """

    __slots__ = ("_has_begun_by_timeout", "_start_limits", "schedule")

    def __init__(self) -> None:
        self.schedule: StopSchedule | None = None
        self._has_begun_by_timeout: dict[asyncio.Timeout, Callable[[], bool]] = {}
        self._start_limits: dict[asyncio.Timeout, float] = {}

    def begin(self, schedule: StopSchedule) -> None:
        """Begin the stop; requests that wait for a slot too long are given up from now on."""
        self.schedule = schedule
        for timeout, expected_duration in self._start_limits.items():
            if not timeout.expired():
                timeout.reschedule(_loop_time(schedule.latest_start(expected_duration)))

    def end_unanswered(self) -> None:
        """Time out all requests whose response has not begun."""
        for timeout, has_begun in self._has_begun_by_timeout.items():
            if not has_begun() and not timeout.expired():
                timeout.reschedule(asyncio.get_running_loop().time())

    def limit(self, respond_by: float) -> float:
        """Return the time by which a request must have its response, given that of its caller."""
        return respond_by if self.schedule is None else min(respond_by, self.schedule.answer_by)

    def allows(self, expected_duration: float, arrived_at: float, respond_by: float) -> bool:
        """Return whether a request may be sent to a target now."""
        return self.schedule is None or self.schedule.allows(
            now(), expected_duration, arrived_at, respond_by
        )

    @contextmanager
    def track_request(
        self, timeout: asyncio.Timeout, has_begun: Callable[[], bool]
    ) -> Iterator[None]:
        """Let ``end_unanswered`` end a request.

        Parameters
        ----------
        timeout : asyncio.Timeout
            Entered timeout of the request.
        has_begun : callable
            Returns whether the response has begun.
        """
        self._has_begun_by_timeout[timeout] = has_begun
        try:
            yield
        finally:
            del self._has_begun_by_timeout[timeout]

    @contextmanager
    def track_wait(self, timeout: asyncio.Timeout, expected_duration: float) -> Iterator[None]:
        """Limit a wait for a slot, after which the request lasts for some seconds."""
        if self.schedule is not None:
            timeout.reschedule(_loop_time(self.schedule.latest_start(expected_duration)))
        self._start_limits[timeout] = expected_duration
        try:
            yield
        finally:
            del self._start_limits[timeout]


def _loop_time(time: float) -> float:
    """Return a time of ``now`` on the clock of the event loop."""
    return asyncio.get_running_loop().time() + time - now()
