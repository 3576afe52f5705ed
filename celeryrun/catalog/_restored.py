"""What an entry of a restored copy says of a target that is known already."""

from __future__ import annotations

from dataclasses import dataclass

from celeryrun.catalog._model import Target

__all__ = ["Credible", "Doubtful", "Outdated", "judge_restored_entry"]


@dataclass(frozen=True, slots=True)
class Credible:
    """The entry is at least as new as what is known."""


@dataclass(frozen=True, slots=True)
class Doubtful:
    """Sentinel: the target was gone; it lives if the store still lists it after some time."""

    reason: str


@dataclass(frozen=True, slots=True)
class Outdated:
    """Sentinel: the entry is older than what is known."""

    reason: str


def judge_restored_entry(
    entry: Target, listed: Target | None, removed: Target | None
) -> Credible | Doubtful | Outdated:
    """Judge an entry that was read soon after the store was restored from a copy.

    Parameters
    ----------
    listed, removed : Target or None
        Last entry of the same id, before the store was restored: of a target that is listed, or of
        one that was removed.

    Examples
    --------
    >>> draining = Target("t", "app", "a", 1, "z", 1, ready=False, born=5, sequence=9.0)
    >>> copy = Target("t", "app", "a", 1, "z", 1, ready=True, born=5, sequence=3.0)
    >>> judge_restored_entry(copy, draining, None).reason
    'it was draining'
    >>> judge_restored_entry(draining, draining, None)
    Credible()
    """
    known = listed if listed is not None else removed
    if known is None or entry.born > known.born:
        return Credible()
    if entry.born < known.born:
        return Outdated("it has started again since")
    if entry.sequence > known.sequence:
        return Credible()
    if entry.ready and not known.ready:
        return Outdated("it was draining")
    if listed is None:
        return Doubtful("it was removed")
    return Credible()
