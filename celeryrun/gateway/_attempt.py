"""Attempt of a request at one target, from its slot and connection to their release."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from celeryrun.catalog import Target
from celeryrun.gateway._client import SchedulerClient
from celeryrun.gateway._stream import MAX_EVENT_BYTES, has_event
from celeryrun.gateway._stream_origins import RecordedOrigin
from celeryrun.kernel import now
from celeryrun.platform import TargetResponse
from celeryrun.scheduling import CANCELLED, LOST, UNUSED, Grant, Outcome
from celeryrun.transport import Exchange, TargetFailedError

__all__ = ["Attempt", "AttemptChain"]


class Attempt:
    """A granted slot and a connection to its target.

    Attributes
    ----------
    began : float
        Time of the grant, in seconds.
    outcome : str
        Outcome that is reported when the attempt is closed.
    received : bytes
        What a suspended attempt has received of an event or body that is not whole yet.
    was_sent : bool
        Whether the request was sent on the connection.
    events : int
        Number of events that its target has sent.
    first_event_at, last_event_at : float
        Times at which the first and the last of them were read, in seconds; that of the grant
        before the first.
    stall : float
        Seconds since then for which the caller did not read, and so the target was not read.
    stalled : float
        The same, in seconds until then.
    """

    __slots__ = (
        "_close_handle",
        "_has_first_byte",
        "_scheduler_client",
        "began",
        "events",
        "exchange",
        "first_event_at",
        "grant",
        "is_open",
        "last_event_at",
        "outcome",
        "received",
        "stall",
        "stalled",
        "target",
        "was_sent",
    )

    def __init__(
        self,
        scheduler_client: SchedulerClient,
        grant: Grant,
        target: Target,
        exchange: Exchange,
        began: float,
    ) -> None:
        self._scheduler_client = scheduler_client
        self._close_handle: asyncio.TimerHandle | None = None
        self._has_first_byte = False
        self.grant = grant
        self.target = target
        self.exchange = exchange
        self.began = began
        self.outcome: Outcome = CANCELLED
        self.received = b""
        self.was_sent = False
        self.events = 0
        self.first_event_at = began
        self.last_event_at = began
        self.stall = 0.0
        self.stalled = 0.0
        self.is_open = True

    def report_first_byte(self, origin: RecordedOrigin | None = None) -> None:
        """Report the first byte of the response to the scheduler, once.

        Parameters
        ----------
        origin : RecordedOrigin, optional
            Origin of the stream, as its first event is about to be passed on.
        """
        if not self._has_first_byte:
            self._has_first_byte = True
            self._scheduler_client.report_first_byte(self.grant, now() - self.began, origin)
        elif origin is not None:
            self._scheduler_client.report_origin(origin)

    def report_statements(self, response: TargetResponse) -> None:
        """Report what a response says of its target to the scheduler and all nodes."""
        client, target = self._scheduler_client, self.target
        client.report_limit(target.id, response.rate_limit, self.began)
        if response.pause is not None:
            client.report_pause(target.run, response.pause)
        if response.leaving:
            client.report_leaving(target.run)

    def count_events(self, count: int) -> None:
        """Count events that were read, with the time of the last of them."""
        if count:
            self.last_event_at = now()
            if not self.events:
                self.first_event_at = self.last_event_at
            self.events += count
            self.stalled += self.stall
            self.stall = 0.0

    def close(self, outcome: Outcome | None = None) -> None:
        """Abort the connection and release the slot, unless that was done.

        Parameters
        ----------
        outcome : str, optional
            Outcome to report; the one recorded by default.
        """
        if not self.is_open:
            return
        self.is_open = False
        self.keep()
        self.exchange.close()
        outcome = outcome or self.outcome
        # A response that was cut off tells the target's speed up to its last event.
        end = self.last_event_at - self.stalled if outcome == CANCELLED else now()
        self._scheduler_client.release(self.grant, outcome, end - self.began, self.events)

    async def goes_on(self, is_stream: bool) -> bool:
        """Return whether a silent target sends a whole event, a part of a body, or the end.

        It is kept then, and what it has sent is in `received`.
        """
        try:
            await self.exchange.read_head()
            while chunk := await self.exchange.read_body():
                self.received += chunk
                if not is_stream or has_event(self.received):
                    break
                if len(self.received) > MAX_EVENT_BYTES:
                    return False
        except TargetFailedError:
            return False
        self.keep()
        return True

    def close_later(self, seconds: float) -> None:
        """Close the attempt after some seconds unless it is kept."""
        loop = asyncio.get_running_loop()
        self._close_handle = loop.call_later(seconds, self.close)

    def keep(self) -> None:
        """Withdraw a planned close."""
        if self._close_handle is not None:
            self._close_handle.cancel()
            self._close_handle = None


class AttemptChain:
    """Attempts of one request: the current one, its successor, its hedge, the one in reserve.

    Attributes
    ----------
    current : Attempt or None
        Attempt whose response is relayed.
    successor : Attempt or None
        Attempt that is ready to replace a silent current one.
    hedge : Attempt or None
        Attempt that another target works on beside the current one.
    hedge_won : bool
        Whether the hedge has its response, or its first event, before the current one.
    is_relocated : bool
        Whether the successor replaces a target that is too slow, not a silent one.
    on_hedge_lost : callable
        Called with a hedge that is closed because it is no longer needed.
    """

    __slots__ = (
        "_reserve",
        "current",
        "hedge",
        "hedge_won",
        "is_relocated",
        "on_hedge_lost",
        "successor",
    )

    def __init__(self) -> None:
        self.current: Attempt | None = None
        self.successor: Attempt | None = None
        self._reserve: Attempt | None = None
        self.hedge: Attempt | None = None
        self.hedge_won = False
        self.is_relocated = False
        self.on_hedge_lost: Callable[[Attempt], None] = lambda attempt: None

    def take_next(self) -> Attempt | None:
        """Make a hedge that has won, the successor or another open attempt the current one."""
        if self.hedge_won:
            self.drop_successor()
            self._take_hedge()
        elif self.successor is not None:
            self.current, self.successor = self.successor, None
            self.is_relocated = False
        elif self.has_reserve:
            self.current, self._reserve = self._reserve, None
            assert self.current is not None
            self.current.keep()
        else:
            self._take_hedge()
        return self.current

    def _take_hedge(self) -> None:
        self.current, self.hedge, self.hedge_won = self.hedge, None, False

    def relocate_to(self, attempt: Attempt) -> None:
        """Keep an attempt to replace the current one, whose target is too slow."""
        self.successor = attempt
        self.is_relocated = True

    def offer_successor(self, attempt: Attempt, is_allowed: bool) -> bool:
        """Keep an attempt to replace a silent current one; return whether it may."""
        if not is_allowed or self.hedge_won or self.is_relocated:
            attempt.close(UNUSED)
            return False
        self.successor = attempt
        return True

    @property
    def has_reserve(self) -> bool:
        """Whether a silent target may still go on with its response."""
        return self._reserve is not None and self._reserve.is_open

    @property
    def has_other(self) -> bool:
        """Whether another attempt than the current one works on the request."""
        return self.has_reserve or self.hedge is not None

    async def reserve_goes_on(self, is_stream: bool) -> bool:
        """Return whether the target in reserve goes on with its response before it is closed."""
        return self._reserve is not None and await self._reserve.goes_on(is_stream)

    def keep_reserve(self) -> None:
        """Keep the attempt in reserve until it is taken up again or dropped."""
        if self._reserve is not None:
            self._reserve.keep()

    def reserve_current(self, seconds: float) -> None:
        """Keep the current attempt in reserve for some seconds."""
        self.drop_reserve()
        self._reserve, self.current = self.current, None
        if self._reserve is not None:
            self._reserve.close_later(seconds)

    def drop_reserve(self) -> None:
        """Close the attempt in reserve."""
        if self._reserve is not None:
            self._reserve.close()
            self._reserve = None

    def drop_silence_successor(self) -> None:
        """Close the successor unless it replaces a target that is too slow, not a silent one."""
        if not self.is_relocated:
            self.drop_successor()

    def drop_successor(self) -> None:
        """Close the successor, which was not used."""
        self.is_relocated = False
        if self.successor is not None:
            self.successor.close(UNUSED)
            self.successor = None

    def drop_hedge(self) -> None:
        """Close the hedge, which has lost."""
        hedge, self.hedge, self.hedge_won = self.hedge, None, False
        if hedge is not None:
            hedge.close(LOST)
            self.on_hedge_lost(hedge)

    def close(self) -> None:
        """Close all attempts."""
        if self.current is not None:
            self.current.close()
        self.drop_reserve()
        self.drop_successor()
        self.drop_hedge()
