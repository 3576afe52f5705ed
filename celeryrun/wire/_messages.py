"""Messages between nodes."""

from __future__ import annotations

import msgspec

__all__ = [
    "Ack",
    "AnswerLocation",
    "AnswerLookup",
    "AnswerPart",
    "AnswerPull",
    "Cancel",
    "ConfigurationDelta",
    "ConfigurationNotice",
    "ConfigurationPull",
    "ConfigurationState",
    "Denial",
    "ForwardedMessage",
    "Grant",
    "HeldSlot",
    "KeeperHeartbeat",
    "LogRecord",
    "MemberUpdate",
    "Message",
    "NodeHeartbeat",
    "NodePoolState",
    "Ping",
    "PingAck",
    "PingRequest",
    "PoolHandover",
    "SlotReleased",
    "SlotRequest",
    "SuspectCleared",
    "SuspectNotice",
    "TargetCrash",
    "TargetGossip",
    "TargetUpdate",
]


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """State of one member, as the sending node knows it.

    Parameters
    ----------
    state : str
        ``alive``, ``suspect``, ``draining`` or ``dead``.
    incarnation : int
        Only the member raises its own; an update with a higher one replaces those with a lower.
    """

    name: str
    zone: str
    address: str
    operator: str
    state: str
    incarnation: int


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Membership probe with piggybacked member updates.

    Parameters
    ----------
    probe : int
        Number that the reply repeats; 0 if no reply is wanted.
    version : int
        Version of the configuration in force on the sender.
    """

    probe: int
    version: int
    updates: tuple[MemberUpdate, ...]


class PingAck(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Reply to a `Ping`; ``probe`` is that of the ping."""

    probe: int
    version: int
    updates: tuple[MemberUpdate, ...]


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Request to probe another member on the sender's behalf (SWIM's indirect probe)."""

    probe: int
    member: str


class SlotRequest(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Request for a slot on a target of a pool.

    Parameters
    ----------
    slot_request_id : int
        Unique among the sender's slot requests.
    tier : int
        Urgency; 1 is the most urgent.
    cost : float
        Estimated work in tokens, or the equivalent for an application.
    prefix : tuple of int
        Hashes of the prompt's leading blocks, each with all blocks before it; longest last.
    remaining : float
        Seconds to the request's deadline.
    fingerprint : int
        Hash of workspace, path and body, which identifies a request that crashes targets; 0 for
        none.
    """

    pool: str
    slot_request_id: int
    tier: int
    workspace: str
    cost: float
    prefix: tuple[int, ...]
    remaining: float
    fingerprint: int = 0


class Grant(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Lease of a slot on a target to the node that requested it.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the target, for a node whose target list does not contain it yet.
    """

    pool: str
    slot_request_id: int
    grant_id: int
    target: str
    address: str = ""


class Denial(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Denial of a slot request by the keeper.

    Parameters
    ----------
    kind : str
        Kind of the refusal that the caller receives.
    retry_after : float
        Seconds after which the caller may retry.
    """

    pool: str
    slot_request_id: int
    kind: str
    retry_after: float


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Cancellation of a slot request."""

    pool: str
    slot_request_id: int


class SlotReleased(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Release of a granted slot, with measurements of the request that used it.

    Parameters
    ----------
    work : float
        Work done in tokens, or the equivalent for an application.
    first_byte_delay : float
        Seconds from dispatch to the first byte of the response; negative if none arrived.
    elapsed : float
        Seconds from dispatch to the end.
    complete : bool
        Whether the target's response is complete.
    tokens : int
        Tokens in the response, 0 for an application.
    """

    pool: str
    grant_id: int
    work: float
    first_byte_delay: float
    elapsed: float
    complete: bool
    tokens: int = 0


class HeldSlot(msgspec.Struct, frozen=True, array_like=True):
    """A granted slot that a node holds, as reported to a keeper."""

    grant_id: int
    target: str
    tier: int
    workspace: str
    cost: float


class NodeHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Heartbeat of a node to a pool's keeper; renews the leases of its held slots."""

    pool: str
    held_slots: tuple[HeldSlot, ...]


class KeeperHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Reply to a `NodeHeartbeat`.

    Parameters
    ----------
    epoch : int
        Random number that identifies the keeper's state; it changes when the state is lost.
    queued : int
        Slot requests of the receiver in the keeper's queue.
    """

    pool: str
    epoch: int
    queued: int


class ConfigurationPull(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Request for the receiver's configuration if it is newer than the sender's.

    Parameters
    ----------
    folded_to : int
        The sender's configuration includes every log record below this offset.
    """

    version: int
    folded_to: int = 0


class ConfigurationState(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """The configuration in force, as an encoded snapshot record."""

    body: bytes


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of the configuration log, forwarded by a node.

    Parameters
    ----------
    written : float
        The platform's time of the append, in seconds since the epoch.
    """

    offset: int
    written: float
    body: bytes


class ConfigurationDelta(msgspec.Struct, frozen=True, array_like=True, tag=41):
    """All changes in the configuration log in a range of offsets.

    Parameters
    ----------
    start, folded_to : int
        The range, without its end.
    records : tuple of LogRecord
        The records in the range that are changes.
    """

    start: int
    folded_to: int
    records: tuple[LogRecord, ...]


class ConfigurationNotice(msgspec.Struct, frozen=True, array_like=True, tag=42):
    """Announcement of the configuration version in force on the sender.

    Parameters
    ----------
    digest : str
        Digest of the lists of plans and pools at that version.
    snapshot_time : float
        The platform's time, in seconds since the epoch, up to which the newest snapshot known to
        the sender replaces the log's records.
    wants_reply : bool
        Whether the receiver should reply with its own notice.
    """

    version: int
    digest: str
    snapshot_time: float
    wants_reply: bool = False


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=60):
    """Empty message whose envelope acknowledges the receiver's messages."""


class AnswerLookup(msgspec.Struct, frozen=True, array_like=True, tag=50):
    """Request to the directory node for the node that stores an answer.

    The directory registers the sender as that node if it knows no other.

    Parameters
    ----------
    call_id : int
        Number that the reply repeats.
    id_hash : bytes
        Hash of the workspace and the answer id.
    excluded_node : str
        Node that turned out not to store the answer, or empty.
    """

    call_id: int
    id_hash: bytes
    excluded_node: str = ""


class AnswerLocation(msgspec.Struct, frozen=True, array_like=True, tag=51):
    """Reply to an `AnswerLookup`.

    Parameters
    ----------
    node : str
        Node that stores the answer; the sender of the lookup if there is no other.
    """

    call_id: int
    id_hash: bytes
    node: str


class AnswerPull(msgspec.Struct, frozen=True, array_like=True, tag=52):
    """Request to the node that stores an answer for the next part of it.

    Parameters
    ----------
    answer_id : str
        ``key/KEY/DIGEST`` or ``request/ID/DIGEST``: the idempotency key or request id, and the
        digest of the request's content.
    position : int
        Bytes of the body that the sender already has.
    """

    call_id: int
    workspace: str
    answer_id: str
    position: int


class AnswerPart(msgspec.Struct, frozen=True, array_like=True, tag=53):
    """Reply to an `AnswerPull`.

    Parameters
    ----------
    state : str
        ``gone``, ``running`` or ``finished``.
    status : int
        HTTP status, 0 before the answer's head is known.
    position : int
        Bytes of the body that precede this part.
    complete : bool
        Whether a finished body is complete.
    """

    call_id: int
    id_hash: bytes
    state: str
    status: int = 0
    outcome: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    position: int = 0
    body: bytes = b""
    complete: bool = False


class TargetUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Observed change in the state of a target.

    Parameters
    ----------
    address : str
        The target's address; a different address means a different target of the same name.
    kind : str
        ``leaving`` (stated in the target's own response), ``listed`` (shown as leaving in the
        platform's list) or ``unreachable`` (the target refused a connection).
    age : float
        Seconds since the observation.
    """

    name: str
    address: str
    kind: str
    age: float


class TargetGossip(msgspec.Struct, frozen=True, array_like=True, tag=70):
    """Target updates, sent to the pool's keeper at once and to other nodes along with probes."""

    updates: tuple[TargetUpdate, ...]


class NodePoolState(msgspec.Struct, frozen=True, array_like=True):
    """Held slots and queued slot requests of one node in a pool."""

    node: str
    held_slots: tuple[HeldSlot, ...]
    slot_requests: tuple[SlotRequest, ...]


class PoolHandover(msgspec.Struct, frozen=True, array_like=True, tag=71):
    """A keeper's state, sent to the new owner of the pool."""

    pool: str
    node_states: tuple[NodePoolState, ...]


class ForwardedMessage(msgspec.Struct, frozen=True, array_like=True, tag=72):
    """Message to a keeper, forwarded by a node that no longer owns the pool.

    Parameters
    ----------
    sender : str
        Node that sent the original message.
    """

    sender: str
    message: SlotRequest | Cancel | SlotReleased | NodeHeartbeat


class SuspectNotice(msgspec.Struct, frozen=True, array_like=True, tag=62):
    """Notice to a node that one of its requests is suspect.

    Parameters
    ----------
    retry_after : float
        Seconds for which the request is refused, 0 if it may run.
    """

    fingerprint: int
    retry_after: float


class TargetCrash(msgspec.Struct, frozen=True, array_like=True, tag=63):
    """Report that a target crashed with a request in flight.

    Parameters
    ----------
    age : float
        Seconds since the crash.
    """

    pool: str
    target: str
    fingerprint: int
    age: float


class SuspectCleared(msgspec.Struct, frozen=True, array_like=True, tag=64):
    """Report that a suspect request completed without a crash."""

    pool: str
    fingerprint: int


Message = (
    Ping
    | PingAck
    | PingRequest
    | SlotRequest
    | Grant
    | Denial
    | Cancel
    | SlotReleased
    | NodeHeartbeat
    | KeeperHeartbeat
    | ConfigurationPull
    | ConfigurationState
    | ConfigurationDelta
    | ConfigurationNotice
    | Ack
    | AnswerLookup
    | AnswerLocation
    | AnswerPull
    | AnswerPart
    | TargetGossip
    | PoolHandover
    | ForwardedMessage
    | SuspectNotice
    | TargetCrash
    | SuspectCleared
)
