"""Random fault schedule of a soak, determined by its seed."""

from __future__ import annotations

import random
from dataclasses import dataclass

__all__ = [
    "FAULT_KINDS",
    "PLANNED_KINDS",
    "PLANNED_TARGET_KINDS",
    "RESTORE_KIND",
    "TARGET_KINDS",
    "Fault",
    "draw_faults",
]

INITIAL_DELAY = 1.0  # s before the first fault
MAX_DURATION = 2.5  # s, of one fault
MEAN_INTERVAL = 0.7  # s between the starts of two faults, so short that most faults overlap
PLANNED_ONLY_SEEDS = 3  # every third seed has only planned operations, which may lose no request
PLANNED_KINDS = ("term", "hup", "silent-settings", "new-configuration", "revoke", "runner-drain")
FAULT_KINDS = (
    *PLANNED_KINDS,
    "kill",
    "pause",
    "kill-all",
    "store-down",
    "store-silent",
    "store-busy",
    "store-slow",
    "store-one-way",
    "store-forgets",
    "store-loses",
    "runner-crash",
    "runner-slow",
    "runner-silent",
    "runner-reset",
    "runner-faults",
)

# Drawn once for each soak, independently of the others, so that their schedules stay the same.
PLANNED_TARGET_KINDS = ("runner-limit", "runner-unframed")
TARGET_KINDS = (*PLANNED_TARGET_KINDS, "crashing-part")
TARGET_FAULT_DURATION = 8.0  # s
RESTORE_KIND = "store-restored"
MAX_RESTORES = 2
MAX_COPY_AGE = 5.0  # s


@dataclass(frozen=True)
class Fault:
    """Scheduled fault.

    Parameters
    ----------
    start, duration : float
        Start after the begin of the soak, and duration, both in seconds.
    selector : int
        Selects the affected node or runner, and variants of the fault, by its remainder.
    """

    kind: str
    start: float
    duration: float
    selector: int


def draw_faults(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a soak, which may overlap.

    Examples
    --------
    >>> draw_faults(1, 10.0) == draw_faults(1, 10.0)
    True
    """
    rng = random.Random(seed)
    kinds = PLANNED_KINDS if seed % PLANNED_ONLY_SEEDS == 0 else FAULT_KINDS
    faults = []
    start = INITIAL_DELAY
    while start < seconds:
        duration = rng.uniform(0.2, MAX_DURATION)
        faults.append(Fault(rng.choice(kinds), start, duration, rng.randrange(1000)))
        start += rng.expovariate(1 / MEAN_INTERVAL)
    rng = random.Random(f"{seed} targets")
    kinds = PLANNED_TARGET_KINDS if seed % PLANNED_ONLY_SEEDS == 0 else TARGET_KINDS
    faults += [
        Fault(kind, rng.uniform(INITIAL_DELAY, seconds), TARGET_FAULT_DURATION, rng.randrange(1000))
        for kind in kinds
    ]
    if seed % PLANNED_ONLY_SEEDS:
        rng = random.Random(f"{seed} restores")
        faults += [
            Fault(
                RESTORE_KIND,
                rng.uniform(INITIAL_DELAY, seconds),
                rng.uniform(0.5, MAX_COPY_AGE),
                rng.randrange(1000),
            )
            for _ in range(rng.randint(1, MAX_RESTORES))
        ]
    return sorted(faults, key=lambda fault: fault.start)
