"""Service registry, invariants, clock and rendezvous hashing used by all services."""

from celeryrun.kernel._clock import now
from celeryrun.kernel._invariant import check_invariant, set_strict, violation_counts
from celeryrun.kernel._kernel import Kernel, Service
from celeryrun.kernel._rendezvous import choose_owner, rank

__all__ = [
    "Kernel",
    "Service",
    "check_invariant",
    "choose_owner",
    "now",
    "rank",
    "set_strict",
    "violation_counts",
]
