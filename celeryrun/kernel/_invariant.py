"""Invariants checked at run time."""

from __future__ import annotations

import os
from collections import Counter

import logbook

from celeryrun.exception import InvariantViolatedError

__all__ = ["check_invariant", "set_strict", "violation_counts"]

EXIT_INVARIANT_VIOLATED = 70

log = logbook.Logger("invariant")
violation_counts: Counter[str] = Counter()
_strict = False


def set_strict(strict: bool) -> None:
    """Set whether a violation raises or exits (tests), or is only counted (production)."""
    global _strict
    _strict = strict


def check_invariant(holds: bool, invariant: str, **facts: object) -> None:
    """Count and log a violation unless the invariant holds.

    Parameters
    ----------
    holds : bool
        Whether the invariant holds.
    invariant : str
        Name of the invariant, as in ``docs/promises.md``.
    **facts
        Values logged with the violation.

    Raises
    ------
    InvariantViolatedError
        In strict mode inside a test process; a strict node process exits with status 70.
    """
    if holds:
        return
    violation_counts[invariant] += 1
    log.critical("invariant {} violated: {}", invariant, facts)
    if not _strict:
        return
    if os.environ.get("CELERYRUN_STRICT_EXIT"):
        os._exit(EXIT_INVARIANT_VIOLATED)
    raise InvariantViolatedError(f"{invariant}: {facts}; report this with the log")
