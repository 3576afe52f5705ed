"""Slot requests, their replies, and reports on granted slots, as messages between nodes."""

from __future__ import annotations

import msgspec

__all__ = [
    "BROKEN",
    "CANCELLED",
    "COMPLETE",
    "CRASHED",
    "FAILED",
    "LOST",
    "MISDIRECTED",
    "REJECTED",
    "UNREACHABLE",
    "UNUSED",
    "Cancel",
    "Denial",
    "FirstByte",
    "Grant",
    "HeldSlot",
    "Outcome",
    "SlotReleased",
    "SlotRequest",
]


COMPLETE = "complete"
FAILED = "failed"  # the target ran the request, or may have, without a usable response
BROKEN = "broken"  # as failed; the target ended its connection and accepts others
CRASHED = "crashed"  # the target went down while it ran the request
REJECTED = "rejected"  # the target responded that it did not run the request
UNREACHABLE = "unreachable"  # nothing was sent
MISDIRECTED = "misdirected"  # another server, which has the target's address now, responded
UNUSED = "unused"  # the node no longer needed the grant
CANCELLED = "cancelled"
LOST = "lost"  # ended since another attempt at the same request has won
Outcome = str  # one of the constants above


class SlotRequest(msgspec.Struct, array_like=True, tag="Ask"):
    """Request of a node for a slot of a target.

    Parameters
    ----------
    id : int
        Number of this slot request, unique within its node, also over restarts of its process.
    tier, rank : int
        Order of urgency, 0 first. The tier is that of the workspace, or of the route where the
        workspace has none; the rank is that of the route and orders requests of equal tier.
    prompt_tokens : int
        Length of the prompt; 1 for a plain call.
    expected_events : float
        Expected number of events in the response; 0 for a plain call.
    objective, patience, deadline : float
        Seconds left until the first byte is late, until the caller gives up waiting for the
        first byte, and until the response must have ended.
    max_pause : float
        Seconds between two events above which a stream counts as late; 0 for no limit.
    fingerprint : int
        Hash of the caller's request, equal for all retries of it.
    charge : float
        Amount to charge to the workspace's quota; 0 if it is already charged.
    rate, burst : float
        Quota of the workspace in the requesting node's configuration; 0 for no quota.
    configuration_version : int
        Version of that configuration.
    retry : bool
        Whether the request was already sent to a target.
    excluded_targets : tuple of str
        Targets on which the request must not run.
    probed_parts : tuple of int
        Parts of its prompt that crashed targets before, and that it may try again.
    stream : int
        Key of the stream, 0 if it can't be resumed or its key is not known.
    resumed : bool
        Whether the caller has events of the stream, from an earlier try.
    version : str
        Version of which the target must be, empty if any will do or, where the stream is resumed,
        if the node does not know it.
    hedge : bool
        Whether the request runs on another target, and this attempt is to be granted at once or
        not at all.
    route : str
        Name of the route if its requests may be hedged, else empty.
    """

    id: int
    pool: str
    tier: int
    rank: int
    workspace: str
    prompt_tokens: int
    expected_events: float
    objective: float
    patience: float
    deadline: float
    max_pause: float
    fingerprint: int
    charge: float = 0.0
    rate: float = 0.0
    burst: float = 0.0
    configuration_version: int = 0
    retry: bool = False
    excluded_targets: tuple[str, ...] = ()
    probed_parts: tuple[int, ...] = ()
    stream: int = 0
    resumed: bool = False
    version: str = ""
    hedge: bool = False
    route: str = ""

    @property
    def urgency(self) -> tuple[int, int]:
        """Tier and rank, the most urgent first."""
        return self.tier, self.rank


class Grant(msgspec.Struct, array_like=True, tag=True):
    """Positive reply to a slot request.

    Parameters
    ----------
    expected_first_byte : float
        Predicted seconds to the first byte.
    version : str
        Version to which the stream is bound, empty for a new one.
    hedge_delay : float
        Seconds without a response after which a hedge may start, 0 for never.
    duration : float
        Predicted seconds to the end of the response.
    """

    slot_request_id: int
    grant_id: int
    target: str
    expected_first_byte: float
    version: str = ""
    hedge_delay: float = 0.0
    duration: float = 0.0


class Denial(msgspec.Struct, array_like=True, tag=True):
    """Negative reply to a slot request.

    Parameters
    ----------
    kind : str
        ``quota``, ``overload``, ``suspect``, ``retry-budget``, ``hedge-budget``, ``no-target`` or
        ``stream-version``.
    retry_after : float
        Seconds after which a new request may succeed.
    """

    slot_request_id: int
    kind: str
    retry_after: float


class Cancel(msgspec.Struct, array_like=True, tag=True):
    """Withdrawal of a slot request whose caller disconnected."""

    slot_request_id: int


class FirstByte(msgspec.Struct, array_like=True, tag="First"):
    """Report that the first byte of a response has arrived.

    Parameters
    ----------
    seconds : float
        Time since the request was sent to the target.
    stream, version, lifetime : int, str, float
        Origin of a stream whose first event is about to be passed on: its key, 0 if there is
        nothing to report, its version, and the seconds for which its caller may resume it.
    """

    grant_id: int
    seconds: float
    stream: int = 0
    version: str = ""
    lifetime: float = 0.0


class SlotReleased(msgspec.Struct, array_like=True, tag="Done"):
    """Report that a granted slot is free.

    Parameters
    ----------
    seconds : float
        Time from sending the request to its end.
    events : int
        Number of events in the response.
    """

    grant_id: int
    outcome: Outcome
    seconds: float = 0.0
    events: int = 0


class HeldSlot(msgspec.Struct, array_like=True):
    """Slot in use by a node, as reported to a scheduler that did not grant it.

    Parameters
    ----------
    age : float
        Seconds since the grant.
    """

    grant_id: int
    pool: str
    target: str
    prompt_tokens: int
    expected_events: float
    age: float
