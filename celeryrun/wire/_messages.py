"""Typed messages between nodes."""

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
    """What one node believes of a member.

    Parameters
    ----------
    state : str
        ``alive``, ``suspect``, ``draining`` or ``dead``.
    incarnation : int
        Raised by the member alone; the higher one is believed.
    """

    name: str
    zone: str
    address: str
    operator: str
    state: str
    incarnation: int


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Membership probe with piggybacked news and the configuration version in force."""

    probe: int
    version: int
    updates: tuple[MemberUpdate, ...]


class PingAck(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answer to a probe."""

    probe: int
    version: int
    updates: tuple[MemberUpdate, ...]


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Request to probe a third member."""

    probe: int
    member: str


class SlotRequest(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Request for a slot on a target of a pool.

    Parameters
    ----------
    slot_request_id : int
        Unique on the asking node.
    cost : float
        Estimated work, in tokens or their equal.
    prefix : tuple of int
        Hashes of the prompt's leading blocks, longest last.
    remaining : float
        Seconds to the request's deadline.
    fingerprint : int
        Hash of workspace, path and body, by which a request that crashes targets is known.
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
    """A slot on a target, leased to the asking node.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the target, for a node whose list does not show it yet.
    """

    pool: str
    slot_request_id: int
    grant_id: int
    target: str
    address: str = ""


class Denial(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The keeper refuses an ask."""

    pool: str
    slot_request_id: int
    kind: str
    retry_after: float


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The ask is no longer wanted."""

    pool: str
    slot_request_id: int


class SlotReleased(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A slot is free again.

    Parameters
    ----------
    work : float
        Work done, in tokens or their equal.
    first_byte_delay : float
        Seconds to the first byte of the answer, or a negative number if none came.
    elapsed : float
        Seconds from dispatch to the end.
    complete : bool
        Whether the target gave a whole answer.
    tokens : int
        Tokens that the answer brought, 0 from an application.
    """

    pool: str
    grant_id: int
    work: float
    first_byte_delay: float
    elapsed: float
    complete: bool
    tokens: int = 0


class HeldSlot(msgspec.Struct, frozen=True, array_like=True):
    """A grant that a node uses."""

    grant_id: int
    target: str
    tier: int
    workspace: str
    cost: float


class NodeHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Heartbeat of a node to a pool's keeper; renews the leases of the grants held."""

    pool: str
    held_slots: tuple[HeldSlot, ...]


class KeeperHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Answer to a NodeHeartbeat.

    Parameters
    ----------
    epoch : int
        Changes when the keeper has lost its state.
    queued : int
        Asks of the receiver that the keeper knows.
    """

    pool: str
    epoch: int
    queued: int


class ConfigurationPull(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Request for the configuration, if newer than a version.

    Parameters
    ----------
    folded_to : int
        Every record of the log below this offset is accounted for in what the sender has.
    """

    version: int
    folded_to: int = 0


class ConfigurationState(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """The configuration in force, as an encoded snapshot record."""

    body: bytes


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of the log, passed on by a node."""

    offset: int
    written: float
    body: bytes


class ConfigurationDelta(msgspec.Struct, frozen=True, array_like=True, tag=41):
    """Every change in the log from one offset up to another.

    Parameters
    ----------
    start, folded_to : int
        The offsets; records between them that are no changes are left out.
    """

    start: int
    folded_to: int
    records: tuple[LogRecord, ...]


class ConfigurationNotice(msgspec.Struct, frozen=True, array_like=True, tag=42):
    """The version that the sender has in force.

    Parameters
    ----------
    digest : str
        Of the two lists at that version.
    snapshot_time : float
        The platform's time, in seconds since the epoch, from which on the newest snapshot known
        to the sender makes older records superfluous.
    wants_reply : bool
        Whether the receiver should send its own notice.
    """

    version: int
    digest: str
    snapshot_time: float
    wants_reply: bool = False


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=60):
    """Nothing but the envelope: the receiver's messages arrive."""


class AnswerLookup(msgspec.Struct, frozen=True, array_like=True, tag=50):
    """Question to the directory: which node has the answer; the asker is noted if none has.

    Parameters
    ----------
    id_hash : bytes
        Of the workspace and the request id.
    excluded_node : str
        Node that turned out not to have it, or empty.
    """

    call_id: int
    id_hash: bytes
    excluded_node: str = ""


class AnswerLocation(msgspec.Struct, frozen=True, array_like=True, tag=51):
    """The directory's answer."""

    call_id: int
    id_hash: bytes
    node: str


class AnswerPull(msgspec.Struct, frozen=True, array_like=True, tag=52):
    """Request for a part of a running or finished answer.

    Parameters
    ----------
    answer_id : str
        Request id or idempotency key, with a prefix that says which, and the content's digest.
    position : int
        Bytes of the body that are already had.
    """

    call_id: int
    workspace: str
    answer_id: str
    position: int


class AnswerPart(msgspec.Struct, frozen=True, array_like=True, tag=53):
    """Part of an answer.

    Parameters
    ----------
    state : str
        ``gone``, ``running`` or ``finished``.
    status : int
        HTTP status, 0 while there is no head.
    complete : bool
        Whether the finished body is whole.
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
    """What was seen of a target.

    Parameters
    ----------
    address : str
        The target's address; another one is another target under the same name.
    kind : str
        ``leaving`` (its own answer said so), ``listed`` (the platform's list shows it as leaving)
        or ``unreachable`` (it refused a connection).
    age : float
        Seconds since it was seen.
    """

    name: str
    address: str
    kind: str
    age: float


class TargetGossip(msgspec.Struct, frozen=True, array_like=True, tag=70):
    """News of targets, to the pool's keeper at once and to others with the probes."""

    updates: tuple[TargetUpdate, ...]


class NodePoolState(msgspec.Struct, frozen=True, array_like=True):
    """What one node holds and waits for in a pool."""

    node: str
    held_slots: tuple[HeldSlot, ...]
    slot_requests: tuple[SlotRequest, ...]


class PoolHandover(msgspec.Struct, frozen=True, array_like=True, tag=71):
    """A keeper's state, to the node that keeps the pool from here on."""

    pool: str
    node_states: tuple[NodePoolState, ...]


class ForwardedMessage(msgspec.Struct, frozen=True, array_like=True, tag=72):
    """A message to a keeper, passed on by a node that does not keep the pool any more.

    Parameters
    ----------
    sender : str
        The node that sent it.
    """

    sender: str
    message: SlotRequest | Cancel | SlotReleased | NodeHeartbeat


class SuspectNotice(msgspec.Struct, frozen=True, array_like=True, tag=62):
    """A request is suspect.

    Parameters
    ----------
    retry_after : float
        Seconds for which it is refused, 0 if it may run.
    """

    fingerprint: int
    retry_after: float


class TargetCrash(msgspec.Struct, frozen=True, array_like=True, tag=63):
    """A target died with a request in flight.

    Parameters
    ----------
    age : float
        Seconds since then.
    """

    pool: str
    target: str
    fingerprint: int
    age: float


class SuspectCleared(msgspec.Struct, frozen=True, array_like=True, tag=64):
    """A suspect request has completed."""

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
