"""What a node asks of the scheduler and what it is told, also as messages between nodes."""

from __future__ import annotations

import msgspec

__all__ = [
    "CANCELLED",
    "COMPLETE",
    "CRASHED",
    "FAILED",
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
FAILED = "failed"  # the target ran it, or may have, and gave no good answer
CRASHED = "crashed"  # it was running when its target went down
REJECTED = "rejected"  # the target said that it did not run it
UNREACHABLE = "unreachable"  # nothing was sent
UNUSED = "unused"  # the node had no use for the grant any more
CANCELLED = "cancelled"
Outcome = str  # one of these


class SlotRequest(msgspec.Struct, array_like=True, tag="Ask"):
    """A request that wants a target.

    Parameters
    ----------
    id : int
        Of this ask at its node.
    tier, rank : int
        Order of urgency, 0 first: of the workspace, or of the route where the workspace has none,
        and among these of the route.
    prompt : int
        Tokens to read; 1 for a plain call.
    events : float
        Expected events of the answer, 0 for a plain call.
    objective, patience, deadline : float
        Seconds left to the first byte for full credit, to the first byte before the caller gives
        up, and to the end.
    pause : float
        Seconds between two events of a stream that make it late, 0 where that does not count.
    fingerprint : int
        Hash of what is asked, the same when it is asked again.
    charge : float
        What the request counts against the workspace's quota; 0 once it was counted.
    rate, burst : float
        The workspace's quota by the asking node's configuration, 0 for none.
    version : int
        Of that configuration.
    retry : bool
        Whether the request was already sent to a target.
    avoid : tuple of str
        Targets that it must not get.
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

    @property
    def urgency(self) -> tuple[int, int]:
        """Tier and rank, the most urgent first."""
        return self.tier, self.rank


class Grant(msgspec.Struct, array_like=True, tag=True):
    """A slot of a target.

    Parameters
    ----------
    expected : float
        Seconds that the first byte should take.
    """

    slot_request_id: int
    grant_id: int
    target: str
    expected_first_byte: float


class Denial(msgspec.Struct, array_like=True, tag=True):
    """An ask that gets no target.

    Parameters
    ----------
    kind : str
        ``quota``, ``overload``, ``suspect``, ``retry-budget`` or ``no-target``.
    retry_after : float
        Seconds after which a new request may succeed.
    """

    slot_request_id: int
    kind: str
    retry_after: float


class Cancel(msgspec.Struct, array_like=True, tag=True):
    """An ask whose caller left."""

    slot_request_id: int


class FirstByte(msgspec.Struct, array_like=True, tag="First"):
    """The first byte of an answer came, some seconds after the request was sent."""

    grant_id: int
    seconds: float


class SlotReleased(msgspec.Struct, array_like=True, tag="Done"):
    """A slot is free again.

    Parameters
    ----------
    seconds : float
        From sending to the end.
    events : int
        Of the answer.
    """

    grant_id: int
    outcome: Outcome
    seconds: float = 0.0
    events: int = 0


class HeldSlot(msgspec.Struct, array_like=True):
    """A slot in use, as told to another scheduler.

    Parameters
    ----------
    age : float
        Seconds since it was granted.
    """

    grant_id: int
    pool: str
    target: str
    prompt_tokens: int
    expected_events: float
    age: float
