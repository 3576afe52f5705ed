"""Plans, pools and the log records that change them."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

__all__ = [
    "CONFIGURATION_STREAM",
    "CallPattern",
    "Change",
    "ChangeOutcome",
    "Configuration",
    "Plan",
    "Pool",
    "Snapshot",
    "SnapshotSigner",
    "decode_record",
    "encode_record",
    "hash_key",
]

CONFIGURATION_STREAM = "configuration"
TIERS = (1, 2, 3)
POOL_KINDS = ("engine", "application")
DIGEST_BYTES = 8
MAC_BYTES = 16
HASH_BYTES = 32
HASH_MODULUS = 1 << (8 * HASH_BYTES)


def hash_key(key: str) -> str:
    """Return the SHA-256 of a bearer key in hexadecimal, the form in which it is published.

    Examples
    --------
    >>> hash_key("secret")[:8]
    '2bb80d53'
    """
    return hashlib.sha256(key.encode()).hexdigest()


class Plan(msgspec.Struct, frozen=True):
    """Plan of one workspace.

    Parameters
    ----------
    workspace : str
        Name of the customer.
    plan : str
        Name of the plan, which the list of uses refers to.
    tier : int
        Rank; 1 is the most urgent.
    key_hash : str
        SHA-256 of the bearer key.
    max_outstanding : int
        Maximum number of requests of the workspace that wait or run on one pool at a time.
    """

    workspace: str
    plan: str
    tier: int
    key_hash: str
    max_outstanding: int = 100


class CallPattern(msgspec.Struct, frozen=True):
    """Pattern of calls to an application: a method and a path prefix."""

    method: str
    path: str


class Pool(msgspec.Struct, frozen=True):
    """Targets that serve one model or application, and the plans that may use them.

    Parameters
    ----------
    name : str
        Name of the pool in the platform's list of VMs.
    kind : str
        ``engine`` or ``application``.
    plans : tuple of str
        Plans that may use the pool.
    non_idempotent : tuple of CallPattern
        Calls that may not be repeated.
    fencing : bool
        Whether the targets reject an order whose fencing number is outdated.
    """

    name: str
    kind: str
    plans: tuple[str, ...]
    non_idempotent: tuple[CallPattern, ...] = ()
    fencing: bool = False

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a call may be repeated."""
        return not any(
            call.method == method and path.startswith(call.path) for call in self.non_idempotent
        )


class Change(msgspec.Struct, frozen=True, tag="change"):
    """A published change to both lists.

    Parameters
    ----------
    base : int
        Version that the change was computed from; the change is rejected on any other version.
    """

    change_id: str
    base: int
    put_plans: tuple[Plan, ...] = ()
    drop_plans: tuple[str, ...] = ()
    put_pools: tuple[Pool, ...] = ()
    drop_pools: tuple[str, ...] = ()


class ChangeOutcome(msgspec.Struct, frozen=True):
    """Result of a change: accepted or rejected.

    Parameters
    ----------
    accepted : bool
        Whether the change is in force.
    version : int
        Version in force after the change.
    reason : str
        Reason for the rejection, with the remedy; empty if accepted.
    written : float
        Append time of the change's record by the platform's clock, in seconds since the epoch.
    """

    accepted: bool
    version: int
    reason: str = ""
    written: float = 0.0


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """Full state after replay of every record below an offset.

    Parameters
    ----------
    folded_to : int
        Offset below which every record has been replayed.
    outcomes : tuple
        Change id and outcome of the most recent changes, oldest first.
    known_since : float
        Append time of the newest record whose outcome has been evicted, by the platform's clock,
        in seconds since the epoch; 0 if none has been.
    mac : str
        Message authentication code, keyed with the secret of the nodes.
    """

    version: int
    folded_to: int
    plans: tuple[Plan, ...]
    pools: tuple[Pool, ...]
    outcomes: tuple[tuple[str, ChangeOutcome], ...] = ()
    known_since: float = 0.0
    mac: str = ""


_decoder = msgspec.json.Decoder(Change | Snapshot)
_encoder = msgspec.json.Encoder()


def encode_record(record: Change | Snapshot) -> bytes:
    """Encode a record for the log."""
    return _encoder.encode(record)


def decode_record(body: bytes) -> Change | Snapshot:
    """Decode a record of the log.

    Raises
    ------
    msgspec.MsgspecError
        If the body is neither a change nor a snapshot.
    """
    return _decoder.decode(body)


class SnapshotSigner:
    """Signs snapshots and verifies their signatures.

    Parameters
    ----------
    key : str
        Secret that all nodes share.

    Examples
    --------
    >>> signer = SnapshotSigner("0123456789abcdef")
    >>> snapshot = signer.sign(Snapshot(1, 1, (), ()))
    >>> signer.verify(snapshot), SnapshotSigner("another").verify(snapshot)
    (True, False)
    """

    __slots__ = ("_key",)

    def __init__(self, key: str) -> None:
        self._key = hashlib.blake2b(key.encode(), person=b"snapshot").digest()

    def sign(self, snapshot: Snapshot) -> Snapshot:
        """Return the snapshot with its signature."""
        return msgspec.structs.replace(snapshot, mac=self._mac(snapshot))

    def verify(self, snapshot: Snapshot) -> bool:
        """Return whether the snapshot was signed with the key."""
        return hmac.compare_digest(snapshot.mac.encode(), self._mac(snapshot).encode())

    def _mac(self, snapshot: Snapshot) -> str:
        body = _encoder.encode(msgspec.structs.replace(snapshot, mac=""))
        return hashlib.blake2b(body, key=self._key, digest_size=MAC_BYTES).hexdigest()


@dataclass(frozen=True, slots=True)
class Configuration:
    """Both lists at one version, indexed by their keys.

    Parameters
    ----------
    version : int
        One more than the offset of the latest accepted change; 0 is the empty configuration.
    content_hash : int
        Sum of the hashes of all plans and pools [1]_, so that an update hashes only the changed
        items.

    References
    ----------
    .. [1] Bellare, Micciancio, "A New Paradigm for Collision-free Hashing: Incrementality at
       Reduced Cost", EUROCRYPT 1997.
    """

    version: int
    plans_by_workspace: dict[str, Plan]
    pools_by_name: dict[str, Pool]
    plans_by_key_hash: dict[str, Plan]
    content_hash: int

    @classmethod
    def from_lists(
        cls, version: int, plans: tuple[Plan, ...], pools: tuple[Pool, ...]
    ) -> Configuration:
        """Build a configuration from both lists.

        Examples
        --------
        >>> Configuration.from_lists(0, (), ()).version
        0
        """
        return cls(
            version,
            {plan.workspace: plan for plan in plans},
            {pool.name: pool for pool in pools},
            {plan.key_hash: plan for plan in plans},
            _hash_items([*plans, *pools]),
        )

    @property
    def plans(self) -> tuple[Plan, ...]:
        """All plans, ordered by workspace."""
        return tuple(sorted(self.plans_by_workspace.values(), key=lambda plan: plan.workspace))

    @property
    def pools(self) -> tuple[Pool, ...]:
        """All pools, ordered by name."""
        return tuple(sorted(self.pools_by_name.values(), key=lambda pool: pool.name))

    @property
    def digest(self) -> str:
        """Digest of the version and both lists; all nodes at one version have the same."""
        content = f"{self.version}/{self.content_hash}".encode()
        return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()

    def apply(self, change: Change, version: int) -> Configuration:
        """Return a new configuration of a given version, with a change applied."""
        plans = dict(self.plans_by_workspace)
        pools = dict(self.pools_by_name)
        by_key_hash = dict(self.plans_by_key_hash)
        removed: list[Plan | Pool] = []
        for workspace in {*change.drop_plans, *(plan.workspace for plan in change.put_plans)}:
            if workspace in plans:
                plan = plans.pop(workspace)
                by_key_hash.pop(plan.key_hash, None)
                removed.append(plan)
        for name in {*change.drop_pools, *(pool.name for pool in change.put_pools)}:
            if name in pools:
                removed.append(pools.pop(name))
        put_plans = {plan.workspace: plan for plan in change.put_plans}
        put_pools = {pool.name: pool for pool in change.put_pools}
        plans.update(put_plans)
        pools.update(put_pools)
        by_key_hash.update((plan.key_hash, plan) for plan in put_plans.values())
        added_hash = _hash_items([*put_plans.values(), *put_pools.values()])
        content_hash = (self.content_hash - _hash_items(removed) + added_hash) % HASH_MODULUS
        return Configuration(version, plans, pools, by_key_hash, content_hash)

    def find_error(self, change: Change | None = None) -> str | None:
        """Return the first error in both lists, or in the items of a change; None if valid."""
        if len(self.plans_by_key_hash) != len(self.plans_by_workspace):
            return "two workspaces have the same key; give each its own"
        for plan in self.plans if change is None else change.put_plans:
            if plan.tier not in TIERS:
                return f"workspace {plan.workspace}: tier must be one of {TIERS}"
            if plan.max_outstanding < 1:
                return f"workspace {plan.workspace}: max_outstanding must be at least 1"
        for pool in self.pools if change is None else change.put_pools:
            if pool.kind not in POOL_KINDS:
                return f"pool {pool.name}: kind must be one of {POOL_KINDS}"
        return None


def _hash_items(items: Sequence[Plan | Pool]) -> int:
    return sum(_hash_item(item) for item in items) % HASH_MODULUS


def _hash_item(item: Plan | Pool) -> int:
    content = type(item).__name__.encode() + _encoder.encode(item)
    return int.from_bytes(hashlib.blake2b(content, digest_size=HASH_BYTES).digest())
