"""Plans, pools and the records that change them."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec

__all__ = [
    "CONFIGURATION_STREAM",
    "Call",
    "Change",
    "Configuration",
    "Plan",
    "Pool",
    "Snapshot",
    "decode_record",
    "encode_record",
    "hash_key",
]

CONFIGURATION_STREAM = "configuration"
TIERS = (1, 2, 3)
POOL_KINDS = ("engine", "application")
DIGEST_BYTES = 8


def hash_key(key: str) -> str:
    """Hash a bearer key as it is published, SHA-256 in hexadecimal.

    Examples
    --------
    >>> hash_key("secret")[:8]
    '2bb80d53'
    """
    return hashlib.sha256(key.encode()).hexdigest()


class Plan(msgspec.Struct, frozen=True):
    """One customer's plan.

    Parameters
    ----------
    workspace : str
        The customer.
    plan : str
        Name that the list of uses refers to.
    tier : int
        1 is the most urgent.
    key_hash : str
        SHA-256 of the bearer key.
    max_outstanding : int
        Requests waiting or running at once on one pool before the plan's own limit refuses more.
    """

    workspace: str
    plan: str
    tier: int
    key_hash: str
    max_outstanding: int = 100


class Call(msgspec.Struct, frozen=True):
    """A call of an application, by method and path prefix."""

    method: str
    path: str


class Pool(msgspec.Struct, frozen=True):
    """Targets that serve one model or application, and the plans that may use them.

    Parameters
    ----------
    name : str
        As in the platform's list of VMs.
    kind : str
        ``engine`` or ``application``.
    plans : tuple of str
        Plans that may use it.
    non_idempotent : tuple of Call
        Calls that may not be repeated.
    fencing : bool
        Whether its targets refuse an order with an old fencing number.
    """

    name: str
    kind: str
    plans: tuple[str, ...]
    non_idempotent: tuple[Call, ...] = ()
    fencing: bool = False

    def is_idempotent(self, method: str, path: str) -> bool:
        """Tell whether a call may be repeated."""
        return not any(
            call.method == method and path.startswith(call.path) for call in self.non_idempotent
        )


class Change(msgspec.Struct, frozen=True, tag="change"):
    """A published change to both lists, made upon one version."""

    change_id: str
    base: int
    put_plans: tuple[Plan, ...] = ()
    drop_plans: tuple[str, ...] = ()
    put_pools: tuple[Pool, ...] = ()
    drop_pools: tuple[str, ...] = ()


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """The full state, folded from every record below an offset."""

    version: int
    folded_to: int
    plans: tuple[Plan, ...]
    pools: tuple[Pool, ...]


_decoder = msgspec.json.Decoder(Change | Snapshot)


def encode_record(record: Change | Snapshot) -> bytes:
    """Encode a record for the log."""
    return msgspec.json.encode(record)


def decode_record(body: bytes) -> Change | Snapshot:
    """Decode a record of the log.

    Raises
    ------
    msgspec.MsgspecError
        If the body is no such record.
    """
    return _decoder.decode(body)


@dataclass(frozen=True, slots=True)
class Configuration:
    """The two lists as in force at one version.

    Parameters
    ----------
    version : int
        One more than the offset of the change that made it; 0 is empty.
    """

    version: int
    plans_by_workspace: dict[str, Plan]
    pools_by_name: dict[str, Pool]
    plans_by_key_hash: dict[str, Plan]
    digest: str

    @classmethod
    def from_lists(
        cls, version: int, plans: tuple[Plan, ...], pools: tuple[Pool, ...]
    ) -> Configuration:
        """Index two lists.

        Examples
        --------
        >>> Configuration.from_lists(0, (), ()).version
        0
        """
        plans = tuple(sorted(plans, key=lambda plan: plan.workspace))
        pools = tuple(sorted(pools, key=lambda pool: pool.name))
        content = msgspec.json.encode((version, plans, pools))
        return cls(
            version,
            {plan.workspace: plan for plan in plans},
            {pool.name: pool for pool in pools},
            {plan.key_hash: plan for plan in plans},
            hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest(),
        )

    @property
    def plans(self) -> tuple[Plan, ...]:
        """All plans, ordered by workspace."""
        return tuple(self.plans_by_workspace.values())

    @property
    def pools(self) -> tuple[Pool, ...]:
        """All pools, ordered by name."""
        return tuple(self.pools_by_name.values())

    def apply(self, change: Change, version: int) -> Configuration:
        """Return the configuration after a change."""
        plans = dict(self.plans_by_workspace)
        pools = dict(self.pools_by_name)
        for workspace in change.drop_plans:
            plans.pop(workspace, None)
        for name in change.drop_pools:
            pools.pop(name, None)
        plans.update((plan.workspace, plan) for plan in change.put_plans)
        pools.update((pool.name, pool) for pool in change.put_pools)
        return Configuration.from_lists(version, tuple(plans.values()), tuple(pools.values()))

    def fault(self) -> str | None:
        """Say what is wrong with the lists, or return None."""
        if len(self.plans_by_key_hash) != len(self.plans_by_workspace):
            return "two workspaces have the same key; give each its own"
        for plan in self.plans:
            if plan.tier not in TIERS:
                return f"workspace {plan.workspace}: tier must be one of {TIERS}"
            if plan.max_outstanding < 1:
                return f"workspace {plan.workspace}: max_outstanding must be at least 1"
        for pool in self.pools:
            if pool.kind not in POOL_KINDS:
                return f"pool {pool.name}: kind must be one of {POOL_KINDS}"
        return None
