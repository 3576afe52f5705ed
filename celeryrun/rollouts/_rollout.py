"""One roll-out: exposure of the new version by stages, and its verdict."""

from __future__ import annotations

import enum
import math
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field

from celeryrun.rollouts._evidence import (
    Evidence,
    Group,
    Observation,
    SickTarget,
    VersionIsBad,
)

__all__ = [
    "COMPLETED",
    "ROLLED_BACK",
    "RUNNING",
    "ExposureLimits",
    "Rollout",
    "RolloutOrder",
    "Stage",
]

RUNNING, COMPLETED, ROLLED_BACK = "running", "completed", "rolled_back"

CANARY_SHARE = 0.7  # of the allowed exposure that the canary stage may use
SLACK_SHARE = 0.6  # of the exposure allowed beyond the share that it may use
ENOUGH_EXPOSED = 110  # requests that show a bad version; the rest is kept for the last stage
WATCH_SHARE = 0.25  # of the allowed exposure from then on
WATCHED_STEP_SHARE = 0.1
STEP_SHARE = 0.2  # of the requests for the new version once it looks good
PULSE_INTERVAL = 0.1  # after which a pulse begins although it fills no slots
PULSE_ROUNDS = 2  # requests of a pulse per slot; the first round fills the slots
MIN_RESULTS = 30  # of the new version before it looks good
MIN_GROUP_RESULTS = 10  # of each group of requests that is not rare
MIN_GROUP_SHARE = 0.05  # of the requests, in a group that is not rare
GROUP_LEAD = 3.0  # requests by which a group may be ahead of its part of the exposure
MIN_DOUBTFUL = 3  # requests in progress that are late but not slow yet
MIN_DOUBTFUL_SHARE = 0.2  # of those on the new version
SPARSE_RESULT_SHARE = 0.02  # of the requests that suffice where there are few
MAX_SUSPICION = 0.4  # above which the new version gets no larger share
# Parts of the order's duration:
STEP_AT = 0.68  # more requests for the new version
FULL_AT = 0.77  # all new requests for the new version
SPARSE_AT = 0.77  # larger shares also with few results
SUSPECT_AT = 0.98  # roll-back of a version that still looks bad
COMPLETE_AT = 0.85  # completion if the old targets are idle
LAST_COMPLETE_AT = 0.93  # completion in any case
MIN_STAGE = 0.08  # of a stage after the first
OVERLOADED_CAPACITY = 0.8  # of the old slots, enough also where all of them are in use
CAPACITY_MARGIN = 1.1  # free capacity of the new version, in slots in use


class Stage(enum.IntEnum):
    """Portion of new requests for the new version; never falls."""

    CANARY = 0
    STEP = 1
    FULL = 2


@dataclass(frozen=True, slots=True)
class ExposureLimits:
    """What a version that is not proved may get.

    Parameters
    ----------
    share : float
        Fraction of the pool's requests between the order and its deadline.
    slack : float
        Number of requests beyond that fraction.
    """

    share: float = 0.1
    slack: float = 50.0


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Order to move a pool's requests to a version.

    Parameters
    ----------
    duration : float
        Seconds within which a good version is to serve alone.
    """

    pool: str
    version: str
    duration: float


@dataclass(slots=True)
class _Pending:
    observation: Observation
    is_new: bool
    granted: float
    events: float
    forget_at: float
    is_counted: bool = False


@dataclass(slots=True)
class Rollout:
    """Progress of one order, as counted by the scheduler.

    Parameters
    ----------
    began : float
        Time of the order, in seconds.
    exposed : float
        Requests granted to the new version before it looked good.
    state : str
        State as decided; ``completed`` is used only once it is written.
    verdict : VersionIsBad or str
        Why the state is final.
    """

    order: RolloutOrder
    limits: ExposureLimits
    began: float
    requests: int = 0
    exposed: float = 0.0
    state: str = RUNNING
    stage: Stage = Stage.CANARY
    verdict: VersionIsBad | str = ""
    evidence: Evidence = field(default_factory=Evidence)
    found_sick: list[SickTarget] = field(default_factory=list)
    _is_taken_over: bool = False
    _tokens: float = 0.0
    _is_pulse: bool = False
    _pulses: int = 0
    _pulse_ended: float = -math.inf
    _stage_began: float = 0.0
    _stage_results: int = 0
    _requests_by_group: Counter[Group] = field(default_factory=Counter)
    _exposed_by_group: Counter[Group] = field(default_factory=Counter)
    _pending_by_grant: dict[int, _Pending] = field(default_factory=dict)

    @classmethod
    def from_order(cls, order: RolloutOrder, limits: ExposureLimits, now: float) -> Rollout:
        """Begin an order."""
        return cls(order, limits, now, _tokens=SLACK_SHARE * limits.slack)

    @classmethod
    def taken_over(
        cls, order: RolloutOrder, limits: ExposureLimits, age: float, now: float
    ) -> Rollout:
        """Go on with an order that another scheduler has begun and used some exposure of."""
        began = now - min(max(0.0, age), order.duration)
        exposed = SLACK_SHARE * limits.slack
        return cls(order, limits, began, exposed=exposed, _is_taken_over=True)

    @property
    def in_progress(self) -> int:
        """Number of requests in progress on old targets."""
        return sum(1 for pending in self._pending_by_grant.values() if not pending.is_new)

    def canaries(self, targets: Collection[str], old_count: int) -> list[str]:
        """Return the targets of the new version that get requests in this stage."""
        usable = sorted(set(targets) - self.evidence.sick_targets)
        if self.stage is Stage.FULL or not usable:
            return usable
        count = min(len(usable), max(1, math.ceil(self._share() * old_count)))
        first = self._pulses * count
        return [usable[(first + number) % len(usable)] for number in range(count)]

    def open_slots(self, slots: int, now: float) -> int:
        """Return how many requests the canaries may get now.

        They come in pulses that fill the canaries' slots, since a fault that shows only under load
        does not show on targets that are idle. Each pulse goes to other targets.
        """
        if self.stage is Stage.CANARY:
            allowed = CANARY_SHARE * self.limits.share * self.requests
            allowed += SLACK_SHARE * self.limits.slack
            self._tokens = min(self._tokens, allowed - self.exposed)
        rounds = PULSE_ROUNDS if self.stage is Stage.CANARY else 1
        is_due = now - self._pulse_ended >= PULSE_INTERVAL * self.order.duration
        if self._tokens >= rounds * slots or (is_due and self._tokens >= 1):
            self._is_pulse = True
        elif self._tokens < 1 and self._is_pulse:
            self._is_pulse = False
            self._pulses += 1
            self._pulse_ended = now
        return max(0, int(self._tokens)) if self._is_pulse else 0

    def takes(self, rank: int, prompt_tokens: int, events: float) -> bool:
        """Return whether a request's group has not yet had its part of the exposure.

        Urgent requests are placed first and would else leave no canary to the others. A group's
        part lies between its share of the requests and an equal part, so that a fault on a rare
        route shows too.
        """
        group = group_of(rank, prompt_tokens, events)
        if not self.requests:
            return True
        share = self._requests_by_group[group] / self.requests
        part = (share + 1 / max(1, len(self._requests_by_group))) / 2
        return self._exposed_by_group[group] <= part * self.exposed + GROUP_LEAD

    def record_grant(
        self,
        grant_id: int,
        observation: Observation,
        is_new: bool,
        events: float,
        forget_at: float,
        now: float,
    ) -> None:
        """Count a granted request; its duration and outcome follow."""
        self.requests += 1
        self._requests_by_group[observation.group] += 1
        if self.stage is not Stage.FULL:
            self._tokens += self._share()
        if is_new:
            self.exposed += 1
            self._exposed_by_group[observation.group] += 1
            self._tokens -= 1
        self._pending_by_grant[grant_id] = _Pending(observation, is_new, now, events, forget_at)

    def record_end(self, grant_id: int, failed: bool | None, seconds: float, events: int) -> None:
        """Learn from the end of a request; ``failed`` is None if it tells nothing."""
        pending = self._pending_by_grant.pop(grant_id, None)
        if pending is None or failed is None or pending.is_counted:
            return
        begun = pending.observation
        self._learn(
            Observation(
                begun.target, begun.group, begun.occupancy, failed, seconds / max(1, events)
            ),
            pending.is_new,
        )

    def advance(self, new_slots: int, old_slots: int, new_targets: int, now: float) -> None:
        """Go on to the next stage or to the verdict if it is time.

        Parameters
        ----------
        new_slots : int
            Slots of the usable targets of the new version.
        old_slots : int
            Slots of the old targets.
        new_targets : int
            Number of ready targets of the new version.
        """
        if self.state != RUNNING:
            return
        self._expire(now)
        passed = (now - self.began) / self.order.duration
        if not new_targets:
            if passed >= 1:
                self._roll_back("no targets")
            return
        self.evidence.target_count = new_targets
        needed = CAPACITY_MARGIN * len(self._pending_by_grant)
        has_capacity = new_slots >= min(needed, OVERLOADED_CAPACITY * old_slots)
        looks_good = self.evidence.suspicion <= MAX_SUSPICION
        if passed >= SUSPECT_AT and not looks_good:
            self._roll_back("suspect at the deadline")
            return
        looks_good = looks_good and not self._is_doubtful(now)
        if not self._has_results():
            is_tried = self.evidence.results >= SPARSE_RESULT_SHARE * self.requests
            # The clock of another node tells the age of an order that was taken over.
            is_sparse = is_tried and passed >= SPARSE_AT and not self._is_taken_over
            looks_good = looks_good and is_sparse
        if self.stage is not Stage.CANARY:
            in_stage = (now - self._stage_began) / self.order.duration
            looks_good = looks_good and in_stage >= MIN_STAGE
        if self.stage is Stage.CANARY and passed >= STEP_AT and looks_good:
            self._enter(Stage.STEP, now)
        elif self.stage is Stage.STEP and passed >= FULL_AT and looks_good and has_capacity:
            self._enter(Stage.FULL, now)
        elif self.stage is Stage.FULL and has_capacity and looks_good:
            is_old_idle = not self.in_progress or not old_slots
            if passed >= LAST_COMPLETE_AT or (passed >= COMPLETE_AT and is_old_idle):
                self.state = COMPLETED
                self.verdict = "no worse than the old versions"

    def rest(self, now: float) -> None:
        """Note that another scheduler may use the exposure up to now."""
        self._tokens = 0.0
        self.exposed = max(self.exposed, SLACK_SHARE * self.limits.slack)
        for grant_id, pending in list(self._pending_by_grant.items()):
            if now > pending.forget_at:
                del self._pending_by_grant[grant_id]

    def forget_grants(self) -> None:
        """Forget all requests in progress."""
        self._pending_by_grant.clear()

    def withdraw(self) -> None:
        """End an order that its operator has withdrawn or replaced."""
        self._roll_back("withdrawn")

    def _has_results(self) -> bool:
        """Return whether each group of requests that is not rare has brought results."""
        counted = self.evidence.results_by_group
        return self.evidence.results - self._stage_results >= MIN_RESULTS and all(
            counted[group] >= MIN_GROUP_RESULTS
            for group, requests in self._requests_by_group.items()
            if requests >= MIN_GROUP_SHARE * self.requests
        )

    def _is_doubtful(self, now: float) -> bool:
        """Return whether many requests on the new version are late but not slow yet."""
        new = [pending for pending in self._pending_by_grant.values() if pending.is_new]
        doubtful = sum(
            pending.is_counted
            or self.evidence.is_late(
                pending.observation.group,
                pending.observation.is_full,
                (now - pending.granted) / max(1, pending.events),
            )
            for pending in new
        )
        return doubtful >= max(MIN_DOUBTFUL, MIN_DOUBTFUL_SHARE * len(new))

    def _enter(self, stage: Stage, now: float) -> None:
        self.stage = stage
        self._stage_began = now
        self._stage_results = self.evidence.results

    def _share(self) -> float:
        is_enough = self.exposed >= ENOUGH_EXPOSED
        if self.stage is Stage.CANARY:
            return (WATCH_SHARE if is_enough else CANARY_SHARE) * self.limits.share
        return WATCHED_STEP_SHARE if is_enough else STEP_SHARE

    def _roll_back(self, verdict: VersionIsBad | str) -> None:
        if self.state == RUNNING:
            self.state = ROLLED_BACK
            self.verdict = verdict

    def _learn(self, observation: Observation, is_new: bool) -> None:
        if not is_new:
            self.evidence.add_old(observation)
            return
        match self.evidence.add_new(observation):
            case VersionIsBad() as verdict:
                self._roll_back(verdict)
            case SickTarget() as sick:
                self.found_sick.append(sick)
                self._stage_results = self.evidence.results

    def _expire(self, now: float) -> None:
        """Count responses that are late already, and forget requests whose end got lost."""
        for grant_id, pending in list(self._pending_by_grant.items()):
            begun, seconds = pending.observation, (now - pending.granted) / max(1, pending.events)
            if now > pending.forget_at:
                del self._pending_by_grant[grant_id]
            elif not pending.is_counted and self.evidence.is_overdue(
                begun.group, begun.is_full, seconds
            ):
                pending.is_counted = True
                late = Observation(begun.target, begun.group, begun.occupancy, False, seconds)
                self._learn(late, pending.is_new)


def group_of(rank: int, prompt_tokens: int, events: float) -> Group:
    """Return the group of a request."""
    return rank, max(0, prompt_tokens).bit_length(), int(events).bit_length()
