"""Random fault schedule of a soak, determined by its seed."""

from __future__ import annotations

import random
from dataclasses import dataclass

__all__ = [
    "FAULT_KINDS",
    "KINDS",
    "PLANNED_KINDS",
    "PLANNED_TARGET_KINDS",
    "RESTORE_KIND",
    "SOUND_TARGET_KINDS",
    "TARGET_KINDS",
    "Fault",
    "draw_faults",
    "draw_sound_target_faults",
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

# What sound targets do; each kind is drawn by itself, so that the others stay the same without it.
SOUND_TARGET_KINDS = ("silence", "versions", "leaving", "retry-after")
MEAN_INTERVAL_BY_KIND = {"silence": 1.5, "versions": 8.0, "leaving": 4.0, "retry-after": 2.0}  # s
DURATION_RANGE_BY_KIND = {  # s
    "silence": (1.0, 3.0),
    "versions": (0.2, MAX_DURATION),
    "leaving": (3.0, 6.0),
    "retry-after": (0.5, MAX_DURATION),
}
KINDS = tuple(dict.fromkeys((*FAULT_KINDS, *TARGET_KINDS, RESTORE_KIND, *SOUND_TARGET_KINDS)))


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


def draw_sound_target_faults(seed: int, seconds: float) -> list[Fault]:
    """Return what sound targets do in a soak, at least once each; it excuses no violation.

    Examples
    --------
    >>> {fault.kind for fault in draw_sound_target_faults(1, 4.0)} == set(SOUND_TARGET_KINDS)
    True
    """
    faults = []
    for kind in SOUND_TARGET_KINDS:
        rng = random.Random(f"{seed} {kind}")
        start = rng.uniform(INITIAL_DELAY, max(INITIAL_DELAY, 0.5 * seconds))
        while True:
            duration = rng.uniform(*DURATION_RANGE_BY_KIND[kind])
            faults.append(Fault(kind, start, duration, rng.randrange(1000)))
            start += rng.expovariate(1 / MEAN_INTERVAL_BY_KIND[kind])
            if start >= seconds:
                break
    return sorted(faults, key=lambda fault: fault.start)
