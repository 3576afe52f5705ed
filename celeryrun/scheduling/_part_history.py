"""Crashes of targets by parts of prompts that otherwise different requests share."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field

from celeryrun.scheduling._crash_history import MAX_EXPLAINED_CRASHES, Crash

__all__ = ["PROBE_INTERVAL", "PartAssessment", "PartCrashHistory", "ProbeGate"]

MIN_SEPARATION = 0.5  # s; crashes closer together may have one cause, such as a lost VM
CRASH_LIMIT = 3  # separate crashes of different requests after which a part is refused
CLOSE_CRASH_LIMIT = 5  # the same for crashes that may be close together, at two moments or more
COMPLETED_CRASHES = 2  # added to both limits for a part that requests completed with before
PROBE_INTERVAL = 2.0  # s between requests that try a part on probation
INITIAL_HOLD = 10.0  # s from the last crash until a request with two refused parts may try them
MAX_HOLD = 3600.0  # s; the hold doubles with each crash of a refused part
RESTORED_SEPARATION = 2.0  # s between the crashes of a restored part
SUSPECT_AGE = 120.0  # s after which a crash no longer counts for a part that is not refused
REFUSED_AGE = 2 * MAX_HOLD  # s after its last crash for which a refused part is remembered
MAX_SUSPECT_PARTS = 8192
MAX_REFUSED_PARTS = 512
MAX_ENTRIES_PER_PART = 32  # with the crashes in these, the hold has reached its maximum


@dataclass(frozen=True, slots=True)
class PartAssessment:
    """Decision on the parts of one prompt.

    Parameters
    ----------
    refused : bool
        Whether the request must not run.
    retry_after : float
        Seconds until one request may try the part again, 0 if not refused.
    on_probation : tuple of int
        Refused parts whose hold has passed: one request at a time may try them.
    """

    refused: bool
    retry_after: float = 0.0
    on_probation: tuple[int, ...] = ()


@dataclass(slots=True)
class _PartCrashes:
    """Crashes of one part, oldest first, each with the fingerprint of the request in flight.

    Parameters
    ----------
    completed_before : bool
        Whether requests with the part had completed before its first crash.
    separate : int
        Number of separate crashes, by different requests until the part is refused.
    last : float
        Time of the last crash that was counted.
    is_refused : bool
        Whether the crashes suffice to refuse the part.
    further : int
        Number of separate crashes since they did.
    """

    entries: list[tuple[Crash, int]] = field(default_factory=list)
    completed_before: bool = False
    separate: int = 0
    last: float = float("-inf")
    is_refused: bool = False
    further: int = 0

    @property
    def is_confirmed(self) -> bool:
        """Whether a target crashed after the part was refused."""
        return self.further > 0

    def hold_end(self) -> float:
        return self.last + min(MAX_HOLD, INITIAL_HOLD * 2.0**self.further)

    def count(self) -> None:
        """Count the crashes."""
        added = COMPLETED_CRASHES if self.completed_before else 0
        self.separate, self.last, self.is_refused, self.further = 0, float("-inf"), False, 0
        counted: list[Crash] = []
        fingerprints: set[int] = set()
        for crash, fingerprint in self.entries:
            if any(crash.is_same(known) for known in counted):
                continue
            if fingerprint in fingerprints and not self.is_refused:
                continue
            counted.append(crash)
            fingerprints.add(fingerprint)
            if crash.time - self.last >= MIN_SEPARATION:
                self.separate += 1
                self.further += self.is_refused
                self.last = crash.time
            self.is_refused = self.is_refused or (
                self.separate >= CRASH_LIMIT + added
                or (self.separate > 1 and len(counted) >= CLOSE_CRASH_LIMIT + added)
            )


class ProbeGate:
    """Admits one request in a while with each part on probation.

    Examples
    --------
    >>> gate = ProbeGate()
    >>> gate.admit([1], now=0.0), gate.admit([1, 2], now=1.0), gate.admit([1, 2], now=2.0)
    (True, False, True)
    """

    __slots__ = ("_admitted_at_by_part",)

    def __init__(self) -> None:
        self._admitted_at_by_part: dict[int, float] = {}

    def admit(self, parts: Collection[int], now: float) -> bool:
        """Return whether a request may try these parts."""
        recent = {
            part: time
            for part, time in self._admitted_at_by_part.items()
            if now - time < PROBE_INTERVAL
        }
        if any(part in recent for part in parts):
            return False
        self._admitted_at_by_part = recent | dict.fromkeys(parts, now)
        return True


class PartCrashHistory:
    """Recent crashes by part of a prompt, bounded in number and age.

    Notes
    -----
    The parts of all requests in flight on a crashed target are suspect. No request completes with
    a part that crashes targets, so one that began after a crash and completed clears its parts of
    that crash. A part with several crashes of different requests that nothing has cleared is
    refused.

    One request at a time may then try it, if it has no other refused part. A complete response
    ends the refusal. A crash confirms the part as the cause of its crashes, which no longer count
    for the parts beside it, and begins a hold that doubles with each further crash.

    Examples
    --------
    >>> history = PartCrashHistory()
    >>> for number in range(4):
    ...     _ = history.record_crash(Crash(f"engine-{number}", float(number)), number, [5, 6])
    ...     _ = history.clear([5], began=number + 0.1)
    >>> history.assess([5], now=3.0).refused, history.assess([5, 6], now=3.0).refused
    (False, True)
    >>> history.assess([6], now=30.0).on_probation
    (6,)
    """

    __slots__ = ("_explained", "_refused_by_part", "_suspects_by_part")

    def __init__(self) -> None:
        self._suspects_by_part: OrderedDict[int, _PartCrashes] = OrderedDict()
        self._refused_by_part: OrderedDict[int, _PartCrashes] = OrderedDict()
        self._explained: deque[Crash] = deque(maxlen=MAX_EXPLAINED_CRASHES)

    def __len__(self) -> int:
        return len(self._suspects_by_part) + len(self._refused_by_part)

    def __contains__(self, part: int) -> bool:
        return part in self._suspects_by_part or part in self._refused_by_part

    def record_crash(
        self,
        crash: Crash,
        fingerprint: int,
        parts: Iterable[int],
        completed_before: Collection[int] = (),
    ) -> bool:
        """Record that a target crashed with a request in flight.

        Parameters
        ----------
        fingerprint : int
            Hash of the request, equal for all retries of it.
        parts : iterable of int
            Hashes of the parts of its prompt that other requests may share.
        completed_before : collection of int
            Those of them with which requests had completed recently before the crash.

        Returns
        -------
        bool
            Whether this was news.
        """
        parts = list(dict.fromkeys(parts))
        if not any(self._is_confirmed(part) for part in parts) and self.is_explained(crash):
            return False
        is_new = []
        confirmed = []
        for part in parts:
            found = self._refused_by_part.get(part)
            if found is None:
                found = self._suspects_by_part.get(part) or _PartCrashes()
                found.completed_before |= part in completed_before
                found.entries = [
                    entry for entry in found.entries if entry[0].time + SUSPECT_AGE > crash.time
                ]
            is_new.append(self._add(found, crash, fingerprint))
            self._update(part, found)
            if found.is_confirmed:
                confirmed += [known for known, _ in found.entries]
        if confirmed:
            self._explain(confirmed)
        self._evict()
        return any(is_new)

    def restore(self, part: int, crashes: int, now: float) -> None:
        """Refuse a part that an earlier process has refused after a number of crashes."""
        if part in self._refused_by_part:
            return
        self._suspects_by_part.pop(part, None)
        crashes = min(max(crashes, CRASH_LIMIT), MAX_ENTRIES_PER_PART)
        entries = [
            (Crash("", now - (crashes - 1 - index) * RESTORED_SEPARATION), -1 - index)
            for index in range(crashes)
        ]
        restored = _PartCrashes(entries)
        restored.count()
        self._refused_by_part[part] = restored

    def clear(self, parts: Iterable[int], began: float) -> bool:
        """Remove the crashes before a time from the parts of a request that has completed.

        Parameters
        ----------
        began : float
            Time at which the request was sent to its target.

        Returns
        -------
        bool
            Whether this was news.
        """
        is_news = False
        for part in parts:
            found = self._refused_by_part.get(part) or self._suspects_by_part.get(part)
            if found is not None and self._remove(found, began):
                is_news = True
                self._update(part, found)
        return is_news

    def assess(self, parts: Iterable[int], now: float) -> PartAssessment:
        """Decide whether a request with these parts may run."""
        refused = []
        retry_after = 0.0
        for part in parts:
            found = self._refused_by_part.get(part)
            if found is None:
                continue
            if found.last + REFUSED_AGE < now:
                del self._refused_by_part[part]
                continue
            self._refused_by_part.move_to_end(part)
            refused.append(part)
            retry_after = max(retry_after, found.hold_end() - now)
        if retry_after <= 0:
            return PartAssessment(False, 0.0, tuple(refused))
        if len(refused) == 1:
            found = self._refused_by_part[refused[0]]
            if not found.is_confirmed:
                return PartAssessment(False, 0.0, (refused[0],))
        return PartAssessment(True, retry_after)

    def crash_count(self, part: int) -> int:
        """Return the number of separate crashes of a refused part, 0 if it is not refused."""
        found = self._refused_by_part.get(part)
        return 0 if found is None else found.separate

    def refused_parts(self) -> list[int]:
        """Return the parts that are refused or on probation."""
        return list(self._refused_by_part)

    def crashes(self) -> Iterator[tuple[Crash, int, list[int], list[int]]]:
        """Iterate over all crashes, as they are passed to `record_crash`."""
        grouped: dict[tuple[Crash, int], tuple[list[int], list[int]]] = {}
        for crashes_by_part in (self._refused_by_part, self._suspects_by_part):
            for part, found in crashes_by_part.items():
                for entry in found.entries:
                    parts, completed_before = grouped.setdefault(entry, ([], []))
                    parts.append(part)
                    if found.completed_before:
                        completed_before.append(part)
        for (crash, fingerprint), (parts, completed_before) in grouped.items():
            yield crash, fingerprint, parts, completed_before

    def _is_confirmed(self, part: int) -> bool:
        found = self._refused_by_part.get(part)
        return found is not None and found.is_confirmed

    def is_explained(self, crash: Crash) -> bool:
        """Return whether a part that is confirmed as a cause was in flight at a crash."""
        return any(crash.is_same(explained) for explained in self._explained)

    @staticmethod
    def _add(found: _PartCrashes, crash: Crash, fingerprint: int) -> bool:
        """Add a crash; return whether it is new.

        Two requests of one crash suffice, since one of them may be a retry.
        """
        same = [by for known, by in found.entries if known.is_same(crash)]
        if len(same) > 1 or fingerprint in same:
            return False
        found.entries.append((crash, fingerprint))
        found.entries.sort(key=lambda entry: entry[0].time)
        del found.entries[:-MAX_ENTRIES_PER_PART]
        found.count()
        return True

    @staticmethod
    def _remove(found: _PartCrashes, before: float) -> bool:
        """Remove the crashes before a time; return whether there were any."""
        kept = [entry for entry in found.entries if entry[0].time >= before]
        if len(kept) == len(found.entries):
            return False
        found.entries = kept
        found.count()
        return True

    def _explain(self, crashes: list[Crash]) -> None:
        """Remove crashes from all parts that are not their confirmed cause."""
        self._explained.extend(crash for crash in crashes if not self.is_explained(crash))
        for crashes_by_part in (self._suspects_by_part, self._refused_by_part):
            for part, found in list(crashes_by_part.items()):
                kept = [
                    entry
                    for entry in found.entries
                    if not any(entry[0].is_same(crash) for crash in crashes)
                ]
                if not found.is_confirmed and len(kept) < len(found.entries):
                    found.entries = kept
                    found.count()
                    self._update(part, found)

    def _update(self, part: int, found: _PartCrashes) -> None:
        """File a part whose crashes have changed."""
        self._suspects_by_part.pop(part, None)
        if found.is_refused:
            self._refused_by_part[part] = found
            return
        self._refused_by_part.pop(part, None)
        if found.entries:
            self._suspects_by_part[part] = found

    def _evict(self) -> None:
        """Keep the bounds; the parts with fewest crashes are dropped first, then the oldest."""
        excess = len(self._suspects_by_part) - MAX_SUSPECT_PARTS
        if excess > 0:
            by_crashes = sorted(
                self._suspects_by_part, key=lambda part: self._suspects_by_part[part].separate
            )
            for part in by_crashes[:excess]:
                del self._suspects_by_part[part]
        while len(self._refused_by_part) > MAX_REFUSED_PARTS:
            self._refused_by_part.popitem(last=False)
