"""Sequential comparison of a new version with the old ones, by failures and by latency.

Each response of the new version is one trial for failures and one for slowness. The chance of both
is estimated from the old versions over the same time, and a cumulative sum of log-likelihood ratios
(Wald's SPRT, restarted at zero as by Page's CUSUM) tells a version that is worse, also one that
turned worse only later.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from collections.abc import Collection
from dataclasses import dataclass, field

__all__ = ["Evidence", "Observation", "SickTarget", "VersionIsBad"]

Group = tuple[int, int, int]  # rank, and the powers of two of prompt tokens and of events
ALL_GROUPS: Group = (-1, -1, -1)
THRESHOLD = 9.0  # log-likelihood ratio at which the version counts as worse
PRIOR_TRIALS = 30.0  # weight of the chance assumed before there are trials of old versions
PRIOR_CHANCE = 0.01
MAX_OLD_TRIALS = 400.0  # latest trials of an old target that count
MIN_WORSE_CHANCE = 0.1  # of a version worth rolling back
MAX_WORSE_CHANCE = 0.9
WORSE_FACTOR = 3.0  # times the chance of old versions
SLOW_FACTOR = 2.5  # times the median of old versions above which a response is slow
UNMATCHED_SLOW_FACTOR = 4.0  # the same where old versions had less load
MIN_EXCESS = 0.05  # s beyond the median in a slow response; less may come from a busy processor
LATE_SHARE = 0.6  # of the time after which a response is slow
REFERENCE_SAMPLES = 101  # latest durations of old versions in one group
MIN_REFERENCE_SAMPLES = 8
FULL_SHARE = 0.7  # of the slots from which on a target counts as full
SINGLE_TARGET_SHARE = 0.7  # of the bad responses above which one target alone is to blame
MIN_OUTLIER_TARGETS = 4  # old targets from which on the worst quarter is left out
OUTLIER_SHARE = 0.25
MIN_SICK_SHARE = 0.34  # of the tried targets from which on the version is to blame
MIN_SICK_TARGETS = 2


@dataclass(frozen=True, slots=True)
class Observation:
    """Response of a target, or its absence.

    Parameters
    ----------
    group : tuple of int
        Requests of similar size and equal rank.
    occupancy : float
        Fraction of the target's slots in use when the request was granted.
    failed : bool
        Whether there was no usable response.
    seconds : float
        Time to the end of the response, per event of a stream.
    """

    target: str
    group: Group
    occupancy: float
    failed: bool
    seconds: float

    @property
    def is_full(self) -> bool:
        """Whether the target was about full."""
        return self.occupancy >= FULL_SHARE


@dataclass(frozen=True, slots=True)
class VersionIsBad:
    """Finding: the new version is worse than the old ones.

    Parameters
    ----------
    reason : str
        ``failures`` or ``latency``.
    bad, trials : int
        Bad responses and all since the version began to look worse.
    chance : float
        Chance of a bad response of the old versions.
    """

    reason: str
    bad: int
    trials: int
    chance: float


@dataclass(frozen=True, slots=True)
class SickTarget:
    """Finding: one target of the new version is worse than the others."""

    target: str
    reason: str


@dataclass(slots=True)
class _Trials:
    count: float = 0.0
    bad: float = 0.0

    def add(self, is_bad: bool) -> None:
        if self.count >= MAX_OLD_TRIALS:
            self.count *= 0.5
            self.bad *= 0.5
        self.count += 1
        self.bad += is_bad


@dataclass(slots=True)
class _Sum:
    """Cumulative sum of one group of requests, and what it consists of."""

    value: float = 0.0
    trials: int = 0
    bad_by_target: Counter[str] = field(default_factory=Counter)

    def add(self, target: str, is_bad: bool, chance: float) -> None:
        worse = min(MAX_WORSE_CHANCE, max(MIN_WORSE_CHANCE + chance, WORSE_FACTOR * chance))
        if is_bad:
            self.value += max(0.0, math.log(worse / chance))
            self.bad_by_target[target] += 1
        else:
            self.value += min(0.0, math.log((1 - worse) / (1 - chance)))
        self.trials += 1
        if self.value <= 0:
            self.clear()

    def clear(self) -> None:
        self.value = 0.0
        self.trials = 0
        self.bad_by_target.clear()


class Evidence:
    """What is known of a new version beside the old ones.

    Attributes
    ----------
    results, results_by_group : int, Counter
        Number of responses of the new version.
    bad : int
        Number of them that failed or were slow.
    sick_targets : set of str
        Targets of the new version that are worse than the others of it.
    target_count : int
        Number of targets of the new version; one alone can't be told from its version.
    """

    __slots__ = (
        "_durations",
        "_old_trials",
        "_sums",
        "_tried_targets",
        "bad",
        "results",
        "results_by_group",
        "sick_targets",
        "target_count",
    )

    def __init__(self) -> None:
        self._durations: defaultdict[tuple[Group, bool], deque[float]] = defaultdict(
            lambda: deque(maxlen=REFERENCE_SAMPLES)
        )
        self._old_trials: dict[tuple[str, Group], dict[str, _Trials]] = {}
        self._sums: defaultdict[tuple[str, Group], _Sum] = defaultdict(_Sum)
        self._tried_targets: set[str] = set()
        self.results = 0
        self.results_by_group: Counter[Group] = Counter()
        self.bad = 0
        self.sick_targets: set[str] = set()
        self.target_count = 1

    @property
    def suspicion(self) -> float:
        """Greatest cumulative sum as a fraction of the one that counts as proof."""
        return max((total.value for total in self._sums.values()), default=0.0) / THRESHOLD

    def add_old(self, observation: Observation) -> None:
        """Add a response of an old version."""
        for reason, is_bad in self._trials_of(observation):
            for group in (ALL_GROUPS, observation.group):
                trials_by_target = self._old_trials.setdefault((reason, group), {})
                trials_by_target.setdefault(observation.target, _Trials()).add(is_bad)
        if not observation.failed:
            self._durations[observation.group, observation.is_full].append(observation.seconds)

    def add_new(self, observation: Observation) -> VersionIsBad | SickTarget | None:
        """Add a response of the new version; return what it proves, if anything."""
        target = observation.target
        if target in self.sick_targets:
            return None
        self._tried_targets.add(target)
        self.results += 1
        self.results_by_group[observation.group] += 1
        trials = self._trials_of(observation)
        self.bad += any(is_bad for _, is_bad in trials)
        for reason, is_bad in trials:
            for group in (ALL_GROUPS, observation.group):
                total = self._sums[reason, group]
                chance = self._chance(reason, group) if is_bad or total.value > 0 else PRIOR_CHANCE
                total.add(target, is_bad, chance)
                if total.value >= THRESHOLD:
                    return self._judge(reason, total, chance)
        return None

    def is_overdue(self, group: Group, is_full: bool, seconds: float) -> bool:
        """Return whether a response that is still to come is already slow."""
        limit = self._slow_limit(group, is_full)
        return limit is not None and seconds > limit

    def is_late(self, group: Group, is_full: bool, seconds: float) -> bool:
        """Return whether a response that is still to come is late, but perhaps not slow."""
        limit = self._slow_limit(group, is_full)
        return limit is not None and seconds > LATE_SHARE * limit

    def _trials_of(self, observation: Observation) -> list[tuple[str, bool]]:
        trials = [("failures", observation.failed)]
        if not observation.failed:
            limit = self._slow_limit(observation.group, observation.is_full)
            if limit is not None:
                trials.append(("latency", observation.seconds > limit))
        return trials

    def _slow_limit(self, group: Group, is_full: bool) -> float | None:
        """Return the seconds above which a response is slow, None while that is not known."""
        matched = self._durations.get((group, is_full), ())
        if len(matched) >= MIN_REFERENCE_SAMPLES:
            return _slow_limit(SLOW_FACTOR, matched, group)
        other = self._durations.get((group, not is_full), ())
        if len(other) >= MIN_REFERENCE_SAMPLES:
            factor = UNMATCHED_SLOW_FACTOR if is_full else SLOW_FACTOR
            return _slow_limit(factor, other, group)
        return None

    def _chance(self, reason: str, group: Group) -> float:
        """Return the chance of a bad response of old versions, without their worst targets."""
        known = list(self._old_trials.get((reason, group), {}).values())
        if len(known) >= MIN_OUTLIER_TARGETS:
            known.sort(key=lambda trials: trials.bad / trials.count)
            known = known[: len(known) - int(OUTLIER_SHARE * len(known))]
        bad = sum(trials.bad for trials in known) + PRIOR_TRIALS * PRIOR_CHANCE
        return min(0.5, bad / (sum(trials.count for trials in known) + PRIOR_TRIALS))

    def _judge(self, reason: str, total: _Sum, chance: float) -> VersionIsBad | SickTarget:
        """Blame the version, or one target if nearly all bad responses are its own."""
        target, bad = total.bad_by_target.most_common(1)[0]
        all_bad = total.bad_by_target.total()
        verdict = VersionIsBad(reason, all_bad, total.trials, chance)
        if bad <= SINGLE_TARGET_SHARE * all_bad or self.target_count == 1:
            return verdict
        self.sick_targets.add(target)
        sick = len(self.sick_targets)
        if sick >= MIN_SICK_TARGETS and sick >= MIN_SICK_SHARE * len(self._tried_targets):
            return verdict
        for other in self._sums.values():
            if target in other.bad_by_target:
                other.clear()
        return SickTarget(target, reason)


def _slow_limit(factor: float, durations: Collection[float], group: Group) -> float:
    """Return the seconds per event above which a response is slow beside others of its group."""
    median = sorted(durations)[len(durations) // 2]
    events = max(1.0, 2.0 ** (group[2] - 1))
    return max(factor * median, median + MIN_EXCESS / events)
