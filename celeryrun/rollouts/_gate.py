"""Gate between the scheduler and the roll-outs of all pools."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from celeryrun.catalog import Target
from celeryrun.rollouts._evidence import Observation
from celeryrun.rollouts._rollout import COMPLETED, ROLLED_BACK, RUNNING, Rollout, Stage, group_of

__all__ = ["Allowance", "RolloutGate"]

FORGET_DELAY = 2.0  # s after its deadline until a request without an end is forgotten


@dataclass(slots=True)
class Allowance:
    """Targets that the requests of one planning round may use.

    Parameters
    ----------
    general : set of str
        Targets for any request.
    canaries : set of str
        Targets for first tries of new requests while their slots are free.
    open_slots : int
        Number of requests for the canaries.
    takes : callable
        Returns whether a canary is to get a request of a rank, prompt tokens and events.
    banned : set of str
        Targets for no request, not even one that is bound to their version.
    """

    general: set[str]
    canaries: set[str] = field(default_factory=set)
    open_slots: int = 0
    takes: Callable[[int, int, float], bool] = lambda rank, prompt_tokens, events: True
    banned: set[str] = field(default_factory=set)

    def may_use_canary(self, rank: int, prompt_tokens: int, events: float, retry: bool) -> bool:
        """Return whether a new request is to run on a canary if one is free."""
        return self.open_slots > 0 and not retry and self.takes(rank, prompt_tokens, events)


@dataclass(slots=True)
class RolloutGate:
    """Roll-outs of all pools, as the scheduler uses them.

    Parameters
    ----------
    rollout_by_pool : dict
        Newest order of each pool.
    rejected_by_pool : dict
        Versions that were rolled back, by pool.
    superseded_by_pool : dict
        Versions that served when a completion was written, by pool.
    is_decider : callable
        Returns whether this scheduler decides; if not, it gives an unproved version nothing.
    """

    rollout_by_pool: dict[str, Rollout] = field(default_factory=dict)
    rejected_by_pool: dict[str, set[str]] = field(default_factory=dict)
    superseded_by_pool: dict[str, set[str]] = field(default_factory=dict)
    is_decider: Callable[[], bool] = lambda: True
    _completed_pools: set[str] = field(default_factory=set)
    _old_by_pool: dict[str, set[str]] = field(default_factory=dict)
    _pool_by_grant: dict[int, str] = field(default_factory=dict)

    def allow(
        self, pool: str, targets: Iterable[Target], is_decider: bool, now: float
    ) -> Allowance | None:
        """Return the targets that requests of a pool may use, None for no restriction.

        Parameters
        ----------
        is_decider : bool
            Whether most nodes use this scheduler; if not, the version that is not proved gets
            nothing.
        """
        rollout = self.rollout_by_pool.get(pool)
        rejected = self.rejected_by_pool.get(pool, set())
        superseded = self.superseded_by_pool.get(pool, set())
        if rollout is None and not rejected and not superseded:
            return None
        targets = list(targets)
        is_written = pool in self._completed_pools
        is_over = rollout is None or rollout.state == ROLLED_BACK or is_written
        hidden = rejected | superseded
        if is_over and not any(target.version in hidden for target in targets):
            return None
        # The old targets stop only once a completion is written, so this node has missed it.
        listed = [target for target in targets if target.version not in rejected] or targets
        banned = {target.id for target in targets} - {target.id for target in listed}
        if rollout is None or is_over:
            current = {target.id for target in listed if target.version not in superseded}
            return Allowance(current or {target.id for target in listed}, banned=banned)
        version = rollout.order.version
        new = {target.id: target for target in listed if target.version == version}
        old = {target.id for target in listed if target.version != version}
        self.note_old(pool, targets)
        canaries = set(rollout.canaries(new, len(old)))
        if not old:
            sound = new.keys() - rollout.evidence.sick_targets
            return Allowance(sound or set(new), banned=banned)
        if not is_decider:
            return Allowance(old, banned=banned)
        if rollout.stage is Stage.FULL:
            return Allowance(canaries or old, banned=banned)
        slots = sum(new[id].slots for id in canaries)
        open_slots = rollout.open_slots(slots, now) if canaries else 0
        return Allowance(old, canaries, open_slots, rollout.takes, banned)

    def note_old(self, pool: str, targets: Iterable[Target]) -> None:
        """Note which versions serve beside the new one while an order is in progress."""
        rollout = self.rollout_by_pool.get(pool)
        if rollout is None or rollout.state == ROLLED_BACK or pool in self._completed_pools:
            return
        hidden = {rollout.order.version, *self.rejected_by_pool.get(pool, ())}
        versions = {target.version for target in targets} - hidden
        self._old_by_pool.setdefault(pool, set()).update(versions)

    def record_grant(
        self,
        grant_id: int,
        target: Target,
        rank: int,
        prompt_tokens: int,
        events: float,
        occupancy: float,
        deadline: float,
        now: float,
    ) -> None:
        """Count a granted request.

        Parameters
        ----------
        occupancy : float
            Fraction of the target's slots in use, with this one.
        deadline : float
            Time by which the request ends.
        """
        rollout = self.rollout_by_pool.get(target.pool)
        if rollout is None or rollout.state != RUNNING:
            return
        group = group_of(rank, prompt_tokens, events)
        self._pool_by_grant[grant_id] = target.pool
        rollout.record_grant(
            grant_id,
            Observation(target.id, group, occupancy, False, 0.0),
            target.version == rollout.order.version,
            events,
            deadline + FORGET_DELAY,
            now,
        )

    def record_end(self, grant_id: int, failed: bool | None, seconds: float, events: int) -> None:
        """Learn from the end of a request; ``failed`` is None if it tells nothing."""
        rollout = self.rollout_by_pool.get(self._pool_by_grant.pop(grant_id, ""))
        if rollout is not None:
            rollout.record_end(grant_id, failed, seconds, events)
            if rollout.state == ROLLED_BACK:
                self._reject(rollout)

    def advance(self, pool: str, targets: Iterable[Target], now: float) -> None:
        """Go on with a pool's roll-out if it is time; only for the scheduler of most nodes."""
        rollout = self.rollout_by_pool.get(pool)
        if rollout is None or rollout.state != RUNNING:
            return
        rejected = self.rejected_by_pool.get(pool, set())
        new = [target for target in targets if target.version == rollout.order.version]
        old = [
            target for target in targets if target.version not in {rollout.order.version, *rejected}
        ]
        usable = [target for target in new if target.id not in rollout.evidence.sick_targets]
        new_slots, old_slots = (sum(target.slots for target in found) for found in (usable, old))
        rollout.advance(new_slots, old_slots, len(new), now)
        if rollout.state == ROLLED_BACK:
            self._reject(rollout)

    def begin(self, rollout: Rollout) -> Rollout | None:
        """Begin an order; return the one of the pool that it replaces, if it was running."""
        order = rollout.order
        former = self.rollout_by_pool.get(order.pool)
        if former is not None and former.state == RUNNING:
            former.withdraw()
            self._reject(former)
        else:
            former = None
        self.rejected_by_pool.get(order.pool, set()).discard(order.version)
        self.superseded_by_pool.pop(order.pool, None)
        self._completed_pools.discard(order.pool)
        self._old_by_pool.pop(order.pool, None)
        self.rollout_by_pool[order.pool] = rollout
        return former

    def withdraw(self, pool: str) -> None:
        """End the order of a pool: what is not proved gets no more requests."""
        rollout = self.rollout_by_pool.get(pool)
        if rollout is not None and rollout.state == RUNNING:
            rollout.withdraw()
            self._reject(rollout)
        elif rollout is not None and rollout.state == COMPLETED:
            del self.rollout_by_pool[pool]
            self._completed_pools.discard(pool)
            self.superseded_by_pool.pop(pool, None)

    def decide(self, pool: str, version: str, state: str) -> None:
        """Apply a written verdict of this or another scheduler."""
        rollout = self.rollout_by_pool.get(pool)
        is_current = rollout is not None and rollout.order.version == version
        match state:
            case "rolled_back":
                self.rejected_by_pool.setdefault(pool, set()).add(version)
            case "completed" if is_current and pool not in self._completed_pools:
                self.rejected_by_pool.get(pool, set()).discard(version)
                self.superseded_by_pool[pool] = self._old_by_pool.get(pool, set()) - {version}
                self._completed_pools.add(pool)
        if is_current and rollout is not None and state in (COMPLETED, ROLLED_BACK):
            rollout.state = state
            self._forget_grants(pool)

    def _reject(self, rollout: Rollout) -> None:
        order = rollout.order
        self.rejected_by_pool.setdefault(order.pool, set()).add(order.version)
        self._forget_grants(order.pool)

    def _forget_grants(self, pool: str) -> None:
        self._pool_by_grant = {
            grant_id: other for grant_id, other in self._pool_by_grant.items() if other != pool
        }
        if pool in self.rollout_by_pool:
            self.rollout_by_pool[pool].forget_grants()
